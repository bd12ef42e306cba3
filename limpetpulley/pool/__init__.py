"""State of one pool as its owner keeps it, and the scheduling decisions on it, without I/O."""

from .book import PoolBook
from .change import Change
from .copies import copy_runs
from .planning import Order, PlanningLimits, plan_orders
from .times import TaskTimes

__all__ = ["Change", "Order", "PlanningLimits", "PoolBook", "TaskTimes", "copy_runs", "plan_orders"]
