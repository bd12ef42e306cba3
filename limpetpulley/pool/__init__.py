"""State of one pool as its owner keeps it, and the scheduling decisions on it, without I/O."""

from .events import PoolEvent
from .planning import Order, PlanningLimits, plan_orders
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
    "requeue_speculative_tasks",
]
