"""Delays before a task is started again, so that one that never succeeds starts rarely. No I/O.

The delay holds for the task alone. It is shorter than the time for which an accepted job may have
nothing running.
"""

from __future__ import annotations

import math

import attrs

from ..batch import TaskId

__all__ = ["CRASH_PACE", "FAILURE_PACE", "Pace", "RetryDelays"]

#: time after a start within which a setback is counted with those before, in seconds
SERIES_SECONDS = 10.0


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
        self.numbers: dict[TaskId, int] = {}

    def note_setback(
        self, unit: TaskId, number: int, now: float, pace: Pace = FAILURE_PACE
    ) -> None:
        """Delay the next start of a task.

        :param number: number of the run; the members of a gang count once
        :param now: local time
        """
        if number <= self.numbers.get(unit, 0):
            return
        self.numbers[unit] = number
        in_series = now - self.due_at.get(unit, -math.inf) < SERIES_SECONDS
        self.setbacks[unit] = self.setbacks.get(unit, 0) + 1 if in_series else 1
        self.due_at[unit] = now + pace.delay(self.setbacks[unit])

    def is_due(self, unit: TaskId, now: float) -> bool:
        """Return whether a task may be started again."""
        return self.due_at.get(unit, now) <= now

    def forget_job(self, job_id: str) -> None:
        """Forget the tasks of a job that has ended or is removed."""
        for by_task in (self.setbacks, self.due_at, self.numbers):
            for unit in [unit for unit in by_task if unit.job_id == job_id]:
                del by_task[unit]
