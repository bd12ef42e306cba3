"""What an owner may start while its claim may have passed to another."""

import math

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import EndKind, Step
from ...workers import EndedRun, HoldReply, ListedRun, StartOutcome, StopOrder
from .. import process_hold_reply, process_start_reply, process_stop_reply
from ..proofs import ClaimGuard, Proof
from .test_planning import NOW, TASK, hold, make_pool_state, plan, task

#: time from the start of the run until it is known to be over, in seconds
OVER_SECONDS = 6.0
#: lease that the pool state requests, in seconds
LEASE_SECONDS = 5.0


def end_by_list(pool_state, run, now):
    hold(pool_state, "w1", ended=[EndedRun(1, run.task, run.number, EndKind.STOPPED)], now=now)


def leave_out_of_list(pool_state, run, now):
    process_start_reply(pool_state, run, StartOutcome.STARTED, 10.0, NOW)
    hold(pool_state, "w1", clock=10.0 + OVER_SECONDS, now=now)


def reject(pool_state, run, now):
    process_start_reply(pool_state, run, StartOutcome.NO_ROOM, 10.0, now)


def restart(pool_state, run, now):
    listed = attrs.evolve(pool_state.workers["w1"].listed, incarnation=2)
    pool_state.update_listed_worker(listed)
    pool_state.workers["w1"].runs[run.task].seen_running = True


def restart_and_answer(pool_state, run, now):
    """The next incarnation answers a stop of the run, and lists nothing of it."""
    restart(pool_state, run, now)
    stop = StopOrder("w1", run.task, run.number)
    process_hold_reply(pool_state, pool_state.workers["w1"], HoldReply(1.0, 2), now, now)
    process_stop_reply(pool_state, stop, 1.0, now)
    process_hold_reply(pool_state, pool_state.workers["w1"], HoldReply(3.0, 2), now, now)


def end_vm(pool_state, run, now):
    pool_state.end_workers([("w1", 1)], "test")


def start_on_first(confirmed_at=NOW):
    """Return a pool state, and the run of its task on the first of two workers."""
    pool_state = make_pool_state(Step(1, TASK))
    pool_state.claim_guard.update(NOW)
    pool_state.claim_guard.confirmed_at = NOW
    pool_state.workers["w2"].avoid_until = math.inf
    plan(pool_state)
    pool_state.workers["w2"].avoid_until = 0.0
    pool_state.claim_guard.confirmed_at = confirmed_at
    run = pool_state.runs[task()]
    assert_that(run.worker_id, Equals("w1"))
    return pool_state, run


@pytest.mark.parametrize(
    ("conclude", "counts_at_once"),
    [
        (end_by_list, True),
        (leave_out_of_list, False),
        (reject, True),
        (restart_and_answer, False),
        (end_vm, False),
    ],
)
@pytest.mark.parametrize("confirmed_after", [-3.0, -0.1, 0.1])
def test_a_task_restarts_on_what_others_say_of_its_run_only_with_a_claim_confirmed_later(
    conclude, counts_at_once, confirmed_after
):
    pool_state, run = start_on_first()
    now = NOW + OVER_SECONDS
    hold(pool_state, "w2", clock=10.0 + OVER_SECONDS, now=now)
    conclude(pool_state, run, now)
    plan(pool_state, now=now)
    pool_state.claim_guard.confirmed_at = now + confirmed_after
    later = now + 0.3
    hold(pool_state, "w2", clock=10.3 + OVER_SECONDS, now=later)
    plan(pool_state, now=later)
    current = pool_state.runs.get(task())
    is_confirmed = confirmed_after > 0
    restarted = current is not None and current.number != run.number
    assert_that(restarted, Equals(counts_at_once or is_confirmed))


@pytest.mark.parametrize(("confirmed_after", "starts"), [(-1.0, 0), (0.1, 1)])
def test_nothing_starts_on_a_new_incarnation_before_the_claim_is_confirmed(confirmed_after, starts):
    """It has seen no token, and a later owner may know only the incarnation before."""
    pool_state = make_pool_state(Step(1, TASK), workers=("w1",))
    pool_state.claim_guard.update(NOW)
    pool_state.claim_guard.confirmed_at = NOW - 1.0
    listed = attrs.evolve(pool_state.workers["w1"].listed, incarnation=2)
    pool_state.update_listed_worker(listed)
    reply = HoldReply(1.0, 2)
    process_hold_reply(pool_state, pool_state.workers["w1"], reply, NOW, NOW)
    assert_that(plan(pool_state), Equals([]))
    pool_state.claim_guard.confirmed_at = NOW + confirmed_after
    assert_that(len(plan(pool_state, now=NOW + 0.2)), Equals(starts))


