"""How long the runs on a worker may live, by the worker's own clock."""

from __future__ import annotations

import attrs

__all__ = ["MIN_CLOCK_RATE", "WorkerLease"]

#: slowest rate of a worker's clock; from the platform's description of workers
MIN_CLOCK_RATE = 0.98


@attrs.define
class WorkerLease:
    """Lease on everything that runs on one worker.

    A worker's clock has an arbitrary start and may be slow. What is known of it comes from its
    answers: when one arrives, the worker's time is at least what the answer says.

    :param worker_seconds: the worker's time in its last answer, None before the first
    :param local_seconds: local time when that answer arrived
    :param until_seconds: latest worker time that runs were ever allowed to live to
    """

    worker_seconds: float | None = None
    local_seconds: float = 0.0
    until_seconds: float = 0.0

    def record_reply(self, worker_seconds: float, now: float) -> None:
        """Note the worker's time in an answer that arrived just now.

        Answers overtake each other, so an older one than known changes nothing.
        """
        if self.worker_seconds is None or worker_seconds >= self.least_time(now):
            self.worker_seconds = worker_seconds
            self.local_seconds = now

    def least_time(self, now: float) -> float:
        """Return a time that the worker's clock has certainly reached."""
        if self.worker_seconds is None:
            return 0.0
        return self.worker_seconds + (now - self.local_seconds) * MIN_CLOCK_RATE

    def extend(self, now: float, length_seconds: float) -> float:
        """Return the worker time that runs may live to from now on.

        :param length_seconds: length of the lease
        """
        assert self.worker_seconds is not None, "extended before the worker's clock is known"
        until = self.worker_seconds + (now - self.local_seconds) + length_seconds
        self.until_seconds = max(self.until_seconds, until)
        return until

    def assume_extended(self, length_seconds: float) -> None:
        """Note that runs may live for a time, because another owner allowed it.

        :param length_seconds: longest time from the last answer
        """
        assert self.worker_seconds is not None, "allowed before the worker's clock is known"
        self.until_seconds = max(self.until_seconds, self.worker_seconds + length_seconds)

    def has_lapsed(self, now: float) -> bool:
        """Return whether everything that was started there has certainly been killed."""
        return self.worker_seconds is not None and self.least_time(now) >= self.until_seconds

    def reset(self) -> None:
        """Forget the clock, because a new incarnation of the worker has a new one."""
        self.worker_seconds = None
        self.until_seconds = 0.0
