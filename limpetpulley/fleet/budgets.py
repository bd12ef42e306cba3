"""Availability budgets: how many VMs may be down at once."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from ..config import Budget, Vm
from .state import FleetState, VmStatus

__all__ = ["BudgetCount", "DEFAULT_BUDGET"]

DEFAULT_BUDGET = Budget("default", "pool", "*", 1)


class BudgetCount:
    """Counts what is down in each pool, rack and data centre, for whatever reason.

    >>> from ..config import Pool, Vm
    >>> vm = Vm("a", "p", "h:1", "r", "d")
    >>> count = BudgetCount(FleetState({"a": VmStatus(vm)}, {"p": Pool("p")}))
    >>> count.blocking(vm) is None
    True
    >>> count.take(vm)
    >>> count.blocking(vm).name
    'default'
    """

    def __init__(self, state: FleetState):
        self.pools = state.pools
        self.down: Counter[tuple[str, str]] = Counter()
        self.serving: Counter[str] = Counter()
        self.by_target: dict[tuple[str, str], list[Budget]] = {}
        budgets: Iterable[Budget] = state.budgets or (DEFAULT_BUDGET,)
        for budget in budgets:
            self.by_target.setdefault((budget.scope, budget.target), []).append(budget)
        for status in state.vms.values():
            self._count(status)

    def blocking(self, vm: Vm) -> Budget | None:
        """Return a budget that forbids to take a VM down now, or None."""
        for scope, target in _targets(vm):
            down = self.down[scope, target]
            for budget in self._budgets(scope, target):
                if down + 1 > budget.max_unavailable:
                    return budget
        pool = self.pools.get(vm.pool)
        if pool is not None and self.serving[vm.pool] - 1 < pool.min_vms:
            return Budget(f"min-vms-of-{pool.name}", "pool", pool.name, pool.min_vms)
        return None

    def take(self, vm: Vm) -> None:
        """Count a VM as down."""
        for target in _targets(vm):
            self.down[target] += 1
        self.serving[vm.pool] -= 1

    def broken(self) -> list[tuple[Budget, str, int]]:
        """Return the budgets passed now, each with its target and what is down there."""
        return [
            (budget, target, down)
            for (scope, target), down in self.down.items()
            for budget in self._budgets(scope, target)
            if down > budget.max_unavailable
        ]

    def _count(self, status: VmStatus) -> None:
        if status.available:
            self.serving[status.vm.pool] += 1
        else:
            for target in _targets(status.vm):
                self.down[target] += 1

    def _budgets(self, scope: str, target: str) -> Iterable[Budget]:
        yield from self.by_target.get((scope, target), ())
        yield from self.by_target.get((scope, "*"), ())


def _targets(vm: Vm) -> tuple[tuple[str, str], ...]:
    return (("pool", vm.pool), ("rack", vm.rack), ("data_centre", vm.data_centre))
