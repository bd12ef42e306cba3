"""Workers that take no other starts until a task that may crash its worker was started there."""

import attrs
import pytest

from ...batch import Amount, Job, JobKey, JobSpec, Step
from ...workers import RunPhase
from ..proofs import Proof
from .test_crashes import crash, keep_alive, start
from .test_planning import JOB, NOW, make_pool_state

LATER = "00000000000000f0"
LATER_TASK = Amount(3000, 100)
#: time without starts on a worker that a waiting task may cost other jobs, in seconds
MAX_HELD_BACK_SECONDS = 2.5
CHECK_SECONDS = 0.25
WATCH_SECONDS = 4.0


def add_job(pool_state, job_id, step, now=NOW):
    pool_state.add_job(Job(JobKey("quotes", job_id), JobSpec("", (step,)), "desk"), now)


def later_starts(pool_state, job_id, since, seconds):
    """Return the times, from ``since`` on, at which tasks of a job start while workers reply."""
    times, now = [], since
    while now <= since + seconds:
        keep_alive(pool_state, now)
        times += [now - since for order in start(pool_state, now) if order.task.job_id == job_id]
        now += CHECK_SECONDS
    return times


def label_worker(pool_state, name, label):
    worker = pool_state.workers[name]
    worker.listed = attrs.evolve(worker.listed, labels=frozenset([label]))


# Guards against LOST of review/2: accepted jobs without a start for as long as a suspect waits.
@pytest.mark.parametrize(
    ("step", "others", "labelled"),
    [
        (Step(2, Amount(500, 100), lasting=True, max_per_worker=1, may_miss=1), (), ()),
        (Step(1, Amount(500, 100), lasting=True, label="gpu"), (), ("w1",)),
        (Step(1, Amount(500, 100), label="gpu"), (), ("w1",)),
        (Step(1, Amount(3500, 100)), ("w2",), ()),
        (Step(2, Amount(500, 100), gang=True, max_per_worker=1), (), ()),
        (Step(2, Amount(3500, 100), gang=True), (), ()),
    ],
    ids=["max-per-worker", "lasting-label", "label", "lasting-beside", "gang", "wide-gang"],
)
def test_no_worker_is_held_back_for_a_suspect_that_can_never_run_on_it(step, others, labelled):
    pool_state = make_pool_state(step)
    for name in labelled:
        label_worker(pool_state, name, "gpu")
    for name in others:
        # A lasting task on the other worker leaves too little capacity for the suspect.
        label_worker(pool_state, name, "serving")
        add_job(pool_state, "0b", Step(1, Amount(1000, 100), lasting=True, label="serving"))
        pool_state.jobs["0b"].priority = -1
    start(pool_state, NOW)
    crash(pool_state, next(run.worker_id for run in pool_state.runs_of(JOB)))
    keep_alive(pool_state, NOW + 0.5)
    start(pool_state, NOW + 0.5)
    for run in list(pool_state.runs_of(JOB)):
        if run.phase is RunPhase.STOPPING:
            pool_state.remove_run(run, Proof.LISTED_END)
            pool_state.requeue_task(run.task)
    add_job(pool_state, LATER, Step(1, LATER_TASK), NOW + 1.0)
    assert pool_state.suspects
    assert later_starts(pool_state, LATER, NOW + 1.0, WATCH_SECONDS) == [0.0]


# Guards against LOST of review/2 where the suspect could run, but the capacity is freed late.
def test_a_worker_is_held_back_for_a_suspect_only_for_a_while():
    pool_state = make_pool_state(Step(1, Amount(4000, 100)))
    start(pool_state, NOW)
    crash(pool_state, next(run.worker_id for run in pool_state.runs_of(JOB)))
    add_job(pool_state, "0c", Step(1, Amount(500, 100)))
    keep_alive(pool_state, NOW)
    pool_state.ready[JOB], suspects = [], pool_state.ready[JOB]
    start(pool_state, NOW)
    pool_state.ready[JOB] = suspects
    keep_alive(pool_state, NOW + 0.5)
    start(pool_state, NOW + 0.5)
    add_job(pool_state, LATER, Step(2, Amount(500, 100)), NOW + 1.0)
    times = later_starts(pool_state, LATER, NOW + 1.0, WATCH_SECONDS)
    assert len(times) == 2 and max(times) <= MAX_HELD_BACK_SECONDS


def test_a_suspect_takes_the_capacity_that_is_freed_on_a_worker_held_back():
    pool_state = make_pool_state(Step(1, Amount(4000, 100)))
    start(pool_state, NOW)
    crash(pool_state, next(run.worker_id for run in pool_state.runs_of(JOB)))
    add_job(pool_state, "0c", Step(1, Amount(500, 100)))
    pool_state.ready[JOB], suspects = [], pool_state.ready[JOB]
    keep_alive(pool_state, NOW)
    (busy,) = start(pool_state, NOW)
    pool_state.ready[JOB] = suspects
    keep_alive(pool_state, NOW + 0.5)
    start(pool_state, NOW + 0.5)
    add_job(pool_state, LATER, Step(1, Amount(500, 100)), NOW + 0.6)
    pool_state.remove_job("0c")
    pool_state.remove_run(pool_state.runs[busy.task], Proof.LISTED_END)
    keep_alive(pool_state, NOW + 0.8)
    assert [order.task.job_id for order in start(pool_state, NOW + 0.8)] == [JOB]


# Guards against LOST where many suspects are started one by one on the only worker with room.
def test_a_worker_takes_other_starts_between_the_trials_of_two_suspects():
    step = Step(12, Amount(100, 100), lasting=True)
    pool_state = make_pool_state(step, workers=("w1",))
    start(pool_state, NOW)
    job = pool_state.jobs[JOB]
    for order in list(pool_state.runs_of(JOB)):
        job.note_crash(order.task, order.number, 1.0)
        pool_state.suspects.add(order.task)
        pool_state.drop_run(order, Proof.NOT_LISTED)
    add_job(pool_state, LATER, Step(1, Amount(500, 100)), NOW + 1.0)
    times, now = [], NOW + 1.0
    while now < NOW + 1.0 + WATCH_SECONDS and not times:
        keep_alive(pool_state, now)
        orders = start(pool_state, now)
        assert len([order for order in orders if order.task.job_id == JOB]) <= 1
        times += [now for order in orders if order.task.job_id == LATER]
        now += CHECK_SECONDS
    assert pool_state.suspects
    assert times[0] <= NOW + 1.0 + MAX_HELD_BACK_SECONDS
