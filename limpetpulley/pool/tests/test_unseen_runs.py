"""Runs of an earlier owner count until they have ended, unseen ones and unneeded ones too."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, EndKind, Job, JobKey, JobSpec, Step
from ...workers import EndedRun, ListedRun, ListedWorker, StartOrder, StartOutcome, StopOrder
from .. import PoolState, process_start_reply, process_stop_reply
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


def make_all_listed(inherited, listed_runs, cores=4):
    """Return the state of an owner that has inherited a job; all workers have answered.

    :param listed_runs: the run of the job that each worker lists, None for none
    """
    pool_state = PoolState("desk", 3, 0.2, 10.0, 5.0)
    pool_state.add_job(inherited, NOW, inherited=True)
    pool_state.unreconciled_workers = dict.fromkeys(listed_runs, NOW + WAIT_SECONDS)
    for name, listed_run in listed_runs.items():
        listed = ListedWorker(name, "desk", f"{name}:1", 1, Amount(cores * 1000, 8000))
        pool_state.update_listed_worker(listed).in_roster = True
        hold(pool_state, name, [listed_run] if listed_run else [])
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


def test_copy_that_the_new_owner_stops_counts_for_the_maximum_on_its_worker():
    step = Step(2, TASK, max_per_worker=1, speculative=True)
    inherited = Job(JobKey("quotes", JOB), JobSpec("text", (step,)), "desk", "t")
    listed_runs = {"new": ListedRun(task(), 9), "old": ListedRun(task(), 7)}
    pool_state = make_all_listed(inherited, listed_runs)
    assert_that(count_starts(pool_state, job_id=JOB), Equals(0))
    hold(pool_state, "old", ended=[EndedRun(1, task(), 7, EndKind.STOPPED)], clock=11.0)
    assert_that(count_starts(pool_state, NOW + 0.2, JOB), Equals(1))


@pytest.mark.parametrize(
    ("cores", "while_stopping", "afterwards"), [(1, 0, 1), (3, 2, 1), (4, 3, 1), (8, 3, 1)]
)
def test_run_of_a_cancelled_job_keeps_its_capacity_and_its_share_until_it_has_ended(
    cores, while_stopping, afterwards
):
    inherited = make_job(JOB, "t", 1)
    inherited.cancel(NOW - 1.0)
    pool_state = make_all_listed(inherited, {"w1": ListedRun(task(), 7)}, cores)
    stop = StopOrder("w1", task(), 7)
    assert_that(start_new_job(pool_state, "t"), Equals(while_stopping))
    process_stop_reply(pool_state, stop, 10.1, NOW + 0.1)
    running = [ListedRun(key, run.number) for key, run in pool_state.workers["w1"].runs.items()]
    hold(pool_state, "w1", running, clock=10.2, now=NOW + 0.2)
    assert_that(count_starts(pool_state, NOW + 0.25), Equals(0))
    for run in pool_state.runs.values():
        process_start_reply(pool_state, run, StartOutcome.STARTED, 10.3, NOW + 0.3)
    hold(pool_state, "w1", running[1:], clock=10.8, now=NOW + 0.8)
    assert_that(count_starts(pool_state, NOW + 0.85), Equals(afterwards))


@pytest.mark.parametrize(("later_count", "expected"), [(0, 3), (2, 1), (8, 0)])
def test_new_job_starts_within_the_limit_beside_later_steps_that_an_earlier_owner_may_start(
    later_count, expected
):
    later = [Step(later_count, TASK, after=(0,))] if later_count else []
    spec = JobSpec("text", (Step(1, TASK), *later))
    pool_state = make_successor(Job(JobKey("quotes", JOB), spec, "desk", "t"))
    assert_that(start_new_job(pool_state, "t"), Equals(expected))
