"""How much work is handed in: a peak shows at once, a single large job does not."""

import pytest

from ..arrivals import ArrivalEstimator


def arrive(rows):
    work = ArrivalEstimator()
    for number, (at, core_seconds) in enumerate(rows):
        work.note(at, f"job-{number}", core_seconds)
    return work


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
def test_the_rate_follows_a_peak_and_not_a_single_job(rows, now, least, most):
    assert least <= arrive(rows).cores(now) <= most


@pytest.mark.parametrize(
    ("before", "lately", "most"),
    [(1, 4, 1.0), (2, 6, 1.0), (4, 9, 1.0), (25, 60, 1.6)],
    ids=["one large job", "a few", "several", "a peak"],
)
def test_a_rise_is_more_than_a_few_large_jobs(before, lately, most):
    """VMs asked for beyond what comes in stand idle for seconds."""
    work = arrive([*steady(before, 100.0, 3.0, 4.0), *steady(lately, 100.0, 4.0, 5.0)])
    assert work.cores(5.0) <= most * lately * 100.0


def test_a_job_that_comes_back_counts_once():
    work = ArrivalEstimator()
    for at in (0.0, 0.2, 0.4):
        work.note(at, "a", 12.0)
    assert work.cores(0.5) == 12.0


@pytest.mark.parametrize(("slack", "cores"), [(0.5, 30.0), (2.0, 15.0), (60.0, 7.5)])
def test_jobs_that_may_wait_ask_for_fewer_processors_at_once(slack, cores):
    work = ArrivalEstimator()
    for number in range(200):
        work.note(0.0, f"old-{number}", 1.0, slack)
    work.note(10.0, "a", 30.0, slack)
    assert round(work.cores(10.1), 1) == cores
