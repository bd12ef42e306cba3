"""Delays before a task is started again, so that one that never succeeds starts rarely. No I/O.

The delay holds for the task alone. It is shorter than the time for which an accepted job may have
nothing running.
"""

from __future__ import annotations

import attrs

from ..batch import TaskId

__all__ = ["CRASH_PACE", "FAILURE_PACE", "Pace", "RetryDelays"]

#: time after which a run that fails is not counted with the failures before, in seconds
SOUND_RUN_SECONDS = 10.0


@attrs.frozen
class Pace:
    """Exponential delays. The first retry is not delayed.

    :param first_seconds: delay before the second retry, in seconds; doubled with each further one
    :param longest_seconds: longest delay, in seconds
    """

    first_seconds: float
    longest_seconds: float

    def delay(self, setbacks: int) -> float:
        """Return the delay after a number of setbacks in a row, in seconds."""
        if setbacks < 2:
            return 0.0
        return min(self.longest_seconds, self.first_seconds * 2 ** min(setbacks - 2, 16))


#: after runs that failed, were refused or were lost with a worker that may have crashed
FAILURE_PACE = Pace(0.25, 2.0)
#: after crashes of the workers of a lasting task, each of which costs the worker's other runs
CRASH_PACE = Pace(2.0, 4.0)


class RetryDelays:
    """Times before which tasks, or first tasks of gangs, are not started again."""

    def __init__(self) -> None:
        self.setbacks: dict[TaskId, int] = {}
        self.due_at: dict[TaskId, float] = {}

    def note_setback(
        self, unit: TaskId, now: float, ran_seconds: float = 0.0, pace: Pace = FAILURE_PACE
    ) -> None:
        """Delay the next start of a task.

        :param now: local time
        :param ran_seconds: how long the run lasted, in seconds
        """
        before = 0 if ran_seconds >= SOUND_RUN_SECONDS else self.setbacks.get(unit, 0)
        self.setbacks[unit] = before + 1
        self.due_at[unit] = now + pace.delay(before + 1)

    def is_due(self, unit: TaskId, now: float) -> bool:
        """Return whether a task may be started again."""
        return self.due_at.get(unit, now) <= now

    def forget_job(self, job_id: str) -> None:
        """Forget the tasks of a job that has ended."""
        for by_task in (self.setbacks, self.due_at):
            for unit in [unit for unit in by_task if unit.job_id == job_id]:
                del by_task[unit]
