"""Cancelling a job whose description is being stored, or of which it is unknown whether it is."""

import anyio
import pytest

from ...batch import JobKey, JobState
from ...exception import ChangeUnknown, StoreUnavailable
from ...store import Compare
from .. import Outcome
from ..admission import MAX_WRITE_DELAY_SECONDS
from .test_daemons import DAEMON_NAMES, lasting_spec, run_scenario

JOB_ID = "00000000000000cc"
#: how late the store carries out a write without an answer, in seconds
LATE_SECONDS = 2.0
#: time after which a client without an answer leaves and cancels its job, in seconds
LEAVE_SECONDS = 0.3


class LateWrites:
    """An owner's writer whose descriptions get no answer; the store may carry them out late.

    :param lost: number of writes without an answer
    :param late: whether these are carried out
    """

    def __init__(self, deployment, lost, late):
        name = deployment.fleet.owner_of("desk")
        self.owner = deployment.fleet.daemons[name].node.owned["desk"]
        self.tasks = deployment.fleet.tasks
        self.original_commit = self.owner.writer.commit
        self.lost, self.late = lost, late
        self.owner.writer.commit = self.commit

    async def commit(self, compares, writes):
        if not self.lost or not any("/job/" in write.key for write in writes):
            return await self.original_commit(compares, writes)
        self.lost -= 1
        if self.late:
            self.tasks.start_soon(self._commit_late, compares, writes)
        await anyio.sleep(0.6)
        raise StoreUnavailable("no answer")

    async def _commit_late(self, compares, writes):
        await anyio.sleep(LATE_SECONDS)
        await self.original_commit(compares, writes)


async def cancel_until_answered(deployment, at):
    """Repeat a cancel as clients do; return the job's state and the time of the answer."""
    service = deployment.fleet.daemons[at].node.service
    queue = deployment.fleet.config.queues["desk"]
    while True:
        try:
            state = await service.cancel(queue, JOB_ID, 3.0)
            return state, deployment.clock.now()
        except StoreUnavailable:
            await anyio.sleep(0.2)


def runs_of_job(deployment, since=0.0):
    return [
        run for run in deployment.fleet.runs if run.order.task.job_id == JOB_ID and run.at >= since
    ]


# Guards against UNASKED of review/3: a cancel is answered 410, and the job is stored and runs on.
@pytest.mark.parametrize("late", [True, False], ids=["late", "lost"])
@pytest.mark.parametrize("lost", [0, 1, 2, 3, 8])
@pytest.mark.parametrize("leave_seconds", [0.0, LEAVE_SECONDS, 1.0])
def test_cancelled_job_does_not_run_however_its_description_is_written(lost, late, leave_seconds):
    async def scenario(deployment):
        LateWrites(deployment, lost, late)
        owner = deployment.fleet.owner_of("desk")
        deployment.fleet.tasks.start_soon(deployment.submit, "desk", lasting_spec(), owner, JOB_ID)
        await anyio.sleep(leave_seconds)
        state, answered_at = await cancel_until_answered(deployment, owner)
        await anyio.sleep(MAX_WRITE_DELAY_SECONDS + LATE_SECONDS + 1.0)
        working = [
            task
            for worker in deployment.fleet.workers.workers.values()
            for task in worker.runs
            if task.job_id == JOB_ID
        ]
        return state, runs_of_job(deployment, answered_at), working

    state, late_runs, working = run_scenario(scenario)
    assert state in (JobState.CANCELLED, None)
    assert (late_runs, working) == ([], [])


# Guards against a job that is unknown by its state although it may be stored a moment later.
@pytest.mark.parametrize("lost", [1, 8])
def test_state_of_a_job_in_doubt_is_not_answered(lost):
    async def scenario(deployment):
        LateWrites(deployment, lost, True)
        owner = deployment.fleet.owner_of("desk")
        deployment.fleet.tasks.start_soon(deployment.submit, "desk", lasting_spec(), owner, JOB_ID)
        await anyio.sleep(LEAVE_SECONDS)
        service = deployment.fleet.daemons[owner].node.service
        with pytest.raises(StoreUnavailable):
            await service.find(deployment.fleet.config.queues["desk"], JOB_ID, 1.0)
        await anyio.sleep(MAX_WRITE_DELAY_SECONDS + LATE_SECONDS)
        return await service.find(deployment.fleet.config.queues["desk"], JOB_ID, 1.0)

    assert run_scenario(scenario) is JobState.RUNNING


# Guards against a submission that reaches the owner after its cancel was answered.
@pytest.mark.parametrize("delay", [0.05, 0.5, 2.0])
def test_submission_that_arrives_after_its_cancel_does_not_run(delay):
    async def scenario(deployment):
        owner = deployment.fleet.owner_of("desk")
        other = next(name for name in DAEMON_NAMES if name != owner)
        state, _ = await cancel_until_answered(deployment, other)
        await anyio.sleep(delay)
        _, result = await deployment.submit("desk", lasting_spec(), at=other, job_id=JOB_ID)
        await anyio.sleep(2.0)
        return state, result, runs_of_job(deployment)

    state, result, runs = run_scenario(scenario)
    assert state is None
    assert (result.outcome, result.reason) == (Outcome.REFUSED, "cancelled")
    assert result.retry_seconds > 0
    assert runs == []


def test_identifier_of_an_unknown_job_that_was_cancelled_can_be_used_later():
    async def scenario(deployment):
        owner = deployment.fleet.owner_of("desk")
        await cancel_until_answered(deployment, owner)
        await anyio.sleep(20.0)
        _, result = await deployment.submit("desk", lasting_spec(), at=owner, job_id=JOB_ID)
        return result.outcome

    assert run_scenario(scenario) is Outcome.ACCEPTED


def test_submission_after_a_cancel_is_not_refused_if_the_job_is_stored():
    async def scenario(deployment):
        owner = deployment.fleet.owner_of("desk")
        admission = deployment.fleet.daemons[owner].node.owned["desk"].admission
        await deployment.submit("desk", lasting_spec(), at=owner, job_id=JOB_ID)
        admission.pool_state.remove_job(JOB_ID)
        assert await admission.cancel(JobKey("desk", JOB_ID), 1.0) is None
        _, result = await deployment.submit("desk", lasting_spec(), at=owner, job_id=JOB_ID)
        return result.outcome

    assert run_scenario(scenario) is Outcome.ACCEPTED


# Guards against a 410 by an owner that was replaced without its knowledge, while its successor
# stores the job.
def test_cancel_of_an_unknown_job_is_not_answered_by_an_owner_that_was_replaced():
    async def scenario(deployment):
        name = deployment.fleet.owner_of("desk")
        node = deployment.fleet.daemons[name].node
        claim = node.owned["desk"].writer.claim
        node.owned["desk"].writer.claim = Compare(claim.key, claim.revision - 1)
        queue = deployment.fleet.config.queues["desk"]
        with pytest.raises(ChangeUnknown):
            await node.service.cancel(queue, JOB_ID, 0.5)

    run_scenario(scenario)
