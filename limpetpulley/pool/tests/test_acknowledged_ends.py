"""Ends of runs are acknowledged only after the progress that contains them is stored."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from ...batch import EndKind, Step
from ...workers import EndedRun, HoldReply
from ..replies import process_hold_reply
from .test_planning import JOB, NOW, TASK, hold, make_pool_state, plan, task

LAST_POSITION = 4


def list_end(pool_state, name, kind, position=0, number=1):
    """Let a worker list the end of a run."""
    hold(
        pool_state, name, ended=[EndedRun(LAST_POSITION, task(position), number, kind)], clock=11.0
    )


def end_then_list_again_after_removal(pool_state):
    list_end(pool_state, "w1", EndKind.DONE)
    listed = pool_state.workers["w1"].listed
    pool_state._remove_worker(pool_state.workers["w1"])
    pool_state.update_listed_worker(listed)
    list_end(pool_state, "w1", EndKind.DONE)
    return "w1"


def end_on_two_workers(pool_state):
    list_end(pool_state, "w1", EndKind.DONE)
    list_end(pool_state, "w2", EndKind.DONE, number=2)
    return "w2"


def end_members_of_a_gang(pool_state):
    list_end(pool_state, "w1", EndKind.DONE)
    list_end(pool_state, "w2", EndKind.DONE, position=1)
    return "w2"


def fail_members_of_a_gang(pool_state):
    list_end(pool_state, "w1", EndKind.FAILED)
    list_end(pool_state, "w2", EndKind.FAILED, position=1)
    return "w2"


def fail_then_list_again_after_removal(pool_state):
    pool_state.jobs[JOB].max_attempts = 3
    list_end(pool_state, "w1", EndKind.FAILED)
    pool_state.progress.remove_worker("w1")
    pool_state.workers["w1"].processed_through = 0
    list_end(pool_state, "w1", EndKind.FAILED)
    return "w1"


def end_after_a_cancel(pool_state):
    pool_state.cancel(pool_state.jobs[JOB], 50.0)
    list_end(pool_state, "w1", EndKind.DONE)
    return "w1"


@pytest.mark.parametrize(
    ("step", "list_ends"),
    [
        (Step(2, TASK), end_then_list_again_after_removal),
        (Step(1, TASK), end_on_two_workers),
        (Step(2, TASK, gang=True), end_members_of_a_gang),
        (Step(2, TASK, gang=True), fail_members_of_a_gang),
        (Step(2, TASK), fail_then_list_again_after_removal),
        (Step(2, TASK), end_after_a_cancel),
    ],
)
def test_an_end_that_changes_nothing_waits_for_the_progress_that_contains_it(step, list_ends):
    """The owner may be lost with that progress; then only the worker still knows the end."""
    pool_state = make_pool_state(step)
    worker = pool_state.workers[list_ends(pool_state)]
    assert worker.processed_through == LAST_POSITION
    assert_that(worker.stored_through < LAST_POSITION, Equals(True))
    pool_state.mark_stored({JOB: pool_state.progress.newest[JOB]})
    assert_that(worker.stored_through, Equals(LAST_POSITION))


@pytest.mark.parametrize("kind", list(EndKind))
def test_an_end_is_acknowledged_at_once_if_its_job_has_no_unstored_progress(kind):
    pool_state = make_pool_state(Step(2, TASK))
    list_end(pool_state, "w1", EndKind.DONE)
    pool_state.mark_stored({JOB: pool_state.progress.newest[JOB]})
    list_end(pool_state, "w2", kind)
    assert_that(pool_state.workers["w2"].stored_through, Equals(LAST_POSITION))
    assert plan(pool_state)


@pytest.mark.parametrize(("incarnation", "starts"), [(1, 1), (2, 0)])
def test_only_a_new_incarnation_takes_no_runs_while_an_acknowledgement_may_be_late(
    incarnation, starts
):
    pool_state = make_pool_state(Step(1, TASK), workers=("w1",))
    pool_state.note_late_acknowledgement("w1", 1, NOW)
    listed = attrs.evolve(pool_state.workers["w1"].listed, incarnation=incarnation)
    pool_state._remove_worker(pool_state.workers["w1"])
    worker = pool_state.update_listed_worker(listed)
    worker.in_roster = True
    reply = HoldReply(10.0, incarnation, (), ())
    process_hold_reply(pool_state, worker, reply, NOW, NOW)
    assert_that(plan(pool_state), HasLength(starts))
