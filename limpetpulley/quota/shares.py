"""A team's upper limit over the fleet, divided among pools that have different owners. No I/O.

One record for each team in the store says how much each pool may have running. An owner changes
only its own pool's part, by compare-and-swap on the record's revision, and never so that the sum
passes the limit; so the limit holds through takeovers and lost answers. Answers bursts of one team
that meet its limit before they fill a pool.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from ..batch import Amount

__all__ = ["ShareChange", "ShareRecord", "TeamShares"]

#: part of the limit that is kept beyond what is needed, so that small changes need no write
SPARE_PART = 0.04
#: excess over the need, as a part of the limit, above which a share is given back
EXCESS_PART = 0.15

Triple = tuple[int, int, int]


@attrs.frozen
class ShareRecord:
    """How a team's limit is divided.

    :param revision: revision of the record, 0 if there is none
    :param pools: processors, memory and accelerators by pool
    """

    revision: int = 0
    pools: Mapping[str, Triple] = attrs.field(factory=dict)


@attrs.frozen
class ShareChange:
    """A new division for one team, valid if the record still has a revision."""

    team: str
    revision: int
    pools: dict[str, Triple]


class TeamShares:
    """What each team may have running in one pool.

    :param pool: the pool's name
    """

    def __init__(self, pool: str):
        self.pool = pool
        self.limits: dict[str, Amount] = {}
        self.records: dict[str, ShareRecord] = {}

    def set_limits(self, limits: Mapping[str, Amount]) -> None:
        """Note the teams' upper limits; a field of 0 is no limit."""
        self.limits = {team: limit for team, limit in limits.items() if any(_triple(limit))}

    def allows(self, team: str, running: Amount, more: Amount) -> bool:
        """Return whether a team that runs so much in this pool may run more."""
        limit = self.limits.get(team)
        if limit is None:
            return True
        share = self.share(team)
        wanted = _triple(running + more)
        return all(
            not bound or want <= have
            for bound, want, have in zip(_triple(limit), wanted, share, strict=True)
        )

    def share(self, team: str) -> Triple:
        """Return what a team may run here, scaled down while the shares pass a lowered limit."""
        record = self.records.get(team, ShareRecord())
        mine = record.pools.get(self.pool, (0, 0, 0))
        limit = _triple(self.limits[team])
        sums = [sum(row[field] for row in record.pools.values()) for field in range(3)]
        scaled = [
            own if total <= bound or not bound else int(own * bound / total)
            for own, bound, total in zip(mine, limit, sums, strict=True)
        ]
        return scaled[0], scaled[1], scaled[2]

    def limit_cores(self, team: str) -> float:
        """Return the processors of a team's limit, infinite for none."""
        limit = self.limits.get(team)
        return limit.cpu_millicores / 1000 if limit and limit.cpu_millicores else float("inf")

    def available_cores(self, team: str) -> float:
        """Return the processors that a team could use here if others gave nothing back."""
        limit = self.limits.get(team)
        if limit is None or not limit.cpu_millicores:
            return float("inf")
        record = self.records.get(team, ShareRecord())
        others = sum(row[0] for pool, row in record.pools.items() if pool != self.pool)
        return max(0, limit.cpu_millicores - others) / 1000

    def plan(
        self, running: Mapping[str, Amount], wanted: Mapping[str, Amount]
    ) -> list[ShareChange]:
        """Return the changes of records that this pool's need asks for.

        :param running: what runs here, by team
        :param wanted: what runs and waits here, by team
        """
        changes = []
        for team in self.limits:
            record = self.records.get(team, ShareRecord())
            old = record.pools.get(self.pool, (0, 0, 0))
            new = self._target(team, record, old, running, wanted)
            if new != old:
                pools = {**record.pools, self.pool: new}
                if not any(new):
                    del pools[self.pool]
                changes.append(ShareChange(team, record.revision, pools))
        return changes

    def _target(
        self,
        team: str,
        record: ShareRecord,
        old: Triple,
        running: Mapping[str, Amount],
        wanted: Mapping[str, Amount],
    ) -> Triple:
        limit = _triple(self.limits[team])
        uses = _triple(running.get(team, Amount()))
        wants = _triple(wanted.get(team, Amount()))
        found = []
        for field in range(3):
            bound, have = limit[field], old[field]
            others = sum(row[field] for pool, row in record.pools.items() if pool != self.pool)
            most = max(uses[field], bound - others)
            spare = int(bound * SPARE_PART) if wants[field] else 0
            need = max(uses[field], min(wants[field] + spare, most))
            if not bound:
                found.append(0)
            elif wants[field] > have or have - need > bound * EXCESS_PART or have > most:
                found.append(need)
            else:
                found.append(have)
        return found[0], found[1], found[2]


def _triple(amount: Amount) -> Triple:
    return amount.cpu_millicores, amount.memory_mb, amount.accelerators
