"""A store whose calls are counted and timed."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence

from ..telemetry import BatchMetrics
from .store import Compare, Delete, Entry, Event, Put, Snapshot, Store, TxnResult

__all__ = ["MeasuredStore"]

TO = "store"


class MeasuredStore:
    """Passes calls on to a store."""

    def __init__(self, store: Store, metrics: BatchMetrics):
        self.store = store
        self.metrics = metrics

    async def read(self, prefix: str) -> Snapshot:
        """Return all entries under a prefix."""
        return await self.metrics.measure(TO, "read", self.store.read(prefix))

    async def get(self, key: str) -> Entry | None:
        """Return the entry of one key, or None if there is none."""
        return await self.metrics.measure(TO, "get", self.store.get(key))

    async def commit(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply all writes if all conditions hold."""
        return await self.metrics.measure(TO, "commit", self.store.commit(compares, writes))

    async def grant_lease(self, seconds: float) -> int:
        """Return the identifier of a new lease."""
        return await self.metrics.measure(TO, "grant-lease", self.store.grant_lease(seconds))

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return whether it still existed."""
        return await self.metrics.measure(TO, "renew-lease", self.store.renew_lease(lease))

    async def revoke_lease(self, lease: int) -> None:
        """End a lease; the keys that live with it are deleted."""
        await self.metrics.measure(TO, "end-lease", self.store.revoke_lease(lease))

    def watch(self, prefix: str, after: int) -> AsyncIterator[list[Event]]:
        """Yield the changes under a prefix after a revision, in order."""
        return self.store.watch(prefix, after)
