"""The platform's services: store, list of VMs and workers."""

from .etcd import EtcdStore
from .memory import MemoryStore
from .store import Compare, Delete, Entry, Event, Put, Snapshot, Store, TxnResult
from .vms import HttpPlatform, ListedVm, VmList, VmState, Workers

__all__ = [
    "Compare",
    "Delete",
    "Entry",
    "EtcdStore",
    "Event",
    "HttpPlatform",
    "ListedVm",
    "MemoryStore",
    "Put",
    "Snapshot",
    "Store",
    "TxnResult",
    "VmList",
    "VmState",
    "Workers",
]
