"""Moves of VMs from shared spare pools to pools that are short of slots, and back."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator

from .budgets import BudgetTracker
from .state import FleetState, PoolDemand, Step, StepKind, VmStatus

__all__ = ["SHORTAGE_UTILIZATION", "SURPLUS_UTILIZATION", "decide_moves"]

SHORTAGE_UTILIZATION = 0.95
SURPLUS_UTILIZATION = 0.7
LEND_AFTER_SECONDS = 1.0
RELEND_AFTER_SECONDS = 3.0
RETURN_AFTER_SECONDS = 60.0
MAX_CONCURRENT_MOVES = 4


def decide_moves(state: FleetState, budgets: BudgetTracker) -> Iterator[Step]:
    """Yield the moves whose benefit exceeds their cost.

    A pool that has been short of slots for longer than a move takes borrows from the spare pools;
    the pool with the most waiting jobs goes first. A lent VM returns once the pool has had a
    surplus for a long time. A move costs one drain and one join of an idle VM, so it pays off even
    for demand that lasts a second, while the much longer wait before the return keeps VMs from
    moving back and forth.

    :param state: the fleet
    :param budgets: unavailable VMs; VMs that move are added to them
    """
    by_pool: dict[str, list[VmStatus]] = defaultdict(list)
    for status in state.vms.values():
        by_pool[status.vm.pool].append(status)
    moving = sum(1 for status in state.vms.values() if status.vm.move_to)
    incoming: Counter[str] = Counter(
        status.vm.move_to for status in state.vms.values() if status.vm.move_to
    )
    for pool in _pools_with_shortage(state):
        while moving < MAX_CONCURRENT_MOVES and incoming[pool] < _missing_vms(
            by_pool[pool], state, pool
        ):
            lent = _choose_vm_to_lend(state, by_pool, pool, budgets)
            if lent is None:
                break
            by_pool[lent.vm.pool].remove(lent)
            moving += 1
            incoming[pool] += 1
            budgets.mark_unavailable(lent.vm)
            yield Step(StepKind.LEAVE, lent.vm.name, "pool-short", pool=pool)
    for pool, statuses in by_pool.items():
        demand = state.demand.get(pool, PoolDemand())
        if demand.surplus_seconds < RETURN_AFTER_SECONDS or moving >= MAX_CONCURRENT_MOVES:
            continue
        returnable = [
            status
            for status in statuses
            if status.vm.home and status.available and budgets.blocking_budget(status.vm) is None
        ]
        for status in returnable[:1]:
            moving += 1
            budgets.mark_unavailable(status.vm)
            yield Step(StepKind.LEAVE, status.vm.name, "lent-and-ample", pool=status.vm.home)


def _pools_with_shortage(state: FleetState) -> list[str]:
    """Return the pools that may borrow VMs, those with the most waiting jobs first."""
    short = [
        (demand.waiting, pool)
        for pool, demand in state.demand.items()
        if demand.shortage_seconds >= LEND_AFTER_SECONDS
        and pool in state.pools
        and not state.pools[pool].spare
    ]
    return [pool for _, pool in sorted(short, reverse=True)]


def _missing_vms(statuses: list[VmStatus], state: FleetState, pool: str) -> int:
    """Return how many VMs a pool is short of for its running and waiting jobs."""
    demand = state.demand.get(pool, PoolDemand())
    slots = sum(status.vm.slots for status in statuses if status.available)
    slots_per_vm = max((status.vm.slots for status in state.vms.values()), default=1)
    missing_slots = demand.running + demand.waiting - slots
    return max(0, -(-missing_slots // slots_per_vm))


def _choose_vm_to_lend(
    state: FleetState, by_pool: dict[str, list[VmStatus]], pool: str, budgets: BudgetTracker
) -> VmStatus | None:
    """Return a VM of a spare pool, or one on loan to a pool that has had a surplus for a while.

    Idle VMs are preferred, then VMs in the data centre and the rack where the borrowing pool has
    the fewest.
    """
    racks = Counter(status.vm.rack for status in by_pool[pool])
    data_centres = Counter(status.vm.data_centre for status in by_pool[pool])
    candidates = [
        status
        for name, statuses in by_pool.items()
        if name != pool
        for status in statuses
        if _may_be_lent(status, state) and budgets.blocking_budget(status.vm) is None
    ]
    return min(
        candidates,
        key=lambda status: (
            not status.idle,
            data_centres[status.vm.data_centre],
            racks[status.vm.rack],
            status.vm.name,
        ),
        default=None,
    )


def _may_be_lent(status: VmStatus, state: FleetState) -> bool:
    """Return whether a VM is idle in a spare pool, or on loan to a pool that has a surplus."""
    if not status.available:
        return False
    pool = state.pools.get(status.vm.pool)
    if pool is not None and pool.spare:
        return status.idle
    demand = state.demand.get(status.vm.pool, PoolDemand())
    return bool(status.vm.home) and demand.surplus_seconds >= RELEND_AFTER_SECONDS
