"""Scheduling of step jobs under rotating peaks, compared with simpler policies and a bound."""

from __future__ import annotations

import heapq
import math
from contextlib import ExitStack
from unittest.mock import patch

from limpetpulley.batch import Job
from limpetpulley.ownership.tests.load_simulation import (
    CAPACITY,
    POOLS,
    JobResult,
    served_share,
    simulate_load,
)
from limpetpulley.ownership.tests.test_load import LATE_JOB_VALUE, PEAK_LOAD, useful_share
from limpetpulley.scheduling.batch_admission import Verdict

SEEDS = (1, 2, 3)
#: smallest fraction of a job that the bound distinguishes
SMALLEST_FRACTION = 1 / 64
ROUNDING_SECONDS = 1e-6
JUDGE = "limpetpulley.ownership.admission.judge"
JUDGE_LATE = "limpetpulley.ownership.admission.judge_late"
RANKS = ("limpetpulley.pool.ready_jobs.rank", "limpetpulley.pool.queue_forecast.rank")


def first_come(job: Job) -> tuple:
    """Return the sort key that ranks jobs by their time of acceptance."""
    return (not job.spec.lasting, job.accepted_at, job.key)


def simulate(patches: dict[str, object], moves: bool) -> list[list[JobResult]]:
    """Return the job results of each seed with some decisions replaced.

    :param patches: replacement functions, by the name that they are patched at
    :param moves: whether VMs move between pools
    """
    with ExitStack() as stack:
        for name, replacement in patches.items():
            stack.enter_context(patch(name, replacement))
        return [simulate_load(PEAK_LOAD, seed, moves) for seed in SEEDS]


def main() -> None:
    """Print a row for each policy, and the bounds."""
    refuse = Verdict(False, retry_seconds=1, reason="late")
    accept = Verdict(True)
    first_come_first_served = dict.fromkeys(RANKS, first_come) | {JUDGE: lambda prediction: accept}
    rows = [
        ("current code", {}, True),
        ("refusing late jobs", {JUDGE_LATE: lambda prediction: refuse}, True),
        ("accepting all, first come first served", first_come_first_served, True),
        ("no moves", {}, False),
        ("no moves, refusing late jobs", {JUDGE_LATE: lambda prediction: refuse}, False),
        ("no moves, accepting all, first come first served", first_come_first_served, False),
    ]
    print("| policy | in time | a late end worth half | of some use | refused |")
    print("|---|---:|---:|---:|---:|")
    results_by_moves: dict[bool, list[list[JobResult]]] = {}
    for name, patches, moves in rows:
        results_by_seed = simulate(patches, moves)
        results_by_moves.setdefault(moves, results_by_seed)
        figures = [
            sum(figure(results) for results in results_by_seed) / len(results_by_seed)
            for figure in (
                served_share,
                lambda results: served_share(results, LATE_JOB_VALUE),
                useful_share,
                refused_fraction,
            )
        ]
        print(f"| {name} | " + " | ".join(f"{value:.3f}" for value in figures) + " |", flush=True)
    for moves, results_by_seed in results_by_moves.items():
        name = "moves at no cost" if moves else "no moves"
        print(
            f"| bound with full knowledge, {name} "
            f"| {mean_bound(results_by_seed, moves):.3f} | | | |"
        )


def value_bound(results: list[JobResult], values: dict[str, float], cores: float) -> float:
    """Return an upper bound on the value of the work that any scheduler finishes in time.

    The bound assumes that all run times and future jobs are known, that moves cost nothing and that
    tasks can be split and interrupted at any point. Jobs are taken by descending value per
    core-second, each as far as those taken before still end in time.

    :param values: value of each job, by identifier
    :param cores: processors that serve these jobs
    """
    admitted: list[tuple[float, float, float]] = []
    total = 0.0
    for job in sorted(results, key=lambda job: -values[job.job_id] / job.work):
        due = job.submitted_at + job.objective
        fraction, step = 0.0, 1.0
        while step >= SMALLEST_FRACTION:
            candidate = (job.submitted_at, due, (fraction + step) * job.work)
            if fraction + step <= 1.0 and ends_in_time([*admitted, candidate], cores):
                fraction += step
            step /= 2
        admitted.append((job.submitted_at, due, fraction * job.work))
        total += fraction * values[job.job_id]
    return total


def ends_in_time(rows: list[tuple[float, float, float]], cores: float) -> bool:
    """Return whether scheduling by earliest due time finishes all rows in time.

    :param rows: submission time, due time and work in core-seconds of each job
    :param cores: processors that serve them
    """
    waiting: list[list[float]] = []
    now, upcoming = 0.0, sorted(rows)
    while upcoming or waiting:
        if not waiting:
            now = max(now, upcoming[0][0])
        while upcoming and upcoming[0][0] <= now:
            _, due, work = upcoming.pop(0)
            heapq.heappush(waiting, [due, work])
        due, work = waiting[0]
        until = min(now + work / cores, upcoming[0][0] if upcoming else math.inf)
        if until > due + ROUNDING_SECONDS:
            return False
        waiting[0][1] -= (until - now) * cores
        now = until
        if waiting[0][1] <= ROUNDING_SECONDS:
            heapq.heappop(waiting)
    return True


def mean_bound(results_by_seed: list[list[JobResult]], moves: bool) -> float:
    """Return the mean bound over the seeds, as a fraction of the value of all jobs."""
    pool_cores = PEAK_LOAD.vms * CAPACITY.cpu_millicores / 1000
    bounds = []
    for results in results_by_seed:
        mean = sum(job.work for job in results) / len(results)
        values = {job.job_id: min(4.0, 0.3 + 0.7 * job.work / mean) for job in results}
        if moves:
            spare_cores = PEAK_LOAD.spare * CAPACITY.cpu_millicores / 1000
            total = value_bound(results, values, pool_cores * len(POOLS) + spare_cores)
        else:
            jobs_by_pool = [[job for job in results if job.pool == pool] for pool in POOLS]
            total = sum(value_bound(jobs, values, pool_cores) for jobs in jobs_by_pool)
        bounds.append(total / sum(values.values()))
    return sum(bounds) / len(bounds)


def refused_fraction(results: list[JobResult]) -> float:
    """Return the fraction of the jobs that were never accepted."""
    return sum(not job.accepted for job in results) / len(results)


if __name__ == "__main__":
    main()
