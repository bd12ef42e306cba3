"""Tests of predicted ends, admission decisions, placement and pacing."""

import math
from collections import Counter

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from ...batch import Amount, Job, JobKey, JobSpec, Step, TaskId
from ...pool import PoolState
from ...workers import ListedWorker, Run, RunPhase, Worker
from ..batch_admission import LONGEST_RETRY_SECONDS, Prediction, judge, judge_late
from ..forecast import ForecastJob, ForecastStep, simulate_queue
from ..pacing import next_speed, pace_fillers
from ..placement import choose_worker, fits_empty_worker, is_available


def job_of(*rows, running=()):
    return ForecastJob([ForecastStep(*row) for row in rows])


@pytest.mark.parametrize(
    ("jobs", "room", "teams", "joining", "ends"),
    [
        ([job_of((4, 0.25, 1.0))], 1.0, {}, (), [1.0]),
        ([job_of((8, 0.25, 1.0))], 1.0, {}, (), [2.0]),
        ([job_of((1, 0.5, 1.0), (1, 0.5, 2.0, (0,)))], 1.0, {}, (), [3.0]),
        ([job_of((4, 0.25, 1.0)), job_of((4, 0.25, 1.0))], 1.0, {}, (), [1.0, 2.0]),
        ([job_of((4, 0.25, 1.0)), job_of((1, 0.1, 1.0))], 1.1, {}, (), [1.0, 1.0]),
        ([job_of((4, 0.25, 1.0))], 0.0, {}, ((2.0, 1.0),), [3.0]),
        ([job_of((4, 0.25, 1.0))], 0.0, {}, (), [math.inf]),
        ([ForecastJob([ForecastStep(4, 0.25, 1.0)], "a")], 1.0, {"a": 0.5}, (), [2.0]),
        (
            [ForecastJob([ForecastStep(0, 0.25, 1.0, (), (0.5,))]), job_of((4, 0.25, 1.0))],
            0.75,
            {},
            (),
            [0.5, 1.5],
        ),
    ],
)
def test_simulated_ends_follow_capacity_and_job_order(jobs, room, teams, joining, ends):
    assert_that(simulate_queue(jobs, room, teams, joining), Equals(ends))


@pytest.mark.parametrize(
    ("prediction", "accepted", "retry"),
    [
        (Prediction(1.0, 2.0), True, 0),
        (Prediction(2.5, 2.0), False, 1),
        (Prediction(5.0, 2.0), False, 4),
        (Prediction(math.inf, 2.0), False, LONGEST_RETRY_SECONDS),
        (Prediction(1.0, 2.0, work=5.0, harmed_work=4.0), True, 0),
        (Prediction(1.0, 2.0, work=5.0, harmed_work=6.0), False, 1),
    ],
)
def test_job_is_refused_if_late_or_if_it_delays_more_work_than_its_own(prediction, accepted, retry):
    verdict = judge(prediction)
    assert_that((verdict.accepted, verdict.retry_seconds), Equals((accepted, retry)))


@pytest.mark.parametrize(
    ("prediction", "accepted", "retry"),
    [
        (Prediction(5.0, 6.0), True, 0),
        (Prediction(5.0, 6.0, work=1.0, harmed_work=6.0), True, 0),
        (Prediction(7.5, 6.0), False, 2),
        (Prediction(math.inf, 6.0), False, LONGEST_RETRY_SECONDS),
    ],
)
def test_late_job_is_accepted_behind_others_while_its_result_is_useful(prediction, accepted, retry):
    verdict = judge_late(prediction)
    assert_that((verdict.accepted, verdict.retry_seconds), Equals((accepted, retry)))


def worker(name, cores=4, rack="r1", labels=("a", "r1"), heard=10.0, **fields):
    listed = ListedWorker(
        name, "desk", f"{name}:1", 1, Amount(cores * 1000, 8000), "", rack, frozenset(labels)
    )
    return Worker(listed, reconciled=True, rostered=True, heard_at=heard, **fields)


@pytest.mark.parametrize(
    ("fields", "now", "expected"),
    [
        ({}, 10.0, True),
        ({"present": False}, 10.0, False),
        ({"cordoned": True}, 10.0, False),
        ({"avoid_until": 11.0}, 10.0, False),
        ({}, 14.0, False),
    ],
)
def test_unavailable_workers(fields, now, expected):
    assert_that(is_available(worker("w", **fields), now, 2.5), Is(expected))


@pytest.mark.parametrize(
    ("step", "tasks_per_worker", "avoided", "expected"),
    [
        (Step(1, Amount(1000, 10)), {}, (), "large"),
        (Step(1, Amount(9000, 10)), {}, (), None),
        (Step(1, Amount(1000, 10), label="b"), {}, (), None),
        (Step(1, Amount(1000, 10), label="r2"), {}, (), "small"),
        (Step(1, Amount(1000, 10), near_rack="r2"), {}, (), "small"),
        (Step(1, Amount(1000, 10), max_per_worker=1), {"large": 1}, (), "small"),
        (Step(1, Amount(1000, 10)), {}, ("large",), "small"),
        (Step(1, Amount(3000, 10)), {}, ("large",), "large"),
    ],
)
def test_choose_worker_respects_constraints_and_packs_tasks(
    step, tasks_per_worker, avoided, expected
):
    workers = [worker("large", 8), worker("small", 2, "r2", ("a", "r2"))]
    found = choose_worker(step, workers, Counter(tasks_per_worker), avoided)
    assert_that(found.worker_id if found else None, Equals(expected))


def test_lasting_tasks_are_packed_onto_few_workers():
    workers = [worker("empty", 8), worker("used", 8)]
    workers[1].used = Amount(2000, 10)
    found = choose_worker(Step(1, Amount(1000, 10), lasting=True), workers, Counter())
    assert_that(found.worker_id, Equals("used"))


@pytest.mark.parametrize(("cores", "expected"), [(2, True), (9, False)])
def test_step_larger_than_any_worker_fits_nowhere(cores, expected):
    step = Step(1, Amount(cores * 1000, 10))
    assert_that(fits_empty_worker(step, [worker("w", 8)]), Is(expected))


@pytest.mark.parametrize(
    ("speed", "pressure", "expected"),
    [(100, 0.2, 100), (50, 0.2, 60), (100, 0.7, 100), (100, 0.9, 66), (10, 2.0, 0), (0, 0.2, 10)],
)
def test_fillers_are_slowed_before_the_target_is_exceeded(speed, pressure, expected):
    assert_that(next_speed(speed, pressure), Equals(expected))


@pytest.mark.parametrize(("tail", "expected"), [(0.5, 0), (0.95, 1)])
def test_fillers_are_paced_beside_a_high_tail_latency(tail, expected):
    serving = Step(1, Amount(1000, 10), lasting=True, latency_target_seconds=1.0)
    filler = Step(1, Amount(1000, 10), lasting=True, filler=True)
    pool_state = PoolState("desk", 1, 0.2, 10.0, 5.0)
    pool_state.workers["w"] = worker("w")
    pool_state.add_job(Job(JobKey("q", "a"), JobSpec("", (serving, filler)), "desk"), 0.0)
    for number, step in enumerate((serving, filler)):
        run = Run(TaskId("a", 0, number, 0), number + 1, "w", step.charge, phase=RunPhase.RUNNING)
        run.gauge, run.percent = (tail if number == 0 else 300.0), 100
        pool_state.add_run(run, pool_state.workers["w"])
    assert_that(len(pace_fillers(pool_state, 20.0)), Equals(expected))
