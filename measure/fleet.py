"""Waves and moves over the planner's own decisions, stepped in simulated time."""

from __future__ import annotations

import math
import random
import time

import attrs

from limpetpulley.config import Budget, Pool, Vm, VmPhase, Wave
from limpetpulley.fleet.budgets import BudgetTracker
from limpetpulley.fleet.decide import decide
from limpetpulley.fleet.preview import lower_bound_rounds
from limpetpulley.fleet.state import FleetState, StepKind, VmStatus

from .deployments import DEPLOYMENTS, Deployment
from .table import Row

__all__ = ["measure_fleet", "measure_planning"]

TICK_SECONDS = 0.5
DRAIN_SECONDS = 3.0
REBOOT_SECONDS = 60.0
WORKERS = 910
POOLS = 264


@attrs.define
class _Machine:
    vm: Vm
    since: float = 0.0
    away: bool = False


def measure_fleet(name: str) -> list[Row]:
    """Return how long a full wave takes against its lower bound and against one VM at a time."""
    deployment = DEPLOYMENTS[name]
    state = _state(deployment)
    bound = lower_bound_rounds(state, Wave("w")) + 1
    each = DRAIN_SECONDS + REBOOT_SECONDS
    seconds, exceeded = _run_wave(state)
    plain = len(state.vms) * each
    return [
        Row("roll-out of a full wave", seconds, "s"),
        Row(
            "against the budgets' lower bound with a canary", seconds / (bound * each), "x", "1.15"
        ),
        Row("against one VM at a time", seconds / plain, "x"),
        Row("budget violations", exceeded, "", "0"),
    ]


def measure_planning() -> list[Row]:
    """Return the time of one planning round at four sizes."""
    rows = []
    for workers in (WORKERS // 8, WORKERS // 4, WORKERS // 2, WORKERS):
        state = _large_state(workers, max(1, POOLS * workers // WORKERS), random.Random(1))
        times = []
        for _ in range(15):
            began = time.perf_counter()
            decide(state)
            times.append(time.perf_counter() - began)
        median = sorted(times)[len(times) // 2] * 1000
        target = "under 100" if workers == WORKERS else ""
        rows.append(Row(f"planning round, {workers} workers", median, "ms", target))
    return rows


def _state(deployment: Deployment) -> FleetState:
    objects = deployment.objects()
    return FleetState(
        {value.name: VmStatus(value) for value in objects if isinstance(value, Vm)},
        {value.name: value for value in objects if isinstance(value, Pool)},
        tuple(value for value in objects if isinstance(value, Budget)),
        (Wave("w"),),
    )


def _large_state(workers: int, pools: int, rng: random.Random) -> FleetState:
    vms = {}
    for index in range(workers):
        vm = Vm(
            f"vm-{index}",
            f"pool-{index % pools}",
            f"192.0.2.1:{1000 + index}",
            f"rack-{index // 16}",
            f"dc-{index % 6}",
        )
        vms[vm.name] = VmStatus(vm, up=rng.random() > 0.02)
    budgets = (
        Budget("pools", "pool", "*", 1),
        Budget("racks", "rack", "*", 2),
        Budget("centres", "data_centre", "*", 12),
    )
    names = [f"pool-{index}" for index in range(pools)]
    return FleetState(vms, {name: Pool(name) for name in names}, budgets, (Wave("w"),))


def _run_wave(state: FleetState) -> tuple[float, int]:
    """Step the decisions until the wave is done; return the seconds and broken budgets."""
    machines = {name: _Machine(status.vm) for name, status in state.vms.items()}
    now, exceeded = 0.0, 0
    while now < 86_400:
        current = attrs.evolve(
            state, vms={name: _status(machine, now) for name, machine in machines.items()}
        )
        exceeded += len(BudgetTracker(current).exceeded())
        for step in decide(current):
            if step.kind is StepKind.FINISH_WAVE:
                return now, exceeded
            _apply(machines[step.name], step.kind, now)
        now += TICK_SECONDS
    return math.inf, exceeded


def _status(machine: _Machine, now: float) -> VmStatus:
    since = now - machine.since
    rebooting = machine.vm.phase is VmPhase.REBOOTING
    away = rebooting and 1.0 < since < REBOOT_SECONDS
    machine.away |= away
    return VmStatus(
        machine.vm,
        up=not away,
        idle=since >= DRAIN_SECONDS,
        phase_seconds=since,
        was_down=machine.away,
    )


def _apply(machine: _Machine, kind: StepKind, now: float) -> None:
    phases = {
        StepKind.LEAVE: VmPhase.LEAVING,
        StepKind.DRAINED: VmPhase.DRAINED,
        StepKind.REBOOT: VmPhase.REBOOTING,
        StepKind.JOIN: VmPhase.JOINED,
    }
    done = machine.vm.maintained_in
    wave = "w"
    if kind is StepKind.JOIN:
        done, wave = "w", ""
    machine.vm = attrs.evolve(machine.vm, phase=phases[kind], wave=wave, maintained_in=done)
    machine.since, machine.away = now, False
