"""A short run of a deployment in zones with random cuts between its machines."""

import anyio
import pytest

from .zones import run

#: seed and duration of the faults, in seconds; with the fault that the seed found
SEEDS = [
    # An owner that was cut off with some workers started tasks again that its successor kept alive
    # or whose ends its successor had acknowledged.
    (6, 30.0),
]


@pytest.mark.integration
@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_no_task_runs_twice_through_cuts_between_zones(seed, seconds, tmp_path):
    outcome = anyio.run(run, seed, seconds, tmp_path)
    report = "\n".join(map(str, [outcome, *outcome.findings, *outcome.faults, tmp_path]))
    assert outcome.findings == [], report
    assert outcome.unfinished == [], report
    assert outcome.starts > 0
