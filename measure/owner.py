"""What decisions cost a pool's owner whose queue is long, in processor time."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from limpetpulley.batch import Amount, EndKind, Job, JobKey, JobSpec, Step
from limpetpulley.pool import PlanningLimits, PoolState, plan_orders
from limpetpulley.pool.queue_forecast import QueueForecast, demand_by_team, ready_cores
from limpetpulley.quota.shares import TeamShares
from limpetpulley.workers import EndedRun, HoldReply, ListedRun, ListedWorker

NOW, DAY = 50.0, 1_000_000.0
QUEUES = ("quotes", "sheets", "residuals")
LENGTHS = (25, 100, 200)
WORKERS = 6
REPEATS = 20


def make_job(number: int, rng: random.Random) -> Job:
    """Return a job of two steps of several tasks."""
    steps = (
        Step(rng.randint(1, 12), Amount(rng.choice((1000, 2000)), 1000), rng.uniform(0.2, 1.0)),
        Step(rng.randint(1, 6), Amount(1000, 1000), rng.uniform(0.2, 1.0), (0,)),
    )
    key = JobKey(rng.choice(QUEUES), f"{number:016x}")
    due = DAY + rng.uniform(-3.0, 8.0)
    return Job(key, JobSpec("", steps), "desk", "agents", 2, due_by=due, accepted_at=DAY - 1.0)


def make_book(length: int) -> PoolState:
    """Return a pool whose workers are full and whose queue has a length."""
    rng = random.Random(length)
    book = PoolState("desk", 1, 0.2, 10.0, 4.0)
    for number in range(WORKERS):
        listed = ListedWorker(f"w-{number}", "desk", f"w-{number}:1", 1, Amount(16000, 32000))
        worker = book.update_listed_worker(listed)
        worker.in_roster = True
        book.process_hold_reply(worker, HoldReply(1.0, 1), NOW, DAY)
    for number in range(length):
        book.add_job(make_job(number, rng), DAY)
    plan_orders(book, TeamShares("desk"), NOW, DAY, PlanningLimits())
    return book


def measure(action: Callable[[], object]) -> float:
    """Return the processor time of an action, in milliseconds."""
    begun = time.process_time()
    for _ in range(REPEATS):
        action()
    return (time.process_time() - begun) / REPEATS * 1000


def end_one(book: PoolState, position: int) -> None:
    """Let a worker list its runs, one of which has ended."""
    worker = max(book.workers.values(), key=lambda worker: len(worker.runs))
    run = next(iter(worker.runs.values()))
    ended = EndedRun(position, run.task, run.number, EndKind.DONE)
    running = tuple(ListedRun(other.task, other.number) for other in worker.runs.values())
    book.process_hold_reply(worker, HoldReply(2.0, 1, running[1:], (ended,)), NOW + 0.1, DAY)


def main() -> None:
    """Print a row for each decision."""
    shares, limits = TeamShares("desk"), PlanningLimits()
    rows: dict[str, list[float]] = {}
    for length in LENGTHS:
        book, rng = make_book(length), random.Random(7)
        new = make_job(10_000, rng)

        def assess(book: PoolState = book, new: Job = new) -> None:
            QueueForecast(book, shares, new.team, NOW, DAY).predict(new)

        def plan(book: PoolState = book) -> None:
            plan_orders(book, shares, NOW, DAY, limits)

        def report(book: PoolState = book) -> None:
            ready_cores(book), demand_by_team(book)

        positions = iter(range(1, 1000))
        for name, action in (
            ("judge a job", assess),
            ("plan, nothing to start", plan),
            ("report demand", report),
            ("take an end", lambda book=book, n=positions: end_one(book, next(n))),
            ("plan, with room", plan),
        ):
            rows.setdefault(name, []).append(measure(action))
    print("| decision, ms | " + " | ".join(f"{length} jobs" for length in LENGTHS) + " |")
    print("|---|" + "---:|" * len(LENGTHS))
    for name, figures in rows.items():
        print(f"| {name} | " + " | ".join(f"{value:.2f}" for value in figures) + " |")


if __name__ == "__main__":
    main()
