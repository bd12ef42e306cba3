"""The stored list of workers that may hold a pool's runs: whom a new owner must hear first."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ..batch.records import RosterEntry, encode_roster
from ..exception import StoreError, StoreUnavailable
from ..pool import PoolState
from ..store import Put
from .around import Around
from .writer import OwnerWriter

__all__ = ["RosterKeeper"]

#: longest time between two looks for workers that are gone, in seconds
LOOK_SECONDS = 2.0
#: pause after a write without an answer, in seconds
RETRY_SECONDS = 0.3


class RosterKeeper:
    """Stores a worker's name before the first run is ordered there.

    :param changed: called when more workers may take runs
    """

    def __init__(
        self, around: Around, book: PoolState, writer: OwnerWriter, changed: Callable[[], None]
    ):
        self.around = around
        self.book = book
        self.writer = writer
        self.changed = changed
        self.inherited: dict[str, RosterEntry] = {}
        self.stored: set[str] = set()
        self.needed = anyio.Event()

    def inherit(self, roster: dict[str, RosterEntry]) -> None:
        """Take the roster of the owner before."""
        self.inherited = roster
        self.stored = set(roster)

    def wake_if_new(self) -> None:
        """Store the roster soon if a worker is not on it."""
        for name, worker in self.book.workers.items():
            worker.rostered = name in self.stored
            if not worker.rostered and worker.present:
                self.needed.set()

    async def run(self) -> None:
        """Keep the roster until cancelled."""
        while True:
            with anyio.move_on_after(LOOK_SECONDS):
                await self.needed.wait()
            self.needed = anyio.Event()
            kept = set(self.book.workers) | self.book.unreconciled_workers.keys()
            if kept != self.stored:
                await self._store(kept)

    async def _store(self, kept: set[str]) -> None:
        entries = {name: entry for name, entry in self.inherited.items() if name in kept}
        for name, worker in self.book.workers.items():
            entries[name] = RosterEntry(worker.listed.address, worker.listed.vm)
        key = self.around.keys.roster(self.book.pool)
        try:
            await self.writer.commit([], [Put(key, encode_roster(entries))])
        except (StoreUnavailable, StoreError) as error:
            self.around.log.write("roster-not-stored", pool=self.book.pool, reason=str(error))
            await anyio.sleep(RETRY_SECONDS)
            return
        self.stored = set(entries)
        for name, worker in self.book.workers.items():
            worker.rostered = name in self.stored
        self.changed()
