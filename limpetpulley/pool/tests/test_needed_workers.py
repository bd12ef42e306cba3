"""Workers that are not drained, because lasting tasks with a label have no other place."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Step
from ..needed_workers import needed_workers
from .test_crashes import keep_alive, start
from .test_planning import NOW, TASK, make_pool_state

LABEL = "kind-2"
LASTING = Step(2, TASK, lasting=True, label=LABEL, may_miss=1)


def make_labelled_pool(step, labelled, cores=4):
    """Return a pool of w1 to w4, some of them with the label."""
    pool_state = make_pool_state(step, workers=("w1", "w2", "w3", "w4"), cores=cores)
    for name in labelled:
        worker = pool_state.workers[name]
        pool_state.update_listed_worker(attrs.evolve(worker.listed, labels=frozenset({LABEL})))
    return pool_state


# Guards against LOST where the workers that a lasting task may run on are moved to other pools.
@pytest.mark.parametrize(
    ("step", "labelled", "leaving", "kept"),
    [
        (LASTING, ["w1"], ["w1", "w2"], {"w1"}),
        (LASTING, ["w1", "w2"], ["w1"], set()),
        (LASTING, ["w1", "w2"], ["w1", "w2"], {"w1"}),
        (LASTING, ["w1", "w2", "w3"], ["w1", "w2"], set()),
        (attrs.evolve(LASTING, max_per_worker=1), ["w1", "w2", "w3"], ["w1", "w2"], {"w1"}),
        (attrs.evolve(LASTING, count=8), ["w1", "w2", "w3"], ["w1", "w2"], {"w1"}),
        (attrs.evolve(LASTING, count=9), ["w1", "w2", "w3"], ["w1", "w2"], {"w1", "w2"}),
        (attrs.evolve(LASTING, label=""), ["w1"], ["w1", "w2", "w3", "w4"], set()),
        (Step(2, TASK, label=LABEL), ["w1"], ["w1", "w2"], set()),
    ],
)
def test_enough_workers_with_the_label_of_a_lasting_task_are_kept(step, labelled, leaving, kept):
    assert_that(needed_workers(make_labelled_pool(step, labelled), leaving), Equals(kept))


def test_worker_that_runs_the_tasks_is_kept_before_an_empty_one():
    pool_state = make_labelled_pool(LASTING, ["w2"])
    assert_that({order.worker_id for order in start(pool_state, NOW)}, Equals({"w2"}))
    worker = pool_state.workers["w1"]
    pool_state.update_listed_worker(attrs.evolve(worker.listed, labels=frozenset({LABEL})))
    assert_that(needed_workers(pool_state, ["w1", "w2"]), Equals({"w2"}))


@pytest.mark.parametrize("gone", ["unlisted", "ended", "cordoned", "draining"])
def test_worker_that_goes_anyway_is_not_counted_among_those_that_stay(gone):
    pool_state = make_labelled_pool(LASTING, ["w1", "w2"])
    keep_alive(pool_state, NOW)
    worker = pool_state.workers["w2"]
    if gone == "unlisted":
        pool_state.mark_unlisted("w2")
    elif gone == "draining":
        worker.listed = attrs.evolve(worker.listed, draining=True)
    else:
        setattr(worker, gone, True)
    assert_that(needed_workers(pool_state, ["w1"]), Equals({"w1"}))
