"""The stored list of workers that may hold a pool's runs.

A new owner waits for the answers of these workers before it starts the tasks of earlier owners.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ..batch.records import RosterEntry, encode_roster
from ..exception import StoreError, StoreUnavailable
from ..pool import PoolState
from ..store import Put
from .context import DaemonContext
from .writer import OwnerWriter

__all__ = ["WorkerRoster"]

#: interval at which workers that are gone are removed from the roster, in seconds
PRUNE_INTERVAL_SECONDS = 2.0
#: delay after a failed write, in seconds
RETRY_DELAY_SECONDS = 0.3


class WorkerRoster:
    """Stores a worker's name before the first run is started on the worker.

    :param on_stored: called when more workers may be given runs
    """

    def __init__(
        self,
        context: DaemonContext,
        pool_state: PoolState,
        writer: OwnerWriter,
        on_stored: Callable[[], None],
    ):
        self.context = context
        self.pool_state = pool_state
        self.writer = writer
        self.on_stored = on_stored
        self.inherited: dict[str, RosterEntry] = {}
        self.stored: set[str] = set()
        self.write_needed = anyio.Event()

    def adopt(self, roster: dict[str, RosterEntry]) -> None:
        """Take over the roster that the previous owner stored."""
        self.inherited = roster
        self.stored = set(roster)

    def update_rostered(self) -> None:
        """Update which workers are on the stored roster; request a write if one is missing."""
        for name, worker in self.pool_state.workers.items():
            worker.in_roster = name in self.stored
            if not worker.in_roster and worker.present:
                self.write_needed.set()

    async def run(self) -> None:
        """Keep the stored roster up to date until cancelled."""
        while True:
            with anyio.move_on_after(PRUNE_INTERVAL_SECONDS):
                await self.write_needed.wait()
            self.write_needed = anyio.Event()
            current = set(self.pool_state.workers) | self.pool_state.unreconciled_workers.keys()
            if current != self.stored:
                await self._store(current)

    async def _store(self, current: set[str]) -> None:
        entries = {name: entry for name, entry in self.inherited.items() if name in current}
        for name, worker in self.pool_state.workers.items():
            entries[name] = RosterEntry(worker.listed.address, worker.listed.vm)
        key = self.context.keys.roster(self.pool_state.pool)
        try:
            await self.writer.commit([], [Put(key, encode_roster(entries))])
        except (StoreUnavailable, StoreError) as error:
            self.context.log.write(
                "roster-not-stored", pool=self.pool_state.pool, reason=str(error)
            )
            await anyio.sleep(RETRY_DELAY_SECONDS)
            return
        self.stored = set(entries)
        for name, worker in self.pool_state.workers.items():
            worker.in_roster = name in self.stored
        self.on_stored()
