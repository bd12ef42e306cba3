"""Clocks that decisions are made against."""

from __future__ import annotations

import time
from typing import Protocol

import attrs

__all__ = ["Clock", "SystemClock", "ManualClock"]


class Clock(Protocol):
    """A clock that only moves forward and counts the time a process was paused."""

    def now(self) -> float:
        """Return the time in seconds since an arbitrary start."""


class SystemClock:
    """The machine's clock since boot, suspended time included."""

    def now(self) -> float:
        """Return the time in seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class ManualClock:
    """A clock that stands still until it is moved.

    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.now()
    1.5
    """

    seconds: float = 0.0

    def now(self) -> float:
        """Return the time that was set, in seconds."""
        return self.seconds

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: how far, not negative
        :raises ValueError: if the clock would move back
        """
        if seconds < 0:
            raise ValueError("a clock does not move back")
        self.seconds += seconds
