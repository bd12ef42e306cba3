"""Monotonic clocks."""

from __future__ import annotations

import time
from typing import Protocol

import attrs

__all__ = ["Clock", "SystemClock", "ManualClock"]


class Clock(Protocol):
    """A monotonic clock that includes the time during which the process was suspended."""

    def now(self) -> float:
        """Return the time in seconds since an arbitrary origin."""


class SystemClock:
    """Time since the machine booted, including time in suspension."""

    def now(self) -> float:
        """Return the time in seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class ManualClock:
    """A clock that advances only by calls of :meth:`advance`, for tests.

    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.now()
    1.5
    """

    seconds: float = 0.0

    def now(self) -> float:
        """Return the current time in seconds."""
        return self.seconds

    def advance(self, seconds: float) -> None:
        """Advance the clock.

        :param seconds: time to advance by, not negative
        :raises ValueError: if the time is negative
        """
        if seconds < 0:
            raise ValueError("a monotonic clock cannot go backwards")
        self.seconds += seconds
