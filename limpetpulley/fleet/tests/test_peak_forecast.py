"""Which peaks are foreseen, from steady, random, reversed, overlapping and absent turns."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ..peak_forecast import LEAD_SECONDS, TurnWatch

POOLS = ("a", "b", "c", "d")


def watch(peaks, until, height=100):
    """Return what watches peaks given as pool, begin and end, looked at five times a second."""
    turns = TurnWatch()
    for step in range(round(until * 5)):
        now = step / 5
        for pool in POOLS:
            peaking = any(row[0] == pool and row[1] <= now < row[2] for row in peaks)
            turns.note(pool, peaking, height if peaking else 2, now)
    return turns


def round_of(order, gap=10.0, length=8.0, begin=0.0):
    return [
        (pool, begin + number * gap, begin + number * gap + length)
        for number, pool in enumerate(order)
    ]


@pytest.mark.parametrize(
    ("peaks", "now", "expected"),
    [
        (round_of("abc"), 28.5, {"d": 60}),
        (round_of("abc"), 25.0, {}),
        (round_of("abc"), 32.0, {}),
        (round_of("ab"), 18.5, {}),
        (round_of("abcd"), 38.5, {}),
        (round_of("abcda"), 48.5, {"b": 60}),
        (round_of("dcbad"), 48.5, {"c": 60}),
        (round_of("abcdabdca"), 88.5, {"b": 60}),
        (round_of("abcda", gap=6.0), 28.5, {"b": 60}),
        ([("a", 0, 8), ("b", 10, 18), ("c", 12, 30)], 21.0, {}),
        ([], 10.0, {}),
    ],
)
def test_the_next_peak_is_foreseen_where_peaks_come_in_turns(peaks, now, expected):
    assert_that(watch(peaks, now).foresee(POOLS, now), Equals(expected))


@pytest.mark.parametrize("seed", range(5))
def test_random_peaks_ask_for_no_vms_most_of_the_time(seed):
    rng = random.Random(seed)
    peaks, now = [], 0.0
    while now < 200.0:
        now += rng.expovariate(1 / 8.0)
        peaks.append((rng.choice(POOLS), now, now + 3.0))
    asked = sum(bool(watch(peaks, at).foresee(POOLS, at)) for at in range(20, 200, 4))
    assert asked <= 5


@pytest.mark.parametrize(
    ("pool", "now", "expected"),
    [("a", 9.5, True), ("a", 8.5, False), ("b", 9.5, False), ("a", 45.0, False), ("d", 45.0, True)],
)
def test_a_pool_rests_while_another_is_to_peak_first(pool, now, expected):
    peaks = round_of("abcd") if now > 40 else round_of("a")
    assert_that(watch(peaks, now).may_rest(pool, POOLS, now), Equals(expected))


def test_a_peak_is_foreseen_no_earlier_than_its_vms_are_needed():
    turns = watch(round_of("abc"), 26.0)
    assert_that(turns.foresee(POOLS, 30.0 - LEAD_SECONDS - 0.3), Equals({}))


@pytest.mark.parametrize(("away", "peaks"), [(0.5, 1), (3.0, 1), (8.0, 2)])
def test_a_peak_that_outlives_its_planner_is_one_peak(away, peaks):
    before, after = TurnWatch(), TurnWatch()
    for step in range(10):
        before.note("a", True, 9, step / 5)
    after.remember(before.peaks, 1.8 + away)
    after.note("a", True, 12, 2.0 + away)
    assert_that(len(after.peaks), Equals(peaks))
