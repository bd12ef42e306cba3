"""The platform's key-value store: interface, mirror of its entries, and in-memory store."""

from .contact import StoreContact, read_purpose
from .measured import MeasuredStore
from .memory import MemoryStore
from .mirror import Mirror
from .store import Compare, Delete, Entry, Event, Put, Snapshot, Store, TxnResult
from .transfers import Transfers

__all__ = [
    "Compare",
    "Delete",
    "Entry",
    "Event",
    "MeasuredStore",
    "MemoryStore",
    "Mirror",
    "Put",
    "Snapshot",
    "Store",
    "StoreContact",
    "Transfers",
    "TxnResult",
    "read_purpose",
]
