"""Incarnations of a worker whose numbers, which its time of day makes, are in any order."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from ...batch import Step, TaskId
from ...scheduling.placement import unavailability
from ...workers import HoldReply, ListedRun, StartOrder, StartOutcome, StopOrder
from ..replies import process_hold_reply, process_start_reply
from ..state import MAX_REPLACED_INCARNATIONS
from .test_planning import JOB, NOW, TASK, make_pool_state, plan

FIRST, LOWER, HIGHER = 2000, 1000, 3000


def make_worker(*steps, answers=True):
    """Return the state of a pool whose only worker is in its first incarnation, and the worker."""
    pool_state = make_pool_state(*(steps or (Step(1, TASK),)), workers=())
    pool_state.scanned_at = NOW
    listed = make_pool_state().workers["w1"].listed
    worker = pool_state.update_listed_worker(attrs.evolve(listed, incarnation=FIRST))
    worker.in_roster = True
    if answers:
        answer(pool_state, FIRST)
    return pool_state, worker


def answer(pool_state, incarnation, running=(), sent_to=None, clock=10.0, now=NOW):
    worker = pool_state.workers["w1"]
    reply = HoldReply(clock, incarnation, tuple(running))
    process_hold_reply(pool_state, worker, reply, now, now, sent_to)


def enlist(pool_state, incarnation, **changes):
    worker = pool_state.workers["w1"]
    listed = attrs.evolve(worker.listed, incarnation=incarnation, **changes)
    return pool_state.update_listed_worker(listed)


def settle(pool_state, incarnation, sent_to=FIRST):
    worker = pool_state.workers["w1"]
    pool_state.settle_suspicion(worker, worker.suspected, incarnation, sent_to)


def start(pool_state):
    """Start the job's task, which its worker confirms; return the row that lists its run."""
    [order] = plan(pool_state)
    run = pool_state.runs[order.task]
    process_start_reply(pool_state, run, StartOutcome.STARTED, 10.0, NOW)
    return ListedRun(order.task, order.number)


@pytest.mark.parametrize("answers", [True, False], ids=["answered-before", "only-listed-before"])
@pytest.mark.parametrize("incarnation", [LOWER, HIGHER])
def test_a_worker_whose_next_incarnation_answers_is_given_tasks(incarnation, answers):
    pool_state, worker = make_worker(answers=answers)
    pool_state.unreconciled_workers = {"w1": NOW + 11.0}
    answer(pool_state, incarnation, clock=0.5)
    found = (worker.listed.incarnation, worker.reconciled, pool_state.unreconciled_workers)
    assert_that(found, Equals((incarnation, True, {})))
    assert_that(plan(pool_state), HasLength(1))


@pytest.mark.parametrize("incarnation", [LOWER, HIGHER])
def test_a_run_that_an_incarnation_had_listed_is_over_when_another_one_answers(incarnation):
    pool_state, _ = make_worker()
    row = start(pool_state)
    answer(pool_state, FIRST, [row])
    answer(pool_state, incarnation, clock=0.5)
    [order] = plan(pool_state, now=NOW + 1.0)
    assert isinstance(order, StartOrder) and order.number > row.number


@pytest.mark.parametrize("incarnation", [LOWER, HIGHER])
def test_a_run_that_no_incarnation_has_listed_is_stopped_in_the_one_that_answers(incarnation):
    pool_state, _ = make_worker()
    row = start(pool_state)
    answer(pool_state, incarnation, clock=0.5)
    orders = plan(pool_state, now=NOW + 1.0)
    assert_that(orders, Equals([StopOrder("w1", row.task, row.number)]))


@pytest.mark.parametrize("incarnation", [FIRST, LOWER, HIGHER, HIGHER + 1])
def test_a_reply_to_a_hold_that_was_sent_to_another_incarnation_changes_nothing(incarnation):
    """It does not tell which of them started later."""
    pool_state, worker = make_worker()
    row = start(pool_state)
    enlist(pool_state, HIGHER)
    settle(pool_state, HIGHER)
    answer(pool_state, incarnation, sent_to=FIRST)
    assert_that((worker.listed.incarnation, worker.reconciled), Equals((HIGHER, False)))
    assert_that(list(worker.runs), Equals([row.task]))
    answer(pool_state, LOWER, sent_to=HIGHER)
    assert_that((worker.listed.incarnation, worker.reconciled), Equals((LOWER, True)))


