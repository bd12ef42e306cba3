"""Turns of the pools that wait for a larger part of a team's limit. No I/O.

Two pools could otherwise hold parts that are too small for their tasks, and each wait for the rest.
One record for each team in the store lists the waiting pools. A pool with a task that does not fit
beside what lasts in its share adds itself at the end, with the share that it needs; the first one
collects what the others leave to it, and removes itself once its task fits. If the first one gets
nothing more for a while, because its owner is gone or long tasks run elsewhere, another pool with
blocked tasks removes it; its owner adds it again at the end. A pool whose own tasks will make room
adds itself without a need: the others then keep no more than they use.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from ..batch import Amount
from .share_records import (
    NOTHING,
    QueueChange,
    QueuedWork,
    ResourceTriple,
    ShareRecord,
    fits_limited,
    larger,
    triple,
)
from .shares import TeamShares

__all__ = ["ShareQueue"]

#: time for which the first pool may get nothing more before its turn ends, in seconds
TURN_SECONDS = 1.6
#: time for which a task is blocked before its pool asks for what the others do not use, in seconds
BLOCKED_SECONDS = 0.5
#: time after a pool received its part in which the next turn does not take it back, in seconds
GRANT_SECONDS = 0.5


@attrs.frozen
class _Sought:
    """The task or gang for which a pool is in the queue.

    :param amount: what it needs to start
    :param count: number of ready ones of this size
    """

    amount: Amount
    count: int


@attrs.frozen
class _Observed:
    """A state with the local time since which it has not changed."""

    state: object
    since: float


class ShareQueue:
    """Place of one pool in the queues for its teams' limits.

    :param shares: the pool's shares; their grants are modified here
    """

    def __init__(self, shares: TeamShares):
        self.shares = shares
        self.sought: dict[str, _Sought] = {}
        self.first: dict[str, _Observed] = {}
        self.blocked: dict[str, _Observed] = {}
        self.grant_ends: dict[str, float] = {}

    def plan(
        self, usage: Mapping[str, Amount], queued: Mapping[str, QueuedWork], now: float
    ) -> list[QueueChange]:
        """Return the changes of queues that this pool needs.

        :param usage: what runs here, or may run unseen, by team
        :param queued: ready tasks and gangs by team
        :param now: local time
        """
        self.grant_ends = {team: end for team, end in self.grant_ends.items() if now < end}
        changes = []
        for team in self.shares.limits:
            record = self.shares.records.get(team, ShareRecord())
            waiting = self._plan_team(
                team, record, usage.get(team, Amount()), queued.get(team, QueuedWork()), now
            )
            if list(waiting.items()) != list(record.waiting.items()):
                changes.append(QueueChange(team, record.waiting_revision, waiting))
        self.shares.granted = set(self.grant_ends)
        return changes

    def _plan_team(
        self, team: str, record: ShareRecord, usage: Amount, work: QueuedWork, now: float
    ) -> dict[str, ResourceTriple]:
        pool, waiting = self.shares.pool, dict(record.waiting)
        overdue = self._overdue_first(team, record, now)
        is_blocked = bool(self._blocked_tasks(team, usage, work))
        blocked_seconds = _unchanged_seconds(self.blocked, team, is_blocked, now)
        present = waiting.get(pool, NOTHING)
        if any(present) and team in self.sought:
            needed = self._still_needed(team, usage, work, now)
        else:
            needed = self._find_sought(team, usage, work)
        if needed is not None:
            if not any(present):
                waiting.pop(pool, None)
            waiting[pool] = larger(needed, present)
        else:
            self.sought.pop(team, None)
            waiting.pop(pool, None)
            if is_blocked and blocked_seconds >= BLOCKED_SECONDS:
                waiting = {**record.waiting, pool: NOTHING}
        if overdue is not None and (is_blocked or needed is not None):
            del waiting[overdue]
        return waiting

    def _overdue_first(self, team: str, record: ShareRecord, now: float) -> str | None:
        """Return another pool that is first and has received nothing more for a whole turn."""
        first = record.first
        received = first and (first, record.waiting[first], record.pools.get(first, NOTHING))
        seconds = _unchanged_seconds(self.first, team, received, now)
        return first if first != self.shares.pool and seconds >= TURN_SECONDS else None

    def _blocked_tasks(self, team: str, usage: Amount, work: QueuedWork) -> list[Amount]:
        """Return what each task needs that is blocked by what other pools hold or wait for."""
        limit = triple(self.shares.limits[team])
        available = larger(self.shares.usable(team), self.shares.attainable(team))
        return [
            amount
            for amount in work.startable
            if fits_limited(triple(usage + amount), limit, limit)
            and not fits_limited(triple(usage + amount), available, limit)
        ]

    def _find_sought(self, team: str, usage: Amount, work: QueuedWork) -> ResourceTriple | None:
        """Choose a task for which the pool's own tasks cannot make room.

        :returns: the share that it needs, None if there is no such task
        """
        share, limit = self.shares.share(team), triple(self.shares.limits[team])
        for amount in self._blocked_tasks(team, usage, work):
            if not fits_limited(triple(work.lasting + amount), share, limit):
                self.sought[team] = _Sought(amount, work.units.get(amount, 1))
                return triple(usage + amount)
        return None

    def _still_needed(
        self, team: str, usage: Amount, work: QueuedWork, now: float
    ) -> ResourceTriple | None:
        """Return the share that the sought task needs; None if it can start or waits no more."""
        sought, limit = self.sought[team], triple(self.shares.limits[team])
        count, needed = work.units.get(sought.amount, 0), triple(usage + sought.amount)
        self.sought[team] = _Sought(sought.amount, max(count, sought.count))
        if (
            sought.amount not in work.startable
            or count < sought.count
            or not fits_limited(needed, limit, limit)
        ):
            return None
        if fits_limited(needed, self.shares.usable(team), limit):
            self.grant_ends[team] = now + GRANT_SECONDS
            return None
        return needed


def _unchanged_seconds(
    observations: dict[str, _Observed], team: str, state: object, now: float
) -> float:
    """Note a team's state; return for how long it has been the same, in seconds."""
    observed = observations.get(team)
    if observed is None or observed.state != state:
        observed = observations[team] = _Observed(state, now)
    return now - observed.since