@pytest.mark.parametrize("conclude", ["list", "vm"])
@pytest.mark.parametrize(("confirmed_after", "starts"), [(-1.0, 0), (0.1, 1)])
def test_inherited_tasks_wait_for_a_claim_confirmed_after_the_last_worker_is_accounted_for(
    conclude, confirmed_after, starts
):
    """The worker may have answered in a later incarnation than that of the earlier owner's run."""
    pool_state = make_pool_state(Step(1, TASK))
    pool_state.claim_guard.update(NOW)
    pool_state.claim_guard.confirmed_at = NOW - 1.0
    pool_state.inherited.update(pool_state.jobs)
    pool_state.unreconciled_workers = {"w1": NOW + 11.0}
    if conclude == "list":
        hold(pool_state, "w1")
    else:
        pool_state.end_workers([("w1", 1)], "test")
    assert_that(plan(pool_state), Equals([]))
    pool_state.claim_guard.confirmed_at = NOW + confirmed_after
    assert_that(len(plan(pool_state, now=NOW + 0.2)), Equals(starts))


def test_each_proof_says_whether_it_counts_at_once():
    conclusive = {proof for proof in Proof if proof.is_conclusive}
    assert_that(conclusive, Equals({Proof.LISTED_END, Proof.REJECTED, Proof.LEASE_LAPSED}))


@pytest.mark.parametrize(
    ("confirmed_at", "found_at", "now", "confirmed"),
    [
        (math.inf, None, NOW, True),
        (NOW - 0.1, None, NOW, False),
        (NOW, NOW, NOW + 1.0, True),
        (NOW, NOW + 0.1, NOW + 1.0, False),
        (NOW + 0.1, NOW + 0.1, NOW + 1.0, True),
    ],
)
def test_a_subject_is_confirmed_by_a_claim_that_was_valid_after_it(
    confirmed_at, found_at, now, confirmed
):
    guard = ClaimGuard(NOW - 1.0)
    guard.require("w1")
    if found_at is not None:
        guard.update(found_at)
    guard.confirmed_at = confirmed_at
    assert_that(guard.is_confirmed("w1"), Equals(confirmed))
    guard.update(now)
    assert_that("w1" not in guard.pending, Equals(confirmed))


@pytest.mark.parametrize(
    ("confirmed_after", "restarted"), [(0.0, False), (LEASE_SECONDS - 0.1, False), (5.3, True)]
)
def test_a_lease_has_lapsed_only_if_the_claim_was_confirmed_after_its_end(
    confirmed_after, restarted
):
    """A later owner may have extended it since, and the run still uses what it used."""
    pool_state, run = start_on_first()
    now = NOW + 30.0
    hold(pool_state, "w2", clock=40.0, now=now)
    pool_state.claim_guard.confirmed_at = NOW + confirmed_after
    usage = dict(pool_state.usage)
    plan(pool_state, now=now)
    assert_that(pool_state.runs[task()].number != run.number, Equals(restarted))
    assert_that(pool_state.usage, Equals(usage))


def make_confirmed(*steps, **options):
    """Return a pool state whose workers were known when the claim was confirmed."""
    pool_state = make_pool_state(*steps, **options)
    pool_state.claim_guard.update(NOW)
    pool_state.claim_guard.confirmed_at = NOW
    return pool_state


@pytest.mark.parametrize(("confirmed_after", "starts"), [(-0.1, 0), (0.2, 1)])
def test_a_task_that_is_no_suspect_waits_for_the_claim(confirmed_after, starts):
    pool_state = make_confirmed(Step(1, TASK))
    order = plan(pool_state)[0]
    process_start_reply(pool_state, pool_state.runs[order.task], StartOutcome.STARTED, 10.0, NOW)
    now = NOW + 2.0
    for name, worker in pool_state.workers.items():
        listed = [ListedRun(run.task, run.number) for run in worker.runs.values()]
        hold(pool_state, name, listed, clock=12.0, now=now)
    pool_state.end_workers([(order.worker_id, 1)], "test")
    assert_that(pool_state.suspects, Equals(set()))
    plan(pool_state, now=now)
    pool_state.claim_guard.confirmed_at = now + confirmed_after
    assert_that(len(plan(pool_state, now=now + 0.3)), Equals(starts))