@pytest.mark.parametrize("silent", [True, False])
@pytest.mark.parametrize("incarnation", [LOWER, HIGHER])
def test_a_late_entry_of_an_incarnation_that_was_replaced_is_no_restart(incarnation, silent):
    pool_state, worker = make_worker()
    answer(pool_state, incarnation, clock=0.5)
    current, runs = worker.listed, [start(pool_state).task]
    worker.silent = silent
    for heartbeat in (5, 5, 6):
        enlist(pool_state, FIRST, heartbeat=heartbeat, draining=True)
    assert_that(
        (worker.listed, worker.reconciled, list(worker.runs)), Equals((current, True, runs))
    )
    enlist(pool_state, incarnation, draining=True)
    assert worker.listed.draining


@pytest.mark.parametrize(
    ("answers", "busy", "silent", "believed"),
    [
        (True, True, False, FIRST),
        (True, True, True, FIRST),
        (True, False, False, FIRST),
        (True, False, True, LOWER),
        (False, False, False, FIRST),
        (False, False, True, LOWER),
    ],
)
def test_an_entry_with_a_lower_number_is_believed_only_where_no_run_depends_on_it(
    answers, busy, silent, believed
):
    """The worker may be called at another address in that incarnation."""
    pool_state, worker = make_worker(answers=answers)
    runs = [start(pool_state).task] if busy else []
    worker.silent = silent
    for _ in range(2):
        enlist(pool_state, LOWER)
    assert_that((worker.listed.incarnation, list(worker.runs)), Equals((believed, runs)))


def test_a_run_that_waits_for_its_stop_survives_an_entry_with_a_lower_number():
    pool_state, worker = make_worker()
    row = start(pool_state)
    enlist(pool_state, HIGHER)
    settle(pool_state, HIGHER)
    worker.silent = True
    enlist(pool_state, LOWER)
    assert_that((worker.listed.incarnation, list(worker.runs)), Equals((LOWER, [row.task])))


@pytest.mark.parametrize("entry", [LOWER, HIGHER])
@pytest.mark.parametrize("silent", [True, False])
@pytest.mark.parametrize("answering", [None, FIRST, "entry", "third"])
def test_an_entry_drops_no_run_until_a_reply_confirms_it(answering, silent, entry):
    """The entry may be that of an incarnation before the one whose number is lower."""
    pool_state, worker = make_worker()
    row = start(pool_state)
    answer(pool_state, FIRST, [row])
    worker.silent = silent
    for _ in range(2):
        enlist(pool_state, entry)
    assert_that((worker.listed.incarnation, list(worker.runs)), Equals((FIRST, [row.task])))
    worker.silent = False
    assert_that(unavailability(worker, NOW, 1.0), Equals("joining"))
    current = {"entry": entry, "third": entry + 1}.get(answering, FIRST)
    if answering is not None:
        settle(pool_state, current)
        enlist(pool_state, entry)
    is_kept = answering in (None, FIRST)
    assert_that((worker.listed.incarnation, bool(worker.runs)), Equals((current, is_kept)))
    is_free = unavailability(worker, NOW, 1.0) == ""
    assert_that(is_free, Equals(answering == FIRST))
    pool_state.expire_leases(NOW + 1.0)
    assert_that(bool(worker.runs), Equals(is_kept))


@pytest.mark.parametrize(
    ("suspected", "incarnation", "sent_to"),
    [
        # Another entry was suspected when the hold was sent.
        (LOWER, LOWER, FIRST),
        (LOWER, FIRST, FIRST),
        # Another incarnation was known then.
        (HIGHER, HIGHER, LOWER),
        # The reply has no incarnation.
        (HIGHER, 0, FIRST),
    ],
)
def test_a_reply_to_a_hold_from_before_a_suspicion_does_not_settle_it(
    suspected, incarnation, sent_to
):
    pool_state, worker = make_worker()
    row = start(pool_state)
    enlist(pool_state, HIGHER)
    entry = attrs.evolve(worker.listed, incarnation=suspected)
    pool_state.settle_suspicion(worker, entry, incarnation, sent_to)
    found = (worker.suspected.incarnation, worker.listed.incarnation, list(worker.runs))
    assert_that(found, Equals((HIGHER, FIRST, [row.task])))


@pytest.mark.parametrize("entry", [LOWER, HIGHER])
def test_starts_that_an_unconfirmed_incarnation_may_carry_out_late_are_stopped_at_once(entry):
    pool_state, _ = make_worker()
    late = StopOrder("w1", TaskId(JOB, 0, 0, 9), 1)
    pool_state.late_start_stops[late] = NOW
    start(pool_state)
    enlist(pool_state, entry)
    assert_that(plan(pool_state, now=NOW + 0.1), Equals([late]))


