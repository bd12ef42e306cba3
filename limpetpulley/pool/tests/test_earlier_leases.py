"""Leases that late calls to an earlier incarnation of a worker give its next one."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, Step
from ...workers import HoldReply, ListedRun, ListedWorker, StartOutcome
from ...workers.lease import MIN_CLOCK_RATE
from ..replies import process_hold_reply, process_start_reply
from ..state import MAX_ORDER_DELAY_SECONDS
from .test_planning import NOW, TASK, hold, make_pool_state, plan

LEASE_SECONDS = 4.2
LONGEST_HOLD_SECONDS = 10.0
#: time at which the next incarnation replies, and the time by its clock
REPLY_AT, REPLY_SECONDS = NOW + 0.5, 0.25
#: time by the clock of the earlier incarnation
CLOCK_SECONDS = 500.0


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


@pytest.mark.parametrize(
    ("outcome", "worker_seconds", "kept_seconds"),
    [
        (StartOutcome.STARTED, REPLY_SECONDS, LONGEST_HOLD_SECONDS / MIN_CLOCK_RATE),
        (StartOutcome.OLD_RUN, REPLY_SECONDS, LONGEST_HOLD_SECONDS / MIN_CLOCK_RATE),
        (StartOutcome.STARTED, CLOCK_SECONDS, LEASE_SECONDS / MIN_CLOCK_RATE),
    ],
)
def test_a_start_that_a_younger_clock_answers_gives_the_longest_lease(
    outcome, worker_seconds, kept_seconds
):
    pool_state = make_pool_state(Step(1, TASK), workers=("w1",))
    worker = pool_state.workers["w1"]
    worker.lease.reset()
    hold(pool_state, "w1", clock=CLOCK_SECONDS)
    worker.lease.extend(NOW, LEASE_SECONDS)
    [order] = plan(pool_state)
    run = pool_state.runs[order.task]
    process_start_reply(pool_state, run, outcome, worker_seconds, NOW, CLOCK_SECONDS)
    pool_state.expire_leases(NOW + kept_seconds - 0.1)
    assert_that(list(worker.runs), Equals([order.task]))
    pool_state.expire_leases(NOW + kept_seconds + 1.5)
    assert_that(list(worker.runs), Equals([]))


def test_a_late_list_of_an_incarnation_does_not_tell_of_a_run_that_its_successor_has_started():
    pool_state = make_pool_state(Step(1, TASK), workers=("w1",))
    worker = pool_state.workers["w1"]
    worker.lease.reset()
    hold(pool_state, "w1", clock=CLOCK_SECONDS)
    [order] = plan(pool_state)
    run = pool_state.runs[order.task]
    outcome = StartOutcome.STARTED
    process_start_reply(pool_state, run, outcome, REPLY_SECONDS, NOW, CLOCK_SECONDS)
    hold(pool_state, "w1", clock=CLOCK_SECONDS + 0.3, now=NOW + 0.3)
    assert_that(list(worker.runs), Equals([order.task]))


@pytest.mark.parametrize(
    ("seconds_since_last_call", "kept_seconds"),
    [
        (-1.0, LONGEST_HOLD_SECONDS),
        (0.0, LONGEST_HOLD_SECONDS),
        (LONGEST_HOLD_SECONDS / MIN_CLOCK_RATE - 0.1, LONGEST_HOLD_SECONDS),
        (LONGEST_HOLD_SECONDS / MIN_CLOCK_RATE + 0.1, LEASE_SECONDS),
    ],
)
def test_the_first_list_after_a_takeover_counts_as_the_longest_lease(
    seconds_since_last_call, kept_seconds
):
    """An idle worker's lease from an earlier owner is not listed."""
    pool_state = make_pool_state(Step(1, TASK), workers=())
    pool_state.earlier_calls_until = NOW - seconds_since_last_call
    listed = ListedWorker("w1", "desk", "w1:1", 1, Amount(4000, 8000))
    worker = pool_state.update_listed_worker(listed)
    worker.in_roster = True
    hold(pool_state, "w1")
    worker.lease.extend(NOW, LEASE_SECONDS)
    [order] = plan(pool_state)
    pool_state.expire_leases(NOW + kept_seconds / MIN_CLOCK_RATE - 0.1)
    assert_that(list(worker.runs), Equals([order.task]))
    pool_state.expire_leases(NOW + kept_seconds / MIN_CLOCK_RATE + 1.5)
    assert_that(list(worker.runs), Equals([]))
