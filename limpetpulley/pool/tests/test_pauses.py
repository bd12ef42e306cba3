"""A lease that seems to have lapsed in a pause of the owner's process."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import EndKind, Step
from ...workers import EndedRun, StartOutcome
from .. import process_start_reply
from ..state import RESUME_SECONDS
from .test_planning import NOW, TASK, hold, make_pool_state, plan, task

PAUSE_SECONDS = 10.0


@pytest.mark.parametrize(
    ("listed", "waited", "starts"),
    [
        (False, 0.0, 0),
        (False, RESUME_SECONDS - 0.1, 0),
        (False, RESUME_SECONDS + 0.1, 1),
        (True, RESUME_SECONDS + 0.1, 0),
    ],
)
def test_task_that_was_done_in_a_pause_of_the_owner_is_not_started_again(listed, waited, starts):
    pool_state = make_pool_state(Step(1, TASK))
    (order,) = plan(pool_state)
    run = pool_state.runs[order.task]
    process_start_reply(pool_state, run, StartOutcome.STARTED, 10.0, NOW)
    resumed_at = pool_state.resumed_at = NOW + PAUSE_SECONDS
    assert_that(plan(pool_state, now=resumed_at), Equals([]))
    other = "w2" if order.worker_id == "w1" else "w1"
    now = resumed_at + waited
    hold(pool_state, other, clock=10.0 + PAUSE_SECONDS, now=now)
    if listed:
        ended = [EndedRun(1, task(), order.number, EndKind.DONE)]
        hold(pool_state, order.worker_id, ended=ended, clock=10.0 + PAUSE_SECONDS, now=now)
    assert_that(len(plan(pool_state, now=now)), Equals(starts))
