"""Runs of an earlier owner that no worker has listed yet count in their team's usage."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, EndKind, Job, JobKey, JobSpec, Step
from ...workers import EndedRun, ListedRun, ListedWorker, StartOrder
from .. import PoolState
from .test_planning import JOB, NOW, TASK, Shares, hold, plan, task

NEW_JOB = "00000000000000bb"
LIMIT_CORES = 4
WAIT_SECONDS = 11.0


def make_job(job_id, team, count):
    return Job(JobKey("quotes", job_id), JobSpec("text", (Step(count, TASK),)), "desk", team)


def make_successor(inherited, cut_cores=8, is_listed=True):
    """Return the state of an owner that has inherited a job, and does not reach one worker.

    :param cut_cores: capacity of that worker
    :param is_listed: whether that worker is still listed
    """
    pool_state = PoolState("desk", 3, 0.2, 10.0, 5.0)
    pool_state.add_job(inherited, NOW, inherited=True)
    for name, cores in (("idle", 8), ("cut", cut_cores)):
        listed = ListedWorker(name, "desk", f"{name}:1", 1, Amount(cores * 1000, 8000))
        if name == "idle" or is_listed:
            pool_state.update_listed_worker(listed).in_roster = True
    pool_state.unreconciled_workers = dict.fromkeys(("cut", "idle"), NOW + WAIT_SECONDS)
    hold(pool_state, "idle")
    return pool_state


def count_starts(pool_state, now=NOW, job_id=NEW_JOB):
    """Return how many tasks of a job are started now."""
    orders = plan(pool_state, Shares(LIMIT_CORES), now=now)
    return sum(isinstance(order, StartOrder) and order.task.job_id == job_id for order in orders)


def start_new_job(pool_state, team, now=NOW):
    pool_state.add_job(make_job(NEW_JOB, team, 8), now)
    return count_starts(pool_state, now)


@pytest.mark.parametrize("is_listed", [True, False])
def test_new_job_does_not_start_beyond_the_limit_beside_runs_on_a_silent_worker(is_listed):
    pool_state = make_successor(make_job(JOB, "t", 3), is_listed=is_listed)
    assert_that(start_new_job(pool_state, "t"), Equals(1))


def test_runs_that_the_silent_worker_lists_later_count_once():
    pool_state = make_successor(make_job(JOB, "t", 3))
    started = start_new_job(pool_state, "t")
    running = [ListedRun(task(position), 7) for position in (0, 1)]
    hold(pool_state, "cut", running, now=NOW + 1.0)
    started += count_starts(pool_state, NOW + 1.05)
    started += count_starts(pool_state, NOW + 1.06, JOB)
    assert_that(pool_state.usage["t"], Equals(TASK * LIMIT_CORES))
    ends = [EndedRun(number + 1, task(number), 7, EndKind.DONE) for number in (0, 1)]
    hold(pool_state, "cut", ended=ends, clock=11.0, now=NOW + 1.1)
    plan(pool_state, Shares(LIMIT_CORES), now=NOW + 1.15)
    assert_that(pool_state.usage["t"], Equals(TASK * LIMIT_CORES))


def test_the_limit_is_free_again_once_the_silent_worker_is_given_up():
    pool_state = make_successor(make_job(JOB, "t", 4))
    assert_that(start_new_job(pool_state, "t"), Equals(0))
    later = NOW + WAIT_SECONDS
    hold(pool_state, "idle", clock=10.0 + WAIT_SECONDS, now=later)
    plan(pool_state, Shares(LIMIT_CORES), now=later)
    assert_that(pool_state.usage["t"], Equals(TASK * LIMIT_CORES))


@pytest.mark.parametrize(
    ("team", "done", "cut_cores", "expected"),
    [("other", 0, 8, LIMIT_CORES), ("t", 8, 8, LIMIT_CORES), ("t", 6, 8, 2), ("t", 0, 1, 3)],
)
def test_no_team_waits_for_more_than_may_run_on_the_silent_worker(team, done, cut_cores, expected):
    inherited = make_job(JOB, "t", 8)
    for position in range(done):
        inherited.note_end(task(position), 7, EndKind.DONE, NOW - 1.0)
    pool_state = make_successor(inherited, cut_cores)
    assert_that(start_new_job(pool_state, team), Equals(expected))


@pytest.mark.parametrize(("ended_for", "expected"), [(1.0, 1), (20.0, LIMIT_CORES)])
def test_runs_of_a_job_that_was_cancelled_shortly_before_count(ended_for, expected):
    inherited = make_job(JOB, "t", 3)
    inherited.cancel(NOW - ended_for)
    assert_that(start_new_job(make_successor(inherited), "t"), Equals(expected))


def test_runs_of_a_job_that_is_cancelled_by_the_new_owner_count():
    pool_state = make_successor(make_job(JOB, "t", 3))
    pool_state.cancel(pool_state.jobs[JOB], NOW)
    assert_that(start_new_job(pool_state, "t"), Equals(1))
