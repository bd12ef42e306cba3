"""Adjusts a pool's shares of the teams' limits to its demand; the store keeps the division."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import anyio
import attrs

from ..batch.keys import SHARE_QUEUE_SUFFIX
from ..batch.records import decode_shares, encode_shares
from ..exception import RecordError, StoreError, StoreUnavailable
from ..pool import PoolState
from ..pool.queue_forecast import demand_by_team
from ..pool.queued_work import queued_work
from ..pool.unseen_runs import team_usage, unseen_usage
from ..quota.share_queue import ShareQueue
from ..quota.share_records import QueueChange, QueuedWork, ResourceTriple, ShareChange, ShareRecord
from ..quota.shares import TeamShares
from ..store import Compare, Entry, Put
from .abandoned_shares import AbandonedShares, without_pool
from .context import DaemonContext
from .record_retries import concerns_record
from .writer import PAIRS_PER_TRANSACTION, OwnerWriter

__all__ = ["ShareManager"]

#: longest time between two checks, so that unused shares are returned, in seconds
MAX_CHECK_INTERVAL_SECONDS = 0.5
#: shortest time between two checks while a task waits for a larger share, in seconds
MIN_CHECK_INTERVAL_SECONDS = 0.05
#: time between two reads while a task waits for shares that other pools return, in seconds
RELOAD_INTERVAL_SECONDS = 0.2
#: time between two reads while the pool holds shares, which others may wait for, in seconds
HELD_RELOAD_INTERVAL_SECONDS = 1.0
#: largest number of records from which one transaction removes a pool, beside its conditions
MAX_ABANDONED_CHANGES = PAIRS_PER_TRANSACTION - 1
#: delay after a record that could not be stored by itself, in seconds
FAULT_DELAY_SECONDS = 0.2


class ShareManager:
    """Requests and returns one pool's shares of the teams' limits.

    :param shares: limits on what the pool may run, by team; modified here
    """

    def __init__(
        self, context: DaemonContext, pool_state: PoolState, shares: TeamShares, writer: OwnerWriter
    ):
        self.context = context
        self.pool_state = pool_state
        self.shares = shares
        self.queue = ShareQueue(shares)
        self.writer = writer
        self.abandoned = AbandonedShares(context, pool_state.pool)
        self.config_version = -1
        self.loaded_at = 0.0
        self.shortage_found = anyio.Event()

    def apply_config(self) -> None:
        """Apply the teams' limits of the current configuration."""
        config = self.context.config
        if config is not None and config.version != self.config_version:
            self.config_version = config.version
            self.shares.set_limits({team.name: team.limit for team in config.teams.values()})

    def wake_on_shortage(self) -> None:
        """Trigger an early check if a task or a gang is blocked by its team's share."""
        if self.has_shortage():
            self.shortage_found.set()

    def has_shortage(self) -> bool:
        """Return whether a task, or a gang as a whole, is blocked by its team's share."""
        for job_id, tasks in self.pool_state.ready.items():
            job = self.pool_state.jobs[job_id]
            usage = team_usage(self.pool_state, job.team)
            # A job's first ready task may fit while a gang of another step does not.
            numbers = {task.step for task in tasks}
            if not all(
                self.shares.allows(job.team, usage, job.spec.steps[number].start_charge)
                for number in numbers
            ):
                return True
        return False

    async def run(self) -> None:
        """Adjust the shares to the demand until cancelled."""
        while True:
            with anyio.move_on_after(MAX_CHECK_INTERVAL_SECONDS):
                await self.shortage_found.wait()
            self.shortage_found = anyio.Event()
            try:
                await self._adjust()
            except (StoreUnavailable, StoreError) as error:
                self.context.log.write(
                    "shares-not-stored", pool=self.pool_state.pool, reason=str(error)
                )
            await anyio.sleep(MIN_CHECK_INTERVAL_SECONDS)

    async def load(self) -> None:
        """Load the division of the limits among the pools from the store for the first time.

        If it cannot be read, the pool has no share yet: only tasks of teams with a limit wait.

        :raises StoreUnavailable: if the store does not answer
        """
        try:
            await self._read()
        except (StoreUnavailable, StoreError) as error:
            if not concerns_record(error):
                raise
            self.context.log.write("shares-not-read", pool=self.pool_state.pool, reason=str(error))

    async def _read(self) -> None:
        self.apply_config()
        self.loaded_at = self.context.clock.now()
        prefix = self.context.keys.shares
        entries = {
            entry.key.removeprefix(prefix): entry
            for entry in (await self.context.store.read(prefix)).entries
        }
        # A configured team may be named like the queue of another one, which then has none.
        queues = {
            name.removesuffix(SHARE_QUEUE_SUFFIX): entries.pop(name)
            for name in list(entries)
            if name.endswith(SHARE_QUEUE_SUFFIX) and name not in self.shares.limits
        }
        self.shares.records = {
            team: self._decode_record(entries.get(team), queues.get(team))
            for team in entries.keys() | queues.keys()
        }

    def _decode_record(self, division: Entry | None, queue: Entry | None) -> ShareRecord:
        """Return what two records of the store tell of one team."""
        record = ShareRecord()
        if division is not None:
            rows = self._decode_rows(division, {self.pool_state.pool: None})
            record = self._make_record(division.revision, rows)
        if queue is not None:
            rows = self._decode_rows(queue, {})
            waiting = {pool: row for pool, row in rows.items() if row is not None}
            record = attrs.evolve(record, waiting=waiting, waiting_revision=queue.revision)
        return record

    def _decode_rows(
        self, entry: Entry, rows: dict[str, ResourceTriple | None]
    ) -> dict[str, ResourceTriple | None]:
        """Return the rows of a record; log it if it cannot be read.

        :param rows: what stands for an unreadable record
        """
        try:
            return decode_shares(entry.value)
        except RecordError as error:
            self.context.log.write("record-unreadable", key=entry.key, reason=str(error))
        return rows

    def _make_record(self, revision: int, rows: Mapping[str, ResourceTriple | None]) -> ShareRecord:
        """Return the record that rows describe.

        If one row is unknown, others may be missing that were there: then each pool of the
        configuration without a known row counts as unknown.
        """
        known = {pool: row for pool, row in rows.items() if row is not None}
        config = self.context.config
        if len(known) == len(rows) or config is None:
            return ShareRecord(revision, known)
        pools = {name for name, pool in config.pools.items() if not pool.standby}
        return ShareRecord(revision, known, frozenset(pools - known.keys()))

    async def _adjust(self) -> None:
        self.apply_config()
        is_reload_due = self._is_reload_due()
        work = self._queued_work()
        if not is_reload_due and not self._plan_changes(work) and not self._plan_queues(work):
            return
        await self._read()
        await self._return_abandoned()
        for plan in (self._plan_changes, self._plan_queues):
            changes = plan(self._queued_work())
            if changes:
                await self._store(changes)

    async def _return_abandoned(self) -> None:
        """Return the shares of pools that were removed and have no owner, one pool at a time."""
        abandoned = await self.abandoned.check(self._limited_records())
        for pool, conditions in abandoned.items():
            changes = without_pool(self._limited_records(), pool)[:MAX_ABANDONED_CHANGES]
            self.context.log.write(
                "share-abandoned",
                pool=self.pool_state.pool,
                removed=pool,
                teams=[change.team for change in changes],
            )
            await self._store(changes, conditions)

    def _limited_records(self) -> dict[str, ShareRecord]:
        """Return what is stored of the teams that have a limit."""
        return {team: self.shares.records.get(team, ShareRecord()) for team in self.shares.limits}

    def _is_reload_due(self) -> bool:
        """Return whether the store may tell what matters here.

        Shares that other pools return show only there, and that others wait for those held here.
        """
        age = self.context.clock.now() - self.loaded_at
        if age >= HELD_RELOAD_INTERVAL_SECONDS and self.shares.holds_any():
            return True
        return age >= RELOAD_INTERVAL_SECONDS and self.has_shortage()

    async def _store(
        self, changes: Sequence[ShareChange | QueueChange], conditions: Sequence[Compare] = ()
    ) -> None:
        """Store changes; if one record of several fails, store each alone.

        :param conditions: what must hold besides
        """
        writes = [self._encode(change) for change in changes]
        compares = [
            Compare(write.key, change.revision)
            for write, change in zip(writes, changes, strict=True)
        ]
        self.shares.mark_pending(each for each in changes if isinstance(each, ShareChange))
        try:
            stored = await self.writer.commit([*conditions, *compares], writes)
        except (StoreUnavailable, StoreError) as error:
            if not concerns_record(error):
                raise
            self.context.log.write(
                "shares-not-stored",
                pool=self.pool_state.pool,
                teams=[change.team for change in changes],
                reason=str(error),
            )
            if len(changes) == 1:
                await anyio.sleep(FAULT_DELAY_SECONDS)
                return
            for change in changes:
                await self._store([change], conditions)
            return
        if stored:
            await self._read()
            self._log_changes(changes)

    def _encode(self, change: ShareChange | QueueChange) -> Put:
        keys = self.context.keys
        if isinstance(change, QueueChange):
            return Put(keys.share_queue(change.team), encode_shares(change.waiting))
        rows = {**change.pools, **dict.fromkeys(change.unknown)}
        return Put(keys.share(change.team), encode_shares(rows))

    def _plan_changes(self, work: Mapping[str, QueuedWork]) -> list[ShareChange]:
        changes = self.shares.plan(
            self.pool_state.usage,
            demand_by_team(self.pool_state),
            unseen_usage(self.pool_state),
            work,
        )
        return changes[:PAIRS_PER_TRANSACTION]

    def _plan_queues(self, work: Mapping[str, QueuedWork]) -> list[QueueChange]:
        usage = {team: team_usage(self.pool_state, team) for team in self.shares.limits}
        changes = self.queue.plan(usage, work, self.context.clock.now())
        return changes[:PAIRS_PER_TRANSACTION]

    def _queued_work(self) -> dict[str, QueuedWork]:
        return queued_work(self.pool_state, self.shares.limits, self.context.clock.now())

    def _log_changes(self, changes: Sequence[ShareChange | QueueChange]) -> None:
        for change in changes:
            fields = {"pool": self.pool_state.pool, "team": change.team}
            if isinstance(change, QueueChange):
                self.context.log.write("share-queue-changed", **fields, waiting=change.waiting)
            else:
                self.context.log.write(
                    "share-changed", **fields, shares=change.pools, config=self.config_version
                )
