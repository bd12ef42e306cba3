"""Runs that are no longer their tasks' current ones count until their workers have ended them."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, EndKind, Step
from ...workers import EndedRun, HoldReply, ListedRun, ListedWorker, StartOrder, StartOutcome
from .. import process_hold_reply, process_start_reply, requeue_speculative_tasks
from ..ready_jobs import behind_capacity
from .test_planning import JOB, NOW, TASK, hold, make_pool_state, plan, task

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


def list_second_run(pool_state, step_tasks, now):
    """Let w1 list runs of an earlier owner of tasks that have current runs elsewhere."""
    rows = [ListedRun(each, 1) for each in step_tasks]
    own = [ListedRun(run.task, run.number) for run in pool_state.workers["w1"].runs.values()]
    hold(pool_state, "w1", own + rows, clock=11.0, now=now)


# Guards against TWICE: the run that was taken for the task's only one was rejected, and the other
# one, which is being stopped, still runs.
@pytest.mark.parametrize(
    ("step", "copies"),
    [
        (Step(1, TASK), 0),
        (Step(2, TASK, gang=True, max_per_worker=1), 0),
        (Step(1, TASK, speculative=True), 1),
    ],
    ids=["plain", "gang", "speculative"],
)
def test_task_is_not_started_again_while_another_run_of_it_is_being_stopped(step, copies):
    workers = ("w1", "w2", "w3", "w4")
    pool_state = make_pool_state(step, workers=workers)
    pool_state.workers["w1"].avoid_until = NOW + 1.0
    orders = [order for order in plan(pool_state) if isinstance(order, StartOrder)]
    assert_that(len(orders), Equals(step.count))
    list_second_run(pool_state, [task(0)], NOW + 0.05)
    for order in orders:
        run = pool_state.runs[order.task]
        process_start_reply(pool_state, run, StartOutcome.NO_ROOM, 10.0, NOW + 0.1)
    now = NOW + 0.5
    for name in workers[1:]:
        hold(pool_state, name, clock=11.0, now=now)
    started = start_all(pool_state, now)
    assert_that(len(started), Equals(copies))
    # Once its end is listed, the task starts.
    end = EndedRun(1, task(0), 1, EndKind.STOPPED)
    rows = [ListedRun(run.task, run.number) for run in pool_state.workers["w1"].runs.values()]
    rows = [row for row in rows if row.task != task(0)]
    hold(pool_state, "w1", rows, [end], clock=12.0, now=now + 0.1)
    started |= start_all(pool_state, now + 0.3)
    assert_that(len(started), Equals(step.count))


# Guards against jobs that run behind all others on capacity that is kept for jobs in time.
def test_superseded_runs_count_for_what_jobs_behind_all_others_may_use():
    pool_state = make_pool_state(Step(2, TASK, speculative=True), workers=("w1", "w2"))
    pool_state.jobs[JOB].behind = True
    start_all(pool_state)
    before = behind_capacity(pool_state)
    (name,) = {run.worker_id for run in pool_state.runs.values()}
    worker = pool_state.workers[name]
    worker.last_reply_at, worker.silent = NOW + 0.5, True
    requeue_speculative_tasks(pool_state, worker)
    assert_that((before, behind_capacity(pool_state)), Equals((2000, 2000)))
