"""Decisions on the fleet: availability budgets, maintenance waves and moves between pools."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...config import Budget, Pool, Vm, VmPhase, Wave, WaveState
from ..budgets import BudgetTracker
from ..decide import decide
from ..preview import preview_wave
from ..state import FleetState, PoolDemand, StepKind, VmStatus


def make_vm(name, pool="p", rack="r", data_centre="d", **fields):
    return Vm(name, pool, "h:1", rack, data_centre, **fields)


def make_state(vms, budgets=(), waves=(), demand=None, spare=()):
    pools = {status.vm.pool for status in vms} | {"p", *spare}
    return FleetState(
        {status.vm.name: status for status in vms},
        {name: Pool(name, spare=name in spare) for name in pools},
        tuple(budgets),
        tuple(waves),
        demand or {},
    )


LEAVING = {"phase": VmPhase.LEAVING, "wave": "w"}
REBOOTING = {"phase": VmPhase.REBOOTING, "wave": "w"}


@pytest.mark.parametrize(
    ("status", "kind"),
    [
        (VmStatus(make_vm("a", **LEAVING), idle=False), None),
        (VmStatus(make_vm("a", **LEAVING), idle=False, phase_seconds=60), StepKind.CHECKPOINT),
        (VmStatus(make_vm("a", **LEAVING)), StepKind.DRAINED),
        (VmStatus(make_vm("a", phase=VmPhase.DRAINED, wave="w")), StepKind.REBOOT),
        (VmStatus(make_vm("a", phase=VmPhase.DRAINED)), None),
        (VmStatus(make_vm("a", phase=VmPhase.DRAINED, move_to="q")), StepKind.JOIN),
        (VmStatus(make_vm("a", **REBOOTING), up=False, was_down=True), None),
        (VmStatus(make_vm("a", **REBOOTING), was_down=True), StepKind.JOIN),
        (VmStatus(make_vm("a", **REBOOTING), phase_seconds=5), None),
        (VmStatus(make_vm("a", **REBOOTING), phase_seconds=60), StepKind.REBOOT_AGAIN),
    ],
)
def test_vm_in_transition_gets_its_next_step(status, kind):
    state = make_state([status], waves=[Wave("w", state=WaveState.PAUSED)])
    assert_that([step.kind for step in decide(state)], Equals([kind] if kind else []))


@pytest.mark.parametrize(
    ("wave", "minute", "started"),
    [
        (Wave("w"), 600, 1),
        (Wave("w", state=WaveState.PAUSED), 600, 0),
        (Wave("w", pools=("other",)), 600, 0),
        (Wave("w", window_start="08:00", window_end="12:00"), 600, 1),
        (Wave("w", window_start="22:00", window_end="04:00"), 600, 0),
        (Wave("w", window_start="22:00", window_end="04:00"), 60, 1),
        (Wave("w", finish_by="2026-01-01T00:00:00+00:00"), 600, 0),
    ],
)
def test_wave_respects_state_pools_and_window(wave, minute, started):
    state = make_state([VmStatus(make_vm("a")), VmStatus(make_vm("b"))], waves=[wave])
    state = attrs.evolve(state, minute_of_day=minute, instant="2026-06-01T10:00:00+00:00")
    leaving = [step for step in decide(state) if step.kind is StepKind.LEAVE]
    assert_that(len(leaving), Equals(started))


def test_wave_starts_with_a_single_vm():
    vms = [VmStatus(make_vm(f"v{n}", pool=f"p{n}")) for n in range(4)]
    state = make_state(vms, waves=[Wave("w")])
    assert_that(len(decide(state)), Equals(1))
    vms[0] = VmStatus(make_vm("v0", pool="p0", maintained_in="w"))
    assert_that(len(decide(make_state(vms, waves=[Wave("w")]))), Equals(3))


def test_wave_stops_when_maintained_vms_fail():
    vms = [VmStatus(make_vm(f"v{n}", maintained_in="w"), failing=n < 2) for n in range(4)]
    vms.append(VmStatus(make_vm("v9")))
    steps = decide(make_state(vms, waves=[Wave("w", max_failures=2)]))
    assert_that([step.kind for step in steps], Equals([StepKind.STOP_WAVE]))


@pytest.mark.parametrize(
    ("shortage", "budget", "lent"), [(0.2, 2, 0), (3.0, 2, 2), (3.0, 1, 1), (3.0, 0, 0)]
)
def test_spare_vms_are_lent_for_sustained_demand_within_budgets(shortage, budget, lent):
    vms = [VmStatus(make_vm("a"))] + [VmStatus(make_vm(f"s{n}", "spare")) for n in range(3)]
    demand = {"p": PoolDemand(8, 16, shortage_seconds=shortage)}
    budgets = [Budget("spare", "pool", "spare", budget)]
    state = make_state(vms, budgets, demand=demand, spare=["spare"])
    assert_that(sum(step.pool == "p" for step in decide(state)), Equals(lent))


def test_lent_vm_returns_only_after_a_long_surplus():
    vms = [VmStatus(make_vm("a")), VmStatus(make_vm("s", home="spare"))]
    for surplus, steps in ((3.0, 0), (90.0, 1)):
        demand = {"p": PoolDemand(1, 0, surplus_seconds=surplus)}
        state = make_state(vms, demand=demand, spare=["spare"])
        assert_that(len(decide(state)), Equals(steps))


def test_preview_names_the_binding_budget():
    vms = [VmStatus(make_vm(f"v{n}", rack=f"r{n // 3}")) for n in range(6)]
    budgets = [Budget("pools", "pool", "*", 2), Budget("racks", "rack", "*", 1)]
    preview = preview_wave(make_state(vms, budgets, [Wave("w")]), Wave("w"), 10.0)
    assert_that((preview.vms, preview.blocked), Equals((6, ())))
    assert_that(sorted(sum(preview.rounds, ())), Equals(sorted(f"v{n}" for n in range(6))))
    assert_that("racks" in preview.binding, Equals(True))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(data=st.data())
def test_no_step_exceeds_a_budget(data):
    """Whichever VMs fail meanwhile, no step drains a VM while a budget forbids it."""
    vm_count = data.draw(st.integers(3, 14))
    vms = {}
    for number in range(vm_count):
        pool, rack = data.draw(st.integers(0, 2)), data.draw(st.integers(0, 3))
        vm = make_vm(f"v{number}", f"p{pool}", f"r{rack}", f"d{rack % 2}")
        vms[vm.name] = VmStatus(vm)
    budgets = [
        Budget(scope.replace("_", "-"), scope, "*", data.draw(st.integers(0, 3)))
        for scope in ("pool", "rack", "data_centre")
    ]
    demand = {"p0": PoolDemand(8, 30, shortage_seconds=5.0)}
    for _ in range(25):
        state = make_state(list(vms.values()), budgets, [Wave("w")], demand, spare=["p2"])
        budgets_before = BudgetTracker(state)
        for step in decide(state):
            if step.kind is StepKind.LEAVE:
                vm = vms[step.name].vm
                assert budgets_before.blocking_budget(vm) is None, step
                budgets_before.mark_unavailable(vm)
            _apply(vms, step)
        name = data.draw(st.sampled_from(sorted(vms)))
        status = vms[name]
        vms[name] = attrs.evolve(
            status,
            up=data.draw(st.booleans()),
            idle=data.draw(st.booleans()),
            was_down=status.was_down or not status.up,
        )
        assert all(status.vm.pool for status in vms.values())


def _apply(vms, step):
    phases = {
        StepKind.LEAVE: VmPhase.LEAVING,
        StepKind.DRAINED: VmPhase.DRAINED,
        StepKind.REBOOT: VmPhase.REBOOTING,
        StepKind.JOIN: VmPhase.JOINED,
    }
    if step.kind not in phases:
        return
    status = vms[step.name]
    fields = {"phase": phases[step.kind]}
    if step.kind is StepKind.LEAVE:
        fields |= {"wave": step.wave, "move_to": step.pool}
    if step.kind is StepKind.JOIN:
        maintained_in = "w" if status.vm.phase is VmPhase.REBOOTING else status.vm.maintained_in
        fields |= {"pool": step.pool or status.vm.pool, "wave": "", "move_to": ""}
        fields |= {"maintained_in": maintained_in}
    vms[step.name] = attrs.evolve(
        status, vm=attrs.evolve(status.vm, **fields), was_down=False, idle=True
    )


@pytest.mark.parametrize(("surplus", "lent"), [(1.0, 0), (5.0, 1)])
def test_lent_vm_without_use_moves_directly_to_a_pool_with_a_shortage(surplus, lent):
    vms = [VmStatus(make_vm("a")), VmStatus(make_vm("b", "q")), VmStatus(make_vm("s", "q"))]
    vms[2] = VmStatus(make_vm("s", "q", home="spare"))
    demand = {"p": PoolDemand(8, 8, shortage_seconds=3.0), "q": PoolDemand(1, 0, 0.0, surplus)}
    steps = decide(make_state(vms, demand=demand, spare=["spare"]))
    assert_that([step.name for step in steps if step.pool == "p"], Equals(["s"] * lent))
