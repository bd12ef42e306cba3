"""How many VMs each pool needs, and which VMs a platform wave maintains next."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ..demand import DemandHistory, FleetPlan, PoolLoad, plan_drains, plan_pools
from ..maintenance import WaveProgress, choose_vms_to_maintain, is_finished
from ..vms import FleetVm, Phase, WaveOrder


def load(vms, used, waiting=0.0, min_spread=0, arriving=0.0):
    return PoolLoad(16.0, used, waiting, waiting, 0.0, vms, min_spread, 0.0, arriving)


def plan(loads, incoming=None, peaked=(), homes=6, seconds=5.0):
    """Return the plan after constant loads; the peaked pools had their peaks long before."""
    history = DemandHistory(dict.fromkeys(loads, homes))
    for number, pool in enumerate(peaked):
        history.forecaster.record(pool, True, homes, -20.0 + number)
    result = None
    for step in range(round(seconds / 0.2) + 1):
        result = plan_pools(loads, incoming or {}, history, 100.0 + step * 0.2)
    return result


@pytest.mark.parametrize(
    ("loads", "peaked", "shortfall", "lendable", "surplus"),
    [
        ({"a": load(6, 90, 60), "b": load(3, 5)}, (), {"a": 2}, {"b": 1}, {}),
        ({"a": load(6, 60), "b": load(2, 5)}, (), {}, {"a": 2}, {"a": 2}),
        ({"a": load(2, 5, arriving=150)}, (), {"a": 10}, {}, {}),
        ({"a": load(6, 5), "b": load(6, 70)}, ("a",), {}, {"a": 4, "b": 1}, {"a": 3, "b": 1}),
        (
            {"a": load(6, 5, min_spread=3), "b": load(6, 70)},
            ("a",),
            {},
            {"a": 2, "b": 1},
            {"a": 2, "b": 1},
        ),
        ({"a": load(60, 5), "b": load(6, 700)}, ("a",), {"b": 38}, {"a": 58}, {"a": 57}),
    ],
)
def test_plan_follows_demand(loads, peaked, shortfall, lendable, surplus):
    result = plan(loads, peaked=peaked)
    assert_that(result, Equals(FleetPlan(shortfall, lendable, surplus)))


@pytest.mark.parametrize(
    ("homes", "peaked", "surplus"),
    [(6, (), 3), (40, (), 24), (40, ("a",), 38), (40, ("b", "a"), 38), (40, ("a", "b"), 24)],
)
def test_pool_that_may_peak_next_keeps_a_reserve(homes, peaked, surplus):
    loads = {"a": load(homes, 5), "b": load(2, 5)}
    assert_that(plan(loads, peaked=peaked, homes=homes).surplus, Equals({"a": surplus}))


@pytest.mark.parametrize(
    ("seconds", "lendable", "surplus"),
    [(0.4, {}, {}), (1.0, {"a": 8}, {}), (3.0, {"a": 8}, {"a": 8})],
)
def test_idle_vms_are_lendable_soon_and_surplus_later(seconds, lendable, surplus):
    history = DemandHistory({"a": 10})
    history.forecaster.record("a", True, 10, 0.0)
    history.forecaster.record("b", True, 10, -1.0)
    plan_pools({"a": load(10, 160), "b": load(2, 5)}, {}, history, 100.0)
    result = None
    for step in range(1, round(seconds / 0.2) + 1):
        idle = {"a": load(10, 5), "b": load(2, 5)}
        result = plan_pools(idle, {}, history, 100.0 + step * 0.2)
    assert_that((result.lendable, result.surplus), Equals((lendable, surplus)))


def test_incoming_vms_reduce_the_shortfall():
    assert_that(plan({"a": load(6, 90, 60)}, {"a": 4}).shortfall, Equals({}))


@pytest.mark.parametrize(
    ("vms", "incoming", "min_spread", "lendable"),
    [(2, 4, 0, 0), (3, 3, 0, 1), (6, 0, 0, 4), (4, 2, 3, 0), (5, 2, 3, 1)],
)
def test_pool_does_not_lend_vms_that_it_needs_before_others_arrive(
    vms, incoming, min_spread, lendable
):
    loads = {"a": load(vms, 1, min_spread=min_spread), "b": load(6, 90, 60)}
    assert_that(plan(loads, {"a": incoming}, ("a",)).lendable.get("a", 0), Equals(lendable))


@pytest.mark.parametrize(
    ("shortfall", "standby", "expected"),
    [
        ({"c": 10}, 10, {"a": 3}),
        ({"c": 10}, 4, {"a": 6}),
        ({"c": 20}, 4, {"a": 10, "b": 6}),
        ({"c": 200}, 4, {"a": 10, "b": 20}),
        ({}, 0, {"a": 3}),
    ],
)
def test_surplus_is_drained_first_then_lendable_vms_in_order(shortfall, standby, expected):
    drains = plan_drains(FleetPlan(shortfall, {"a": 10, "b": 20}, {"a": 3}), standby)
    assert_that(drains, Equals(expected))


@pytest.mark.parametrize(
    ("needed", "lendable", "surplus"),
    [(0, {"a": 4}, {"a": 3}), (4, {"a": 2}, {"a": 2}), (6, {}, {})],
)
def test_vms_that_tasks_need_for_more_than_room_are_not_spare(needed, lendable, surplus):
    result = plan({"a": attrs.evolve(load(6, 5), needed_vms=needed)}, peaked=("a",))
    assert_that(result, Equals(FleetPlan({}, lendable, surplus)))


# Guards against LOST where workers are cordoned for moves that no pool receives.
@pytest.mark.parametrize(
    ("shortfall", "expected"),
    [({}, {}), ({"c": 2}, {"a": 2}), ({"c": 5}, {"a": 5}), ({"c": 20}, {"a": 10, "b": 10})],
)
def test_without_a_standby_pool_only_vms_that_a_pool_lacks_are_drained(shortfall, expected):
    plan = FleetPlan(shortfall, {"a": 10, "b": 20}, {"a": 3})
    assert_that(plan_drains(plan, 0, has_standby_pool=False), Equals(expected))


def fleet(**pools):
    return {
        name: FleetVm(name, pool, Phase.UP, "" if pool == "off" else f"w-{name}")
        for name, pool in pools.items()
    }


@pytest.mark.parametrize(
    ("done", "ordered_at", "draining", "wall_time", "expected"),
    [
        (set(), {}, set(), 0.0, {"m1", "m2"}),
        ({"m1"}, {}, set(), 0.0, {"m2", "m4"}),
        (set(), {"m1": 99.5}, set(), 0.0, {"m2"}),
        ({"m1", "m2", "m4", "m5"}, {}, set(), 0.0, set()),
        ({"m1", "m2", "m4", "m5"}, {}, set(), 28.0, {"m3"}),
        (set(), {}, {"m4"}, 0.0, {"m4", "m1"}),
    ],
)
def test_wave_maintains_standby_vms_first_and_defers_busy_pools(
    done, ordered_at, draining, wall_time, expected
):
    vms = fleet(m1="off", m2="off", m3="busy", m4="calm", m5="calm")
    loads = {"busy": load(1, 15), "calm": load(2, 1)}
    order = WaveOrder("1", ("m1", "m2", "m3", "m4", "m5"), 30.0, 2)
    wave = WaveProgress(order, 0.0, set(done), dict(ordered_at))
    chosen = choose_vms_to_maintain(wave, vms, loads, draining, draining, 100.0, wall_time, 2.5)
    assert_that(chosen, Equals(expected))


@pytest.mark.parametrize(
    ("done", "listed", "expected"),
    [({"m1"}, ("m1", "m2"), False), ({"m1", "m2"}, ("m1", "m2"), True), ({"m1"}, ("m1",), True)],
)
def test_wave_is_finished_when_maintenance_of_all_listed_vms_has_started(done, listed, expected):
    wave = WaveProgress(WaveOrder("1", ("m1", "m2"), 30.0, 2), 0.0, done)
    assert_that(is_finished(wave, fleet(**dict.fromkeys(listed, "a"))), Equals(expected))