@pytest.mark.parametrize(("confirmed_after", "given_up"), [(10.0, False), (11.5, True)])
def test_a_worker_of_an_earlier_owner_is_given_up_as_of_the_last_confirmation(
    confirmed_after, given_up
):
    pool_state = make_confirmed(Step(1, TASK), workers=("w1",))
    pool_state.inherited.update(pool_state.jobs)
    pool_state.unreconciled_workers = {"w9": NOW + 11.0}
    pool_state.claim_guard.confirmed_at = NOW + confirmed_after
    pool_state.expire_leases(NOW + 12.0)
    assert_that(not pool_state.unreconciled_workers, Equals(given_up))


def test_nothing_starts_on_a_worker_that_is_new_before_the_claim_is_confirmed():
    pool_state = make_confirmed(Step(1, TASK), workers=("w1",))
    pool_state.workers["w1"].avoid_until = math.inf
    listed = attrs.evolve(pool_state.workers["w1"].listed, worker_id="w7")
    pool_state.update_listed_worker(listed).in_roster = True
    process_hold_reply(pool_state, pool_state.workers["w7"], HoldReply(1.0, 1), NOW, NOW)
    assert_that(plan(pool_state, now=NOW + 0.2), Equals([]))
    pool_state.claim_guard.confirmed_at = NOW + 0.3
    assert_that(len(plan(pool_state, now=NOW + 0.4)), Equals(1))


@pytest.mark.parametrize("position", [0, 1])
def test_a_gang_waits_while_the_run_of_any_of_its_tasks_is_not_confirmed(position):
    pool_state = make_confirmed(Step(2, TASK, gang=True))
    pool_state.claim_guard.require(task(position=position))
    pool_state.claim_guard.confirmed_at = NOW - 1.0
    assert_that(plan(pool_state, now=NOW + 0.2), Equals([]))
    pool_state.claim_guard.confirmed_at = NOW + 0.3
    assert_that(len(plan(pool_state, now=NOW + 0.4)), Equals(2))


@pytest.mark.parametrize(
    ("confirmed_after", "orders"), [(0.0, ["StartOrder"]), (-0.7, ["StartOrder"]), (-0.9, [])]
)
def test_an_unanswered_start_is_repeated_only_while_the_claim_is_valid(confirmed_after, orders):
    """The worker may have restarted since, and a later owner may have taken the run's end."""
    pool_state = make_confirmed(Step(1, TASK))
    assert_that(len(plan(pool_state)), Equals(1))
    pool_state.claim_guard.confirmed_at = NOW + confirmed_after
    sent = [type(order).__name__ for order in plan(pool_state, now=NOW + 0.6)]
    assert_that(sent, Equals(orders))


def test_a_job_that_waits_for_the_claim_is_reported_with_the_reason():
    pool_state, events = make_confirmed(Step(1, TASK)), []
    pool_state.on_event = events.append
    pool_state.claim_guard.confirmed_at = NOW - 1.0
    pool_state.claim_guard.require(task())
    for place in range(50):
        now = NOW + 0.11 * place
        for name in ("w1", "w2"):
            hold(pool_state, name, now=now)
        assert_that(plan(pool_state, now=now), Equals([]))
    told = [event.detail for event in events if event.event == "job-stands-still"]
    assert_that(bool(told), Equals(True))
    assert_that([each for each in told if "claim not confirmed" not in each], Equals([]))


def test_lasting_tasks_are_not_moved_off_a_drained_worker_to_one_that_is_not_known():
    pool_state = make_confirmed(Step(1, TASK, lasting=True, may_miss=1))
    order = plan(pool_state)[0]
    run = pool_state.runs[order.task]
    process_start_reply(pool_state, run, StartOutcome.STARTED, 10.0, NOW)
    hold(pool_state, order.worker_id, [ListedRun(run.task, run.number)], clock=10.2)
    other = next(name for name in pool_state.workers if name != order.worker_id)
    pool_state.claim_guard.require(other)
    pool_state.workers[order.worker_id].cordoned = True
    assert_that(plan(pool_state, now=NOW + 0.2), Equals([]))
    pool_state.claim_guard.confirmed_at = NOW + 0.3
    assert_that([type(each) for each in plan(pool_state, now=NOW + 0.4)], Equals([StopOrder]))
