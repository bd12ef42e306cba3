"""State machine of a job: which tasks are runnable and how ended runs change its state."""

from __future__ import annotations

import enum
from collections.abc import Iterator

import attrs

from .model import JobKey, JobSpec, Step, TaskId

__all__ = ["EndKind", "Job", "JobState"]


class JobState(enum.StrEnum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Return whether the state can no longer change."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


class EndKind(enum.StrEnum):
    """How a run of a task ended.

    ``BROKEN``: another task of the gang ended. ``ALONE``: not all tasks of the gang joined.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.define(eq=False)
class Job:
    """An accepted job and its progress.

    :param key: queue and identifier of the job
    :param spec: specification as submitted
    :param pool: pool whose workers run it, fixed when it was accepted
    :param team: team that it is charged to, empty for none
    :param max_attempts: number of failed runs of one task after which the job fails
    :param accepted_at: time of acceptance, in seconds since 1970
    :param priority: jobs with a lower value start first, 0 is the highest priority
    :param due_by: time by which it should end, in seconds since 1970
    :param behind: whether it was accepted although it will end late, to run only on capacity that
        other jobs leave free
    :param done: completed tasks
    :param failures: numbers of the failed runs by task, those of a gang by its first task
    :param crashes: crashes of workers that a task may have caused, those of a gang by its first
        task: by run number, how much of the crash is attributed to the task, at most 1
    :param cancelled: whether it was cancelled
    :param failed: whether a task reached the maximum number of failed runs, or crashed its workers
    :param started: whether a worker has told of the start of any task
    :param ended_at: time when it ended, in seconds since 1970, 0 until then
    """

    key: JobKey
    spec: JobSpec
    pool: str
    team: str = ""
    max_attempts: int = 1
    accepted_at: float = 0.0
    priority: int = 0
    due_by: float = 0.0
    behind: bool = False
    done: set[TaskId] = attrs.field(factory=set)
    failures: dict[TaskId, set[int]] = attrs.field(factory=dict)
    crashes: dict[TaskId, dict[int, float]] = attrs.field(factory=dict)
    cancelled: bool = False
    failed: bool = False
    started: bool = False
    ended_at: float = 0.0
    _remaining: dict[tuple[int, int], int] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        for occurrence in range(max(1, self.spec.occurrences)):
            for number, step in enumerate(self.spec.steps):
                self._remaining[occurrence, number] = step.count
        for task in self.done:
            self._remaining[task.occurrence, task.step] -= 1

    @property
    def state(self) -> JobState:
        """Return the state to report to callers."""
        if self.cancelled:
            return JobState.CANCELLED
        if self.failed:
            return JobState.FAILED
        if not any(self._remaining.values()):
            return JobState.COMPLETED
        return JobState.RUNNING if self.started else JobState.QUEUED

    def remaining_tasks(self, number: int) -> int:
        """Return the number of uncompleted tasks of a step of a job that is not timed."""
        return self._remaining[0, number]

    def step_of(self, task: TaskId) -> Step:
        """Return the step of a task."""
        return self.spec.steps[task.step]

    def attempt_unit(self, task: TaskId) -> TaskId:
        """Return the key for a task's failures and checkpoints: for a gang, its first task."""
        return task._replace(position=0) if self.step_of(task).gang else task

    def has_task(self, task: TaskId) -> bool:
        """Return whether a task belongs to this job."""
        return (
            task.job_id == self.key.job_id
            and (task.occurrence, task.step) in self._remaining
            and 0 <= task.position < self.spec.steps[task.step].count
        )

    def needs_run(self, task: TaskId) -> bool:
        """Return whether a run of a task can still contribute to the job."""
        return not self.state.is_final and self.has_task(task) and task not in self.done

    def runnable_steps(self, now: float) -> Iterator[tuple[int, int]]:
        """Yield occurrence and number of each step with uncompleted tasks that may run.

        :param now: wall-clock time, in seconds since 1970
        """
        if not self.state.is_final:
            yield from self._open_steps(now)

    def _open_steps(self, now: float) -> Iterator[tuple[int, int]]:
        for (occurrence, number), remaining in self._remaining.items():
            if remaining and self.spec.start_time(occurrence) <= now:
                step = self.spec.steps[number]
                if not any(self._remaining.get((occurrence, earlier)) for earlier in step.after):
                    yield occurrence, number

    def blocked_steps(self, now: float) -> Iterator[tuple[int, int]]:
        """Yield number and count of uncompleted tasks of each step that waits for earlier ones.

        :param now: wall-clock time, in seconds since 1970
        """
        open_steps = set(self._open_steps(now))
        for (occurrence, number), remaining in self._remaining.items():
            is_due = self.spec.start_time(occurrence) <= now
            if remaining and is_due and (occurrence, number) not in open_steps:
                yield number, remaining

    def runnable_tasks(self, now: float) -> Iterator[TaskId]:
        """Yield the uncompleted tasks that may run, including those that are running."""
        if not self.state.is_final:
            yield from self.unfinished_tasks(now)

    def unfinished_tasks(self, now: float) -> Iterator[TaskId]:
        """Yield the uncompleted tasks that may run, or might if the job had not ended."""
        for occurrence, number in self._open_steps(now):
            for position in range(self.spec.steps[number].count):
                task = TaskId(self.key.job_id, occurrence, number, position)
                if task not in self.done:
                    yield task

    def note_end(self, task: TaskId, number: int, kind: EndKind, now: float) -> bool:
        """Record the end of a task's run; repeated calls for the same run have no effect.

        :param number: number of the run
        :param now: wall-clock time, in seconds since 1970
        :return: whether the progress changed and must be stored
        """
        if not self.needs_run(task):
            return False
        step = self.step_of(task)
        if kind is EndKind.DONE and not step.lasting:
            self._mark_done(task, step)
        elif kind is EndKind.FAILED and not step.lasting:
            failed_runs = self.failures.setdefault(self.attempt_unit(task), set())
            if number in failed_runs:
                return False
            failed_runs.add(number)
            self.failed = len(failed_runs) >= self.max_attempts
        else:
            return False
        if self.state.is_final:
            self.ended_at = now
        return True

    def note_crash(self, task: TaskId, number: int, share: float) -> bool:
        """Record a crash of the worker of a task's run; return whether it was not recorded yet.

        :param number: number of the run
        :param share: how much of the crash is attributed to the task, at most 1
        """
        shares = self.crashes.setdefault(self.attempt_unit(task), {})
        if number in shares:
            return False
        shares[number] = share
        return True

    def suspicion(self, task: TaskId) -> float:
        """Return how many crashes of workers are attributed to a task."""
        return sum(self.crashes.get(self.attempt_unit(task), {}).values())

    def fail(self, now: float) -> None:
        """Fail the job, unless it has ended.

        :param now: wall-clock time, in seconds since 1970
        """
        if not self.state.is_final:
            self.failed = True
            self.ended_at = now

    def cancel(self, now: float) -> bool:
        """Cancel the job; return whether its state changed."""
        if self.state.is_final:
            return False
        self.cancelled = True
        self.ended_at = now
        return True

    def _mark_done(self, task: TaskId, step: Step) -> None:
        tasks = [task]
        if step.gang:
            tasks = [task._replace(position=position) for position in range(step.count)]
        for done_task in tasks:
            if done_task not in self.done:
                self.done.add(done_task)
                self._remaining[done_task.occurrence, done_task.step] -= 1
