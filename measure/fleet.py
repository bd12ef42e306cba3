"""Full maintenance waves decided by the planner's code, stepped in simulated time."""

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
MAX_VMS = 910
MAX_POOLS = 264


@attrs.define
class _Machine:
    vm: Vm
    phase_started_at: float = 0.0
    was_down: bool = False


def measure_fleet(name: str) -> list[Row]:
    """Return the duration of a full wave, also relative to its lower bound and to a serial wave."""
    deployment = DEPLOYMENTS[name]
    state = _make_state(deployment)
    bound_rounds = lower_bound_rounds(state, Wave("w")) + 1
    vm_seconds = DRAIN_SECONDS + REBOOT_SECONDS
    seconds, violations = _run_wave(state)
    serial_seconds = len(state.vms) * vm_seconds
    return [
        Row("duration of a full wave", seconds, "s"),
        Row(
            "relative to the budgets' lower bound with a canary",
            seconds / (bound_rounds * vm_seconds),
            "x",
            "1.15",
        ),
        Row("relative to one VM at a time", seconds / serial_seconds, "x"),
        Row("budget violations", violations, "", "0"),
    ]


def measure_planning() -> list[Row]:
    """Return the time of one planning round at four fleet sizes."""
    rows = []
    for vm_count in (MAX_VMS // 8, MAX_VMS // 4, MAX_VMS // 2, MAX_VMS):
        state = make_large_state(
            vm_count, max(1, MAX_POOLS * vm_count // MAX_VMS), random.Random(1)
        )
        times = []
        for _ in range(15):
            started_at = time.perf_counter()
            decide(state)
            times.append(time.perf_counter() - started_at)
        median = sorted(times)[len(times) // 2] * 1000
        target = "under 100" if vm_count == MAX_VMS else ""
        rows.append(Row(f"planning round, {vm_count} VMs", median, "ms", target))
    return rows


def _make_state(deployment: Deployment) -> FleetState:
    objects = deployment.objects()
    return FleetState(
        {value.name: VmStatus(value) for value in objects if isinstance(value, Vm)},
        {value.name: value for value in objects if isinstance(value, Pool)},
        tuple(value for value in objects if isinstance(value, Budget)),
        (Wave("w"),),
    )


def make_large_state(vm_count: int, pool_count: int, rng: random.Random) -> FleetState:
    """Return the state of a fleet with a wave of all VMs that has not begun.

    Pools, racks of 16 VMs and six data centres have budgets; about 2 % of the VMs are not up.

    :param vm_count: number of VMs, distributed evenly among the pools
    :param pool_count: number of pools
    :param rng: decides which VMs are not up
    """
    vms = {}
    for index in range(vm_count):
        vm = Vm(
            f"vm-{index}",
            f"pool-{index % pool_count}",
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
    names = [f"pool-{index}" for index in range(pool_count)]
    return FleetState(vms, {name: Pool(name) for name in names}, budgets, (Wave("w"),))


def _run_wave(state: FleetState) -> tuple[float, int]:
    """Step the decisions until the wave is done.

    :return: seconds that the wave took, and the number of budget violations
    """
    machines = {name: _Machine(status.vm) for name, status in state.vms.items()}
    now, violations = 0.0, 0
    while now < 86_400:
        current = attrs.evolve(
            state, vms={name: _status(machine, now) for name, machine in machines.items()}
        )
        violations += len(BudgetTracker(current).exceeded())
        for step in decide(current):
            if step.kind is StepKind.FINISH_WAVE:
                return now, violations
            _apply(machines[step.name], step.kind, now)
        now += TICK_SECONDS
    return math.inf, violations


def _status(machine: _Machine, now: float) -> VmStatus:
    phase_seconds = now - machine.phase_started_at
    rebooting = machine.vm.phase is VmPhase.REBOOTING
    down = rebooting and 1.0 < phase_seconds < REBOOT_SECONDS
    machine.was_down |= down
    return VmStatus(
        machine.vm,
        up=not down,
        idle=phase_seconds >= DRAIN_SECONDS,
        phase_seconds=phase_seconds,
        was_down=machine.was_down,
    )


def _apply(machine: _Machine, kind: StepKind, now: float) -> None:
    phases = {
        StepKind.LEAVE: VmPhase.LEAVING,
        StepKind.DRAINED: VmPhase.DRAINED,
        StepKind.REBOOT: VmPhase.REBOOTING,
        StepKind.JOIN: VmPhase.JOINED,
    }
    maintained_in = machine.vm.maintained_in
    wave = "w"
    if kind is StepKind.JOIN:
        maintained_in, wave = "w", ""
    machine.vm = attrs.evolve(
        machine.vm, phase=phases[kind], wave=wave, maintained_in=maintained_in
    )
    machine.phase_started_at, machine.was_down = now, False
