"""Workers: their leases, the runs on them, and the orders sent to them."""

from .lease import WorkerLease
from .measured import MeasuredOrderSender
from .orders import OrderSender, PaceOrder, StartOrder, StartReply, StopOrder
from .state import (
    EndedRun,
    HoldReply,
    ListedRun,
    ListedWorker,
    Run,
    RunPhase,
    StartOutcome,
    Worker,
)

__all__ = [
    "EndedRun",
    "HoldReply",
    "ListedRun",
    "ListedWorker",
    "MeasuredOrderSender",
    "OrderSender",
    "PaceOrder",
    "Run",
    "RunPhase",
    "StartOrder",
    "StartOutcome",
    "StartReply",
    "StopOrder",
    "Worker",
    "WorkerLease",
]
