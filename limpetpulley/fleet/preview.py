"""What a maintenance wave would do, before it is started."""

from __future__ import annotations

import math
from collections import Counter

import attrs

from ..config import Budget, VmPhase, Wave
from .budgets import DEFAULT_BUDGET, BudgetCount
from .state import FleetState, VmStatus
from .waves import remaining

__all__ = ["WavePreview", "lower_bound_rounds", "preview_wave"]

MAX_ROUNDS = 10_000


@attrs.frozen
class WavePreview:
    """What a wave would do.

    :param vms: VMs that it maintains
    :param rounds: names of the VMs taken at once, in order
    :param seconds: how long it takes
    :param bound_seconds: how long the budgets make it take at the least
    :param binding: budgets that held VMs back, the most binding first
    :param blocked: VMs that the budgets never let go
    """

    vms: int
    rounds: tuple[tuple[str, ...], ...]
    seconds: float
    bound_seconds: float
    binding: tuple[str, ...]
    blocked: tuple[str, ...]


def preview_wave(state: FleetState, wave: Wave, seconds_each: float) -> WavePreview:
    """Return what a wave would do if nothing else happened.

    :param state: the fleet
    :param wave: the wave
    :param seconds_each: time for one VM to drain, restart and join, in seconds
    """
    left = remaining(state, wave)
    total = len(left)
    rounds: list[tuple[str, ...]] = []
    binding: Counter[str] = Counter()
    while left and len(rounds) < MAX_ROUNDS:
        count = BudgetCount(state)
        taken: list[VmStatus] = []
        for status in left:
            if not rounds and taken:
                break
            blocking = count.blocking(status.vm)
            if not status.available:
                continue
            if blocking is not None:
                binding[blocking.name] += 1
                continue
            count.take(status.vm)
            taken.append(status)
        if not taken:
            break
        rounds.append(tuple(status.vm.name for status in taken))
        names = {status.vm.name for status in taken}
        left = [status for status in left if status.vm.name not in names]
    bound = lower_bound_rounds(state, wave)
    return WavePreview(
        total,
        tuple(rounds),
        len(rounds) * seconds_each,
        bound * seconds_each,
        tuple(name for name, _ in binding.most_common()),
        tuple(status.vm.name for status in left),
    )


def lower_bound_rounds(state: FleetState, wave: Wave) -> int:
    """Return the fewest rounds that the budgets allow a wave, its first VM apart.

    :returns: the most, over all budgets, of VMs to maintain by VMs that may be down at once
    """
    left = [status.vm for status in remaining(state, wave) if status.vm.phase is VmPhase.JOINED]
    budgets: tuple[Budget, ...] = state.budgets or (DEFAULT_BUDGET,)
    bound = 1 if left else 0
    for budget in budgets:
        targets = Counter(getattr(vm, budget.scope) for vm in left)
        for target, size in targets.items():
            if budget.target in ("*", target) and budget.max_unavailable:
                bound = max(bound, math.ceil(size / budget.max_unavailable))
    return bound
