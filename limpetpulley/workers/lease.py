"""Lease on the runs of a worker, measured by the worker's own clock."""

from __future__ import annotations

import math

import attrs

__all__ = ["MIN_CLOCK_RATE", "EarlierLease", "WorkerLease"]

#: lowest rate of a worker's clock relative to real time, as the platform specifies for workers
MIN_CLOCK_RATE = 0.98


@attrs.define
class WorkerLease:
    """Lease on all runs of one worker; the worker kills them when it expires.

    A worker's clock has an arbitrary origin and may be slow. The owner learns it from the worker's
    replies: when a reply arrives, the worker's time is at least the time in the reply.

    :param worker_seconds: the worker's time in its last reply, None before the first
    :param received_at: local time when that reply arrived
    :param until_seconds: latest worker time until which any lease has allowed runs to live
    :param unseen_until: local time until which a call may have allowed runs to live on an
        incarnation whose clock is not known
    """

    worker_seconds: float | None = None
    received_at: float = 0.0
    until_seconds: float = 0.0
    unseen_until: float = -math.inf

    def record_reply(self, worker_seconds: float, now: float) -> None:
        """Record the worker's time in a reply that has just arrived.

        Replies may arrive out of order, so a reply older than the last one is ignored.
        """
        if self.worker_seconds is None or worker_seconds >= self.min_worker_time(now):
            self.worker_seconds = worker_seconds
            self.received_at = now

    def min_worker_time(self, now: float) -> float:
        """Return a lower bound of the worker's current time, 0 if its clock is not known."""
        if self.worker_seconds is None:
            return 0.0
        return self.worker_seconds + (now - self.received_at) * MIN_CLOCK_RATE

    def extend(self, now: float, length_seconds: float) -> float:
        """Extend the lease; return the worker time until which runs may now live.

        No more than the length is requested by the worker's clock, so that the next owner knows how
        long it lasts at the most.

        :param length_seconds: length of the lease, in seconds
        """
        assert self.worker_seconds is not None, "lease extended before the worker's clock is known"
        until = self.min_worker_time(now) + length_seconds
        self.until_seconds = max(self.until_seconds, until)
        return until

    def assume_extended(self, length_seconds: float) -> None:
        """Assume that the lease was extended, for example by an earlier owner of the pool.

        :param length_seconds: longest possible lease from the last reply on, in seconds
        """
        assert self.worker_seconds is not None, "lease assumed before the worker's clock is known"
        self.until_seconds = max(self.until_seconds, self.worker_seconds + length_seconds)

    def note_unseen(self, now: float, length_seconds: float) -> None:
        """Note that a call has reached an incarnation whose clock may not be the known one.

        :param length_seconds: longest lease that the call may have given, in seconds
        """
        self.unseen_until = max(self.unseen_until, now + length_seconds / MIN_CLOCK_RATE)

    def has_lapsed(self, now: float) -> bool:
        """Return whether the lease has certainly expired, so that all runs have been killed."""
        if self.worker_seconds is None or now < self.unseen_until:
            return False
        return self.min_worker_time(now) >= self.until_seconds

    def latest_extension(self, length_seconds: float) -> float:
        """Return the latest local time at which a call can have extended the lease.

        :param length_seconds: lease that each call requests, in seconds
        """
        assert self.worker_seconds is not None, "no lease before the worker's clock is known"
        left_seconds = (self.until_seconds - self.worker_seconds) / MIN_CLOCK_RATE
        return self.received_at + left_seconds - length_seconds

    def reset(self) -> None:
        """Discard the worker's time and lease, because its new incarnation has a new clock."""
        self.worker_seconds = None
        self.until_seconds = 0.0


@attrs.frozen
class EarlierLease:
    """Lease that calls meant for earlier incarnations of a worker may still give its current one.

    :param until_seconds: latest worker time that these calls request; each incarnation's clock
        starts anew
    :param expired_at: local time from which on no run can live under it
    """

    until_seconds: float
    expired_at: float

    def has_lapsed(self, lease: WorkerLease, now: float) -> bool:
        """Return whether no run can live under it any more.

        :param lease: the current incarnation's lease
        """
        return now >= self.expired_at or lease.min_worker_time(now) >= self.until_seconds
