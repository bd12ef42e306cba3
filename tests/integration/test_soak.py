"""Short soak runs: one seed, and every seed that has ever failed."""

import anyio
import pytest

from .soak import run

#: seed and duration in seconds; with the fault that the seed found
SEEDS = [
    (1, 15.0),
    # A newly started daemon responded with 404 before it had read the configuration.
    (101, 20.0),
]


@pytest.mark.integration
@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_promises_hold_through_faults(seed, seconds, tmp_path):
    violations, soak = anyio.run(run, seed, seconds, tmp_path)
    assert violations == [], "\n".join(soak.faults)
