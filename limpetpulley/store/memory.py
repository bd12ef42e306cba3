"""An in-memory store for the demonstration, the tests and the stand-in's process."""

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

#: number of the latest events that are kept for watches; trimmed when twice as many are stored
HISTORY_EVENTS = 10_000


@attrs.define
class _Lease:
    duration_seconds: float
    expires_at: float


class MemoryStore:
    """A :class:`~limpetpulley.store.Store` in the memory of a process.

    :param clock: clock by which leases expire
    """

    def __init__(self, clock: Clock | None = None):
        self.clock = clock or SystemClock()
        self.entries: dict[str, Entry] = {}
        self.revision = 1
        self.history: list[Event] = []
        self.first_history_revision = 1
        self.leases: dict[int, _Lease] = {}
        self.lease_by_key: dict[str, int] = {}
        self.lease_id_counter = itertools.count(1)
        self.changed = anyio.Event()

    async def read(self, prefix: str) -> Snapshot:
        """Return all entries whose keys have a prefix."""
        self.expire_leases()
        matching = (entry for key, entry in self.entries.items() if key.startswith(prefix))
        return Snapshot(tuple(sorted(matching, key=lambda entry: entry.key)), self.revision)

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if there is none."""
        self.expire_leases()
        return self.entries.get(key)

    async def commit(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply all writes in one transaction if all conditions hold."""
        self.expire_leases()
        for compare in compares:
            entry = self.entries.get(compare.key)
            if (entry.revision if entry else 0) != compare.revision:
                return TxnResult(False, self.revision)
        if writes:
            self.apply(writes)
        return TxnResult(True, self.revision)

    async def grant_lease(self, seconds: float) -> int:
        """Grant a lease and return its identifier."""
        lease = next(self.lease_id_counter)
        self.leases[lease] = _Lease(seconds, self.clock.now() + seconds)
        return lease

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease and return whether it still existed."""
        self.expire_leases()
        current = self.leases.get(lease)
        if current is None:
            return False
        current.expires_at = self.clock.now() + current.duration_seconds
        return True

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys attached to it."""
        if lease in self.leases:
            self.leases[lease].expires_at = self.clock.now()
            self.expire_leases()

    async def watch(self, prefix: str, after: int) -> AsyncIterator[list[Event]]:
        """Yield the changes of keys with a prefix after a revision, in order."""
        position = after
        while True:
            if position < self.first_history_revision - 1:
                raise StoreError(f"changes after revision {position} are no longer available")
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
        """Return the stored changes of keys with a prefix after a revision, in order."""
        events: list[Event] = []
        for event in reversed(self.history):
            if event.revision <= revision:
                break
            if event.key.startswith(prefix):
                events.append(event)
        events.reverse()
        return events

    def apply(self, writes: Sequence[Put | Delete]) -> None:
        """Apply writes as one revision and wake up the watches.

        :raises StoreError: if a write names a lease that does not exist
        """
        for write in writes:
            if isinstance(write, Put) and write.lease and write.lease not in self.leases:
                raise StoreError(f"lease {write.lease} does not exist")
        self.revision += 1
        for write in writes:
            self._apply_write(write)
        if len(self.history) > 2 * HISTORY_EVENTS:
            del self.history[:HISTORY_EVENTS]
            self.first_history_revision = self.history[0].revision
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    def drop_history(self) -> None:
        """Forget all changes so far, so that watches from earlier revisions fail."""
        self.history.clear()
        self.first_history_revision = self.revision + 1

    def expire_leases(self) -> None:
        """Delete the expired leases and the keys attached to them."""
        now = self.clock.now()
        for lease_id, lease in list(self.leases.items()):
            if lease.expires_at <= now:
                del self.leases[lease_id]
                deletions = [
                    Delete(key)
                    for key, key_lease in self.lease_by_key.items()
                    if key_lease == lease_id
                ]
                if deletions:
                    self.apply(deletions)

    def next_expiry(self) -> float:
        """Return the time until the next lease may expire, in seconds; infinite without leases."""
        expiries = [lease.expires_at for lease in self.leases.values()]
        return max(0.01, min(expiries) - self.clock.now()) if expiries else math.inf

    def _apply_write(self, write: Put | Delete) -> None:
        if isinstance(write, Put):
            self.entries[write.key] = Entry(write.key, write.value, self.revision)
            self.history.append(Event(write.key, write.value, self.revision))
            self.lease_by_key.pop(write.key, None)
            if write.lease:
                self.lease_by_key[write.key] = write.lease
        elif self.entries.pop(write.key, None) is not None:
            self.lease_by_key.pop(write.key, None)
            self.history.append(Event(write.key, None, self.revision))
