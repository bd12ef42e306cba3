"""Workers: leases on them, what runs there, and the orders that they take."""

from .lease import WorkerLease
from .measured import MeasuredOrders
from .orders import PaceOrder, StartOrder, StartReply, StopOrder, WorkerOrders
from .state import (
    Ended,
    HoldReply,
    ListedWorker,
    Run,
    Running,
    RunPhase,
    StartOutcome,
    Worker,
)

__all__ = [
    "Ended",
    "HoldReply",
    "ListedWorker",
    "MeasuredOrders",
    "PaceOrder",
    "Run",
    "RunPhase",
    "Running",
    "StartOrder",
    "StartOutcome",
    "StartReply",
    "StopOrder",
    "Worker",
    "WorkerLease",
    "WorkerOrders",
]
