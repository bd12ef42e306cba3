"""Recent crashes of a pool's workers: how often they crash for reasons other than a start. No I/O.

A crash with which no run had just started, or after which all tasks that had just started were
cleared, was caused by no start. Where such crashes are frequent, some follow a start by chance, so
that a crash says less about the tasks that had just started. The history is not stored: a new owner
takes a crash in full until it has seen others.
"""

from __future__ import annotations

import math

import attrs

from ..batch import TaskId

__all__ = ["CrashHistory"]

#: time for which a crash is remembered, in seconds
HISTORY_SECONDS = 10.0
#: time around a start in which a crash of its worker may be taken for its effect, in seconds: until
#: the worker has outlived the start, and before it, until a crashed worker is known to be silent
EXPOSURE_SECONDS = 1.0
#: chance of a crash for another reason during the exposure of a start up to which a crash counts in
#: full
NEGLIGIBLE_CHANCE = 0.01


@attrs.define
class _Crash:
    """A crash of a worker.

    :param at: local time at which it became known
    :param suspects: tasks, or first tasks of gangs, that may have caused it, with the number of
        their run
    """

    at: float
    suspects: dict[TaskId, int]


class CrashHistory:
    """The recent crashes of a pool's workers, each with the tasks that may have caused it."""

    def __init__(self) -> None:
        self.crashes: list[_Crash] = []

    def has_suspects(self, now: float) -> bool:
        """Return whether tasks may have caused any of the crashes.

        :param now: local time
        """
        return any(crash.suspects for crash in self._recent(now))

    def note_crash(self, suspects: dict[TaskId, int], now: float) -> None:
        """Add a crash.

        :param suspects: tasks that may have caused it, with the number of their run
        :param now: local time
        """
        self.crashes = self._recent(now)
        self.crashes.append(_Crash(now, suspects))

    def clear(self, unit: TaskId, number: int) -> None:
        """Note that a worker has outlived a later start of a task: it has caused no crash before.

        :param number: number of the run
        """
        for crash in self.crashes:
            if crash.suspects.get(unit, number) < number:
                del crash.suspects[unit]

    def evidence(self, workers: int, starts: int, now: float) -> float:
        """Return how much a crash says about what had just started, from 0 to 1.

        That is the logarithm of the chance that another cause coincides with a start, relative to
        that of a negligible chance, so that the evidence of several crashes adds up.

        :param workers: number of the pool's listed workers
        :param starts: number of workers on which the suspect was started at once
        :param now: local time
        """
        # Workers that crash at once have one cause. A single event is no rate.
        events = {crash.at for crash in self._recent(now) if not crash.suspects}
        rate = max(0, len(events) - 1) / HISTORY_SECONDS / max(1, workers)
        chance = max(NEGLIGIBLE_CHANCE, min(1.0, rate * EXPOSURE_SECONDS * starts))
        return math.log(chance) / math.log(NEGLIGIBLE_CHANCE)

    def _recent(self, now: float) -> list[_Crash]:
        return [crash for crash in self.crashes if now - crash.at <= HISTORY_SECONDS]
