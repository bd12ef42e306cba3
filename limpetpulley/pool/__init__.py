"""State of one pool as its owner keeps it, and the scheduling decisions on it, without I/O."""

from .events import PoolEvent
from .planning import Order, PlanningLimits, plan_orders
from .replies import process_hold_reply, process_start_reply, process_stop_reply
from .run_times import TaskRunTimes
from .speculation import requeue_speculative_tasks
from .state import PoolState

__all__ = [
    "Order",
    "PlanningLimits",
    "PoolEvent",
    "PoolState",
    "TaskRunTimes",
    "plan_orders",
    "process_hold_reply",
    "process_start_reply",
    "process_stop_reply",
    "requeue_speculative_tasks",
]
