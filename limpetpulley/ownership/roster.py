"""The stored list of workers that may hold a pool's runs.

It names a worker once that has answered, and before the first start there: one that never answered
an owner has never been given a run. A new owner waits for the answers of these workers before it
starts the tasks of earlier owners.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ..batch.records import RosterEntry, decode_roster, encode_roster
from ..exception import RecordError, StoreError, StoreUnavailable
from ..pool import PoolState
from ..store import Compare, Put
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
        # Workers that the stored roster named when it was last known, and those of them that every
        # later write names too: one without an answer may have been applied, or may still be.
        self.stored: set[str] = set()
        # The settled incarnations that it names.
        self.stored_incarnations: dict[str, int] = {}
        self.surely_stored: set[str] = set()
        # Whether the last write has no answer yet, or got none.
        self.in_doubt = False
        # Revision of the stored roster. Writes compare it, so that a write that the store applies
        # late, after a newer one, has no effect.
        self.revision = 0
        self.write_needed = anyio.Event()

    def adopt(
        self, roster: dict[str, RosterEntry], revision: int = 0, is_stored: bool = True
    ) -> None:
        """Take over the workers that may hold runs of earlier owners.

        Those that no build can have connected to hold none.

        :param revision: revision of the stored roster, 0 if there is none
        :param is_stored: whether the stored roster names these workers
        """
        self.inherited, self.revision = {}, revision
        for name, entry in roster.items():
            if entry.callable_address is None:
                self._report_uncallable(name, entry)
            if not entry.was_never_reachable:
                self.inherited[name] = entry
        self.stored = self.surely_stored = set(roster) if is_stored else set()
        self.stored_incarnations = settled_incarnations(roster) if is_stored else {}
        self.pool_state.settled_incarnations |= self.stored_incarnations

    def _report_uncallable(self, name: str, entry: RosterEntry) -> None:
        self.context.log.write(
            "roster-row-uncallable",
            pool=self.pool_state.pool,
            worker=name,
            address=entry.address,
            dropped=entry.was_never_reachable,
        )

    def update_rostered(self) -> None:
        """Update which workers are on the stored roster; request a write if one is missing.

        While a write is in flight or in doubt, a worker that it removes does not count.
        """
        for name, worker in self.pool_state.workers.items():
            worker.in_roster = name in self.surely_stored
            if not worker.in_roster and worker.present and worker.reconciled:
                self.write_needed.set()

    async def run(self) -> None:
        """Keep the stored roster up to date until cancelled."""
        while True:
            with anyio.move_on_after(PRUNE_INTERVAL_SECONDS):
                await self.write_needed.wait()
            self.write_needed = anyio.Event()
            current = self._entries()
            if self.in_doubt or not self._is_stored(current):
                await self._store(current)

    def _names(self) -> set[str]:
        """Return the workers that may hold runs, or may be given some."""
        workers = self.pool_state.workers
        answered = {
            name for name, worker in workers.items() if worker.reconciled or name in self.stored
        }
        return answered | self.pool_state.unreconciled_workers.keys()

    def _entries(self) -> dict[str, RosterEntry]:
        """Return the roster as it should be stored."""
        names = self._names()
        entries = {name: entry for name, entry in self.inherited.items() if name in names}
        settled = self.pool_state.settled_incarnations
        for name, worker in self.pool_state.workers.items():
            if name in names:
                address, vm = worker.listed.address, worker.listed.vm
                entries[name] = RosterEntry(address, vm, settled.get(name, 0))
        return entries

    def _is_stored(self, entries: dict[str, RosterEntry]) -> bool:
        return (
            entries.keys() == self.stored
            and settled_incarnations(entries) == self.stored_incarnations
        )

    async def _store(self, entries: dict[str, RosterEntry]) -> None:
        key = self.context.keys.roster(self.pool_state.pool)
        put = Put(key, encode_roster(entries))
        self.surely_stored, self.in_doubt = self.surely_stored & entries.keys(), True
        try:
            revision = await self.writer.commit([Compare(key, self.revision)], [put])
            if not revision:
                await self._reload()
                return
        except (StoreUnavailable, StoreError) as error:
            self.context.log.write(
                "roster-not-stored", pool=self.pool_state.pool, reason=str(error)
            )
            await anyio.sleep(RETRY_DELAY_SECONDS)
            return
        self._set_stored(entries, revision)

    async def _reload(self) -> None:
        """Read the stored roster again after a conflict.

        An earlier write has been applied although its answer was lost.
        """
        entry = await self.context.store.get(self.context.keys.roster(self.pool_state.pool))
        try:
            entries = decode_roster(entry.value) if entry else {}
        except RecordError:
            entries = {}
        self._set_stored(entries, entry.revision if entry else 0)

    def _set_stored(self, entries: dict[str, RosterEntry], revision: int) -> None:
        """Record the stored roster; writes that compared an earlier revision have no effect."""
        self.stored, self.revision = set(entries), revision
        self.surely_stored, self.in_doubt = self.stored, False
        self.stored_incarnations = settled_incarnations(entries)
        self.update_rostered()
        self.on_stored()


def settled_incarnations(roster: dict[str, RosterEntry]) -> dict[str, int]:
    """Return the settled incarnations that a roster names, by worker."""
    return {
        name: entry.settled_incarnation
        for name, entry in roster.items()
        if entry.settled_incarnation
    }
