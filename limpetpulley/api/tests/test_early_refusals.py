"""What cannot be served is refused at once, with an honest time to come back."""

import anyio
import pytest

from ...batch import Amount
from ...scheduling.batch_admission import LONGEST_RETRY_SECONDS, Verdict
from .batch_callers import job_document, run_callers

#: longest time until a refusal, in seconds
REFUSAL_SECONDS = 0.3
#: longest retry time while an owner or the store is lost, in seconds
SHORT_RETRY_SECONDS = 2
JOB_ID = "00000000000000ab"


async def nothing(callers):
    pass


async def lose_workers(callers):
    for worker in callers.owner.pool_state.workers.values():
        worker.present = False


async def lose_store(callers):
    callers.fleet.faults.outage = True
    await callers.submit(callers.owner_name, "00000000000000cc", job_document(), 0.3)


HOPELESS_JOBS = [
    (nothing, job_document(cores=5), "fits-nowhere", LONGEST_RETRY_SECONDS),
    (nothing, job_document(label="gpu"), "fits-nowhere", LONGEST_RETRY_SECONDS),
    (nothing, job_document(count=17, gang=True), "fits-nowhere", LONGEST_RETRY_SECONDS),
    (nothing, job_document(count=16, gang=True), None, 0),
    (nothing, job_document(count=4, gang=True, cores=3, max_per_worker=1), None, 0),
    (nothing, job_document(count=5, gang=True, cores=3), "fits-nowhere", LONGEST_RETRY_SECONDS),
    (lose_workers, job_document(), "no-workers", SHORT_RETRY_SECONDS),
    (lose_store, job_document(), "store-away", SHORT_RETRY_SECONDS),
]


@pytest.mark.parametrize("place", ["owner", "other"])
@pytest.mark.parametrize("time_left", [3.0, 30.0])
@pytest.mark.parametrize(("prepare", "document", "reason", "retry_seconds"), HOPELESS_JOBS)
def test_job_that_cannot_be_served_is_refused_at_once(
    prepare, document, reason, retry_seconds, time_left, place
):
    async def scenario(callers):
        await prepare(callers)
        answer = await callers.submit(callers.daemon(place), JOB_ID, document, time_left)
        callers.fleet.faults.outage = False
        await anyio.sleep(2.0)
        return answer, callers.runs_of(JOB_ID)

    answer, runs = run_callers(scenario, moves=False)
    assert answer.seconds < REFUSAL_SECONDS
    if reason is None:
        assert answer.status == 202
        assert len(runs) == document["steps"][0]["count"]
        return
    assert (answer.status, answer.reason, answer.run) == (503, reason, "no")
    if retry_seconds == LONGEST_RETRY_SECONDS:
        assert answer.retry_seconds == LONGEST_RETRY_SECONDS
    assert 1 <= answer.retry_seconds <= retry_seconds
    assert not runs


@pytest.mark.parametrize(
    ("document", "accepted"),
    [
        (job_document(cores=3), True),
        (job_document(cores=4), False),
        (job_document(cores=4, lasting=True), False),
        (job_document(count=3, gang=True), True),
        (job_document(count=4, gang=True), False),
    ],
)
def test_job_beyond_the_limit_of_its_team_is_refused_at_once(document, accepted):
    async def scenario(callers):
        answer = await callers.submit(callers.owner_name, JOB_ID, document)
        await anyio.sleep(3.0)
        return answer, len(callers.runs_of(JOB_ID))

    answer, runs = run_callers(scenario, moves=False, limit=Amount(3000))
    assert answer.seconds < REFUSAL_SECONDS
    if accepted:
        assert (answer.status, runs) == (202, document["steps"][0]["count"])
    else:
        expected = (503, "fits-nowhere", LONGEST_RETRY_SECONDS, 0)
        assert (answer.status, answer.reason, answer.retry_seconds, runs) == expected


@pytest.mark.parametrize("place", ["owner", "other"])
@pytest.mark.parametrize(
    ("backlog", "seconds", "longest_retry"),
    [
        # Jobs are started by the time at which they are due, so a short one waits for few others.
        (200, 0.3, 3),
        (400, 0.3, 3),
        (200, 1.0, 13),
        (300, 1.0, 19),
        (400, 1.0, LONGEST_RETRY_SECONDS),
    ],
)
def test_retry_time_of_a_long_queue_is_when_it_is_predicted_to_be_short(
    backlog, seconds, longest_retry, place
):
    """The backlog is in core-seconds, in a pool of 16 cores."""

    async def scenario(callers):
        await fill_queue(callers, backlog)
        at, job = callers.daemon(place), job_document(seconds=seconds)
        answers = [await callers.submit(at, JOB_ID, job)]
        await anyio.sleep(answers[0].retry_seconds)
        answers.append(await callers.submit(at, JOB_ID, job))
        await anyio.sleep(10.0)
        return answers, len(callers.runs_of(JOB_ID))

    (refused, accepted), runs = run_callers(scenario, moves=False)
    assert (refused.status, refused.reason, refused.run) == (503, "late", "no")
    assert refused.seconds < REFUSAL_SECONDS
    assert 1 <= refused.retry_seconds <= longest_retry
    assert (accepted.status, runs) == (202, 2)


async def fill_queue(callers, core_seconds):
    """Give the pool work of several seconds, which is accepted before it is there."""
    admission = callers.owner.admission
    assess, admission.assess = admission.assess, lambda job, submission: Verdict(True)
    for number in range(core_seconds // 32):
        job_id = f"{number + 1:016x}"
        accepted = await callers.submit(callers.owner_name, job_id, job_document(16, 1, 2.0))
        assert accepted.status == 202
    admission.assess = assess


@pytest.mark.parametrize("time_left", [1.0, 3.0, 30.0])
def test_job_of_a_pool_without_owner_is_refused_before_the_deadline_with_a_short_retry_time(
    time_left,
):
    async def scenario(callers):
        owner_name, at = callers.owner_name, callers.daemon("other")
        for daemon in callers.fleet.daemons.values():
            daemon.node.leaving = True
        await callers.fleet.leave(owner_name)
        return await callers.submit(at, JOB_ID, job_document(), time_left)

    answer = run_callers(scenario)
    assert (answer.status, answer.reason, answer.run) == (503, "no-owner", "no")
    assert answer.seconds < min(1.5, 0.6 * time_left)
    assert 1 <= answer.retry_seconds <= SHORT_RETRY_SECONDS
