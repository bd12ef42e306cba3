"""Forecast of peaks in regular, random, reversed and overlapping order, and without any peak."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ..peak_forecast import LEAD_SECONDS, PeakForecaster

POOLS = ("a", "b", "c", "d")


def make_forecaster(peaks, until, height=100):
    """Return a forecaster that observed the pools five times a second.

    :param peaks: pool, start and end of each peak
    """
    forecaster = PeakForecaster()
    for step in range(round(until * 5)):
        now = step / 5
        for pool in POOLS:
            peaking = any(peak[0] == pool and peak[1] <= now < peak[2] for peak in peaks)
            forecaster.record(pool, peaking, height if peaking else 2, now)
    return forecaster


def peaks_in_order(order, interval=10.0, duration=8.0, start=0.0):
    return [
        (pool, start + number * interval, start + number * interval + duration)
        for number, pool in enumerate(order)
    ]


@pytest.mark.parametrize(
    ("peaks", "now", "expected"),
    [
        (peaks_in_order("abc"), 28.5, {"d": 60}),
        (peaks_in_order("abc"), 25.0, {}),
        (peaks_in_order("abc"), 32.0, {}),
        (peaks_in_order("ab"), 18.5, {}),
        (peaks_in_order("abcd"), 38.5, {}),
        (peaks_in_order("abcda"), 48.5, {"b": 60}),
        (peaks_in_order("dcbad"), 48.5, {"c": 60}),
        (peaks_in_order("abcdabdca"), 88.5, {"b": 60}),
        (peaks_in_order("abcda", interval=6.0), 28.5, {"b": 60}),
        ([("a", 0, 8), ("b", 10, 18), ("c", 12, 30)], 21.0, {}),
        ([], 10.0, {}),
    ],
)
def test_next_peak_is_forecast_where_peaks_recur_in_order(peaks, now, expected):
    assert_that(make_forecaster(peaks, now).forecast(POOLS, now), Equals(expected))


@pytest.mark.parametrize("seed", range(5))
def test_random_peaks_rarely_yield_a_forecast(seed):
    rng = random.Random(seed)
    peaks, now = [], 0.0
    while now < 200.0:
        now += rng.expovariate(1 / 8.0)
        peaks.append((rng.choice(POOLS), now, now + 3.0))
    forecasts = sum(
        bool(make_forecaster(peaks, at).forecast(POOLS, at)) for at in range(20, 200, 4)
    )
    assert forecasts <= 5


@pytest.mark.parametrize(
    ("pool", "now", "expected"),
    [("a", 9.5, True), ("a", 8.5, False), ("b", 9.5, False), ("a", 45.0, False), ("d", 45.0, True)],
)
def test_another_pool_is_expected_to_peak_first(pool, now, expected):
    peaks = peaks_in_order("abcd") if now > 40 else peaks_in_order("a")
    assert_that(
        make_forecaster(peaks, now).another_pool_peaks_first(pool, POOLS, now), Equals(expected)
    )


def test_peak_is_forecast_no_earlier_than_its_vms_are_needed():
    forecaster = make_forecaster(peaks_in_order("abc"), 26.0)
    assert_that(forecaster.forecast(POOLS, 30.0 - LEAD_SECONDS - 0.3), Equals({}))


@pytest.mark.parametrize(("gap", "peaks"), [(0.5, 1), (3.0, 1), (8.0, 2)])
def test_peak_that_outlasts_its_planner_counts_once(gap, peaks):
    first, second = PeakForecaster(), PeakForecaster()
    for step in range(10):
        first.record("a", True, 9, step / 5)
    second.restore(first.peaks, 1.8 + gap)
    second.record("a", True, 12, 2.0 + gap)
    assert_that(len(second.peaks), Equals(peaks))
