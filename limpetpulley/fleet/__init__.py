"""Pools, moves, maintenance waves and the spare buffer."""

from .budgets import BudgetCount
from .decide import decide
from .planner import FleetPlanner
from .preview import preview_wave
from .report import FleetReport
from .state import FleetState, PoolDemand, Step, StepKind, VmStatus

__all__ = [
    "BudgetCount",
    "FleetPlanner",
    "FleetReport",
    "FleetState",
    "PoolDemand",
    "Step",
    "StepKind",
    "VmStatus",
    "decide",
    "preview_wave",
]
