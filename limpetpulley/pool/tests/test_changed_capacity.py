"""Starts on a worker whose capacity shrinks and grows while it runs."""

import attrs
import pytest

from ...batch import Step
from .test_crashes import keep_alive, start
from .test_planning import NOW, TASK, make_pool_state


@pytest.mark.parametrize(("capacity", "starts"), [(0, 0), (1000, 0), (3000, 1), (9000, 4)])
def test_nothing_starts_beyond_a_capacity_that_has_changed(capacity, starts):
    pool_state = make_pool_state(Step(6, TASK), workers=("w1",), cores=2)
    assert len(start(pool_state, NOW)) == 2
    worker = pool_state.workers["w1"]
    changed = attrs.evolve(worker.listed.capacity, cpu_millicores=capacity)
    pool_state.update_listed_worker(attrs.evolve(worker.listed, capacity=changed))
    keep_alive(pool_state, NOW + 0.5)
    assert len(start(pool_state, NOW + 0.6)) == starts
