"""Returns what pools hold of teams' limits that are not configured any more and have no owner.

Each owner changes only its own pool's share. That of a pool which was removed from the
configuration would otherwise be held for good once its owner has ended, since nobody claims it.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from ..exception import StoreError
from ..quota.share_records import QueueChange, ShareChange, ShareRecord
from ..workers.lease import MIN_CLOCK_RATE
from .context import DaemonContext
from .record_retries import concerns_record
from .worker_client import EARLIER_CALLS_SECONDS

__all__ = ["AbandonedShares", "without_pool"]

#: interval between two checks whether a removed pool has an owner, in seconds
CHECK_INTERVAL_SECONDS = 1.0


@attrs.define
class AbandonedShares:
    """Finds pools that hold shares though nothing of theirs can run any more.

    :param pool: the pool whose owner looks for them
    :param unowned_since: local time since which each pool was seen without an owner
    :param checked_at: local time of the last check
    """

    context: DaemonContext
    pool: str
    unowned_since: dict[str, float] = attrs.field(factory=dict)
    checked_at: float = 0.0

    async def check(self, records: Mapping[str, ShareRecord]) -> list[str]:
        """Return the pools that have had no owner for longer than a run can last without one.

        :param records: division of each team's limit
        :raises StoreUnavailable: if the store does not answer
        """
        now, removed = self.context.clock.now(), self._removed_pools(records)
        self.unowned_since = {
            pool: since for pool, since in self.unowned_since.items() if pool in removed
        }
        if now - self.checked_at < CHECK_INTERVAL_SECONDS:
            return []
        self.checked_at = now
        for pool in removed:
            if await self._may_have_owner(pool):
                self.unowned_since.pop(pool, None)
            else:
                self.unowned_since.setdefault(pool, now)
        longest_hold = self.context.timing.longest_hold / MIN_CLOCK_RATE
        until = now - EARLIER_CALLS_SECONDS - longest_hold
        return [pool for pool, since in self.unowned_since.items() if since <= until]

    async def _may_have_owner(self, pool: str) -> bool:
        key = self.context.keys.owner(pool)
        try:
            return await self.context.store.get(key) is not None
        except StoreError as error:
            if not concerns_record(error):
                raise
            self.context.log.write("record-unreadable", key=key, reason=str(error))
            return True

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
