"""A store client that records metrics of its calls."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence

from ..telemetry import BatchMetrics
from .store import Compare, Delete, Entry, Event, Put, Snapshot, Store, TxnResult

__all__ = ["MeasuredStore"]

CALL_TARGET = "store"


class MeasuredStore:
    """Records the duration and result of each call of another store client, except of watches."""

    def __init__(self, store: Store, metrics: BatchMetrics):
        self.store = store
        self.metrics = metrics

    async def read(self, prefix: str) -> Snapshot:
        """Return all entries whose keys have a prefix."""
        return await self.metrics.measure(CALL_TARGET, "read", self.store.read(prefix))

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if there is none."""
        return await self.metrics.measure(CALL_TARGET, "get", self.store.get(key))

    async def commit(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply all writes in one transaction if all conditions hold."""
        return await self.metrics.measure(
            CALL_TARGET, "commit", self.store.commit(compares, writes)
        )

    async def grant_lease(self, seconds: float) -> int:
        """Grant a lease and return its identifier."""
        return await self.metrics.measure(
            CALL_TARGET, "grant-lease", self.store.grant_lease(seconds)
        )

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease and return whether it still existed."""
        return await self.metrics.measure(CALL_TARGET, "renew-lease", self.store.renew_lease(lease))

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys attached to it."""
        await self.metrics.measure(CALL_TARGET, "end-lease", self.store.revoke_lease(lease))

    def watch(self, prefix: str, after: int) -> AsyncIterator[list[Event]]:
        """Yield the changes of keys with a prefix after a revision, in order."""
        return self.store.watch(prefix, after)
