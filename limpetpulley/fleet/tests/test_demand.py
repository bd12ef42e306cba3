"""How many VMs pools need, and maintenance that platform waves ask for."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ..demand import FleetPlan, PoolLoad, PoolMoves, choose_leaving, plan_pools
from ..maintenance import WaveProgress, choose_upkeep, is_finished
from ..vms import FleetVm, Phase, WaveOrder


def load(vms, used, waiting=0.0, least=0, arriving=0.0):
    return PoolLoad(16.0, used, waiting, waiting, 0.0, vms, least, 0.0, arriving)


def plan(loads, coming=None, peaked=(), homes=6, seconds=5.0):
    """Return the plan after the loads have stood for a while; peaked pools did so long before."""
    memory = PoolMoves(dict.fromkeys(loads, homes))
    for number, pool in enumerate(peaked):
        memory.turns.note(pool, True, homes, -20.0 + number)
    found = None
    for step in range(round(seconds / 0.2) + 1):
        found = plan_pools(loads, coming or {}, memory, 100.0 + step * 0.2)
    return found


@pytest.mark.parametrize(
    ("loads", "peaked", "lacking", "lendable", "needless"),
    [
        ({"a": load(6, 90, 60), "b": load(3, 5)}, (), {"a": 2}, {"b": 1}, {}),
        ({"a": load(6, 60), "b": load(2, 5)}, (), {}, {"a": 2}, {"a": 2}),
        ({"a": load(2, 5, arriving=150)}, (), {"a": 10}, {}, {}),
        ({"a": load(6, 5), "b": load(6, 70)}, ("a",), {}, {"a": 4, "b": 1}, {"a": 3, "b": 1}),
        (
            {"a": load(6, 5, least=3), "b": load(6, 70)},
            ("a",),
            {},
            {"a": 2, "b": 1},
            {"a": 2, "b": 1},
        ),
        ({"a": load(60, 5), "b": load(6, 700)}, ("a",), {"b": 38}, {"a": 58}, {"a": 57}),
    ],
)
def test_vms_go_where_demand_is(loads, peaked, lacking, lendable, needless):
    found = plan(loads, peaked=peaked)
    assert_that(found, Equals(FleetPlan(lacking, lendable, needless)))


@pytest.mark.parametrize(
    ("homes", "peaked", "needless"),
    [(6, (), 3), (40, (), 24), (40, ("a",), 38), (40, ("b", "a"), 38), (40, ("a", "b"), 24)],
)
def test_a_pool_that_may_peak_next_keeps_some_vms(homes, peaked, needless):
    loads = {"a": load(homes, 5), "b": load(2, 5)}
    assert_that(plan(loads, peaked=peaked, homes=homes).needless, Equals({"a": needless}))


@pytest.mark.parametrize(
    ("seconds", "lendable", "needless"),
    [(0.4, {}, {}), (1.0, {"a": 8}, {}), (3.0, {"a": 8}, {"a": 8})],
)
def test_vms_are_lent_soon_and_go_off_later(seconds, lendable, needless):
    memory = PoolMoves({"a": 10})
    memory.turns.note("a", True, 10, 0.0)
    memory.turns.note("b", True, 10, -1.0)
    plan_pools({"a": load(10, 160), "b": load(2, 5)}, {}, memory, 100.0)
    found = None
    for step in range(1, round(seconds / 0.2) + 1):
        quiet = {"a": load(10, 5), "b": load(2, 5)}
        found = plan_pools(quiet, {}, memory, 100.0 + step * 0.2)
    assert_that((found.lendable, found.needless), Equals((lendable, needless)))


def test_vms_on_their_way_are_not_asked_for_again():
    assert_that(plan({"a": load(6, 90, 60)}, {"a": 4}).lacking, Equals({}))


@pytest.mark.parametrize(
    ("vms", "coming", "least", "given"),
    [(2, 4, 0, 0), (3, 3, 0, 1), (6, 0, 0, 4), (4, 2, 3, 0), (5, 2, 3, 1)],
)
def test_a_pool_whose_vms_are_on_their_way_keeps_those_that_it_has(vms, coming, least, given):
    loads = {"a": load(vms, 1, least=least), "b": load(6, 90, 60)}
    assert_that(plan(loads, {"a": coming}, ("a",)).lendable.get("a", 0), Equals(given))


@pytest.mark.parametrize(
    ("lacking", "off", "expected"),
    [
        ({"c": 10}, 10, {"a": 3}),
        ({"c": 10}, 4, {"a": 6}),
        ({"c": 20}, 4, {"a": 10, "b": 6}),
        ({"c": 200}, 4, {"a": 10, "b": 20}),
        ({}, 0, {"a": 3}),
    ],
)
def test_what_nobody_needs_leaves_first_then_what_the_quietest_can_spare(lacking, off, expected):
    found = choose_leaving(FleetPlan(lacking, {"a": 10, "b": 20}, {"a": 3}), off)
    assert_that(found, Equals(expected))


def fleet(**places):
    return {
        name: FleetVm(name, pool, Phase.UP, "" if pool == "off" else f"w-{name}")
        for name, pool in places.items()
    }


@pytest.mark.parametrize(
    ("done", "ordered", "emptying", "day", "expected"),
    [
        (set(), {}, set(), 0.0, {"m1", "m2"}),
        ({"m1"}, {}, set(), 0.0, {"m2", "m4"}),
        (set(), {"m1": 99.5}, set(), 0.0, {"m2"}),
        ({"m1", "m2", "m4", "m5"}, {}, set(), 0.0, set()),
        ({"m1", "m2", "m4", "m5"}, {}, set(), 28.0, {"m3"}),
        (set(), {}, {"m4"}, 0.0, {"m4", "m1"}),
    ],
)
def test_a_wave_takes_off_vms_first_and_spares_busy_pools(done, ordered, emptying, day, expected):
    vms = fleet(m1="off", m2="off", m3="busy", m4="calm", m5="calm")
    loads = {"busy": load(1, 15), "calm": load(2, 1)}
    order = WaveOrder("1", ("m1", "m2", "m3", "m4", "m5"), 30.0, 2)
    wave = WaveProgress(order, 0.0, set(done), dict(ordered))
    chosen = choose_upkeep(wave, vms, loads, emptying, emptying, 100.0, day, 2.5)
    assert_that(chosen, Equals(expected))


@pytest.mark.parametrize(
    ("done", "listed", "expected"),
    [({"m1"}, ("m1", "m2"), False), ({"m1", "m2"}, ("m1", "m2"), True), ({"m1"}, ("m1",), True)],
)
def test_a_wave_is_finished_when_all_that_stay_have_begun(done, listed, expected):
    wave = WaveProgress(WaveOrder("1", ("m1", "m2"), 30.0, 2), 0.0, done)
    assert_that(is_finished(wave, fleet(**dict.fromkeys(listed, "a"))), Equals(expected))
