"""Which evidence makes a job count as started; until then it is queued and pending."""

import attrs
import pytest

from ...batch import AdviceConfig, EndKind, JobState, Step
from ...batch.records import decode_job, encode_description, encode_progress
from ...workers import EndedRun, ListedRun, RunPhase, StartOutcome
from .. import process_start_reply
from ..proofs import Proof
from ..tickets import StepKey
from .test_planning import JOB, NOW, TASK, hold, make_pool_state, plan, task

NOT_STARTED = [outcome for outcome in StartOutcome if outcome is not StartOutcome.STARTED]
STEPS = {"plain": Step(1, TASK), "gang": Step(2, TASK, gang=True), "copies": Step(2, TASK)}


def reply(pool_state, outcome, now=NOW):
    """Send the planned starts and answer all of them alike."""
    for order in plan(pool_state, now=now):
        run = pool_state.runs.get(order.task)
        if run is not None and run.number == order.number:
            process_start_reply(pool_state, run, outcome, 10.0, now)


def crash(pool_state):
    for run in list(pool_state.runs_of(JOB)):
        pool_state.workers[run.worker_id].ended = True
        pool_state.handle_worker_restart(pool_state.workers[run.worker_id], "test")


def restart(pool_state):
    for run in list(pool_state.runs_of(JOB)):
        listed = pool_state.workers[run.worker_id].listed
        pool_state.update_listed_worker(attrs.evolve(listed, incarnation=2))


def lapse(pool_state):
    pool_state.expire_leases(NOW + 30.0)


def give_up(pool_state):
    """Leave the starts unanswered until the runs are stopped."""
    for seconds in (0.6, 1.2, 2.5):
        plan(pool_state, now=NOW + seconds)
    assert all(run.phase is RunPhase.STOPPING for run in pool_state.runs_of(JOB))


# Guards against MIXED of review/5: jobs whose start was turned away are not counted as pending.
@pytest.mark.parametrize("outcome", NOT_STARTED, ids=lambda outcome: outcome.name)
@pytest.mark.parametrize("step", STEPS.values(), ids=STEPS)
def test_job_whose_starts_are_turned_away_is_queued(step, outcome):
    pool_state = make_pool_state(step)
    for attempt in range(3):
        reply(pool_state, outcome, NOW + 0.1 * attempt)
    assert pool_state.jobs[JOB].state is JobState.QUEUED


# Guards against MIXED for starts that have no answer, by each way in which their runs are removed.
@pytest.mark.parametrize("event", [None, crash, restart, lapse, give_up])
@pytest.mark.parametrize("step", STEPS.values(), ids=STEPS)
def test_job_whose_starts_are_not_answered_is_queued(step, event):
    pool_state = make_pool_state(step)
    assert plan(pool_state)
    if event is not None:
        event(pool_state)
    assert pool_state.jobs[JOB].state is JobState.QUEUED


# Guards against MIXED where only a ticket is rejected, so that the step waits for another one.
def test_job_whose_ticket_is_rejected_is_queued():
    pool_state = make_pool_state(Step(1, TASK))
    pool_state.tickets.advice_configs = {"quotes": AdviceConfig(0.02, 0.001, 3.0)}
    workers = list(pool_state.workers.values())
    waiting = [(pool_state.jobs[JOB], pool_state.ready[JOB])]
    request = pool_state.tickets.next_request(waiting, workers, NOW)
    pool_state.tickets.mark_requested(request, NOW)
    assert request.step == StepKey(JOB, 0, 0)
    pool_state.tickets.store_tickets(request, {"w1": "ticket"}, 3.0, NOW)
    reply(pool_state, StartOutcome.NO_TICKET)
    assert pool_state.jobs[JOB].state is JobState.QUEUED


# Guards against MIXED at the next owner: the stored progress of a job that has not started.
def test_stored_progress_of_a_job_that_has_not_started_says_so():
    pool_state = make_pool_state(Step(1, TASK))
    plan(pool_state)
    crash(pool_state)
    job = pool_state.jobs[JOB]
    assert pool_state.unstored_jobs() == [job]
    read = decode_job(job.key, encode_description(job), encode_progress(job))
    assert read.state is JobState.QUEUED


def answered(pool_state, order):
    process_start_reply(pool_state, pool_state.runs[order.task], StartOutcome.STARTED, 10.0, NOW)


def answered_late(pool_state, order):
    run = pool_state.runs[order.task]
    pool_state.drop_run(run, Proof.NOT_LISTED)
    process_start_reply(pool_state, run, StartOutcome.STARTED, 10.0, NOW)


def listed(pool_state, order):
    hold(pool_state, order.worker_id, [ListedRun(order.task, order.number)])


def ended(pool_state, order):
    end = EndedRun(1, order.task, order.number, EndKind.LAPSED)
    hold(pool_state, order.worker_id, ended=[end])


def listed_for_an_earlier_owner(pool_state, order):
    hold(pool_state, "w2" if order.worker_id == "w1" else "w1", [ListedRun(task(), 1)])


@pytest.mark.parametrize(
    "event", [answered, answered_late, listed, ended, listed_for_an_earlier_owner]
)
def test_job_with_a_start_that_is_known_is_running(event):
    pool_state = make_pool_state(Step(1, TASK))
    (order,) = plan(pool_state)
    event(pool_state, order)
    assert pool_state.jobs[JOB].state is JobState.RUNNING
