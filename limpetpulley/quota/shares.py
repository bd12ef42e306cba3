"""Division of a team's fleet-wide limit among pools that have different owners. No I/O.

One record for each team in the store states how much each pool may have running. An owner changes
only its own pool's share, by compare-and-swap on the record's revision, and never so that the sum
exceeds the limit; so the limit holds through takeovers and lost replies. Designed for bursts of one
team that reach its limit before they fill a pool.

A pool keeps nothing into which none of its waiting tasks fits, and leaves to the first pool of the
team's queue what that one needs; see :mod:`.share_queue`. Only the first may hold a part that is
still too small for its task.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from ..batch import Amount
from .share_records import (
    NOTHING,
    QueuedWork,
    ResourceTriple,
    ShareChange,
    ShareRecord,
    fits_limited,
    larger,
    smaller,
    triple,
)

__all__ = ["ShareChange", "ShareRecord", "TeamShares"]

#: fraction of the limit that is held beyond the need, so that small changes need no write
HEADROOM_FRACTION = 0.04
#: excess over the need, as a fraction of the limit, above which a share is reduced though no other
#: pool waits
EXCESS_FRACTION = 0.15


class TeamShares:
    """Shares of the teams in one pool: what each may have running there.

    :param pool: the pool's name
    """

    def __init__(self, pool: str):
        self.pool = pool
        self.limits: dict[str, Amount] = {}
        self.records: dict[str, ShareRecord] = {}
        # The smallest share of this pool in changes that may have been applied, or may still be,
        # with the revision that the record then had.
        self.pending: dict[str, ShareRecord] = {}
        # Teams of which this pool has just received its part: the next pool's turn does not take it
        # back before a task can start.
        self.granted: set[str] = set()

    def set_limits(self, limits: Mapping[str, Amount]) -> None:
        """Set the teams' upper limits; a dimension of 0 is unlimited."""
        self.limits = {team: limit for team, limit in limits.items() if any(triple(limit))}

    def mark_pending(self, changes: Iterable[ShareChange]) -> None:
        """Note changes that are about to be written.

        Until the record is known to be newer, the pool uses the smaller one of both shares: another
        pool may already have taken what this one has returned.
        """
        for change in changes:
            share = change.pools.get(self.pool, (0, 0, 0))
            if self._is_pending(change.team, change.revision):
                share = smaller(share, self.pending[change.team].pools[self.pool])
            self.pending[change.team] = ShareRecord(change.revision, {self.pool: share})

    def _is_pending(self, team: str, revision: int) -> bool:
        pending = self.pending.get(team)
        return pending is not None and pending.revision == revision

    def allows(self, team: str, running: Amount, more: Amount) -> bool:
        """Return whether a team may run more in this pool.

        :param running: what the team runs in this pool
        :param more: what it would run in addition
        """
        limit = self.limits.get(team)
        if limit is None:
            return True
        return fits_limited(triple(running + more), self.usable(team), triple(limit))

    def fits_limit(self, team: str, amount: Amount) -> bool:
        """Return whether an amount is within a team's limit over all pools."""
        limit = triple(self.limits.get(team, Amount()))
        return fits_limited(triple(amount), limit, limit)

    def share(self, team: str) -> ResourceTriple:
        """Return what a team may run here, scaled down while the shares exceed a lowered limit."""
        record = self.records.get(team, ShareRecord())
        own_share = record.pools.get(self.pool, (0, 0, 0))
        if self._is_pending(team, record.revision):
            own_share = smaller(own_share, self.pending[team].pools[self.pool])
        limit = triple(self.limits[team])
        sums = [sum(row[dimension] for row in record.pools.values()) for dimension in range(3)]
        scaled = [
            own if total <= maximum or not maximum else int(own * maximum / total)
            for own, maximum, total in zip(own_share, limit, sums, strict=True)
        ]
        return scaled[0], scaled[1], scaled[2]

    def holds_any(self) -> bool:
        """Return whether this pool holds a share of any team's limit."""
        records = (self.records.get(team, ShareRecord()) for team in self.limits)
        return any(any(record.pools.get(self.pool, NOTHING)) for record in records)

    def usable(self, team: str) -> ResourceTriple:
        """Return what a team may run here, less what the first pool of its queue still needs."""
        share, record = self.share(team), self.records.get(team, ShareRecord())
        if team in self.granted or record.unknown - {self.pool}:
            return share
        if not any(self._reserved(team, record)):
            return share
        return smaller(share, self.attainable(team))

    def attainable(self, team: str) -> ResourceTriple:
        """Return the largest share that this pool can have now.

        The other pools keep theirs, and the first of the queue gets what it still needs.
        """
        record, limit = self.records.get(team, ShareRecord()), triple(self.limits[team])
        held, reserved = self._held_by_others(record, limit), self._reserved(team, record)
        left = [
            maximum - others - first
            for maximum, others, first in zip(limit, held, reserved, strict=True)
        ]
        return larger((left[0], left[1], left[2]), NOTHING)

    def _reserved(self, team: str, record: ShareRecord) -> ResourceTriple:
        """Return what another pool that is first in the queue needs beyond its share."""
        first = record.first
        if first is None or first == self.pool:
            return NOTHING
        needed = smaller(record.waiting[first], triple(self.limits[team]))
        share = record.pools.get(first, NOTHING)
        missing = [most - own for most, own in zip(needed, share, strict=True)]
        return larger((missing[0], missing[1], missing[2]), NOTHING)

    def limit_cores(self, team: str) -> float:
        """Return the processors of a team's limit, infinite if it has none."""
        limit = self.limits.get(team)
        return limit.cpu_millicores / 1000 if limit and limit.cpu_millicores else float("inf")

    def available_cores(self, team: str) -> float:
        """Return the processors that a team could use here while other pools keep their shares."""
        limit = self.limits.get(team)
        if limit is None or not limit.cpu_millicores:
            return float("inf")
        record = self.records.get(team, ShareRecord())
        if record.unknown - {self.pool}:
            return self.share(team)[0] / 1000
        others = self._held_by_others(record, triple(limit))[0]
        return max(0, limit.cpu_millicores - others) / 1000

    def _held_by_others(self, record: ShareRecord, limit: ResourceTriple) -> ResourceTriple:
        """Return what other pools may run, all of the limit if one of their shares is unknown."""
        if record.unknown - {self.pool}:
            return limit
        rows = [row for pool, row in record.pools.items() if pool != self.pool]
        return sum(row[0] for row in rows), sum(row[1] for row in rows), sum(row[2] for row in rows)

    def plan(
        self,
        running: Mapping[str, Amount],
        wanted: Mapping[str, Amount],
        unseen: Mapping[str, Amount] = MappingProxyType({}),
        queued: Mapping[str, QueuedWork] = MappingProxyType({}),
    ) -> list[ShareChange]:
        """Return the changes of records that this pool needs.

        :param running: what runs here, by team
        :param wanted: what runs and waits here, by team
        :param unseen: what may run here besides within the present share, by team; it is kept
        :param queued: ready tasks and gangs by team; without them, any part counts as of use
        """
        changes = []
        for team in self.limits:
            record = self.records.get(team, ShareRecord())
            old = record.pools.get(self.pool, (0, 0, 0))
            seen = running.get(team, Amount())
            most = seen + unseen.get(team, Amount())
            kept = triple(self.limits[team]) if self.pool in record.unknown else old
            used = larger(triple(seen), smaller(triple(most), kept))
            new = self._target_share(team, record, old, used, wanted, queued.get(team))
            is_unknown = self.pool in record.unknown
            if new != old or is_unknown or self._is_pending(team, record.revision):
                pools, unknown = {**record.pools, self.pool: new}, record.unknown - {self.pool}
                # While other shares are unknown, a missing one would count as unknown too.
                if not any(new) and not unknown:
                    del pools[self.pool]
                changes.append(ShareChange(team, record.revision, pools, unknown))
        return changes

    def _target_share(
        self,
        team: str,
        record: ShareRecord,
        old: ResourceTriple,
        used: ResourceTriple,
        wanted: Mapping[str, Amount],
        work: QueuedWork | None,
    ) -> ResourceTriple:
        limit = triple(self.limits[team])
        needed = triple(wanted.get(team, Amount()))
        attainable = larger(used, self.attainable(team))
        if team in self.granted:
            held = self._held_by_others(record, limit)
            free = [maximum - others for maximum, others in zip(limit, held, strict=True)]
            attainable = larger(attainable, smaller(old, (free[0], free[1], free[2])))
        useful = attainable
        if (
            work is not None
            and record.first != self.pool
            and not fits_limited(needed, attainable, limit)
        ):
            useful = _add_fitting(work, used, attainable, limit)
        others_wait = any(pool != self.pool for pool in record.waiting)
        headroom_fraction = 0.0 if others_wait else HEADROOM_FRACTION
        excess_fraction = 0.0 if others_wait else EXCESS_FRACTION
        target = []
        for dimension in range(3):
            maximum, current = limit[dimension], old[dimension]
            headroom = int(maximum * headroom_fraction) if needed[dimension] else 0
            need = max(used[dimension], min(needed[dimension] + headroom, useful[dimension]))
            if not maximum:
                target.append(0)
            elif (
                max(needed[dimension], used[dimension]) > current
                or current - need > maximum * excess_fraction
                or current > attainable[dimension]
            ):
                target.append(need)
            else:
                target.append(current)
        return target[0], target[1], target[2]


def _add_fitting(
    work: QueuedWork, used: ResourceTriple, attainable: ResourceTriple, limit: ResourceTriple
) -> ResourceTriple:
    """Return what is used with as many of the waiting tasks and gangs as fit, in their order."""
    total = list(used)
    for amount, count in work.units.items():
        needed = triple(amount)
        fitting = min(
            (
                max(0, attainable[dimension] - total[dimension]) // needed[dimension]
                for dimension in range(3)
                if limit[dimension] and needed[dimension]
            ),
            default=count,
        )
        for dimension in range(3):
            total[dimension] += min(count, fitting) * needed[dimension]
    return total[0], total[1], total[2]
