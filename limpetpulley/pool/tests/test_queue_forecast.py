"""A job is judged by the room that there will be, VMs on their way included."""

import math
import time

import pytest

from ...batch import Amount, Job, JobKey, JobSpec, Step
from ...quota.shares import TeamShares
from ...workers import HoldReply, ListedWorker
from .. import PoolState
from ..queue_forecast import QueueForecast

NOW, DAY = 50.0, 1000.0
REPEATS = 10


def make_book(workers, coming):
    book = PoolState("desk", 1, 0.2, 10.0, 4.0)
    for number in range(workers):
        listed = ListedWorker(f"w-{number}", "desk", f"w-{number}:1", 1, Amount(4000, 4000))
        worker = book.update_listed_worker(listed)
        worker.rostered = True
        book.process_hold_reply(worker, HoldReply(1.0, 1), NOW, DAY)
    book.coming = [NOW + seconds for seconds in coming]
    return book


def make_job(count, seconds=1.0):
    spec = JobSpec("", (Step(count, Amount(1000, 1000), seconds),))
    return Job(JobKey("quotes", "00000000000000ab"), spec, "desk", "", 1, due_by=DAY + 3.0)


@pytest.mark.parametrize(
    ("workers", "coming", "count", "end"),
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
def test_vms_on_their_way_bring_the_end_nearer(workers, coming, count, end):
    book = make_book(workers, coming)
    outlook = QueueForecast(book, TeamShares("desk"), "", NOW, DAY)
    found = outlook.predict(make_job(count))
    assert math.isclose(found.end_seconds, end)


def test_a_worker_that_joins_is_expected_no_longer():
    book = make_book(1, (0.5, 1.5))
    book.update_listed_worker(ListedWorker("w-9", "desk", "w-9:1", 1, Amount(4000, 4000)))
    assert book.coming == [NOW + 1.5]


@pytest.mark.parametrize(("length", "most_seconds"), [(25, 0.01), (100, 0.03), (200, 0.06)])
def test_a_long_queue_makes_no_job_costly_to_judge(length, most_seconds):
    """Forty jobs a second may come to one owner at its peak, most of them in a few seconds."""
    book = make_book(6, ())
    for number in range(length):
        job = make_job(1 + number % 12, 0.2 + number * 7 % 13 / 13)
        job.key = JobKey("quotes", f"{number:016x}")
        book.add_job(job, DAY)
    begun = time.process_time()
    for _ in range(REPEATS):
        QueueForecast(book, TeamShares("desk"), "", NOW, DAY).predict(make_job(5))
    assert (time.process_time() - begun) / REPEATS < most_seconds
