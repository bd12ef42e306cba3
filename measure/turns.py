"""A load of jobs of steps that peaks in turn, against plain ways to serve it, on virtual time."""

from __future__ import annotations

from contextlib import ExitStack
from unittest.mock import patch

from limpetpulley.batch import Job
from limpetpulley.ownership.tests.loadplayer import Told, play_load, served
from limpetpulley.ownership.tests.test_load import LATE_WORTH, PEAKS, useful
from limpetpulley.scheduling.backlog import Verdict

SEEDS = (1, 2, 3)
JUDGE = "limpetpulley.ownership.intake.judge"
JUDGE_LATE = "limpetpulley.ownership.intake.judge_late"
RANKS = ("limpetpulley.pool.planning.rank", "limpetpulley.pool.outlook.rank")


def first_come(job: Job) -> tuple:
    """Return what ranks jobs by their acceptance."""
    return (not job.spec.lasting, job.accepted_at, job.key)


def play(ways: dict[str, object], moves: bool) -> list[list[Told]]:
    """Return what callers were told, by seed, with some decisions replaced."""
    with ExitStack() as stack:
        for name, way in ways.items():
            stack.enter_context(patch(name, way))
        return [play_load(PEAKS, seed, moves) for seed in SEEDS]


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
    for name, ways, moves in rows:
        plays = play(ways, moves)
        figures = [
            sum(figure(told) for told in plays) / len(plays)
            for figure in (served, lambda told: served(told, LATE_WORTH), useful, refused)
        ]
        print(f"| {name} | " + " | ".join(f"{value:.3f}" for value in figures) + " |", flush=True)


def refused(told: list[Told]) -> float:
    """Return the share of the jobs that were never accepted."""
    return sum(not each.accepted for each in told) / len(told)


if __name__ == "__main__":
    main()
