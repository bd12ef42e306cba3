"""All decisions on the fleet at one moment."""

from __future__ import annotations

from .budgets import BudgetCount
from .moves import decide_moves
from .state import FleetState, Step
from .waves import advance_vms, drive_waves

__all__ = ["decide"]


def decide(state: FleetState) -> list[Step]:
    """Return the steps to take now.

    VMs on their way come first, then waves, then moves; all of them count against the same
    budgets.
    """
    count = BudgetCount(state)
    steps = list(advance_vms(state))
    steps += drive_waves(state, count)
    taken = {step.name for step in steps}
    steps += [step for step in decide_moves(state, count) if step.name not in taken]
    return steps
