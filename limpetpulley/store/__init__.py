"""The platform's key-value store: its interface, and clients that speak to it."""

from .etcd import EtcdStore
from .measured import MeasuredStore
from .memory import MemoryStore
from .mirror import Mirror
from .store import Compare, Delete, Entry, Event, Put, Snapshot, Store, TxnResult

__all__ = [
    "Compare",
    "Delete",
    "Entry",
    "EtcdStore",
    "Event",
    "MeasuredStore",
    "MemoryStore",
    "Mirror",
    "Put",
    "Snapshot",
    "Store",
    "TxnResult",
]
