"""Rate limit of orders for VMs."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ..rate_limit import OrderRateLimiter


@pytest.mark.parametrize(
    ("per_second", "first", "second"), [(300.0, 135, 27), (64.0, 28, 6), (1.0, 1, 0)]
)
def test_burst_is_allowed_at_once_and_the_rest_at_the_rate(per_second, first, second):
    limiter = OrderRateLimiter(per_second)
    assert_that((limiter.acquire(500, 0.0), limiter.acquire(500, 0.1)), Equals((first, second)))


def test_refusal_halves_the_rate_which_then_recovers():
    limiter = OrderRateLimiter(100.0)
    limiter.acquire(500, 0.0)
    limiter.slow_down()
    slowed = limiter.acquire(500, 0.2)
    limiter.acquire(500, 5.0)
    assert_that((slowed, limiter.acquire(500, 5.2)), Equals((9, 18)))
