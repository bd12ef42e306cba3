"""Kept indexes against the same answers worked out from scratch, after any sequence of events."""

import random
from collections import Counter

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, EndKind, Job, JobKey, JobSpec, Step
from ...scheduling.placement import Places
from ...workers import Ended, HoldReply, ListedWorker, Running, RunPhase, StartOutcome
from .. import PlanningLimits, PoolState, plan_orders
from ..planning import rank
from .test_planning import Shares

WORKERS = ("w1", "w2", "w3", "w4")
CAPACITY = Amount(8000, 16000)


class Events:
    """Random events on a pool, with workers that do what they are told."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.book = PoolState("desk", 1, 0.2, 10.0, 4.0)
        self.now = 100.0
        self.count = 0
        self.positions = Counter()
        for name in WORKERS:
            worker = self.book.update_listed_worker(
                ListedWorker(name, "desk", f"{name}:1", 1, CAPACITY)
            )
            worker.rostered = True
            self.hold(name)

    def hold(self, name, ended=()):
        worker = self.book.workers.get(name)
        if worker is None:
            return
        gone = {end.task for end in ended}
        running = tuple(
            Running(run.task, run.number)
            for run in worker.runs.values()
            if run.task not in gone and run.settled_at is not None
        )
        reply = HoldReply(self.now, 1, running, tuple(ended))
        self.book.process_hold_reply(worker, reply, self.now, self.now)

    def submit(self):
        self.count += 1
        steps = [
            Step(
                self.rng.randint(1, 6),
                Amount(self.rng.choice((500, 2000, 5000)), 1000),
                0.5,
                after=(0,) if number else (),
                max_per_worker=self.rng.choice((0, 0, 2)),
                speculative=self.rng.random() < 0.2,
            )
            for number in range(self.rng.randint(1, 2))
        ]
        key = JobKey("q", f"{self.count:016x}")
        due = self.now + self.rng.uniform(0, 9)
        self.book.add_job(Job(key, JobSpec("", tuple(steps)), "desk", "t", 2, due_by=due), 0.0)

    def plan(self):
        for order in plan_orders(self.book, Shares(9999), self.now, self.now, PlanningLimits()):
            run = self.book.runs.get(order.task)
            if run is not None and run.phase is RunPhase.STARTING and self.rng.random() < 0.9:
                outcome = StartOutcome.STARTED if self.rng.random() < 0.9 else StartOutcome.NO_ROOM
                self.book.process_start_reply(run, outcome, self.now, self.now)

    def end(self):
        runs = [run for run in self.book.runs.values() if run.settled_at is not None]
        if runs:
            run = self.rng.choice(runs)
            self.positions[run.worker_id] += 1
            kind = self.rng.choice((EndKind.DONE, EndKind.DONE, EndKind.FAILED, EndKind.STOPPED))
            end = Ended(self.positions[run.worker_id], run.task, run.number, kind)
            self.hold(run.worker_id, [end])

    def cancel(self):
        if self.book.jobs:
            self.book.cancel(self.rng.choice(list(self.book.jobs.values())), self.now)

    def forget(self):
        ended = [job for job in self.book.jobs.values() if job.state.final]
        if ended:
            self.book.remove_job(self.rng.choice(ended).key.job_id)

    def cordon(self):
        worker = self.rng.choice(list(self.book.workers.values()))
        worker.cordoned = not worker.cordoned

    def restart(self):
        worker = self.rng.choice(list(self.book.workers.values()))
        self.book.restart_worker(worker, "test")
        self.positions[worker.worker_id] = 0
        self.hold(worker.worker_id)

    def store(self):
        newest = self.book.progress.newest
        chosen = [job_id for job_id in newest if self.rng.random() < 0.5]
        self.book.mark_stored({job_id: newest[job_id] for job_id in chosen})

    def step(self):
        self.now += self.rng.uniform(0.0, 0.08)
        events = [self.submit, self.plan, self.plan, self.end, self.end, self.end, self.store]
        events += [self.rng.choice((self.cancel, self.forget, self.cordon, self.restart))]
        self.rng.choice(events)()


@pytest.mark.parametrize("seed", range(12))
def test_what_is_kept_is_what_would_be_worked_out(seed):
    events = Events(seed)
    book = events.book
    for _ in range(400):
        events.step()
        by_job = {}
        for task, run in book.runs.items():
            by_job.setdefault(task.job_id, {})[task] = run
        assert_that(book.runs_by_job, Equals(by_job))
        unstored = {
            job_id for job_id in book.progress.newest if not book.progress.is_stored(job_id)
        }
        assert_that(set(book.progress.open_jobs()), Equals(unstored))
        for worker in book.workers.values():
            assert_that(worker.room, Equals(worker.listed.capacity - worker.used))


@pytest.mark.parametrize("seed", range(12))
def test_no_run_that_is_of_no_use_outlives_a_look(seed):
    events = Events(seed)
    book = events.book
    for _ in range(300):
        events.step()
        events.now += 0.2
        events.plan()
        for task, run in book.runs.items():
            job = book.jobs.get(task.job_id)
            wanted = job is not None and job.wants(task)
            assert wanted or run.phase is RunPhase.STOPPING


@pytest.mark.parametrize("seed", range(12))
def test_nothing_that_fits_is_left_waiting(seed):
    """Holds the plan against one that looks at every worker for every task that waits."""
    events = Events(seed)
    book = events.book
    for _ in range(200):
        events.step()
        plan_orders(book, Shares(9999), events.now, events.now, PlanningLimits())
        places = [
            worker
            for worker in book.workers.values()
            if not worker.cordoned and worker.reconciled and events.now >= worker.avoid_until
        ]
        starting = Counter(
            run.worker_id
            for run in book.runs.values()
            if run.phase is RunPhase.STARTING and run.settled_at is None
        )
        for job in sorted((book.jobs[job_id] for job_id in book.ready), key=rank):
            task = book.ready[job.key.job_id][0]
            step = job.step_of(task)
            if step.max_per_worker:
                continue
            fits = [
                worker.worker_id
                for worker in places
                if step.charge.fits(worker.room)
                and starting[worker.worker_id] < PlanningLimits().starts_at_once
                and events.now - worker.heard_at <= PlanningLimits().contact_seconds
            ]
            assert_that(fits, Equals([]))


@pytest.mark.parametrize(
    ("rooms", "need", "expected"),
    [
        ({"a": 8000, "b": 3000, "c": 5000}, 2500, "b"),
        ({"a": 8000, "b": 3000, "c": 5000}, 4000, "c"),
        ({"a": 8000, "b": 3000, "c": 5000}, 8000, "a"),
        ({"a": 8000, "b": 3000, "c": 5000}, 9000, None),
    ],
)
def test_a_task_goes_where_it_leaves_the_least_room(rooms, need, expected):
    book = PoolState("desk", 1, 0.2, 10.0, 4.0)
    for name, cores in rooms.items():
        book.update_listed_worker(ListedWorker(name, "desk", f"{name}:1", 1, Amount(cores, 9999)))
    found = Places(list(book.workers.values())).tightest(Step(1, Amount(need, 100)))
    assert_that(found.worker_id if found else None, Equals(expected))
