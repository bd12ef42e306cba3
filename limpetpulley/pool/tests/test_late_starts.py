"""Stops that wait for the next incarnation of a worker on which a start may be carried out late."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Step
from ...workers import StartOutcome, StopOrder
from .. import process_start_reply, process_stop_reply
from .test_planning import NOW, TASK, make_pool_state, plan

ENDED_AT = NOW + 0.5
#: time between two rounds of planning, in seconds
ROUND_SECONDS = 0.125


def make_ended(count=1, unanswered=1, removed=False):
    """Return a pool state whose only worker has ended, and the stops of its late starts."""
    pool_state = make_pool_state(Step(count, TASK), workers=("w1",))
    orders = plan(pool_state)
    for order in orders[unanswered:]:
        run = pool_state.runs[order.task]
        process_start_reply(pool_state, run, StartOutcome.STARTED, 10.0, NOW)
        run.seen_running = True
    pool_state.scanned_at = ENDED_AT
    if removed:
        pool_state.mark_unlisted("w1")
    pool_state.end_workers([("w1", 1)], "test")
    stops = [StopOrder("w1", order.task, order.number) for order in orders[:unanswered]]
    return pool_state, stops


def sent(pool_state, after, until):
    """Return the stops that are sent in rounds of planning, with the seconds since the end."""
    rounds = int((until - after) / ROUND_SECONDS)
    times = [after + ROUND_SECONDS * (number + 1) for number in range(rounds)]
    return [
        (seconds, order)
        for seconds in times
        for order in plan(pool_state, now=ENDED_AT + seconds)
        if isinstance(order, StopOrder)
    ]


@pytest.mark.parametrize("removed", [False, True])
@pytest.mark.parametrize(("unanswered", "count"), [(1, 8), (0, 0)])
def test_a_late_start_is_stopped_at_the_old_address_from_the_end_of_the_worker_on(
    removed, unanswered, count
):
    pool_state, stops = make_ended(1, unanswered, removed)
    orders = sent(pool_state, 0.0, 1.0)
    assert_that([order for _, order in orders], Equals(stops * count))
    assert ("w1" in pool_state.workers) != removed


def test_a_late_start_is_not_stopped_for_longer_than_it_may_be_late():
    pool_state, _ = make_ended()
    assert sent(pool_state, 13.0, 14.5)
    assert_that(sent(pool_state, 15.1, 17.0), Equals([]))


def test_one_stop_at_a_time_is_sent_until_one_is_answered():
    pool_state, stops = make_ended(3, 3)
    assert_that([order for _, order in sent(pool_state, 0.0, 0.375)], Equals(stops))
    process_stop_reply(pool_state, stops[2], 0.1, ENDED_AT + 0.4)
    times = [seconds for seconds, _ in sent(pool_state, 0.375, 0.75)]
    assert_that(times, Equals([0.5, 0.5, 0.5, 0.625, 0.75]))


def test_stops_for_a_worker_that_is_listed_again_are_not_repeated_without_need():
    pool_state, stops = make_ended()
    sent(pool_state, 0.0, 0.25)
    listed = attrs.evolve(pool_state.workers["w1"].listed, incarnation=2)
    pool_state.update_listed_worker(listed)
    assert_that([order for _, order in sent(pool_state, 0.25, 0.375)], Equals(stops))
    process_stop_reply(pool_state, stops[0], 0.2, ENDED_AT + 0.45)
    assert_that(sent(pool_state, 0.5, 2.0), Equals([]))
