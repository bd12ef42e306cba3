"""A store kept in memory, for the demonstration, tests and the stand-in's process."""

from __future__ import annotations

import itertools
import math
from collections.abc import AsyncIterator, Sequence

import anyio
import attrs

from ..clock import Clock, SystemClock
from ..exception import StoreError
from .store import Compare, Delete, Entry, Event, Put, Snapshot, TxnResult

__all__ = ["MemoryStore"]

HISTORY_EVENTS = 10_000


@attrs.define
class _Lease:
    seconds: float
    expires: float


class MemoryStore:
    """A :class:`~limpetpulley.store.Store` in one process's memory.

    :param clock: clock that leases lapse by
    """

    def __init__(self, clock: Clock | None = None):
        self.clock = clock or SystemClock()
        self.entries: dict[str, Entry] = {}
        self.revision = 1
        self.history: list[Event] = []
        self.forgotten = 1
        self.leases: dict[int, _Lease] = {}
        self.lease_of: dict[str, int] = {}
        self.lease_ids = itertools.count(1)
        self.changed = anyio.Event()

    async def read(self, prefix: str) -> Snapshot:
        """Return all entries under a prefix."""
        self.expire_leases()
        found = (entry for key, entry in self.entries.items() if key.startswith(prefix))
        return Snapshot(tuple(sorted(found, key=lambda entry: entry.key)), self.revision)

    async def get(self, key: str) -> Entry | None:
        """Return the entry of one key, or None if there is none."""
        self.expire_leases()
        return self.entries.get(key)

    async def commit(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply all writes if all conditions hold."""
        self.expire_leases()
        for compare in compares:
            entry = self.entries.get(compare.key)
            if (entry.revision if entry else 0) != compare.revision:
                return TxnResult(False, self.revision)
        if writes:
            self.apply(writes)
        return TxnResult(True, self.revision)

    async def grant_lease(self, seconds: float) -> int:
        """Return the identifier of a new lease."""
        lease = next(self.lease_ids)
        self.leases[lease] = _Lease(seconds, self.clock.now() + seconds)
        return lease

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return whether it still existed."""
        self.expire_leases()
        held = self.leases.get(lease)
        if held is None:
            return False
        held.expires = self.clock.now() + held.seconds
        return True

    async def revoke_lease(self, lease: int) -> None:
        """End a lease; the keys that live with it are deleted."""
        if lease in self.leases:
            self.leases[lease].expires = self.clock.now()
            self.expire_leases()

    async def watch(self, prefix: str, after: int) -> AsyncIterator[list[Event]]:
        """Yield the changes under a prefix after a revision, in order."""
        position = after
        while True:
            if position < self.forgotten - 1:
                raise StoreError(f"changes after revision {position} are no longer known")
            changed = self.changed
            events = self.events_after(prefix, position)
            position = max(position, self.revision)
            if events:
                yield events
            else:
                with anyio.move_on_after(self.next_expiry()):
                    await changed.wait()
                self.expire_leases()

    def events_after(self, prefix: str, revision: int) -> list[Event]:
        """Return the known changes under a prefix after a revision."""
        found: list[Event] = []
        for event in reversed(self.history):
            if event.revision <= revision:
                break
            if event.key.startswith(prefix):
                found.append(event)
        found.reverse()
        return found

    def apply(self, writes: Sequence[Put | Delete]) -> None:
        """Apply writes as one revision."""
        for write in writes:
            if isinstance(write, Put) and write.lease and write.lease not in self.leases:
                raise StoreError(f"lease {write.lease} does not exist")
        self.revision += 1
        for write in writes:
            self._apply_write(write)
        if len(self.history) > 2 * HISTORY_EVENTS:
            del self.history[:HISTORY_EVENTS]
            self.forgotten = self.history[0].revision
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    def expire_leases(self) -> None:
        """Delete the keys of leases that have lapsed."""
        now = self.clock.now()
        for lease_id, lease in list(self.leases.items()):
            if lease.expires <= now:
                del self.leases[lease_id]
                gone = [Delete(key) for key, held in self.lease_of.items() if held == lease_id]
                if gone:
                    self.apply(gone)

    def next_expiry(self) -> float:
        """Return the seconds until a lease may lapse, infinite if there is none."""
        expiries = [lease.expires for lease in self.leases.values()]
        return max(0.01, min(expiries) - self.clock.now()) if expiries else math.inf

    def _apply_write(self, write: Put | Delete) -> None:
        if isinstance(write, Put):
            self.entries[write.key] = Entry(write.key, write.value, self.revision)
            self.history.append(Event(write.key, write.value, self.revision))
            self.lease_of.pop(write.key, None)
            if write.lease:
                self.lease_of[write.key] = write.lease
        elif self.entries.pop(write.key, None) is not None:
            self.lease_of.pop(write.key, None)
            self.history.append(Event(write.key, None, self.revision))
