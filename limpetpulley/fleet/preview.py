"""Preview of a maintenance wave before it is started."""

from __future__ import annotations

import math
from collections import Counter

import attrs

from ..config import Budget, VmPhase, Wave
from .budgets import DEFAULT_BUDGET, BudgetTracker
from .state import FleetState, VmStatus
from .waves import remaining_vms

__all__ = ["WavePreview", "lower_bound_rounds", "preview_wave"]

MAX_ROUNDS = 10_000


@attrs.frozen
class WavePreview:
    """Expected course of a wave.

    :param vms: number of VMs that it maintains
    :param rounds: names of the VMs that are drained together, in order
    :param seconds: expected duration
    :param bound_seconds: lower bound on the duration that follows from the budgets
    :param binding: budgets that delayed VMs, the most binding first
    :param blocked: VMs that the budgets never allow to be drained
    """

    vms: int
    rounds: tuple[tuple[str, ...], ...]
    seconds: float
    bound_seconds: float
    binding: tuple[str, ...]
    blocked: tuple[str, ...]


def preview_wave(state: FleetState, wave: Wave, seconds_per_vm: float) -> WavePreview:
    """Return the course of a wave, assuming that nothing else happens to the fleet.

    :param state: the fleet
    :param wave: the wave
    :param seconds_per_vm: time for one VM to drain, restart and join, in seconds
    """
    remaining = remaining_vms(state, wave)
    total = len(remaining)
    rounds: list[tuple[str, ...]] = []
    binding: Counter[str] = Counter()
    while remaining and len(rounds) < MAX_ROUNDS:
        budgets = BudgetTracker(state)
        chosen: list[VmStatus] = []
        for status in remaining:
            if not rounds and chosen:
                break
            blocking = budgets.blocking_budget(status.vm)
            if not status.available:
                continue
            if blocking is not None:
                binding[blocking.name] += 1
                continue
            budgets.mark_unavailable(status.vm)
            chosen.append(status)
        if not chosen:
            break
        rounds.append(tuple(status.vm.name for status in chosen))
        names = {status.vm.name for status in chosen}
        remaining = [status for status in remaining if status.vm.name not in names]
    bound = lower_bound_rounds(state, wave)
    return WavePreview(
        total,
        tuple(rounds),
        len(rounds) * seconds_per_vm,
        bound * seconds_per_vm,
        tuple(name for name, _ in binding.most_common()),
        tuple(status.vm.name for status in remaining),
    )


def lower_bound_rounds(state: FleetState, wave: Wave) -> int:
    """Return the fewest rounds that the budgets allow a wave, not counting that of its first VM.

    :returns: the maximum, over all budgets, of the VMs to maintain divided by the VMs that may be
        unavailable at once
    """
    vms = [status.vm for status in remaining_vms(state, wave) if status.vm.phase is VmPhase.JOINED]
    budgets: tuple[Budget, ...] = state.budgets or (DEFAULT_BUDGET,)
    bound = 1 if vms else 0
    for budget in budgets:
        targets = Counter(getattr(vm, budget.scope) for vm in vms)
        for target, size in targets.items():
            if budget.target in ("*", target) and budget.max_unavailable:
                bound = max(bound, math.ceil(size / budget.max_unavailable))
    return bound
