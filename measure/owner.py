"""Processor time of a pool owner's decisions when the queue is long."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from limpetpulley.batch import Amount, EndKind, Job, JobKey, JobSpec, Step
from limpetpulley.pool import PlanningLimits, PoolState, plan_orders, process_hold_reply
from limpetpulley.pool.queue_forecast import QueueForecast, demand_by_team, ready_cores
from limpetpulley.quota.shares import TeamShares
from limpetpulley.workers import EndedRun, HoldReply, ListedRun, ListedWorker

NOW, WALL_TIME = 50.0, 1_000_000.0
QUEUES = ("quotes", "sheets", "residuals")
QUEUE_LENGTHS = (25, 100, 200)
WORKERS = 6
REPEATS = 20


def make_job(number: int, rng: random.Random) -> Job:
    """Return a job of two steps with several tasks each."""
    steps = (
        Step(rng.randint(1, 12), Amount(rng.choice((1000, 2000)), 1000), rng.uniform(0.2, 1.0)),
        Step(rng.randint(1, 6), Amount(1000, 1000), rng.uniform(0.2, 1.0), (0,)),
    )
    key = JobKey(rng.choice(QUEUES), f"{number:016x}")
    due_by = WALL_TIME + rng.uniform(-3.0, 8.0)
    return Job(
        key, JobSpec("", steps), "desk", "agents", 2, due_by=due_by, accepted_at=WALL_TIME - 1.0
    )


def make_pool_state(length: int) -> PoolState:
    """Return the state of a pool with fully loaded workers and a queue of the given length."""
    rng = random.Random(length)
    pool_state = PoolState("desk", 1, 0.2, 10.0, 4.0)
    for number in range(WORKERS):
        listed = ListedWorker(f"w-{number}", "desk", f"w-{number}:1", 1, Amount(16000, 32000))
        worker = pool_state.update_listed_worker(listed)
        worker.in_roster = True
        process_hold_reply(pool_state, worker, HoldReply(1.0, 1), NOW, WALL_TIME)
    for number in range(length):
        pool_state.add_job(make_job(number, rng), WALL_TIME)
    plan_orders(pool_state, TeamShares("desk"), NOW, WALL_TIME, PlanningLimits())
    return pool_state


def measure(call: Callable[[], object]) -> float:
    """Return the mean processor time of a call, in milliseconds."""
    started_at = time.process_time()
    for _ in range(REPEATS):
        call()
    return (time.process_time() - started_at) / REPEATS * 1000


def process_run_end(pool_state: PoolState, position: int) -> None:
    """Process a worker's list of runs, one of which has ended.

    :param position: position of the end in the worker's list of ends
    """
    worker = max(pool_state.workers.values(), key=lambda worker: len(worker.runs))
    run = next(iter(worker.runs.values()))
    ended = EndedRun(position, run.task, run.number, EndKind.DONE)
    running = tuple(ListedRun(other.task, other.number) for other in worker.runs.values())
    process_hold_reply(
        pool_state, worker, HoldReply(2.0, 1, running[1:], (ended,)), NOW + 0.1, WALL_TIME
    )


def main() -> None:
    """Print the time of each decision by queue length."""
    shares, limits = TeamShares("desk"), PlanningLimits()
    rows: dict[str, list[float]] = {}
    for length in QUEUE_LENGTHS:
        pool_state, rng = make_pool_state(length), random.Random(7)
        new = make_job(10_000, rng)

        def assess(pool_state: PoolState = pool_state, new: Job = new) -> None:
            QueueForecast(pool_state, shares, new.team, NOW, WALL_TIME).predict(new)

        def plan(pool_state: PoolState = pool_state) -> None:
            plan_orders(pool_state, shares, NOW, WALL_TIME, limits)

        def report(pool_state: PoolState = pool_state) -> None:
            ready_cores(pool_state), demand_by_team(pool_state)

        positions = iter(range(1, 1000))
        for name, call in (
            ("assess a job", assess),
            ("plan, nothing to start", plan),
            ("report demand", report),
            (
                "process the end of a run",
                lambda pool_state=pool_state, n=positions: process_run_end(pool_state, next(n)),
            ),
            ("plan, with free cores", plan),
        ):
            rows.setdefault(name, []).append(measure(call))
    print("| decision, ms | " + " | ".join(f"{length} jobs" for length in QUEUE_LENGTHS) + " |")
    print("|---|" + "---:|" * len(QUEUE_LENGTHS))
    for name, figures in rows.items():
        print(f"| {name} | " + " | ".join(f"{value:.2f}" for value in figures) + " |")


if __name__ == "__main__":
    main()
