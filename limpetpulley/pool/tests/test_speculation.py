"""Copies of tasks on a silent worker: whatever becomes of them, none is forgotten or stuck."""

import pytest

from ...batch import Amount, EndKind, Job, JobKey, JobSpec, JobState, Step, TaskId
from ...workers import Ended, HoldReply, ListedWorker, Running, StartOrder, StartOutcome, StopOrder
from .. import PlanningLimits, PoolState, requeue_speculative_tasks, plan_orders
from .test_machine import NoShares

JOB_ID = "00000000000000ab"
TASK = TaskId(JOB_ID, 0, 0, 0)
LEASE_SECONDS = 4.0


class Pool:
    """A book with two workers and a job of one task, started on a worker that falls silent."""

    def __init__(self, answered=True, copies=True):
        self.now = 10.0
        self.book = PoolState("desk", 1, 0.2, 10.0, LEASE_SECONDS)
        for name in ("w1", "w2"):
            listed = ListedWorker(name, "desk", f"{name}:1", 1, Amount(4, 4))
            self.book.update_listed_worker(listed).rostered = True
            self.hold(name)
        spec = JobSpec("", (Step(1, Amount(1, 1), speculative=copies),))
        self.job = Job(JobKey("quotes", JOB_ID), spec, "desk", "t", 3, due_by=99.0)
        self.book.add_job(self.job, self.now)
        self.first = self.plan()[0]
        self.lost = self.book.workers[self.first.worker_id]
        self.other = next(w for w in self.book.workers.values() if w is not self.lost)
        if answered:
            self.answer(self.first)
        self.lost.silent = True
        requeue_speculative_tasks(self.book, self.lost)

    def plan(self):
        return plan_orders(self.book, NoShares(), self.now, self.now, PlanningLimits())

    def answer(self, order):
        run = self.book.runs[order.task]
        self.book.process_start_reply(run, StartOutcome.STARTED, self.now, self.now)

    def hold(self, name, running=(), ended=(), incarnation=1):
        self.now += 0.1
        worker = self.book.workers[name]
        reply = HoldReply(self.now, incarnation, tuple(running), tuple(ended))
        self.book.process_hold_reply(worker, reply, self.now, self.now)

    def start_copy(self):
        self.second = next(order for order in self.plan() if isinstance(order, StartOrder))
        self.answer(self.second)

    def counts(self):
        """Return the runs that the workers hold, and the team's use of processors."""
        held = sum(len(worker.runs) for worker in self.book.workers.values())
        return held, self.book.usage["t"].cpu_millicores


def test_a_copy_starts_elsewhere_and_both_count_for_their_team():
    pool = Pool()
    pool.start_copy()
    assert pool.second.worker_id == pool.other.worker_id
    assert pool.second.number > pool.first.number
    assert pool.counts() == (2, 2)


def test_a_task_that_allows_no_copies_waits():
    pool = Pool(copies=False)
    assert pool.plan() == []
    assert pool.counts() == (1, 1)


def test_the_first_end_counts_whichever_it_is():
    pool = Pool()
    pool.start_copy()
    end = Ended(1, TASK, pool.first.number, EndKind.DONE)
    pool.hold(pool.lost.worker_id, ended=[end])
    assert pool.job.state is JobState.COMPLETED
    assert pool.plan() == [StopOrder(pool.other.worker_id, TASK, pool.second.number)]
    assert pool.counts() == (1, 1)


def test_a_copy_whose_worker_answers_again_is_stopped_and_then_forgotten():
    pool = Pool()
    pool.start_copy()
    stop = StopOrder(pool.lost.worker_id, TASK, pool.first.number)
    pool.hold(pool.lost.worker_id, running=[Running(TASK, pool.first.number)])
    assert pool.plan() == [stop]
    pool.book.process_stop_reply(stop, pool.now, pool.now)
    pool.now += 1.0
    pool.hold(pool.lost.worker_id)
    assert pool.counts() == (1, 1)
    assert pool.book.runs[TASK].number == pool.second.number


def test_a_run_whose_place_was_not_taken_goes_on():
    pool = Pool()
    pool.hold(pool.lost.worker_id, running=[Running(TASK, pool.first.number)])
    assert pool.book.runs[TASK].number == pool.first.number
    assert pool.plan() == []
    assert pool.counts() == (1, 1)


def test_a_copy_whose_start_was_never_answered_is_stopped():
    pool = Pool(answered=False)
    pool.start_copy()
    pool.hold(pool.lost.worker_id)
    pool.now += 1.0
    stop = StopOrder(pool.lost.worker_id, TASK, pool.first.number)
    assert stop in pool.plan()
    pool.book.process_stop_reply(stop, pool.now, pool.now)
    pool.now += 1.0
    pool.hold(pool.lost.worker_id)
    assert pool.counts() == (1, 1)


@pytest.mark.parametrize("answered", [True, False])
def test_a_copy_on_a_worker_that_starts_anew_is_forgotten(answered):
    pool = Pool(answered)
    pool.start_copy()
    pool.hold(pool.lost.worker_id, incarnation=2)
    for _ in range(3):
        pool.now += 1.0
        for order in pool.plan():
            pool.book.process_stop_reply(order, pool.now, pool.now)
        pool.hold(pool.lost.worker_id, incarnation=2)
    assert pool.counts() == (1, 1)
    assert pool.book.runs[TASK].number == pool.second.number


def test_a_copy_is_forgotten_when_its_lease_has_lapsed():
    pool = Pool()
    pool.start_copy()
    pool.now += LEASE_SECONDS * 3
    pool.other.lease.extend(pool.now, LEASE_SECONDS)
    pool.hold(pool.other.worker_id, running=[Running(TASK, pool.second.number)])
    pool.plan()
    assert pool.counts() == (1, 1)
    assert pool.book.runs[TASK].number == pool.second.number
