"""All decisions on the fleet at one moment."""

from __future__ import annotations

from .budgets import BudgetTracker
from .moves import decide_moves
from .state import FleetState, Step
from .waves import advance_vms, advance_waves

__all__ = ["decide"]


def decide(state: FleetState) -> list[Step]:
    """Return the steps to carry out now.

    VMs in transition come first, then waves, then moves; all of them are subject to the same
    budgets.
    """
    budgets = BudgetTracker(state)
    steps = list(advance_vms(state))
    steps += advance_waves(state, budgets)
    scheduled = {step.name for step in steps}
    steps += [step for step in decide_moves(state, budgets) if step.name not in scheduled]
    return steps
