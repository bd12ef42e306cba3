"""Tests of fair shares, run time estimates, admission and the waiting queue."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from ...exception import JobRefused
from ..admission import Admission, PoolLoad
from ..fair_share import fair_shares
from ..runtimes import RunTimes
from ..waiting import WaitingJob, WaitingJobs


@pytest.mark.parametrize(
    ("capacity", "weights", "demands", "shares"),
    [
        (12, {"a": 1, "b": 1}, {"a": 100, "b": 100}, {"a": 6, "b": 6}),
        (12, {"a": 3, "b": 1}, {"a": 100, "b": 100}, {"a": 9, "b": 3}),
        (12, {"a": 3, "b": 1}, {"a": 2, "b": 100}, {"a": 2, "b": 10}),
        (12, {"a": 3, "b": 1}, {"a": 2, "b": 3}, {"a": 2, "b": 3}),
        (0, {"a": 1}, {"a": 5}, {"a": 0}),
        (
            12,
            {"a": 1, "b": 1, "c": 2},
            {"a": 1, "b": 50, "c": 50},
            {"a": 1, "b": 11 / 3, "c": 22 / 3},
        ),
    ],
)
def test_fair_shares_are_weighted_max_min(capacity, weights, demands, shares):
    found = fair_shares(capacity, weights, demands)
    assert_that(
        {team: round(share, 6) for team, share in found.items()},
        Equals({team: round(share, 6) for team, share in shares.items()}),
    )


def make_job(number, deadline, excluded=()):
    return WaitingJob(
        str(number), "t", "p", "q", deadline, deadline - 1, None, None, frozenset(excluded)
    )


def test_first_job_has_the_earliest_deadline_and_removed_jobs_are_gone():
    waiting = WaitingJobs()
    jobs = [make_job(number, deadline) for number, deadline in enumerate([5.0, 3.0, 9.0, 4.0])]
    for job in jobs:
        waiting.add(job)
    waiting.remove(jobs[1])
    assert_that(waiting.first("p", "t"), Is(jobs[3]))
    for job in jobs:
        waiting.remove(job)
    assert_that((len(waiting), waiting.first("p", "t"), waiting.teams("p")), Equals((0, None, [])))


def test_heaps_shrink_after_many_cancellations():
    waiting = WaitingJobs()
    jobs = [make_job(number, float(number)) for number in range(5000)]
    for job in jobs:
        waiting.add(job)
    for job in reversed(jobs):
        waiting.remove(job)
    assert_that(sum(len(heap) for heap in waiting.heaps.values()), LessThan(64))
    assert_that(len(waiting.by_latest_start), LessThan(64))


def test_job_is_not_offered_a_vm_that_it_failed_on():
    waiting = WaitingJobs()
    waiting.add(make_job(1, 1.0, excluded=["v"]))
    other = make_job(2, 2.0)
    waiting.add(other)
    assert_that(waiting.first("p", "t", "v"), Is(other))


@pytest.mark.parametrize(("declared", "actual"), [(0.01, 2.0), (60.0, 0.2)])
def test_observed_run_times_replace_wrong_declared_ones(declared, actual):
    times = RunTimes()
    for _ in range(30):
        times.learn("t", "q", actual, 0.0)
    assert_that(times.high("t", "q", declared), GreaterThan(actual * 0.95))
    assert_that(times.high("t", "q", declared), LessThan(actual * 1.5))


def test_probe_is_allowed_once_per_interval():
    times = RunTimes()
    times.learn("t", "q", 100.0, 0.0)
    probes = [times.may_probe("t", "q", float(now)) for now in (1, 6, 7, 12)]
    assert_that(probes, Equals([False, True, False, True]))


@pytest.mark.parametrize(
    ("time_left", "wait", "run_high", "reason"),
    [
        (5.0, 0.0, 6.0, "deadline-too-short"),
        (5.0, 4.5, 1.0, "cannot-finish-in-time"),
        (5.0, 3.0, 1.0, None),
    ],
)
def test_jobs_that_cannot_meet_their_deadline_are_refused_unrun(time_left, wait, run_high, reason):
    if reason is None:
        Admission().check(time_left, wait, run_high, "t", "q")
        return
    with pytest.raises(JobRefused) as caught:
        Admission().check(time_left, wait, run_high, "t", "q")
    assert_that((caught.value.reason, caught.value.run), Equals((reason, "no")))


@pytest.mark.parametrize(
    ("running", "ahead", "expected"),
    [({"t": 2}, 0, 0.0), ({"t": 4}, 3, 1.0), ({"t": 2, "u": 2}, 1, 1.0)],
)
def test_expected_wait_depends_on_the_fair_share(running, ahead, expected):
    admission = Admission({"t": 1.0, "u": 1.0}, {"t": 10, "u": 10})
    load = PoolLoad(4, running, {"t": ahead, "u": 5 if "u" in running else 0})
    assert_that(round(admission.expected_wait(load, "t", ahead, 1.0), 3), Equals(expected))
