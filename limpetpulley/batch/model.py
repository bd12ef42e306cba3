"""Multi-step jobs as callers submit them."""

from __future__ import annotations

from typing import NamedTuple

import attrs

__all__ = ["Amount", "JobKey", "JobSpec", "Step", "TaskId"]


@attrs.frozen
class Amount:
    """Amount of resources, as a capacity or a requirement.

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

    def fits(self, capacity: Amount) -> bool:
        """Return whether a requirement of this amount fits into a capacity."""
        return (
            self.cpu_millicores <= capacity.cpu_millicores
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )


class JobKey(NamedTuple):
    """Key of a job; its identifier is chosen by the caller and unique within the queue."""

    queue: str
    job_id: str


class TaskId(NamedTuple):
    """Identifier of a task: its index within a step, in one occurrence of a job.

    :param occurrence: number of the occurrence, from 0
    :param step: number of the step, from 0
    :param position: index among the tasks of the step, from 0
    """

    job_id: str
    occurrence: int
    step: int
    position: int


@attrs.frozen
class Step:
    """A step: a number of identical tasks.

    :param count: number of tasks
    :param need: resources that one task needs
    :param estimate_seconds: the caller's rough estimate of a task's run time, in seconds
    :param after: numbers of the steps that must be completed first
    :param checkpoints: whether tasks save checkpoints
    :param gang: whether all tasks must run at the same time
    :param same_rack: whether tasks are slow unless they run in the same rack
    :param label: label that a worker must have, empty for none
    :param near_rack: rack that holds the data, empty for none
    :param max_per_worker: maximum number of tasks of this step on one worker, 0 for no limit
    :param speculative: whether copies of a task may run in parallel
    :param lasting: whether tasks run until the job is cancelled
    :param image: image that the tasks run; tasks of one image behave similarly
    :param latency_target_seconds: tail latency that the users of the tasks need, in seconds, 0 for
        none
    :param filler: whether the tasks only use processors that other tasks leave idle
    :param may_miss: maximum number of tasks that this system's orders may make unavailable at the
        same time, None for no limit
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
        """Return the resources that one task reserves on its worker."""
        if not self.filler:
            return self.need
        return attrs.evolve(self.need, cpu_millicores=0)

    @property
    def start_charge(self) -> Amount:
        """Return the resources that must be free at once for a task to start, with its gang."""
        return self.charge * self.count if self.gang else self.charge


@attrs.frozen
class JobSpec:
    """Specification of a job, as submitted.

    :param payload: text that is passed to each task
    :param occurrences: number of times that the steps run, 0 for a single immediate execution
    :param first_due: start time of the first occurrence, in seconds since 1970
    :param interval_seconds: time between the starts of two occurrences, in seconds
    """

    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_due: float = 0.0
    interval_seconds: float = 0.0

    @property
    def timed(self) -> bool:
        """Return whether the occurrences start at scheduled times."""
        return self.occurrences > 0

    @property
    def lasting(self) -> bool:
        """Return whether any step runs until the job is cancelled."""
        return any(step.lasting for step in self.steps)

    def has_task(self, occurrence: int, step: int, position: int) -> bool:
        """Return whether a task belongs to the job."""
        return (
            0 <= occurrence < max(1, self.occurrences)
            and 0 <= step < len(self.steps)
            and 0 <= position < self.steps[step].count
        )

    def start_time(self, occurrence: int) -> float:
        """Return the start time of an occurrence, in seconds since 1970; 0 for immediately."""
        return self.first_due + occurrence * self.interval_seconds if self.timed else 0.0

    def critical_path_seconds(self, step_seconds: tuple[float, ...] | None = None) -> float:
        """Return the run time of the longest chain of dependent steps, in seconds.

        :param step_seconds: run time of a task of each step, None for the caller's estimates
        """
        seconds = step_seconds or self.declared_seconds()
        ends: list[float] = []
        for number, step in enumerate(self.steps):
            start = max((ends[earlier] for earlier in step.after if earlier < number), default=0.0)
            ends.append(start + seconds[number])
        return max(ends, default=0.0)

    def declared_seconds(self) -> tuple[float, ...]:
        """Return the caller's run time estimate for a task of each step, in seconds."""
        return tuple(step.estimate_seconds for step in self.steps)
