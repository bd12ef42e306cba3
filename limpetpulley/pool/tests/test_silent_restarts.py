"""Runs on workers that start again, as their entries tell, and answer no call."""

import attrs
import pytest

from ...batch import Step
from ...workers.lease import MIN_CLOCK_RATE
from ..planning import START_TIMEOUT_SECONDS
from ..state import MAX_ORDER_DELAY_SECONDS
from .test_planning import NOW, TASK, make_pool_state, plan

LONGEST_HOLD_SECONDS = 10.0
#: longest time from the last start order until no lease can last that it gives, in seconds
LONGEST_LATE_SECONDS = MAX_ORDER_DELAY_SECONDS + LONGEST_HOLD_SECONDS / MIN_CLOCK_RATE
ROUND_SECONDS = 0.25
FIRST_RESTART_SECONDS = 1.0
WATCHED_SECONDS = 120.0


@pytest.mark.parametrize("restart_interval_seconds", [WATCHED_SECONDS, 20.0, 8.0])
def test_a_run_without_an_answer_is_not_kept_longer_than_its_last_start_order_may_give_a_lease(
    restart_interval_seconds,
):
    pool_state = make_pool_state(Step(1, TASK), workers=("w1",))
    pool_state.scanned_at = NOW
    [order] = plan(pool_state)
    worker = pool_state.workers["w1"]
    worker.silent = True
    run, now, incarnation = worker.runs[order.task], NOW, 1
    restarts_at = NOW + FIRST_RESTART_SECONDS
    while run in worker.runs.values() and now < NOW + WATCHED_SECONDS:
        now += ROUND_SECONDS
        pool_state.scanned_at = now
        if now >= restarts_at:
            incarnation += 1
            restarts_at += restart_interval_seconds
            pool_state.update_listed_worker(attrs.evolve(worker.listed, incarnation=incarnation))
        pool_state.expire_leases(now)
        plan(pool_state, now=now)
    assert now - NOW <= START_TIMEOUT_SECONDS + LONGEST_LATE_SECONDS + 2 * ROUND_SECONDS
