"""State of one pool as its owner keeps it, and the scheduling decisions on it, without I/O."""

from .state import PoolState
from .events import PoolEvent
from .speculation import requeue_speculative_tasks
from .planning import Order, PlanningLimits, plan_orders
from .run_times import TaskRunTimes

__all__ = ["Change", "Order", "PlanningLimits", "PoolBook", "TaskTimes", "copy_runs", "plan_orders"]
