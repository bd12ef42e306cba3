"""A load of jobs of steps that peaks in turn, against plain ways to serve it, on virtual time."""

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
#: smallest part of a job that the bound tells apart
SMALLEST_PART = 1 / 64
ROUNDING_SECONDS = 1e-6
JUDGE = "limpetpulley.ownership.admission.judge"
JUDGE_LATE = "limpetpulley.ownership.admission.judge_late"
RANKS = ("limpetpulley.pool.planning.rank", "limpetpulley.pool.queue_forecast.rank")


def first_come(job: Job) -> tuple:
    """Return what ranks jobs by their acceptance."""
    return (not job.spec.lasting, job.accepted_at, job.key)


def play(ways: dict[str, object], moves: bool) -> list[list[JobResult]]:
    """Return what callers were told, by seed, with some decisions replaced."""
    with ExitStack() as stack:
        for name, way in ways.items():
            stack.enter_context(patch(name, way))
        return [simulate_load(PEAK_LOAD, seed, moves) for seed in SEEDS]


def main() -> None:
    """Print a row for each way."""
    refuse = Verdict(False, retry_seconds=1, reason="late")
    accept = Verdict(True)
    first = dict.fromkeys(RANKS, first_come) | {JUDGE: lambda prediction: accept}
    rows = [
        ("as it is", {}, True),
        ("refusing late jobs", {JUDGE_LATE: lambda prediction: refuse}, True),
        ("accepting all, first come first served", first, True),
        ("no moves", {}, False),
        ("no moves, refusing late jobs", {JUDGE_LATE: lambda prediction: refuse}, False),
        ("no moves, accepting all, first come first served", first, False),
    ]
    print("| way | in time | a late end worth half | of some use | refused |")
    print("|---|---:|---:|---:|---:|")
    played: dict[bool, list[list[JobResult]]] = {}
    for name, ways, moves in rows:
        plays = play(ways, moves)
        played.setdefault(moves, plays)
        figures = [
            sum(figure(results) for results in plays) / len(plays)
            for figure in (
                served_share,
                lambda results: served_share(results, LATE_JOB_VALUE),
                useful_share,
                refused,
            )
        ]
        print(f"| {name} | " + " | ".join(f"{value:.3f}" for value in figures) + " |", flush=True)
    for moves, plays in played.items():
        name = "moves that cost nothing" if moves else "no moves"
        print(f"| bound, all known before, {name} | {bounds(plays, moves):.3f} | | | |")


def bound(results: list[JobResult], worth: dict[str, float], cores: float) -> float:
    """Return the worth in time that no scheduler can pass.

    It knows all run times and every job to come, pays for no move, and may split and interrupt
    tasks at will: the jobs of most worth for a core-second go first, each as far as those before
    still end in time.

    :param worth: the jobs' worth, by identifier
    :param cores: processors that serve these jobs
    """
    taken: list[tuple[float, float, float]] = []
    good = 0.0
    for each in sorted(results, key=lambda each: -worth[each.job_id] / each.work):
        due = each.submitted_at + each.objective
        part, step = 0.0, 1.0
        while step >= SMALLEST_PART:
            tried = (each.submitted_at, due, (part + step) * each.work)
            if part + step <= 1.0 and ends_in_time([*taken, tried], cores):
                part += step
            step /= 2
        taken.append((each.submitted_at, due, part * each.work))
        good += part * worth[each.job_id]
    return good


def ends_in_time(rows: list[tuple[float, float, float]], cores: float) -> bool:
    """Return whether the earliest due first serves all rows of begin, due time and work."""
    waiting: list[list[float]] = []
    now, coming = 0.0, sorted(rows)
    while coming or waiting:
        if not waiting:
            now = max(now, coming[0][0])
        while coming and coming[0][0] <= now:
            _, due, work = coming.pop(0)
            heapq.heappush(waiting, [due, work])
        due, work = waiting[0]
        until = min(now + work / cores, coming[0][0] if coming else math.inf)
        if until > due + ROUNDING_SECONDS:
            return False
        waiting[0][1] -= (until - now) * cores
        now = until
        if waiting[0][1] <= ROUNDING_SECONDS:
            heapq.heappop(waiting)
    return True


def bounds(plays: list[list[JobResult]], moves: bool) -> float:
    """Return the mean bound of some plays."""
    each = PEAK_LOAD.vms * CAPACITY.cpu_millicores / 1000
    found = []
    for results in plays:
        mean = sum(one.work for one in results) / len(results)
        worth = {one.job_id: min(4.0, 0.3 + 0.7 * one.work / mean) for one in results}
        if moves:
            spare = PEAK_LOAD.spare * CAPACITY.cpu_millicores / 1000
            good = bound(results, worth, each * len(POOLS) + spare)
        else:
            parts = [[one for one in results if one.pool == pool] for pool in POOLS]
            good = sum(bound(part, worth, each) for part in parts)
        found.append(good / sum(worth.values()))
    return sum(found) / len(found)


def refused(results: list[JobResult]) -> float:
    """Return the share of the jobs that were never accepted."""
    return sum(not each.accepted for each in results) / len(results)


if __name__ == "__main__":
    main()
