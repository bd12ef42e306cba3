"""Incrementally updated indexes equal recomputed ones after random sequences of events."""

import random
from collections import Counter

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, EndKind, Job, JobKey, JobSpec, Step
from ...scheduling.placement import WorkerIndex
from ...workers import EndedRun, HoldReply, ListedRun, ListedWorker, RunPhase, StartOutcome
from .. import (
    PlanningLimits,
    PoolState,
    plan_orders,
    process_hold_reply,
    process_start_reply,
    requeue_speculative_tasks,
)
from ..crashes import is_suspect, may_start_suspect, suspect_runs
from ..ready_jobs import rank
from .test_planning import Shares

WORKERS = ("w1", "w2", "w3", "w4")
CAPACITY = Amount(8000, 16000)


class RandomEvents:
    """Generator of random events on a pool whose workers execute every order."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.pool_state = PoolState("desk", 1, 0.2, 10.0, 4.0)
        self.now = 100.0
        self.count = 0
        self.positions = Counter()
        for name in WORKERS:
            worker = self.pool_state.update_listed_worker(
                ListedWorker(name, "desk", f"{name}:1", 1, CAPACITY)
            )
            worker.in_roster = True
            self.hold(name)

    def hold(self, name, ended=()):
        worker = self.pool_state.workers.get(name)
        if worker is None:
            return
        ended_tasks = {end.task for end in ended}
        running = tuple(
            ListedRun(run.task, run.number)
            for run in worker.runs.values()
            if run.task not in ended_tasks and run.settled_at is not None
        )
        reply = HoldReply(self.now, 1, running, tuple(ended))
        process_hold_reply(self.pool_state, worker, reply, self.now, self.now)

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
        due_by = self.now + self.rng.uniform(0, 9)
        self.pool_state.add_job(
            Job(key, JobSpec("", tuple(steps)), "desk", "t", 2, due_by=due_by), 0.0
        )

    def plan(self):
        for order in plan_orders(
            self.pool_state, Shares(9999), self.now, self.now, PlanningLimits()
        ):
            run = self.pool_state.runs.get(order.task)
            if run is not None and run.phase is RunPhase.STARTING and self.rng.random() < 0.9:
                outcome = StartOutcome.STARTED if self.rng.random() < 0.9 else StartOutcome.NO_ROOM
                process_start_reply(self.pool_state, run, outcome, self.now, self.now)

    def end(self):
        runs = [run for run in self.pool_state.runs.values() if run.settled_at is not None]
        if runs:
            run = self.rng.choice(runs)
            self.positions[run.worker_id] += 1
            kind = self.rng.choice((EndKind.DONE, EndKind.DONE, EndKind.FAILED, EndKind.STOPPED))
            end = EndedRun(self.positions[run.worker_id], run.task, run.number, kind)
            self.hold(run.worker_id, [end])

    def cancel(self):
        if self.pool_state.jobs:
            self.pool_state.cancel(self.rng.choice(list(self.pool_state.jobs.values())), self.now)

    def remove_ended_job(self):
        ended = [job for job in self.pool_state.jobs.values() if job.state.is_final]
        if ended:
            self.pool_state.remove_job(self.rng.choice(ended).key.job_id)

    def cordon(self):
        worker = self.rng.choice(list(self.pool_state.workers.values()))
        worker.cordoned = not worker.cordoned

    def restart(self):
        worker = self.rng.choice(list(self.pool_state.workers.values()))
        self.pool_state.handle_worker_restart(worker, "test")
        self.positions[worker.worker_id] = 0
        self.hold(worker.worker_id)

    def silence(self):
        worker = self.rng.choice(list(self.pool_state.workers.values()))
        worker.silent = True
        requeue_speculative_tasks(self.pool_state, worker)

    def store(self):
        newest = self.pool_state.progress.newest
        chosen = [job_id for job_id in newest if self.rng.random() < 0.5]
        self.pool_state.mark_stored({job_id: newest[job_id] for job_id in chosen})

    def step(self):
        self.now += self.rng.uniform(0.0, 0.08)
        events = [self.submit, self.plan, self.plan, self.end, self.end, self.end, self.store]
        events += [self.rng.choice((self.cancel, self.remove_ended_job, self.cordon, self.restart))]
        self.rng.choice(events)()


@pytest.mark.parametrize("seed", range(12))
def test_incremental_indexes_equal_recomputed_ones(seed):
    events = RandomEvents(seed)
    pool_state = events.pool_state
    for _ in range(400):
        events.step()
        if events.rng.random() < 0.1:
            events.silence()
        by_job = {}
        for task, run in pool_state.runs.items():
            by_job.setdefault(task.job_id, {})[task] = run
        assert_that(pool_state.runs_by_job, Equals(by_job))
        on_workers = Counter(
            (run.worker_id, run.task, run.number)
            for worker in pool_state.workers.values()
            for run in worker.runs.values()
        )
        job_ids = pool_state.runs_by_job.keys() | pool_state.superseded_runs.keys()
        indexed = Counter(
            (run.worker_id, run.task, run.number)
            for job_id in job_ids
            for run in pool_state.all_runs_of(job_id)
        )
        assert_that(indexed, Equals(on_workers))
        unstored = {
            job_id
            for job_id in pool_state.progress.newest
            if not pool_state.progress.is_stored(job_id)
        }
        assert_that(set(pool_state.progress.unstored_jobs()), Equals(unstored))
        for worker in pool_state.workers.values():
            assert_that(worker.room, Equals(worker.listed.capacity - worker.used))
            charged = sum((run.charge for run in worker.runs.values()), Amount())
            assert_that(worker.used, Equals(charged))


@pytest.mark.parametrize("seed", range(12))
def test_unneeded_runs_are_stopped_by_the_next_full_scan(seed):
    events = RandomEvents(seed)
    pool_state = events.pool_state
    for _ in range(300):
        events.step()
        events.now += 0.2
        events.plan()
        for task, run in pool_state.runs.items():
            job = pool_state.jobs.get(task.job_id)
            needed = job is not None and job.needs_run(task)
            assert needed or run.phase is RunPhase.STOPPING


def first_ready_tasks(pool_state):
    """Return the first ready task of each job that is a suspect of a crash, and the first other."""
    found = []
    for job in sorted((pool_state.jobs[job_id] for job_id in pool_state.ready), key=rank):
        tasks = reversed(pool_state.ready[job.key.job_id])
        found += {is_suspect(pool_state, job, task): task for task in tasks}.values()
    return found


def may_take(pool_state, worker, job, task):
    """Return whether a worker may take a task, as far as crashes of workers are concerned."""
    if is_suspect(pool_state, job, task):
        return may_start_suspect(pool_state, job) and not suspect_runs(worker)
    return worker.worker_id not in pool_state.trials


@pytest.mark.parametrize("seed", range(12))
def test_no_task_that_fits_is_left_waiting(seed):
    """Compares the plan with an exhaustive search over all workers for each waiting job."""
    events = RandomEvents(seed)
    pool_state = events.pool_state
    for _ in range(200):
        events.step()
        plan_orders(pool_state, Shares(9999), events.now, events.now, PlanningLimits())
        available = [
            worker
            for worker in pool_state.workers.values()
            if not worker.cordoned and worker.reconciled and events.now >= worker.avoid_until
        ]
        starting = Counter(
            run.worker_id
            for run in pool_state.runs.values()
            if run.phase is RunPhase.STARTING and run.settled_at is None
        )
        for task in first_ready_tasks(pool_state):
            job = pool_state.jobs[task.job_id]
            step = job.step_of(task)
            if step.max_per_worker:
                continue
            fits = [
                worker.worker_id
                for worker in available
                if may_take(pool_state, worker, job, task)
                and step.charge.fits(worker.room)
                and starting[worker.worker_id] < PlanningLimits().max_unanswered_starts
                and events.now - worker.last_reply_at <= PlanningLimits().max_reply_age_seconds
            ]
            assert_that(fits, Equals([]))


@pytest.mark.parametrize(
    ("free_millicores", "need", "expected"),
    [
        ({"a": 8000, "b": 3000, "c": 5000}, 2500, "b"),
        ({"a": 8000, "b": 3000, "c": 5000}, 4000, "c"),
        ({"a": 8000, "b": 3000, "c": 5000}, 8000, "a"),
        ({"a": 8000, "b": 3000, "c": 5000}, 9000, None),
    ],
)
def test_best_fit_chooses_the_worker_with_the_fewest_free_processors(
    free_millicores, need, expected
):
    pool_state = PoolState("desk", 1, 0.2, 10.0, 4.0)
    for name, cores in free_millicores.items():
        pool_state.update_listed_worker(
            ListedWorker(name, "desk", f"{name}:1", 1, Amount(cores, 9999))
        )
    found = WorkerIndex(list(pool_state.workers.values())).best_fit(Step(1, Amount(need, 100)))
    assert_that(found.worker_id if found else None, Equals(expected))
