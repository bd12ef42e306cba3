"""One daemon's client of the in-memory store, with injected faults."""

from __future__ import annotations

import contextlib
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

import anyio
import anyio.abc
import attrs

from ..exception import StoreError, StoreUnavailable
from ..store import Compare, Delete, Entry, Event, MemoryStore, Put, Snapshot, TxnResult
from .faults import Faults
from .network import MemoryNetwork
from .virtual import HOST

__all__ = ["FaultyStore", "STORE_HOST"]

STORE_HOST = "store"
CALL_TIMEOUT_SECONDS = 2.0
#: shortest delay of a write that is carried out late, in seconds
MIN_LATE_SECONDS = 1.0


@attrs.define
class FaultyStore:
    """A :class:`~limpetpulley.store.Store` with injected faults.

    :param store: store that carries the calls out
    :param faults: faults that are currently injected
    :param network: network between the host and the store
    :param host: host that sends the calls
    :param counts: number of calls of all daemons, by kind
    :param late_tasks: task group in which late writes are carried out, None for no such writes
    :param rng: chooses the late writes and their delays
    """

    store: MemoryStore
    faults: Faults
    network: MemoryNetwork
    host: str
    counts: Counter[str]
    late_tasks: anyio.abc.TaskGroup | None = None
    rng: random.Random = attrs.field(factory=lambda: random.Random(0))

    async def get(self, key: str) -> Entry | None:
        """Return the entry of one key, or None if there is none."""
        self.counts["get"] += 1
        return await self._call(self.store.get, key)

    async def revoke_lease(self, lease: int) -> None:
        """End a lease."""
        self.counts["lease"] += 1
        await self._call(self.store.revoke_lease, lease, changes=True)

    async def read(self, prefix: str) -> Snapshot:
        """Return all entries under a prefix."""
        self.counts["read"] += 1
        return await self._call(self.store.read, prefix)

    async def commit(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply all writes atomically if all compares hold."""
        self.counts["write"] += 1
        return await self._call(self.store.commit, compares, writes, writes=True, changes=True)

    async def grant_lease(self, seconds: float) -> int:
        """Return the identifier of a new lease."""
        self.counts["write"] += 1
        return await self._call(self.store.grant_lease, seconds, changes=True)

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return whether it still existed."""
        self.counts["write"] += 1
        return await self._call(self.store.renew_lease, lease, changes=True)

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

    async def _call(self, method, *args, writes: bool = False, changes: bool = False):
        late_tasks = self.late_tasks if changes and self.faults.late_write_share else None
        with anyio.move_on_after(CALL_TIMEOUT_SECONDS):
            await self.network.simulate_transit(self.host, STORE_HOST)
            await anyio.sleep(self.faults.slow_seconds)
            if self.faults.outage:
                await anyio.sleep_forever()
            if late_tasks and self.rng.random() < self.faults.late_write_share:
                late_tasks.start_soon(self._carry_out_late, method, args)
                await anyio.sleep_forever()
            result = await method(*args)
            if writes and result.ok and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                await anyio.sleep_forever()
            await self.network.simulate_transit(STORE_HOST, self.host)
            return result
        raise StoreUnavailable("no answer from the store")

    async def _carry_out_late(self, method: Callable[..., Any], args: tuple) -> None:
        HOST.set("")
        await anyio.sleep(self.rng.uniform(MIN_LATE_SECONDS, self.faults.late_write_seconds))
        with contextlib.suppress(StoreError):
            await method(*args)

    def _is_unreachable(self) -> bool:
        return self.faults.outage or self.network.is_partitioned(self.host, STORE_HOST)
