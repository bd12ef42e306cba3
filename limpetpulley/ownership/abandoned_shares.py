"""Returns the shares of teams' limits of pools that were removed and have no owner.

Each owner changes only its own pool's share. That of a pool which was removed from the
configuration would otherwise be held for good once its owner has ended, since nobody claims it.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from ..exception import StoreError
from ..quota.share_records import QueueChange, ShareChange, ShareRecord
from ..store import Compare
from ..workers.lease import MIN_CLOCK_RATE
from .context import DaemonContext
from .record_retries import concerns_record
from .worker_client import EARLIER_CALLS_SECONDS

__all__ = ["AbandonedShares", "without_pool"]

#: interval between two checks whether a removed pool has an owner, in seconds
CHECK_INTERVAL_SECONDS = 1.0


@attrs.frozen
class _Unowned:
    """A pool without an owner.

    :param since: local time since which it was seen so
    :param last_claim: revision of the record that each claim of the pool writes
    """

    since: float
    last_claim: int


@attrs.define
class AbandonedShares:
    """Finds pools that hold shares though nothing of theirs can run any more.

    :param context: the daemon's services and the configuration
    :param pool: the pool whose owner looks for them
    :param unowned: pools that were seen without an owner
    :param checked_at: local time of the last check
    """

    context: DaemonContext
    pool: str
    unowned: dict[str, _Unowned] = attrs.field(factory=dict)
    checked_at: float = 0.0

    async def check(self, records: Mapping[str, ShareRecord]) -> dict[str, list[Compare]]:
        """Return the pools that have had no owner for longer than a run can last without one.

        :param records: division of each team's limit
        :returns: for each, the conditions under which that is still so
        :raises StoreUnavailable: if the store does not answer
        """
        now = self.context.clock.now()
        if now - self.checked_at < CHECK_INTERVAL_SECONDS:
            return {}
        self.checked_at, before = now, self.unowned
        self.unowned = {}
        for pool in self._removed_pools(records):
            revision = await self._last_claim(pool)
            if revision is not None:
                seen = before.get(pool, _Unowned(now, revision))
                self.unowned[pool] = (
                    seen if seen.last_claim == revision else _Unowned(now, revision)
                )
        longest_hold = self.context.timing.longest_hold / MIN_CLOCK_RATE
        until = now - EARLIER_CALLS_SECONDS - longest_hold
        keys = self.context.keys
        return {
            pool: [Compare(keys.owner(pool), 0), Compare(keys.last_owner(pool), seen.last_claim)]
            for pool, seen in self.unowned.items()
            if seen.since <= until
        }

    async def _last_claim(self, pool: str) -> int | None:
        """Return the revision of a pool's last claim, None if the pool has an owner or may have."""
        keys, store = self.context.keys, self.context.store
        try:
            if await store.get(keys.owner(pool)) is not None:
                return None
            last = await store.get(keys.last_owner(pool))
        except StoreError as error:
            if not concerns_record(error):
                raise
            self.context.log.write("record-unreadable", key=keys.owner(pool), reason=str(error))
            return None
        return last.revision if last is not None else 0

    def _removed_pools(self, records: Mapping[str, ShareRecord]) -> list[str]:
        """Return the pools of records that are not in the configuration."""
        config = self.context.config
        if config is None:
            return []
        pools = {pool for record in records.values() for pool in (*record.pools, *record.waiting)}
        return sorted(pools - config.pools.keys() - {self.pool})


def without_pool(records: Mapping[str, ShareRecord], pool: str) -> list[ShareChange | QueueChange]:
    """Return the changes that remove a pool from the divisions and queues of teams' limits."""
    changes: list[ShareChange | QueueChange] = []
    for team, record in records.items():
        if pool in record.pools:
            pools = {name: row for name, row in record.pools.items() if name != pool}
            changes.append(ShareChange(team, record.revision, pools, record.unknown))
        if pool in record.waiting:
            waiting = {name: row for name, row in record.waiting.items() if name != pool}
            changes.append(QueueChange(team, record.waiting_revision, waiting))
    return changes