@pytest.mark.parametrize(
    ("answering", "resent"), [(None, []), (FIRST, [StartOrder]), (HIGHER, [StopOrder])]
)
def test_a_start_without_an_answer_is_not_repeated_until_an_incarnation_answers(answering, resent):
    pool_state, _ = make_worker()
    assert_that(plan(pool_state), HasLength(1))
    enlist(pool_state, HIGHER)
    if answering is not None:
        settle(pool_state, answering)
    orders = plan(pool_state, now=NOW + 0.6)
    assert_that([type(order) for order in orders], Equals(resent))


@pytest.mark.parametrize("entry", [LOWER, HIGHER])
@pytest.mark.parametrize(("listed", "kept_seconds"), [(True, 5.2), (False, 25.0)])
def test_a_run_is_over_when_its_lease_has_lapsed_although_a_restart_is_not_confirmed(
    listed, kept_seconds, entry
):
    """One that was not listed may still be started late by the next incarnation."""
    pool_state, worker = make_worker()
    row = start(pool_state)
    if listed:
        answer(pool_state, FIRST, [row])
    enlist(pool_state, entry)
    worker.silent = True
    for seconds in (1.0, 4.0, 6.0, 24.0):
        pool_state.scanned_at = NOW + seconds
        pool_state.expire_leases(NOW + seconds)
        assert_that(bool(worker.runs), Equals(seconds < kept_seconds))
    pool_state.expire_leases(NOW + 26.0)
    assert_that((worker.listed.incarnation, list(worker.runs)), Equals((entry, [])))


def test_entries_are_followed_while_no_incarnation_answers():
    """The first one may be the current one, whose entry the next one's late write replaced."""
    pool_state, worker = make_worker(answers=False)
    worker.silent = True
    for incarnation in (LOWER, FIRST, LOWER):
        enlist(pool_state, incarnation)
        assert_that(worker.listed.incarnation, Equals(incarnation))


@pytest.mark.parametrize("incarnation", [LOWER, HIGHER])
def test_a_worker_that_has_ended_returns_with_any_other_number(incarnation):
    pool_state, worker = make_worker()
    pool_state.end_workers([("w1", FIRST)], "test")
    assert enlist(pool_state, FIRST) is worker
    returned = enlist(pool_state, incarnation)
    returned.in_roster = True
    assert not returned.ended
    answer(pool_state, incarnation, clock=0.5)
    enlist(pool_state, FIRST)
    assert_that((returned.listed.incarnation, returned.reconciled), Equals((incarnation, True)))
    assert_that(plan(pool_state, now=NOW + 1.0), HasLength(1))


@pytest.mark.parametrize("found", ["answered", "listed", "returned", "noted-later"])
@pytest.mark.parametrize("incarnation", [LOWER, HIGHER])
def test_another_incarnation_takes_no_runs_while_an_acknowledgement_may_be_late(incarnation, found):
    pool_state, worker = make_worker()
    if found != "noted-later":
        pool_state.note_late_acknowledgement("w1", FIRST, NOW)
    if found == "listed":
        worker.silent = True
        enlist(pool_state, incarnation)
    elif found == "returned":
        pool_state.end_workers([("w1", FIRST)], "test")
        enlist(pool_state, incarnation).in_roster = True
    answer(pool_state, incarnation, clock=0.5)
    if found == "noted-later":
        pool_state.note_late_acknowledgement("w1", FIRST, NOW)
    assert_that(plan(pool_state, now=NOW + 1.0), HasLength(0))


def test_the_incarnations_that_were_replaced_are_kept_until_the_worker_is_removed():
    pool_state, worker = make_worker()
    for number in range(2 * MAX_REPLACED_INCARNATIONS):
        answer(pool_state, LOWER - number, clock=0.5)
    replaced = pool_state.replaced_incarnations["w1"]
    last = LOWER - 2 * MAX_REPLACED_INCARNATIONS + 2
    assert_that((len(replaced), replaced[-1]), Equals((MAX_REPLACED_INCARNATIONS, last)))
    pool_state.mark_unlisted("w1")
    pool_state.expire_leases(NOW + 60.0)
    assert_that((pool_state.workers, pool_state.replaced_incarnations), Equals(({}, {})))
