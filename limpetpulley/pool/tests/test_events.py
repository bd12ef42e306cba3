"""Events of runs and workers name the worker's life and the ends that may be lost with it."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, EndKind, Job, JobKey, JobSpec, Step, TaskId
from ...workers import EndedRun, HoldReply, ListedRun, ListedWorker, StartOutcome, StopOrder
from .. import (
    PlanningLimits,
    PoolState,
    plan_orders,
    process_hold_reply,
    process_start_reply,
)

JOB = "00000000000000aa"
FIRST_LIFE, SECOND_LIFE = 1700, 1800
NOW = 50.0


class NoLimit:
    """Shares of teams without an upper limit."""

    def allows(self, team, running, more):
        return True


def list_worker(pool_state, life, heartbeat=0):
    listed = ListedWorker("w1", "desk", "w1:1", life, Amount(8000, 8000), "m-1")
    return pool_state.update_listed_worker(attrs.evolve(listed, heartbeat=heartbeat))


def make_pool_state(stored):
    """Return a pool with four runs on a worker that has listed the ends of two, and its events.

    :param stored: whether the progress of these ends is stored
    """
    events = []
    pool_state = PoolState("desk", 3, 0.2, 10.0, 5.0, events.append)
    worker = list_worker(pool_state, FIRST_LIFE)
    worker.in_roster = True
    process_hold_reply(pool_state, worker, HoldReply(10.0, FIRST_LIFE), NOW, NOW)
    spec = JobSpec("text", (Step(4, Amount(1000, 100)),))
    pool_state.add_job(Job(JobKey("quotes", JOB), spec, "desk"), 0.0)
    numbers = {
        order.task.position: order.number
        for order in plan_orders(pool_state, NoLimit(), NOW, NOW, PlanningLimits())
    }
    for run in worker.runs.values():
        run.unanswered_starts = 0
    ended = tuple(
        EndedRun(7 + place, TaskId(JOB, 0, 0, place), numbers[place], EndKind.DONE)
        for place in range(2)
    )
    running = tuple(ListedRun(TaskId(JOB, 0, 0, place), numbers[place]) for place in (2, 3))
    process_hold_reply(pool_state, worker, HoldReply(10.5, FIRST_LIFE, running, ended), NOW, NOW)
    if stored:
        pool_state.mark_stored(dict(pool_state.progress.newest))
    return pool_state, worker, events


def end_by_plan(pool_state, worker):
    pool_state.end_workers([("w1", FIRST_LIFE)], "vm-ordered")


def restart_by_entry(pool_state, worker):
    list_worker(pool_state, SECOND_LIFE)
    # A reply confirms it.
    pool_state.settle_suspicion(worker, worker.suspected, SECOND_LIFE, FIRST_LIFE)


def restart_by_answer(pool_state, worker):
    process_hold_reply(pool_state, worker, HoldReply(1.0, SECOND_LIFE), NOW, NOW)


def lapse(pool_state, worker):
    pool_state.mark_unlisted("w1")
    pool_state.expire_leases(NOW + 100.0)


@pytest.mark.parametrize(("stored", "positions"), [(False, (8, 6, 2)), (True, (8, 8, 0))])
@pytest.mark.parametrize(
    ("take_away", "last", "next_life"),
    [
        (end_by_plan, "worker-restarted", 0),
        (restart_by_entry, "worker-restarted", SECOND_LIFE),
        (restart_by_answer, "worker-restarted", SECOND_LIFE),
        (lapse, "worker-gone", 0),
    ],
)
def test_unstored_ends_and_life_of_a_worker_that_is_gone_are_told(
    take_away, last, next_life, stored, positions
):
    pool_state, worker, events = make_pool_state(stored)
    events.clear()
    take_away(pool_state, worker)
    told = [event for event in events if event.event in ("run-dropped", last)]
    # An unlisted worker is kept until its ends are stored.
    gone = [] if take_away is lapse and not stored else [last]
    assert_that([event.event for event in told], Equals(["run-dropped", "run-dropped", *gone]))
    assert_that([event.next_life for event in told[2:]], Equals([next_life] * len(gone)))
    for event in told:
        ends = event.ends
        assert_that(event.life, Equals(FIRST_LIFE))
        assert_that((ends.processed_through, ends.stored_through, ends.unstored), Equals(positions))


def test_the_end_of_a_run_is_told_with_its_position_and_life():
    _, _, events = make_pool_state(stored=False)
    ends = [(event.life, event.position) for event in events if event.event == "run-ended"]
    assert_that(ends, Equals([(FIRST_LIFE, 7), (FIRST_LIFE, 8)]))


def test_the_first_list_of_a_worker_is_told_once_before_its_runs():
    events = []
    pool_state = PoolState("desk", 3, 0.2, 10.0, 5.0, events.append)
    worker = list_worker(pool_state, FIRST_LIFE)
    spec = JobSpec("text", (Step(1, Amount(1000, 100)),))
    pool_state.add_job(Job(JobKey("quotes", JOB), spec, "desk"), 0.0, inherited=True)
    running = (ListedRun(TaskId(JOB, 0, 0, 0), 5),)
    for life in (FIRST_LIFE, FIRST_LIFE, SECOND_LIFE):
        process_hold_reply(pool_state, worker, HoldReply(10.0, life, running), NOW, NOW)
    told = [(event.event, event.life) for event in events if event.event != "worker-crashed"]
    expected = [
        ("worker-reconciled", FIRST_LIFE),
        ("run-adopted", FIRST_LIFE),
        ("run-dropped", FIRST_LIFE),
        ("worker-restarted", FIRST_LIFE),
        ("worker-reconciled", SECOND_LIFE),
        ("run-adopted", SECOND_LIFE),
    ]
    assert_that(told, Equals(expected))
    assert events[0].detail == "1 runs, ends up to position 0"


@pytest.mark.parametrize(
    ("position", "detail"), [(0, "run {number} on w1 is current"), (9, "not needed")]
)
@pytest.mark.parametrize("stop_queued", [False, True])
def test_a_run_that_is_listed_beside_the_current_one_is_told_once(position, detail, stop_queued):
    pool_state, worker, events = make_pool_state(stored=True)
    run = next(iter(worker.runs.values()))
    task = run.task if position == 0 else TaskId(JOB, 0, 0, position)
    reply = HoldReply(10.6, FIRST_LIFE, (ListedRun(task, 5),))
    if stop_queued:
        pool_state.orphan_stops[StopOrder("w1", task, 5)] = 0.0
    for _ in range(3):
        process_hold_reply(pool_state, worker, reply, NOW, NOW)
    told = [event for event in events if event.event == "run-orphaned"]
    expected = [(task, 5, FIRST_LIFE, detail.format(number=run.number))]
    assert_that(
        [(event.task, event.number, event.life, event.detail) for event in told], Equals(expected)
    )


def answer_hold(life):
    return lambda pool_state, worker, run: process_hold_reply(
        pool_state, worker, HoldReply(11.0, life), NOW + 0.5, NOW
    )


def answer_start(outcome):
    return lambda pool_state, worker, run: process_start_reply(
        pool_state, run, outcome, 11.0, NOW + 0.5
    )


def renew_entry(life, heartbeat=1):
    return lambda pool_state, worker, run: list_worker(pool_state, life, heartbeat)


@pytest.mark.parametrize(
    ("sign", "details"),
    [
        (answer_hold(FIRST_LIFE), ["hold 0.50 s after its end: 0 runs, ends up to position 0"]),
        (answer_hold(0), ["hold 0.50 s after its end: 0 runs, ends up to position 0"]),
        (answer_hold(FIRST_LIFE - 1), []),
        (answer_hold(SECOND_LIFE), []),
        (answer_start(StartOutcome.STARTED), ["start 0.50 s after its end: started"]),
        (answer_start(StartOutcome.OTHER_WORKER), []),
        (renew_entry(FIRST_LIFE), ["entry 0.00 s after its end"]),
        (renew_entry(SECOND_LIFE), []),
        # An entry that is read again is no sign of life.
        (renew_entry(FIRST_LIFE, 0), []),
    ],
)
def test_a_worker_that_answers_in_the_life_that_was_said_to_have_ended_is_told_once(sign, details):
    pool_state, worker, events = make_pool_state(stored=True)
    run = next(iter(worker.runs.values()))
    sign(pool_state, worker, run)
    assert "ended-worker-answers" not in {event.event for event in events}

    pool_state, worker, events = make_pool_state(stored=True)
    run = next(iter(worker.runs.values()))
    end_by_plan(pool_state, worker)
    before = attrs.asdict(worker, recurse=False) | {"signs_after_end": None, "listed": None}
    for _ in range(3):
        sign(pool_state, worker, run)
    after = attrs.asdict(worker, recurse=False) | {"signs_after_end": None, "listed": None}
    assert_that(after, Equals(before))
    told = [event for event in events if event.event == "ended-worker-answers"]
    assert_that([event.detail for event in told], Equals(details))
    assert {event.life for event in told} <= {FIRST_LIFE}
