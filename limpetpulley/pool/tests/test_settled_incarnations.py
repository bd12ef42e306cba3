"""Incarnations whose leases were all requested by their own clock, from owner to owner."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, Job, JobKey, JobSpec, Step
from ...workers import HoldReply, ListedWorker
from ...workers.lease import MIN_CLOCK_RATE
from .. import PoolState, process_hold_reply
from ..state import MAX_ORDER_DELAY_SECONDS
from .test_planning import JOB, NOW, TASK, plan

LONGEST_HOLD_SECONDS, LEASE_SECONDS = 10.0, 5.0
#: longest time from a call until a lease has expired that it gives late, in seconds
LONGEST_LATE_SECONDS = MAX_ORDER_DELAY_SECONDS + LONGEST_HOLD_SECONDS / MIN_CLOCK_RATE
#: the worker's time in each first list
CLOCK_SECONDS = 500.0


def make_owner(settled=(), calls_until=NOW + 26.0):
    """Return an owner of a pool with one task and one worker that has not replied.

    :param settled: settled incarnations that the roster names, by worker
    """
    pool_state = PoolState("desk", 3, 0.2, LONGEST_HOLD_SECONDS, LEASE_SECONDS)
    pool_state.earlier_calls_until = calls_until
    pool_state.settled_incarnations |= dict(settled)
    pool_state.add_job(Job(JobKey("quotes", JOB), JobSpec("text", (Step(1, TASK),)), "desk"), 0.0)
    enlist(pool_state, 1)
    return pool_state


def enlist(pool_state, incarnation):
    listed = ListedWorker("w1", "desk", "w1:1", incarnation, Amount(4000, 8000))
    pool_state.update_listed_worker(listed).in_roster = True


def reply(pool_state, now=NOW, incarnation=1):
    answer = HoldReply(CLOCK_SECONDS + now - NOW, incarnation)
    process_hold_reply(pool_state, pool_state.workers["w1"], answer, now, now)


@pytest.mark.parametrize(
    ("settled", "incarnation", "lease_seconds"),
    [
        ({"w1": 1}, 1, LEASE_SECONDS),
        ({"w1": 1}, 2, LONGEST_HOLD_SECONDS),
        ({"w2": 1}, 1, LONGEST_HOLD_SECONDS),
        ({}, 1, LONGEST_HOLD_SECONDS),
    ],
)
def test_only_a_settled_incarnation_has_no_longer_lease_than_an_owner_requests(
    settled, incarnation, lease_seconds
):
    pool_state = make_owner(settled)
    enlist(pool_state, incarnation)
    reply(pool_state, incarnation=incarnation)
    worker = pool_state.workers["w1"]
    assert_that(worker.lease.until_seconds - CLOCK_SECONDS, Equals(lease_seconds))
    [order] = plan(pool_state)
    pool_state.expire_leases(NOW + lease_seconds / MIN_CLOCK_RATE - 0.1)
    assert_that(list(worker.runs), Equals([order.task]))


@pytest.mark.parametrize(
    ("calls_until", "settled_at"),
    [
        (float("-inf"), NOW),
        (NOW + 26.0, NOW + 26.0 + LONGEST_HOLD_SECONDS / MIN_CLOCK_RATE),
    ],
)
def test_an_incarnation_is_settled_once_no_lease_of_an_earlier_owner_can_last(
    calls_until, settled_at
):
    pool_state = make_owner(calls_until=calls_until)
    pool_state.expire_leases(settled_at + 1.0)
    assert_that(pool_state.settled_incarnations, Equals({}))
    reply(pool_state)
    pool_state.expire_leases(settled_at - 0.1)
    expected = {} if calls_until > NOW else {"w1": 1}
    assert_that(pool_state.settled_incarnations, Equals(expected))
    pool_state.expire_leases(settled_at + 0.1)
    assert_that(pool_state.settled_incarnations, Equals({"w1": 1}))


def test_an_incarnation_after_a_restart_is_settled_once_no_call_to_the_one_before_can_last():
    pool_state = make_owner(calls_until=float("-inf"))
    reply(pool_state)
    pool_state.workers["w1"].lease.extend(NOW, LEASE_SECONDS)
    pool_state.scanned_at = NOW
    enlist(pool_state, 2)
    reply(pool_state, now=NOW + 1.0, incarnation=2)
    pool_state.expire_leases(NOW + LONGEST_LATE_SECONDS - 0.1)
    assert_that(pool_state.settled_incarnations.get("w1"), Equals(None))
    pool_state.expire_leases(NOW + LONGEST_LATE_SECONDS + 0.1)
    assert_that(pool_state.settled_incarnations, Equals({"w1": 2}))
