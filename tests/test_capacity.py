"""The measurement of capacity runs, with few calls."""

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Equals

from measure.capacity import exchange_slopes


def test_heartbeats_are_measured_over_real_connections():
    slopes = anyio.run(exchange_slopes, (1, 4), 2, 1)
    assert_that([slope.unit for slope in slopes], Equals(["us", "B"]))
    assert_that([slope.sizes for slope in slopes], Equals([(1, 4)] * 2))
    cpu_us, byte_counts = (slope.values for slope in slopes)
    assert all(value > 0 for value in cpu_us), cpu_us
    assert 0 < byte_counts[0] < byte_counts[1], byte_counts
