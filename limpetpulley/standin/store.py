"""One daemon's client of the in-memory store, with injected faults."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator, Sequence

import anyio
import attrs

from ..exception import StoreUnavailable
from ..store import Compare, Delete, Entry, Event, MemoryStore, Put, Snapshot, TxnResult
from .faults import Faults
from .network import MemoryNetwork

__all__ = ["FaultyStore", "STORE_HOST"]

STORE_HOST = "store"
CALL_TIMEOUT_SECONDS = 2.0


@attrs.define
class FaultyStore:
    """A :class:`~limpetpulley.store.Store` with injected faults.

    :param store: store that carries the calls out
    :param faults: faults that are currently injected
    :param network: network between the host and the store
    :param host: host that sends the calls
    :param counts: number of calls of all daemons, by kind
    """

    store: MemoryStore
    faults: Faults
    network: MemoryNetwork
    host: str
    counts: Counter[str]

    async def get(self, key: str) -> Entry | None:
        """Return the entry of one key, or None if there is none."""
        self.counts["get"] += 1
        return await self._call(self.store.get, key)

    async def revoke_lease(self, lease: int) -> None:
        """End a lease."""
        self.counts["lease"] += 1
        await self._call(self.store.revoke_lease, lease)

    async def read(self, prefix: str) -> Snapshot:
        """Return all entries under a prefix."""
        self.counts["read"] += 1
        return await self._call(self.store.read, prefix)

    async def commit(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply all writes atomically if all compares hold."""
        self.counts["write"] += 1
        return await self._call(self.store.commit, compares, writes, writes=True)

    async def grant_lease(self, seconds: float) -> int:
        """Return the identifier of a new lease."""
        self.counts["write"] += 1
        return await self._call(self.store.grant_lease, seconds)

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return whether it still existed."""
        self.counts["write"] += 1
        return await self._call(self.store.renew_lease, lease)

    async def watch(self, prefix: str, after: int) -> AsyncIterator[list[Event]]:
        """Yield the changes under a prefix after a revision, in order."""
        self.counts["watch"] += 1
        async for events in self.store.watch(prefix, after):
            if self.faults.dead_watches and self._is_unreachable():
                await anyio.sleep_forever()
            while self.faults.silent_watch or self._is_unreachable():
                await anyio.sleep(0.05)
            await self.network.simulate_transit(STORE_HOST, self.host)
            yield events

    async def _call(self, method, *args, writes: bool = False):
        with anyio.move_on_after(CALL_TIMEOUT_SECONDS):
            await self.network.simulate_transit(self.host, STORE_HOST)
            await anyio.sleep(self.faults.slow_seconds)
            if self.faults.outage:
                await anyio.sleep_forever()
            result = await method(*args)
            if writes and result.ok and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                await anyio.sleep_forever()
            await self.network.simulate_transit(STORE_HOST, self.host)
            return result
        raise StoreUnavailable("no answer from the store")

    def _is_unreachable(self) -> bool:
        return self.faults.outage or self.network.is_partitioned(self.host, STORE_HOST)
