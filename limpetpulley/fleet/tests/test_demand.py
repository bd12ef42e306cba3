"""Moves that follow the demand, and maintenance that platform waves ask for."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ..demand import PoolLoad, PoolMoves, VmMove, choose_moves
from ..upkeep import WaveProgress, choose_upkeep, is_finished
from ..vms import FleetVm, Phase, WaveOrder


def load(vms, used, waiting=0.0, least=0):
    return PoolLoad(16.0, used, waiting, waiting, 0.0, vms, least)


@pytest.mark.parametrize(
    ("loads", "peaked", "idle", "expected"),
    [
        ({"a": load(6, 90, 60), "b": load(3, 5)}, {}, {"off": 6}, [VmMove("off", "a", 4)]),
        (
            {"a": load(6, 90, 60), "b": load(6, 5), "c": load(3, 5)},
            {"b": 50.0},
            {"off": 0},
            [VmMove("b", "a", 4)],
        ),
        ({"a": load(6, 60), "b": load(3, 5)}, {}, {"off": 6}, []),
        ({"a": load(4, 40), "b": load(3, 5)}, {}, {"off": 6}, [VmMove("off", "a", 2)]),
        (
            {"a": load(6, 5), "b": load(6, 70), "c": load(3, 5)},
            {"a": 50.0},
            {"off": 0},
            [VmMove("a", "off", 4)],
        ),
        (
            {"a": load(6, 5, least=3), "b": load(6, 70), "c": load(3, 5)},
            {"a": 50.0},
            {"off": 0},
            [VmMove("a", "off", 2)],
        ),
        ({"a": load(6, 5), "b": load(6, 70)}, {"a": 50.0}, {"off": 0}, [VmMove("a", "off", 3)]),
    ],
)
def test_vms_go_where_demand_is(loads, peaked, idle, expected):
    memory = PoolMoves(dict.fromkeys(loads, 6), dict(peaked))
    memory.spare_since = dict.fromkeys(loads, 90.0)
    assert_that(choose_moves(loads, idle, {}, {}, memory, 100.0), Equals(expected))


def test_vms_on_their_way_are_not_asked_for_again():
    loads = {"a": load(6, 90, 60)}
    memory = PoolMoves({"a": 6})
    assert_that(choose_moves(loads, {"off": 6}, {"a": 4}, {}, memory, 1.0), Equals([]))


@pytest.mark.parametrize(
    ("vms", "coming", "leaving", "least", "given"),
    [(2, 4, 0, 0, 0), (3, 3, 0, 0, 1), (6, 0, 4, 0, 0), (6, 0, 2, 0, 1), (4, 2, 0, 3, 0)],
)
def test_a_pool_whose_vms_are_on_their_way_keeps_those_that_it_has(
    vms, coming, leaving, least, given
):
    loads = {"a": load(vms, 1, least=least), "b": load(6, 90, 60)}
    memory = PoolMoves({"a": 6, "b": 6}, {"a": 50.0})
    memory.spare_since = {"a": 90.0}
    moves = choose_moves(loads, {}, {"a": coming}, {"a": leaving}, memory, 100.0)
    assert_that(sum(move.count for move in moves if move.source == "a"), Equals(given))


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
