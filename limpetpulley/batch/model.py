"""Jobs of steps and tasks: what a caller hands in."""

from __future__ import annotations

from typing import NamedTuple

import attrs

__all__ = ["Amount", "JobKey", "JobSpec", "Step", "TaskId"]


@attrs.frozen
class Amount:
    """Room on a worker, or a need for it.

    :param cpu_millicores: processors, in thousandths of a core
    :param memory_mb: memory, in megabytes
    :param accelerators: number of accelerators
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: Amount) -> Amount:
        return Amount(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Amount) -> Amount:
        return Amount(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def __mul__(self, count: int) -> Amount:
        return Amount(
            self.cpu_millicores * count, self.memory_mb * count, self.accelerators * count
        )

    def fits(self, room: Amount) -> bool:
        """Return whether this need fits into a room."""
        return (
            self.cpu_millicores <= room.cpu_millicores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )


class JobKey(NamedTuple):
    """A job's name: unique within its queue, chosen by the caller."""

    queue: str
    job_id: str


class TaskId(NamedTuple):
    """A task's name: one of a step's tasks in one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    position: int


@attrs.frozen
class Step:
    """A step: tasks that are alike.

    :param count: how many tasks
    :param need: room that one task takes
    :param estimate_seconds: the caller's rough estimate of a task's run time
    :param after: numbers of the steps that must be done first
    :param checkpoints: whether tasks save their progress
    :param gang: whether all tasks must run at the same time
    :param same_rack: whether tasks are slow unless they share a rack
    :param label: label that a worker must have, empty for none
    :param near_rack: rack where the data lies, empty for none
    :param max_per_worker: most tasks of this step on one worker, 0 for any number
    :param speculative: whether copies of a task may run in parallel
    :param lasting: whether tasks run until the job is cancelled
    :param image: what the tasks run; tasks of one image behave alike
    :param latency_target_seconds: tail latency that the tasks' own users need, 0 for none
    :param filler: whether the tasks only use processors that others leave idle
    :param may_miss: most tasks that may be away at once because of this system's orders,
        None for any number
    """

    count: int
    need: Amount = Amount()
    estimate_seconds: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    near_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    latency_target_seconds: float = 0.0
    filler: bool = False
    may_miss: int | None = None

    @property
    def charge(self) -> Amount:
        """Return the room that one task is charged on its worker."""
        if not self.filler:
            return self.need
        return attrs.evolve(self.need, cpu_millicores=0)


@attrs.frozen
class JobSpec:
    """A job as it was handed in.

    :param payload: text that is passed to each task
    :param occurrences: how many times the steps run, 0 for once and at once
    :param first_due: when the first occurrence is due, in seconds since 1970
    :param interval_seconds: time between occurrences
    """

    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_due: float = 0.0
    interval_seconds: float = 0.0

    @property
    def timed(self) -> bool:
        """Return whether the job runs at set times."""
        return self.occurrences > 0

    @property
    def lasting(self) -> bool:
        """Return whether any step runs until the job is cancelled."""
        return any(step.lasting for step in self.steps)

    def due(self, occurrence: int) -> float:
        """Return when an occurrence is due, in seconds since 1970; 0 for at once."""
        return self.first_due + occurrence * self.interval_seconds if self.timed else 0.0

    def critical_path_seconds(self, step_seconds: tuple[float, ...] | None = None) -> float:
        """Return the run time of the longest chain of steps."""
        seconds = step_seconds or self.declared_seconds()
        ends: list[float] = []
        for number, step in enumerate(self.steps):
            begin = max((ends[before] for before in step.after if before < number), default=0.0)
            ends.append(begin + seconds[number])
        return max(ends, default=0.0)

    def declared_seconds(self) -> tuple[float, ...]:
        """Return the caller's estimate for each step, in seconds."""
        return tuple(step.estimate_seconds for step in self.steps)
