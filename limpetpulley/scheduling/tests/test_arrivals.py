"""Estimated demand rises at once with a peak but not with a single large job."""

import pytest

from ..arrivals import ArrivalEstimator


def make_estimator(rows):
    estimator = ArrivalEstimator()
    for number, (at, core_seconds) in enumerate(rows):
        estimator.note(at, f"job-{number}", core_seconds)
    return estimator


def steady(rate, core_seconds, begin, end):
    count = round((end - begin) * rate)
    return [(begin + number / rate, core_seconds) for number in range(count)]


@pytest.mark.parametrize(
    ("rows", "now", "least", "most"),
    [
        (steady(50, 20.0, 0.0, 5.0), 5.0, 950, 1250),
        (steady(50, 20.0, 5.0, 5.5), 5.5, 900, 1800),
        ([*steady(25, 20.0, 3.0, 4.0), *steady(50, 20.0, 4.0, 5.0)], 5.0, 1300, 1900),
        ([*steady(50, 20.0, 3.0, 4.0), *steady(25, 20.0, 4.0, 5.0)], 5.0, 400, 600),
        (steady(50, 20.0, 0.0, 5.0), 6.1, 0, 0),
        ([(5.0, 300.0)], 5.1, 0, 300),
        ([], 5.0, 0, 0),
    ],
)
def test_estimate_follows_a_peak_but_not_a_single_job(rows, now, least, most):
    assert least <= make_estimator(rows).cores(now) <= most


@pytest.mark.parametrize(
    ("rate_before", "rate_now", "most"),
    [(1, 4, 1.0), (2, 6, 1.0), (4, 9, 1.0), (25, 60, 1.6)],
    ids=["one large job", "a few", "several", "a peak"],
)
def test_a_few_large_jobs_are_not_extrapolated(rate_before, rate_now, most):
    """VMs requested beyond the submitted work would stay idle for seconds."""
    estimator = make_estimator(
        [*steady(rate_before, 100.0, 3.0, 4.0), *steady(rate_now, 100.0, 4.0, 5.0)]
    )
    assert estimator.cores(5.0) <= most * rate_now * 100.0


@pytest.mark.parametrize(("started_at", "least", "most"), [(0.0, 1300, 1900), (4.0, 900, 1300)])
def test_growth_is_not_extrapolated_before_it_was_observed(started_at, least, most):
    """A new owner has seen no submissions before its start, but that is not growth."""
    estimator = ArrivalEstimator(started_at)
    rows = [*steady(25, 20.0, 3.0, 4.0), *steady(50, 20.0, 4.0, 5.0)]
    for number, (at, core_seconds) in enumerate(rows):
        if at >= started_at:
            estimator.note(at, f"job-{number}", core_seconds)
    assert least <= estimator.cores(5.0) <= most


def test_resubmitted_job_counts_once():
    estimator = ArrivalEstimator()
    for at in (0.0, 0.2, 0.4):
        estimator.note(at, "a", 12.0)
    assert estimator.cores(0.5) == 12.0


@pytest.mark.parametrize(("slack", "cores"), [(0.5, 30.0), (2.0, 15.0), (60.0, 7.5)])
def test_jobs_with_more_slack_need_fewer_processors(slack, cores):
    estimator = ArrivalEstimator()
    for number in range(200):
        estimator.note(0.0, f"old-{number}", 1.0, slack)
    estimator.note(10.0, "a", 30.0, slack)
    assert round(estimator.cores(10.1), 1) == cores
