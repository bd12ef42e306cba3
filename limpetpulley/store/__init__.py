"""The platform's key-value store: interface, mirror of its entries, and in-memory store."""

from .contact import StoreContact, read_purpose
from .difference import Piece, apply_difference, find_difference
from .history import LARGE_VALUE_BYTES, EntryHistory
from .measured import MeasuredStore
from .memory import MemoryStore
from .mirror import Mirror, Upstream
from .store import Compare, Delete, Entry, Event, Put, Snapshot, Store, TxnResult
from .transfers import Transfers

__all__ = [
    "Compare",
    "Delete",
    "Entry",
    "EntryHistory",
    "Event",
    "LARGE_VALUE_BYTES",
    "MeasuredStore",
    "MemoryStore",
    "Mirror",
    "Piece",
    "Put",
    "Snapshot",
    "Store",
    "StoreContact",
    "Transfers",
    "TxnResult",
    "Upstream",
    "apply_difference",
    "find_difference",
    "read_purpose",
]
