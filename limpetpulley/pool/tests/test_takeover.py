"""Inherited tasks wait until all workers have told what an earlier owner started on them."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, EndKind, Job, JobKey, JobSpec, Step
from ...workers import EndedRun, HoldReply, ListedRun, ListedWorker
from .. import PoolState, process_hold_reply
from ..replies import MAX_LISTED_ENDS
from .test_planning import JOB, NOW, TASK, hold, plan, task

#: number of ends that the busy worker holds
ENDS = MAX_LISTED_ENDS + 20
FIRST_RUN_NUMBER = 7


def make_successor(until):
    """Return the pool state of an owner that inherits a job, all of whose tasks have ended.

    :param until: local time until which it waits for the worker with the ends
    """
    pool_state = PoolState("desk", 3, 0.2, 10.0, 5.0)
    job = Job(JobKey("quotes", JOB), JobSpec("text", (Step(ENDS, TASK),)), "desk")
    pool_state.add_job(job, 0.0, inherited=True)
    for name in ("busy", "idle"):
        listed = ListedWorker(name, "desk", f"{name}:1", 1, Amount(600_000, 80_000))
        pool_state.update_listed_worker(listed).in_roster = True
    pool_state.unreconciled_workers = {"busy": until, "idle": until}
    return pool_state


def ends_after(position):
    """Return the ends that the busy worker lists after those up to a position are acknowledged."""
    return [
        EndedRun(number, task(number - 1), FIRST_RUN_NUMBER, EndKind.DONE)
        for number in range(position + 1, min(position + MAX_LISTED_ENDS, ENDS) + 1)
    ]


@pytest.mark.parametrize(
    ("until", "stored_after"), [(NOW + 11.0, 0.1), (NOW + 11.0, 20.0), (NOW + 0.5, 1.0)]
)
def test_no_task_starts_again_while_a_worker_may_hold_more_ends_than_it_lists(until, stored_after):
    pool_state = make_successor(until)
    orders, seconds = [], 0.0
    while seconds < stored_after:
        hold(pool_state, "idle", clock=10.0 + seconds, now=NOW + seconds)
        hold(pool_state, "busy", ended=ends_after(0), clock=10.0 + seconds, now=NOW + seconds)
        orders += plan(pool_state, now=NOW + seconds)
        seconds += 0.5
    hold(pool_state, "busy", ended=ends_after(MAX_LISTED_ENDS), clock=40.0, now=NOW + seconds)
    orders += plan(pool_state, now=NOW + seconds)
    assert_that(len(orders), Equals(0))
    assert_that(pool_state.unreconciled_workers, Equals({}))


@pytest.mark.parametrize("lists", [[1, 2], [1, 2, 3], [2, 3]])
def test_a_worker_listed_in_a_new_incarnation_is_waited_for(lists):
    """The earlier owner may have seen that incarnation before, and started runs on it."""
    pool_state = PoolState("desk", 3, 0.2, 10.0, 5.0)
    job = Job(JobKey("quotes", JOB), JobSpec("text", (Step(1, TASK),)), "desk")
    pool_state.add_job(job, 0.0, inherited=True)
    for name in ("restarted", "idle"):
        listed = ListedWorker(name, "desk", f"{name}:1", 1, Amount(4000, 8000))
        pool_state.update_listed_worker(listed).in_roster = True
    pool_state.unreconciled_workers = {"restarted": NOW + 11.0, "idle": NOW + 11.0}
    hold(pool_state, "idle")
    for incarnation in lists:
        listed = ListedWorker("restarted", "desk", "restarted:1", incarnation, Amount(4000, 8000))
        pool_state.update_listed_worker(listed)
    orders = plan(pool_state)
    run = ListedRun(task(), FIRST_RUN_NUMBER)
    reply = HoldReply(10.0, lists[-1], (run,))
    process_hold_reply(pool_state, pool_state.workers["restarted"], reply, NOW + 0.2, NOW + 0.2)
    orders += plan(pool_state, now=NOW + 0.3)
    assert_that(orders, Equals([]))
    assert_that(pool_state.runs[task()].number, Equals(FIRST_RUN_NUMBER))
    assert_that(pool_state.unreconciled_workers, Equals({}))
