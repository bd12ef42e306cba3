"""Random faults around whole daemons: a task that must run once is not started twice.

Set LIMPETPULLEY_LONG_TESTS for more seeds of each row, which last longer.
"""

import os

import pytest

from ...standin.run_monitor import Verdict
from .runs_once_simulation import FAULTS, choose_faults, simulate

LONG = bool(os.environ.get("LIMPETPULLEY_LONG_TESTS"))
SECONDS = 30.0 if LONG else 12.0
#: seeds of a row in a long run; a short one has the row's own
LONG_SEEDS = range(1, 21)

#: faults beside each other, with the seeds of a short run
CASES = {
    "none": ("", [1]),
    "planned": ("list-lag,waves,drains", [1]),
    "workers": ("crashes,entries,replies-lost,workers-silent", [1]),
    "orders": ("crashes,daemons,late-orders,replies-lost", [1]),
    "store": ("answers-lost,store-silent,store-slow", [1]),
    "daemons": ("daemons,pauses,store-silent", [1]),
}


def rows():
    for name, (faults, seeds) in CASES.items():
        for seed in LONG_SEEDS if LONG else seeds:
            yield pytest.param(tuple(filter(None, faults.split(","))), seed, id=f"{name}-{seed}")


@pytest.mark.parametrize(("faults", "seed"), rows())
def test_no_task_that_must_run_once_runs_twice(faults, seed):
    result = simulate(seed, SECONDS, faults)
    faulty = [each for each in result.findings if each.verdict != Verdict.AFTER_LISTED_DISTURBED]
    assert result.starts
    assert not faulty, "\n".join(map(str, faulty))


def test_same_seed_gives_the_same_verdict():
    first, second = (simulate(7, 5.0, tuple(FAULTS)) for _ in range(2))
    assert first == second
    assert len({choose_faults(seed) for seed in range(20)}) > 10
