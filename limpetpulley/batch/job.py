"""The state machine of a job: which tasks may start, and what their ends mean."""

from __future__ import annotations

import enum
from collections.abc import Iterator

import attrs

from .model import JobKey, JobSpec, Step, TaskId

__all__ = ["EndKind", "Job", "JobState"]


class JobState(enum.StrEnum):
    """What a caller is told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Return whether the state is the last one."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


class EndKind(enum.StrEnum):
    """How a run of a task ended.

    ``BROKEN`` is the end of another member of the gang, ``ALONE`` a gang that did not meet.
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

    :param key: its name
    :param spec: what was handed in
    :param pool: pool whose workers run it, fixed when it was accepted
    :param team: team that it is charged to, empty for none
    :param max_attempts: failed runs of a task after which the job has failed
    :param accepted_at: when it was accepted, in seconds since 1970
    :param done: tasks that ended as done
    :param priority: 0 comes first
    :param due_by: when it should have ended, in seconds since 1970
    :param behind: whether it was accepted as late, to use the room that other jobs leave
    :param failures: numbers of the failed runs by task
    :param cancelled: whether it was cancelled
    :param failed: whether a task failed too often
    :param started: whether any task was ever started
    :param ended_at: when the last end was noted, in seconds since 1970, 0 while it goes on
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
    cancelled: bool = False
    failed: bool = False
    started: bool = False
    ended_at: float = 0.0
    _left: dict[tuple[int, int], int] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        for occurrence in range(max(1, self.spec.occurrences)):
            for number, step in enumerate(self.spec.steps):
                self._left[occurrence, number] = step.count
        for task in self.done:
            self._left[task.occurrence, task.step] -= 1

    @property
    def state(self) -> JobState:
        """Return what a caller is told."""
        if self.cancelled:
            return JobState.CANCELLED
        if self.failed:
            return JobState.FAILED
        if not any(self._left.values()):
            return JobState.COMPLETED
        return JobState.RUNNING if self.started else JobState.QUEUED

    def remaining_tasks(self, number: int) -> int:
        """Return how many tasks of a step are not done, in a job that is not timed."""
        return self._left[0, number]

    def step_of(self, task: TaskId) -> Step:
        """Return the step of a task."""
        return self.spec.steps[task.step]

    def attempt_unit(self, task: TaskId) -> TaskId:
        """Return what fails and saves progress as one: the task, or the first of its gang."""
        return task._replace(position=0) if self.step_of(task).gang else task

    def has_task(self, task: TaskId) -> bool:
        """Return whether a task is one of this job's."""
        return (
            task.job_id == self.key.job_id
            and (task.occurrence, task.step) in self._left
            and 0 <= task.position < self.spec.steps[task.step].count
        )

    def needs_run(self, task: TaskId) -> bool:
        """Return whether a run of a task may still be of use."""
        return not self.state.is_final and self.has_task(task) and task not in self.done

    def runnable_steps(self, now: float) -> Iterator[tuple[int, int]]:
        """Yield occurrence and number of each step whose tasks may run.

        :param now: time of day, in seconds since 1970
        """
        if self.state.is_final:
            return
        for (occurrence, number), remaining_tasks in self._left.items():
            if remaining_tasks and self.spec.due(occurrence) <= now:
                step = self.spec.steps[number]
                if not any(self._left.get((occurrence, before)) for before in step.after):
                    yield occurrence, number

    def runnable_tasks(self, now: float) -> Iterator[TaskId]:
        """Yield the tasks that may run and are not done, running ones included."""
        for occurrence, number in self.runnable_steps(now):
            for position in range(self.spec.steps[number].count):
                task = TaskId(self.key.job_id, occurrence, number, position)
                if task not in self.done:
                    yield task

    def note_end(self, task: TaskId, number: int, kind: EndKind, now: float) -> bool:
        """Note the end of a task's run; one that was noted before changes nothing.

        :param number: number of the run
        :param now: time of day, in seconds since 1970
        :return: whether the progress changed and has to be stored
        """
        if not self.needs_run(task):
            return False
        step = self.step_of(task)
        if kind is EndKind.DONE and not step.lasting:
            self._note_done(task, step)
        elif kind is EndKind.FAILED and not step.lasting:
            numbers = self.failures.setdefault(self.attempt_unit(task), set())
            if number in numbers:
                return False
            numbers.add(number)
            self.failed = len(numbers) >= self.max_attempts
        else:
            return False
        if self.state.is_final:
            self.ended_at = now
        return True

    def cancel(self, now: float) -> bool:
        """Cancel the job; return whether that changed its state."""
        if self.state.is_final:
            return False
        self.cancelled = True
        self.ended_at = now
        return True

    def _note_done(self, task: TaskId, step: Step) -> None:
        tasks = [task]
        if step.gang:
            tasks = [task._replace(position=position) for position in range(step.count)]
        for each in tasks:
            if each not in self.done:
                self.done.add(each)
                self._left[each.occurrence, each.step] -= 1
