"""Predictions of job ends, including the capacity of VMs that are about to join."""

import math
import time

import pytest

from ...batch import Amount, Job, JobKey, JobSpec, Step
from ...quota.shares import TeamShares
from ...workers import HoldReply, ListedWorker
from .. import PoolState, process_hold_reply
from ..queue_forecast import QueueForecast

NOW, WALL_TIME = 50.0, 1000.0
REPEATS = 10


def make_pool_state(workers, join_seconds):
    pool_state = PoolState("desk", 1, 0.2, 10.0, 4.0)
    for number in range(workers):
        listed = ListedWorker(f"w-{number}", "desk", f"w-{number}:1", 1, Amount(4000, 4000))
        worker = pool_state.update_listed_worker(listed)
        worker.in_roster = True
        process_hold_reply(pool_state, worker, HoldReply(1.0, 1), NOW, WALL_TIME)
    pool_state.expected_join_times = [NOW + seconds for seconds in join_seconds]
    return pool_state


def make_job(count, seconds=1.0):
    spec = JobSpec("", (Step(count, Amount(1000, 1000), seconds),))
    return Job(JobKey("quotes", "00000000000000ab"), spec, "desk", "", 1, due_by=WALL_TIME + 3.0)


@pytest.mark.parametrize(
    ("workers", "join_seconds", "count", "end"),
    [
        (1, (), 3, 1.0),
        (1, (), 6, 2.0),
        (1, (0.5,), 6, 1.5),
        (1, (2.0,), 12, 3.0),
        (1, (2.0, 2.0), 12, 3.0),
        (1, (), 12, 4.0),
        (1, (-1.0,), 6, 1.0),
    ],
)
def test_joining_vms_bring_the_predicted_end_forward(workers, join_seconds, count, end):
    pool_state = make_pool_state(workers, join_seconds)
    forecast = QueueForecast(pool_state, TeamShares("desk"), "", NOW, WALL_TIME)
    prediction = forecast.predict(make_job(count))
    assert math.isclose(prediction.end_seconds, end)


def test_joined_worker_is_removed_from_expected_join_times():
    pool_state = make_pool_state(1, (0.5, 1.5))
    pool_state.update_listed_worker(ListedWorker("w-9", "desk", "w-9:1", 1, Amount(4000, 4000)))
    assert pool_state.expected_join_times == [NOW + 1.5]


@pytest.mark.parametrize(("length", "most_seconds"), [(25, 0.01), (100, 0.03), (200, 0.06)])
def test_prediction_time_stays_low_with_a_long_queue(length, most_seconds):
    """At its peak an owner may receive forty jobs a second, most of them within a few seconds."""
    pool_state = make_pool_state(6, ())
    for number in range(length):
        job = make_job(1 + number % 12, 0.2 + number * 7 % 13 / 13)
        job.key = JobKey("quotes", f"{number:016x}")
        pool_state.add_job(job, WALL_TIME)
    started_at = time.process_time()
    for _ in range(REPEATS):
        QueueForecast(pool_state, TeamShares("desk"), "", NOW, WALL_TIME).predict(make_job(5))
    assert (time.process_time() - started_at) / REPEATS < most_seconds
