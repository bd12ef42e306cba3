"""Workers that unfinished jobs need for more than room."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, EndKind, Job, JobKey, JobSpec, Step, TaskId
from ...workers import EndedRun
from ..placement_needs import PlacementNeed
from ..reserved_workers import Reservation, reserve_workers
from .test_crashes import start
from .test_planning import NOW, TASK, hold, make_pool_state

LABEL = "kind-2"
NAMES = tuple(f"w{number}" for number in range(1, 7))
FULL = Amount(4000, 100)
PLAIN = Step(30, TASK)
LABELLED = Step(1, TASK, label=LABEL)
GANG = Step(3, TASK, gang=True, max_per_worker=1)


def make_pool(*steps, cordoned=(), labelled=("w1", "w2")):
    """Return a pool of w1 to w6 in racks r0 to r2, some of them with the label."""
    pool_state = make_pool_state(*steps, workers=NAMES)
    for name in labelled:
        worker = pool_state.workers[name]
        pool_state.update_listed_worker(attrs.evolve(worker.listed, labels=frozenset({LABEL})))
    for name in cordoned:
        pool_state.workers[name].cordoned = True
    return pool_state


def reserved(pool_state):
    return sorted(reserve_workers(pool_state, NOW).workers)


# Guards against LOST where workers that an accepted job cannot do without are cordoned or moved.
@pytest.mark.parametrize(
    ("step", "cordoned", "kept"),
    [
        (PLAIN, NAMES, []),
        (attrs.evolve(PLAIN, near_rack="r1"), NAMES, []),
        (LABELLED, (), ["w1"]),
        (LABELLED, ["w1"], ["w2"]),
        (LABELLED, ["w1", "w2"], ["w1"]),
        (attrs.evolve(LABELLED, count=5), ["w1", "w2"], ["w1", "w2"]),
        (attrs.evolve(LABELLED, lasting=True), ["w1", "w2"], ["w1"]),
        (Step(2, TASK, max_per_worker=1), (), ["w1", "w2"]),
        (Step(2, TASK, max_per_worker=2), (), ["w1"]),
        (Step(2, TASK, max_per_worker=1, lasting=True), (), []),
        (Step(5, FULL, max_per_worker=1), NAMES, ["w1", "w2", "w3", "w4", "w5"]),
        (GANG, ["w1", "w2", "w3", "w5"], ["w1", "w4", "w6"]),
        (Step(3, FULL, gang=True), ["w1", "w3"], ["w2", "w4", "w5"]),
        (Step(6, TASK, gang=True, same_rack=True), (), ["w1", "w2"]),
        (Step(6, TASK, gang=True, same_rack=True), ["w1", "w3", "w4"], ["w5", "w6"]),
        (Step(6, TASK, gang=True, near_rack="r1"), ["w3", "w4"], ["w3", "w4"]),
        (Step(9, TASK, gang=True, same_rack=True), ["w1", "w3", "w4"], ["w2", "w5", "w6"]),
    ],
)
def test_workers_that_a_waiting_step_needs_are_reserved(step, cordoned, kept):
    assert_that(reserved(make_pool(step, cordoned=cordoned)), Equals(kept))


@pytest.mark.parametrize("step", [LABELLED, GANG])
def test_workers_for_a_step_that_waits_for_another_are_reserved(step):
    pool_state = make_pool(Step(1, TASK), attrs.evolve(step, after=(0,)))
    assert_that(reserved(pool_state), Equals(["w1", "w2", "w3"][: step.count]))


@pytest.mark.parametrize(
    ("step", "kept"), [(LABELLED, ["w2"]), (GANG, ["w2", "w3", "w4"]), (PLAIN, [])]
)
def test_worker_without_room_is_not_enough_for_a_step_of_which_nothing_runs(step, kept):
    pool_state = make_pool(Step(1, FULL))
    assert_that([order.worker_id for order in start(pool_state, NOW)], Equals(["w1"]))
    pool_state.workers["w2"].cordoned = step is LABELLED
    pool_state.add_job(Job(JobKey("quotes", "b"), JobSpec("", (step,)), "desk"), 0.0)
    assert_that(reserved(pool_state), Equals(kept))


def test_rack_of_a_gang_is_chosen_by_what_is_there_for_it():
    pool_state = make_pool(Step(2, FULL, gang=True, same_rack=True), cordoned=["w1"])
    pool_state.mark_unlisted("w3")
    assert_that(reserved(pool_state), Equals(["w5", "w6"]))


@pytest.mark.parametrize(
    ("count", "listed", "least"),
    [(3, 3, 0), (3, 2, 2), (5, 2, 4), (6, 6, 0)],
)
def test_pool_too_small_for_a_waiting_gang_reports_how_many_workers_it_needs(count, listed, least):
    pool_state = make_pool(attrs.evolve(GANG, count=count))
    for name in NAMES[listed:]:
        pool_state.mark_unlisted(name)
    expected = Reservation(frozenset(NAMES[: min(count, listed)]), least)
    assert_that(reserve_workers(pool_state, NOW), Equals(expected))


@pytest.mark.parametrize("ended", ["done", "cancelled", "removed"])
def test_nothing_is_reserved_for_a_job_that_has_ended(ended):
    pool_state = make_pool(LABELLED)
    job = next(iter(pool_state.jobs.values()))
    if ended == "done":
        (order,) = start(pool_state, NOW)
        end = EndedRun(1, TaskId(job.key.job_id, 0, 0, 0), order.number, EndKind.DONE)
        hold(pool_state, order.worker_id, ended=[end], clock=11.0)
    elif ended == "cancelled":
        pool_state.cancel(job, 0.0)
    else:
        pool_state.remove_job(job.key.job_id)
    assert_that(reserve_workers(pool_state, NOW), Equals(Reservation()))
    assert_that(pool_state.placement_needs.counts, Equals({}))


def test_workers_are_reserved_for_a_submitted_job_for_a_short_time():
    pool_state = make_pool(PLAIN)
    job = Job(JobKey("quotes", "b"), JobSpec("", (LABELLED,)), "desk")
    pool_state.placement_needs.note_submitted(job, NOW)
    kept = [sorted(reserve_workers(pool_state, NOW + later).workers) for later in (0.0, 4.0)]
    assert_that(kept, Equals([["w1"], []]))


@pytest.mark.parametrize(
    ("step", "total", "fits"),
    [
        (GANG, 2, False),
        (GANG, 3, True),
        (attrs.evolve(GANG, count=7), 6, False),
        (Step(6, FULL, gang=True), 6, True),
        (Step(6, FULL, gang=True), 5, False),
        (Step(2, Amount(5000, 100), gang=True), 9, False),
        (attrs.evolve(GANG, count=2), 0, True),
    ],
)
def test_gang_fits_if_enough_workers_return(step, total, fits):
    pool_state = make_pool(step)
    workers = [pool_state.workers[name] for name in NAMES[:2]]
    need = PlacementNeed.of(step)
    assert_that(need.fits_more_workers(workers, total), Equals(fits))
