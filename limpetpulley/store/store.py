"""Interface of the platform's key-value store."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from typing import Protocol

import attrs

__all__ = ["Compare", "Delete", "Entry", "Event", "Put", "Snapshot", "Store", "TxnResult"]


@attrs.frozen
class Entry:
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Snapshot:
    """All entries under a prefix at one revision of the store."""

    entries: tuple[Entry, ...]
    revision: int


@attrs.frozen
class Compare:
    """A condition: the key's last change is this revision; 0 for an absent key."""

    key: str
    revision: int


@attrs.frozen
class Put:
    """A write; ``lease`` is the lease that the key lives with, 0 for none."""

    key: str
    value: bytes
    lease: int = 0


@attrs.frozen
class Delete:
    """A deletion."""

    key: str


@attrs.frozen
class TxnResult:
    """Outcome of a transaction.

    :param ok: whether the conditions held and the writes took effect
    :param revision: the store's revision after it
    """

    ok: bool
    revision: int


@attrs.frozen
class Event:
    """A change seen by a watch; ``value`` is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


class Store(Protocol):
    """A key-value service with compare-and-swap, leases and watches.

    Every call raises :class:`~limpetpulley.exception.StoreUnavailable` when no answer came;
    a write may then have taken effect.
    """

    async def read(self, prefix: str) -> Snapshot:
        """Return all entries under a prefix."""

    async def get(self, key: str) -> Entry | None:
        """Return the entry of one key, or None if there is none."""

    async def commit(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply all writes if all conditions hold."""

    async def grant_lease(self, seconds: float) -> int:
        """Return the identifier of a new lease."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return whether it still existed."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease; the keys that live with it are deleted."""

    def watch(self, prefix: str, after: int) -> AsyncIterator[list[Event]]:
        """Yield the changes under a prefix after a revision, in order.

        :raises StoreError: if changes since that revision are no longer known
        """
