"""Tests of the state machine of a job and of its stored records."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from ...exception import RecordError
from .. import Amount, EndKind, Job, JobKey, JobSpec, JobState, Step, TaskId
from ..records import decode_job, encode_description, encode_progress

KEY = JobKey("quotes", "00000000000000aa")
TWO_STEPS = JobSpec("text", (Step(2), Step(1, after=(0,))))


def task(step, position=0, occurrence=0):
    return TaskId(KEY.job_id, occurrence, step, position)


def make_job(spec=TWO_STEPS, attempts=2):
    return Job(KEY, spec, "desk", "agents", attempts)


@pytest.mark.parametrize(
    ("ends", "state", "runnable_tasks"),
    [
        ([], JobState.QUEUED, [task(0), task(0, 1)]),
        ([(task(0), 1, EndKind.DONE)], JobState.QUEUED, [task(0, 1)]),
        (
            [(task(0), 1, EndKind.DONE), (task(0, 1), 2, EndKind.DONE)],
            JobState.QUEUED,
            [task(1)],
        ),
        (
            [
                (task(0), 1, EndKind.DONE),
                (task(0, 1), 2, EndKind.DONE),
                (task(1), 3, EndKind.DONE),
            ],
            JobState.COMPLETED,
            [],
        ),
        ([(task(0), 1, EndKind.FAILED)], JobState.QUEUED, [task(0), task(0, 1)]),
        (
            [(task(0), 1, EndKind.FAILED), (task(0), 1, EndKind.FAILED)],
            JobState.QUEUED,
            [task(0), task(0, 1)],
        ),
        (
            [(task(0), 1, EndKind.FAILED), (task(0), 2, EndKind.FAILED)],
            JobState.FAILED,
            [],
        ),
        ([(task(0), 1, EndKind.LAPSED)] * 3, JobState.QUEUED, [task(0), task(0, 1)]),
        ([(task(0), 1, EndKind.STOPPED)] * 3, JobState.QUEUED, [task(0), task(0, 1)]),
    ],
)
def test_ended_runs_determine_state_and_runnable_tasks(ends, state, runnable_tasks):
    job = make_job()
    for ended_task, number, kind in ends:
        job.note_end(ended_task, number, kind, 10.0)
    assert_that(job.state, Equals(state))
    assert_that(list(job.runnable_tasks(0.0)), Equals(runnable_tasks))


def test_lasting_task_stays_runnable_after_any_end():
    job = make_job(JobSpec("", (Step(1, lasting=True),)), attempts=1)
    for kind in EndKind:
        assert_that(job.note_end(task(0), 1, kind, 1.0), Is(False))
    assert_that(list(job.runnable_tasks(0.0)), Equals([task(0)]))


def test_completion_of_one_gang_task_completes_the_gang():
    job = make_job(JobSpec("", (Step(3, gang=True),)))
    job.note_end(task(0, 2), 1, EndKind.DONE, 1.0)
    assert_that(job.state, Is(JobState.COMPLETED))


@pytest.mark.parametrize(("now", "expected"), [(99.0, []), (100.0, [0]), (105.0, [0, 1])])
def test_occurrences_become_runnable_at_their_start_time(now, expected):
    job = make_job(JobSpec("", (Step(1),), occurrences=2, first_due=100.0, interval_seconds=5.0))
    assert_that([runnable.occurrence for runnable in job.runnable_tasks(now)], Equals(expected))


@pytest.mark.parametrize("ended", [EndKind.DONE, EndKind.FAILED])
def test_cancelled_job_stays_cancelled(ended):
    job = make_job(attempts=1)
    assert_that(job.cancel(5.0), Is(True))
    assert_that(job.cancel(6.0), Is(False))
    job.note_end(task(0), 1, ended, 7.0)
    assert_that(job.state, Is(JobState.CANCELLED))
    assert_that(list(job.runnable_tasks(8.0)), Equals([]))


@pytest.mark.parametrize(
    "unknown_task",
    [
        TaskId("other", 0, 0, 0),
        TaskId(KEY.job_id, 1, 0, 0),
        TaskId(KEY.job_id, 0, 5, 0),
        TaskId(KEY.job_id, 0, 0, 2),
    ],
)
def test_end_of_unknown_task_is_ignored(unknown_task):
    assert_that(make_job().note_end(unknown_task, 1, EndKind.DONE, 1.0), Is(False))


@given(
    ends=st.lists(
        st.tuples(st.integers(0, 1), st.integers(0, 1), st.integers(1, 4), st.sampled_from(EndKind))
    ),
    cancel=st.booleans(),
)
def test_job_survives_encoding_and_decoding(ends, cancel):
    job = make_job(attempts=3)
    job.due_by, job.priority = 12.5, 1
    for step, position, number, kind in ends:
        job.note_end(task(step, position), number, kind, 20.0)
    if cancel:
        job.cancel(21.0)
    decoded = decode_job(KEY, encode_description(job), encode_progress(job))
    assert_that(decoded.spec, Equals(job.spec))
    assert_that(decoded.state, Equals(job.state))
    assert_that(decoded.failures, Equals(job.failures))
    assert_that(list(decoded.runnable_tasks(0.0)), Equals(list(job.runnable_tasks(0.0))))
    assert_that(
        (decoded.due_by, decoded.priority, decoded.ended_at), Equals((12.5, 1, job.ended_at))
    )


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"spec": 1}', b"\xff"])
def test_invalid_record_raises_an_error(value):
    with pytest.raises(RecordError):
        decode_job(KEY, value, None)


@pytest.mark.parametrize(
    ("steps", "seconds", "expected"),
    [
        ((Step(1), Step(1, after=(0,))), (1.0, 2.0), 3.0),
        ((Step(1), Step(1)), (1.0, 2.0), 2.0),
        ((Step(1), Step(1), Step(1, after=(0, 1))), (1.0, 2.0, 4.0), 6.0),
    ],
)
def test_critical_path_is_the_longest_chain_of_steps(steps, seconds, expected):
    assert_that(JobSpec("", steps).critical_path_seconds(seconds), Equals(expected))


@pytest.mark.parametrize(
    ("need", "room", "fits"),
    [
        (Amount(2, 2, 0), Amount(2, 2, 0), True),
        (Amount(3, 2, 0), Amount(2, 2, 0), False),
        (Amount(1, 3, 0), Amount(2, 2, 0), False),
        (Amount(1, 1, 1), Amount(2, 2, 0), False),
    ],
)
def test_amount_fits_only_if_every_dimension_fits(need, room, fits):
    assert_that(need.fits(room), Is(fits))
