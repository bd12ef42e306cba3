"""Events of runs and workers name the worker's life and the ends that may be lost with it."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, EndKind, Job, JobKey, JobSpec, Step, TaskId
from ...workers import EndedRun, HoldReply, ListedWorker
from .. import PlanningLimits, PoolState, plan_orders, process_hold_reply

JOB = "00000000000000aa"
FIRST_LIFE, SECOND_LIFE = 1700, 1800
NOW = 50.0


class NoLimit:
    """Shares of teams without an upper limit."""

    def allows(self, team, running, more):
        return True


def list_worker(pool_state, life):
    return pool_state.update_listed_worker(
        ListedWorker("w1", "desk", "w1:1", life, Amount(8000, 8000), "m-1")
    )


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
    process_hold_reply(pool_state, worker, HoldReply(10.5, FIRST_LIFE, (), ended), NOW, NOW)
    if stored:
        pool_state.mark_stored(dict(pool_state.progress.newest))
    return pool_state, worker, events


def end_by_plan(pool_state, worker):
    pool_state.end_workers(["w1"], "vm-ordered")


def restart_by_entry(pool_state, worker):
    list_worker(pool_state, SECOND_LIFE)


def restart_by_answer(pool_state, worker):
    process_hold_reply(pool_state, worker, HoldReply(1.0, SECOND_LIFE), NOW, NOW)


def lapse(pool_state, worker):
    pool_state.mark_unlisted("w1")
    pool_state.expire_leases(NOW + 100.0)


@pytest.mark.parametrize(("stored", "positions"), [(False, (8, 6, 2)), (True, (8, 8, 0))])
@pytest.mark.parametrize(
    ("take_away", "last"),
    [
        (end_by_plan, "worker-restarted"),
        (restart_by_entry, "worker-restarted"),
        (restart_by_answer, "worker-restarted"),
        (lapse, "worker-gone"),
    ],
)
def test_unstored_ends_and_life_of_a_worker_that_is_gone_are_told(
    take_away, last, stored, positions
):
    pool_state, worker, events = make_pool_state(stored)
    events.clear()
    take_away(pool_state, worker)
    told = [event for event in events if event.event in ("run-dropped", last)]
    assert_that([event.event for event in told], Equals(["run-dropped", "run-dropped", last]))
    for event in told:
        ends = event.ends
        assert_that(event.life, Equals(FIRST_LIFE))
        assert_that((ends.processed_through, ends.stored_through, ends.unstored), Equals(positions))


def test_the_end_of_a_run_is_told_with_its_position_and_life():
    _, _, events = make_pool_state(stored=False)
    ends = [(event.life, event.position) for event in events if event.event == "run-ended"]
    assert_that(ends, Equals([(FIRST_LIFE, 7), (FIRST_LIFE, 8)]))
