"""Keeps a pool's shares of the teams' limits in step with its need, through the store."""

from __future__ import annotations

import anyio

from ..batch.records import decode_shares, encode_shares
from ..exception import RecordError, StoreError, StoreUnavailable
from ..pool import PoolState
from ..pool.queue_forecast import demand_by_team
from ..quota.shares import ShareChange, ShareRecord, TeamShares
from ..store import Compare, Put
from .around import Around
from .writer import PAIRS_A_TRANSACTION, OwnerWriter

__all__ = ["ShareKeeper"]

#: longest time between two looks, so that what is not needed is given back
LOOK_SECONDS = 0.5
#: shortest time between two looks while something waits for a larger share
SHORT_LOOK_SECONDS = 0.05
#: time between two reads while something waits for what other pools give back, in seconds
REREAD_SECONDS = 0.2


class ShareKeeper:
    """Grows and gives back one pool's shares.

    :param shares: what the pool may run, changed here
    """

    def __init__(self, around: Around, book: PoolState, shares: TeamShares, writer: OwnerWriter):
        self.around = around
        self.book = book
        self.shares = shares
        self.writer = writer
        self.version = -1
        self.read_at = 0.0
        self.short = anyio.Event()

    def use_config(self) -> None:
        """Take the limits of the configuration in force."""
        config = self.around.config
        if config is not None and config.version != self.version:
            self.version = config.version
            self.shares.set_limits({team.name: team.limit for team in config.teams.values()})

    def wake_if_short(self) -> None:
        """Look again soon if a task waits that its team's share does not allow."""
        if self.is_short():
            self.short.set()

    def is_short(self) -> bool:
        """Return whether a task waits that its team's share does not allow."""
        for job_id, tasks in self.book.ready.items():
            job = self.book.jobs[job_id]
            running = self.book.usage.get(job.team)
            charge = job.step_of(tasks[0]).charge
            if not self.shares.allows(job.team, running or charge * 0, charge):
                return True
        return False

    async def run(self) -> None:
        """Follow the need until cancelled."""
        while True:
            with anyio.move_on_after(LOOK_SECONDS):
                await self.short.wait()
            self.short = anyio.Event()
            try:
                await self._follow()
            except (StoreUnavailable, StoreError) as error:
                self.around.log.write("shares-not-stored", pool=self.book.pool, reason=str(error))
            await anyio.sleep(SHORT_LOOK_SECONDS)

    async def read(self) -> None:
        """Read how the limits are divided."""
        self.use_config()
        self.read_at = self.around.clock.now()
        keys = self.around.keys
        found: dict[str, ShareRecord] = {}
        for entry in (await self.around.store.read(keys.shares)).entries:
            team = entry.key.removeprefix(keys.shares)
            try:
                found[team] = ShareRecord(entry.revision, decode_shares(entry.value))
            except RecordError as error:
                self.around.log.write("record-unreadable", key=entry.key, reason=str(error))
        self.shares.records = found

    async def _follow(self) -> None:
        self.use_config()
        # What other pools have given back since the last read is known only to the store.
        age = self.around.clock.now() - self.read_at
        if not self._changes() and not (self.is_short() and age >= REREAD_SECONDS):
            return
        await self.read()
        changes = self._changes()
        if not changes:
            return
        keys = self.around.keys
        compares = [Compare(keys.share(change.team), change.revision) for change in changes]
        writes = [Put(keys.share(change.team), encode_shares(change.pools)) for change in changes]
        if await self.writer.commit(compares, writes):
            await self.read()
            self._log(changes)

    def _changes(self) -> list[ShareChange]:
        changes = self.shares.plan(self.book.usage, demand_by_team(self.book))
        return changes[:PAIRS_A_TRANSACTION]

    def _log(self, changes: list[ShareChange]) -> None:
        for change in changes:
            self.around.log.write(
                "share-changed",
                pool=self.book.pool,
                team=change.team,
                shares=change.pools,
                config=self.version,
            )
