"""Interface of the platform's key-value store."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from typing import Protocol

import attrs

__all__ = ["Compare", "Delete", "Entry", "Event", "Put", "Snapshot", "Store", "TxnResult"]


@attrs.frozen
class Entry:
    """A key, its value and the revision of its last modification."""

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Snapshot:
    """All entries whose keys have a prefix, at one revision of the store."""

    entries: tuple[Entry, ...]
    revision: int


@attrs.frozen
class Compare:
    """A condition on the revision of a key's last modification; 0 requires the key to be absent."""

    key: str
    revision: int


@attrs.frozen
class Put:
    """A write; ``lease`` is the lease that the key is attached to, 0 for none."""

    key: str
    value: bytes
    lease: int = 0


@attrs.frozen
class Delete:
    """A deletion of a key."""

    key: str


@attrs.frozen
class TxnResult:
    """Outcome of a transaction.

    :param ok: whether the conditions held and the writes were applied
    :param revision: the store's revision after the transaction
    """

    ok: bool
    revision: int


@attrs.frozen
class Event:
    """A change reported by a watch; ``value`` is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


class Store(Protocol):
    """A key-value store with conditional transactions, leases and watches.

    Every call raises :class:`~limpetpulley.exception.StoreUnavailable` if there is no response; a
    write may then have been applied.
    """

    async def read(self, prefix: str) -> Snapshot:
        """Return all entries whose keys have a prefix."""

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if there is none."""

    async def commit(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply all writes in one transaction if all conditions hold."""

    async def grant_lease(self, seconds: float) -> int:
        """Grant a lease of a duration in seconds and return its identifier."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease and return whether it still existed."""

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys attached to it."""

    def watch(self, prefix: str, after: int) -> AsyncIterator[list[Event]]:
        """Yield the changes of keys with a prefix after a revision, in order.

        :param after: revision after which changes are reported
        :raises StoreError: if changes since that revision are no longer available
        """
