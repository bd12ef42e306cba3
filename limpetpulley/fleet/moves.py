"""Moves of VMs between pools, from a shared spare and back."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator

from .budgets import BudgetCount
from .state import FleetState, PoolDemand, Step, StepKind, VmStatus

__all__ = ["AMPLE_SHARE", "SHORT_SHARE", "decide_moves"]

SHORT_SHARE = 0.95
AMPLE_SHARE = 0.7
LEND_AFTER_SECONDS = 1.0
RELEND_AFTER_SECONDS = 3.0
RETURN_AFTER_SECONDS = 60.0
MAX_MOVES_AT_ONCE = 4


def decide_moves(state: FleetState, count: BudgetCount) -> Iterator[Step]:
    """Yield the moves that bring more than they cost.

    A pool that has been short for longer than a move takes borrows from the spare pools, the
    shortest one first; what was lent goes back once the pool would long have done without.
    A move is one drain and one join of an idle VM, so demand that lasts a second is worth it,
    while the much longer wait before the return keeps a VM from going to and fro.

    :param state: the fleet
    :param count: what is down; VMs that move are added to it
    """
    by_pool: dict[str, list[VmStatus]] = defaultdict(list)
    for status in state.vms.values():
        by_pool[status.vm.pool].append(status)
    moving = sum(1 for status in state.vms.values() if status.vm.move_to)
    coming: Counter[str] = Counter(
        status.vm.move_to for status in state.vms.values() if status.vm.move_to
    )
    for pool in _short_pools(state):
        while moving < MAX_MOVES_AT_ONCE and coming[pool] < _lacking(by_pool[pool], state, pool):
            spare = _choose_spare(state, by_pool, pool, count)
            if spare is None:
                break
            by_pool[spare.vm.pool].remove(spare)
            moving += 1
            coming[pool] += 1
            count.take(spare.vm)
            yield Step(StepKind.LEAVE, spare.vm.name, "pool-short", pool=pool)
    for pool, statuses in by_pool.items():
        demand = state.demand.get(pool, PoolDemand())
        if demand.ample_seconds < RETURN_AFTER_SECONDS or moving >= MAX_MOVES_AT_ONCE:
            continue
        lent = [
            status
            for status in statuses
            if status.vm.home and status.available and count.blocking(status.vm) is None
        ]
        for status in lent[:1]:
            moving += 1
            count.take(status.vm)
            yield Step(StepKind.LEAVE, status.vm.name, "lent-and-ample", pool=status.vm.home)


def _short_pools(state: FleetState) -> list[str]:
    short = [
        (demand.waiting, pool)
        for pool, demand in state.demand.items()
        if demand.short_seconds >= LEND_AFTER_SECONDS
        and pool in state.pools
        and not state.pools[pool].spare
    ]
    return [pool for _, pool in sorted(short, reverse=True)]


def _lacking(statuses: list[VmStatus], state: FleetState, pool: str) -> int:
    """Return how many VMs a pool lacks for its running and waiting jobs."""
    demand = state.demand.get(pool, PoolDemand())
    slots = sum(status.vm.slots for status in statuses if status.available)
    each = max((status.vm.slots for status in state.vms.values()), default=1)
    missing = demand.running + demand.waiting - slots
    return max(0, -(-missing // each))


def _choose_spare(
    state: FleetState, by_pool: dict[str, list[VmStatus]], pool: str, count: BudgetCount
) -> VmStatus | None:
    """Return a spare VM, or one lent to a pool that has had room for a while.

    An idle one goes first, then one from the rack and data centre where the pool has fewest.
    """
    racks = Counter(status.vm.rack for status in by_pool[pool])
    centres = Counter(status.vm.data_centre for status in by_pool[pool])
    spare = [
        status
        for name, statuses in by_pool.items()
        if name != pool
        for status in statuses
        if _may_be_lent(status, state) and count.blocking(status.vm) is None
    ]
    return min(
        spare,
        key=lambda status: (
            not status.idle,
            centres[status.vm.data_centre],
            racks[status.vm.rack],
            status.vm.name,
        ),
        default=None,
    )


def _may_be_lent(status: VmStatus, state: FleetState) -> bool:
    """Return whether a VM can be spared: one at home that is idle, or one lent in vain."""
    if not status.available:
        return False
    pool = state.pools.get(status.vm.pool)
    if pool is not None and pool.spare:
        return status.idle
    demand = state.demand.get(status.vm.pool, PoolDemand())
    return bool(status.vm.home) and demand.ample_seconds >= RELEND_AFTER_SECONDS
