"""Runs that are no longer their tasks' current ones count until their workers have ended them."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, EndKind, Step
from ...workers import EndedRun, HoldReply, ListedRun, ListedWorker, StartOrder, StartOutcome
from .. import process_hold_reply, process_start_reply, requeue_speculative_tasks
from .test_planning import NOW, TASK, hold, make_pool_state, plan, task

CAPACITY = Amount(4000, 8000)


def start_all(pool_state, now=NOW):
    """Start the tasks that may start now; return the worker of each."""
    started = {}
    for order in plan(pool_state, now=now):
        if isinstance(order, StartOrder):
            started[order.task] = order.worker_id
            run = pool_state.runs[order.task]
            process_start_reply(pool_state, run, StartOutcome.STARTED, 10.0, now)
    return started


def add_worker(pool_state, name, now):
    listed = ListedWorker(name, "desk", f"{name}:1", 1, CAPACITY)
    pool_state.update_listed_worker(listed).in_roster = True
    hold(pool_state, name, clock=12.0, now=now)


def copy_first_task(pool_state, now):
    """Let the worker of the first task fall silent, and a new one take a copy; return the run."""
    superseded = pool_state.runs[task(0)]
    silent_worker = pool_state.workers[superseded.worker_id]
    silent_worker.silent = True
    requeue_speculative_tasks(pool_state, silent_worker)
    add_worker(pool_state, "w3", now)
    assert_that(start_all(pool_state, now), Equals({task(0): "w3"}))
    return superseded


def test_worker_back_from_a_cut_gets_no_task_beyond_its_maximum_beside_a_superseded_run():
    pool_state = make_pool_state(Step(3, TASK, max_per_worker=1, speculative=True))
    start_all(pool_state)
    superseded = copy_first_task(pool_state, NOW + 1.0)
    returned = superseded.worker_id
    for name in ("w1", "w2"):
        runs = pool_state.workers[name].runs.values()
        running = [ListedRun(run.task, run.number) for run in runs]
        hold(pool_state, name, running, clock=13.0, now=NOW + 1.1)
    assert_that(start_all(pool_state, NOW + 1.2), Equals({}))
    end = EndedRun(1, task(0), superseded.number, EndKind.STOPPED)
    hold(pool_state, returned, ended=[end], clock=14.0, now=NOW + 1.3)
    assert_that(start_all(pool_state, NOW + 1.4), Equals({task(2): returned}))


def test_task_is_not_started_again_on_the_worker_where_its_superseded_run_is_being_stopped():
    pool_state = make_pool_state(Step(1, TASK, speculative=True), workers=("w1",))
    start_all(pool_state)
    worker = pool_state.workers["w1"]
    worker.last_reply_at, worker.silent = NOW + 0.5, True
    requeue_speculative_tasks(pool_state, worker)
    process_hold_reply(pool_state, worker, HoldReply(1.0, 2), NOW + 1.0, NOW + 1.0)
    started = start_all(pool_state, NOW + 1.1)
    charged = sum((run.charge for run in worker.runs.values()), Amount())
    assert_that((worker.used, pool_state.usage[""]), Equals((charged, charged)))
    assert_that(started, Equals({}))
