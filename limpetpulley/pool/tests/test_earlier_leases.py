"""Leases that late calls to an earlier incarnation of a worker give its next one."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Step
from ...workers import HoldReply, ListedRun
from ..replies import process_hold_reply
from ..state import MAX_ORDER_DELAY_SECONDS
from .test_planning import NOW, TASK, hold, make_pool_state, plan

LEASE_SECONDS = 4.2
LONGEST_HOLD_SECONDS = 10.0
#: time at which the next incarnation replies, and the time by its clock
REPLY_AT, REPLY_SECONDS = NOW + 0.5, 0.25


def answer(pool_state):
    """Let the next incarnation execute a call that was meant for the earlier one."""


def enlist(pool_state):
    worker = pool_state.workers["w1"]
    pool_state.update_listed_worker(attrs.evolve(worker.listed, incarnation=2))


def end(pool_state):
    worker = pool_state.workers["w1"]
    pool_state.end_workers([("w1", 1)], "test")
    pool_state.update_listed_worker(attrs.evolve(worker.listed, incarnation=2))


def forget(pool_state):
    worker = pool_state.workers["w1"]
    pool_state.mark_unlisted("w1")
    pool_state.end_workers([("w1", 1)], "test")
    pool_state.expire_leases(NOW)
    assert "w1" not in pool_state.workers
    pool_state.update_listed_worker(attrs.evolve(worker.listed, incarnation=2))


@pytest.mark.parametrize("restart", [answer, enlist, end, forget])
@pytest.mark.parametrize(
    ("clock", "kept_seconds"),
    [
        (500.0, MAX_ORDER_DELAY_SECONDS + LONGEST_HOLD_SECONDS),
        # The call requests a lease that has lapsed by any clock of the worker by then.
        (6.0, 6.0 + LEASE_SECONDS),
        (0.5, LEASE_SECONDS),
    ],
)
def test_no_run_is_taken_for_killed_while_a_call_to_the_earlier_incarnation_may_extend_its_lease(
    restart, clock, kept_seconds
):
    pool_state = make_pool_state(Step(1, TASK), workers=("w1",))
    pool_state.scanned_at = NOW
    pool_state.workers["w1"].lease.reset()
    hold(pool_state, "w1", clock=clock)
    pool_state.workers["w1"].lease.extend(NOW, LEASE_SECONDS)
    restart(pool_state)
    worker = pool_state.workers["w1"]
    worker.in_roster = True
    reply = HoldReply(REPLY_SECONDS, 2, (), ())
    process_hold_reply(pool_state, worker, reply, REPLY_AT, REPLY_AT)
    worker.lease.extend(REPLY_AT, LEASE_SECONDS)
    [order] = plan(pool_state, now=REPLY_AT)
    reply = HoldReply(REPLY_SECONDS, 2, (ListedRun(order.task, order.number),), ())
    process_hold_reply(pool_state, worker, reply, REPLY_AT, REPLY_AT)
    pool_state.expire_leases(NOW + kept_seconds)
    assert_that(list(worker.runs), Equals([order.task]))
    pool_state.expire_leases(NOW + kept_seconds + 1.5)
    assert_that(list(worker.runs), Equals([]))
