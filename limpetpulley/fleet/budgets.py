"""Availability budgets: how many VMs may be unavailable at once."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from ..config import Budget, Vm
from .state import FleetState, VmStatus

__all__ = ["BudgetTracker", "DEFAULT_BUDGET"]

DEFAULT_BUDGET = Budget("default", "pool", "*", 1)


class BudgetTracker:
    """Counts the unavailable VMs of each pool, rack and data centre, whatever the cause.

    >>> from ..config import Pool, Vm
    >>> vm = Vm("a", "p", "h:1", "r", "d")
    >>> budgets = BudgetTracker(FleetState({"a": VmStatus(vm)}, {"p": Pool("p")}))
    >>> budgets.blocking_budget(vm) is None
    True
    >>> budgets.mark_unavailable(vm)
    >>> budgets.blocking_budget(vm).name
    'default'
    """

    def __init__(self, state: FleetState):
        self.pools = state.pools
        self.unavailable: Counter[tuple[str, str]] = Counter()
        self.available: Counter[str] = Counter()
        self.by_target: dict[tuple[str, str], list[Budget]] = {}
        budgets: Iterable[Budget] = state.budgets or (DEFAULT_BUDGET,)
        for budget in budgets:
            self.by_target.setdefault((budget.scope, budget.target), []).append(budget)
        for status in state.vms.values():
            self._count(status)

    def blocking_budget(self, vm: Vm) -> Budget | None:
        """Return a budget that forbids making a VM unavailable now, or None."""
        for scope, target in _targets(vm):
            unavailable = self.unavailable[scope, target]
            for budget in self._budgets_for(scope, target):
                if unavailable + 1 > budget.max_unavailable:
                    return budget
        pool = self.pools.get(vm.pool)
        if pool is not None and self.available[vm.pool] - 1 < pool.min_vms:
            return Budget(f"min-vms-of-{pool.name}", "pool", pool.name, pool.min_vms)
        return None

    def mark_unavailable(self, vm: Vm) -> None:
        """Count an available VM as unavailable from now on."""
        for target in _targets(vm):
            self.unavailable[target] += 1
        self.available[vm.pool] -= 1

    def exceeded(self) -> list[tuple[Budget, str, int]]:
        """Return the budgets exceeded now, each with its target and the unavailable VMs there."""
        return [
            (budget, target, unavailable)
            for (scope, target), unavailable in self.unavailable.items()
            for budget in self._budgets_for(scope, target)
            if unavailable > budget.max_unavailable
        ]

    def _count(self, status: VmStatus) -> None:
        if status.available:
            self.available[status.vm.pool] += 1
        else:
            for target in _targets(status.vm):
                self.unavailable[target] += 1

    def _budgets_for(self, scope: str, target: str) -> Iterable[Budget]:
        yield from self.by_target.get((scope, target), ())
        yield from self.by_target.get((scope, "*"), ())


def _targets(vm: Vm) -> tuple[tuple[str, str], ...]:
    return (("pool", vm.pool), ("rack", vm.rack), ("data_centre", vm.data_centre))
