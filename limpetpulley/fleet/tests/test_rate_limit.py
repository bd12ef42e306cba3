"""How many orders for VMs go out at once."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ..rate_limit import OrderPace


@pytest.mark.parametrize(
    ("per_second", "first", "second"), [(300.0, 135, 27), (64.0, 28, 6), (1.0, 1, 0)]
)
def test_a_burst_goes_out_at_once_and_the_rest_at_the_rate(per_second, first, second):
    pace = OrderPace(per_second)
    assert_that((pace.take(500, 0.0), pace.take(500, 0.1)), Equals((first, second)))


def test_a_refusal_slows_down_and_the_pace_recovers():
    pace = OrderPace(100.0)
    pace.take(500, 0.0)
    pace.note_refused()
    slowed = pace.take(500, 0.2)
    pace.take(500, 5.0)
    assert_that((slowed, pace.take(500, 5.2)), Equals((9, 18)))
