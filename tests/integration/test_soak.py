"""A short soak, and every seed that ever failed."""

import anyio
import pytest

from .soak import play

#: seed and length; each with what was found
SEEDS = [
    (1, 15.0),
    # A daemon that had just started said 404 before it had read the configuration.
    (101, 20.0),
]


@pytest.mark.integration
@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_promises_hold_through_faults(seed, seconds, tmp_path):
    wrong, soak = anyio.run(play, seed, seconds, tmp_path)
    assert wrong == [], "\n".join(soak.faults)
