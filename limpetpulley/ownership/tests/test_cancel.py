"""Cancelling a job whose description is being stored, or of which it is unknown whether it is."""

import anyio
import pytest

from ...batch import JobKey, JobState
from ...exception import ChangeUnknown, StoreUnavailable
from ...store import Compare, Put
from .. import Outcome
from ..admission import MAX_WRITE_DELAY_SECONDS
from ..unknown_cancels import MAX_CANCELS
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


async def change_owner(deployment, how, pool="desk"):
    """Let a pool's owner leave or be killed, and return a daemon that is not the next owner."""
    fleet = deployment.fleet
    before = fleet.owner_of(pool)
    if how == "leave":
        await fleet.leave(before)
    else:
        fleet.kill(before)
    while fleet.owner_of(pool) in (None, before):
        await anyio.sleep(0.05)
    return next(name for name in fleet.daemons if name != fleet.owner_of(pool))


# Guards against UNASKED of review/10: a next owner that accepts what the last one has cancelled.
@pytest.mark.parametrize("how", ["leave", "kill"])
@pytest.mark.parametrize("late_seconds", [2.0, 3.7, 8.0])
@pytest.mark.parametrize("changes", [1, 2])
def test_submission_that_reaches_a_later_owner_after_its_cancel_does_not_run(
    how, late_seconds, changes
):
    async def scenario(deployment):
        at = next(iter(deployment.fleet.daemons))
        state, answered_at = await cancel_until_answered(deployment, at)
        for _ in range(changes):
            left = deployment.fleet.owner_of("desk")
            at = await change_owner(deployment, how)
            deployment.fleet.start_daemon(left)
        await anyio.sleep(max(0.0, answered_at + late_seconds - deployment.clock.now()))
        _, result = await deployment.submit("desk", lasting_spec(), at=at, job_id=JOB_ID)
        await anyio.sleep(2.0)
        return state, result.outcome, result.reason, runs_of_job(deployment)

    assert run_scenario(scenario) == (None, Outcome.REFUSED, "cancelled", [])


class LateCancelRecords:
    """A store whose first writes of cancels get no answer, and may be carried out late.

    :param tasks: task group in which they are carried out
    :param late_seconds: how late, None for never
    """

    def __init__(self, store, tasks, key, lost, late_seconds):
        self.store, self.tasks, self.key = store, tasks, key
        self.lost, self.late_seconds = lost, late_seconds

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def commit(self, compares, writes):
        if not self.lost or not any(write.key == self.key for write in writes):
            return await self.store.commit(compares, writes)
        self.lost -= 1
        if self.late_seconds is not None:
            self.tasks.start_soon(self._commit_late, compares, writes)
        raise StoreUnavailable("no answer")

    async def _commit_late(self, compares, writes):
        await anyio.sleep(self.late_seconds)
        await self.store.commit(compares, writes)


# Guards against a cancel that is answered before it is stored, or that a late write removes.
@pytest.mark.parametrize("lost", [1, 3])
@pytest.mark.parametrize("late_seconds", [None, 0.02, 0.5, 2.0])
def test_cancel_of_an_unknown_job_is_stored_however_its_record_is_written(lost, late_seconds):
    async def scenario(deployment):
        fleet = deployment.fleet
        owner = fleet.owner_of("desk")
        context = fleet.daemons[owner].node.context
        key = context.keys.cancels("desk")
        context.store = LateCancelRecords(context.store, fleet.tasks, key, lost, late_seconds)
        queue = fleet.config.queues["desk"]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.daemons[owner].node.service.cancel, queue, "0" * 16, 3.0)
            await anyio.sleep(0.1)
            await cancel_until_answered(deployment, owner)
        await anyio.sleep(3.0)
        at = await change_owner(deployment, "kill")
        return [
            (await deployment.submit("desk", lasting_spec(), at=at, job_id=job_id))[1].reason
            for job_id in ("0" * 16, JOB_ID)
        ]

    assert run_scenario(scenario) == ["cancelled", "cancelled"]


# Guards against a 410 that only the memory of an owner knows of, while the store is away.
def test_cancel_of_an_unknown_job_is_not_answered_while_the_store_is_away():
    async def scenario(deployment):
        fleet = deployment.fleet
        owner = fleet.owner_of("desk")
        fleet.faults.outage = True
        service, queue = fleet.daemons[owner].node.service, fleet.config.queues["desk"]
        with pytest.raises(ChangeUnknown):
            await service.cancel(queue, JOB_ID, 0.8)
        fleet.faults.outage = False
        state, _ = await cancel_until_answered(deployment, owner)
        return state

    assert run_scenario(scenario) is None


@pytest.mark.parametrize("changes", [0, 1])
def test_cancels_of_unknown_jobs_are_removed_from_the_store(changes):
    async def scenario(deployment):
        fleet = deployment.fleet
        owner = fleet.owner_of("desk")
        key = fleet.daemons[owner].node.context.keys.cancels("desk")
        await cancel_until_answered(deployment, owner)
        stored = await fleet.store.get(key)
        for _ in range(changes):
            await change_owner(deployment, "kill")
        await anyio.sleep(25.0)
        _, result = await deployment.submit("desk", lasting_spec(), job_id=JOB_ID)
        return stored is not None, await fleet.store.get(key), result.outcome

    assert run_scenario(scenario) == (True, None, Outcome.ACCEPTED)


# Guards against a pool that is not served because of a record that cannot be read.
@pytest.mark.parametrize("value", [b"", b"[]", b'{"jobs":7}', b'{"jobs":[["desk"]]}', b"\xff"])
def test_cancels_that_cannot_be_read_hold_up_no_takeover(value):
    async def scenario(deployment):
        fleet = deployment.fleet
        key = next(iter(fleet.daemons.values())).node.context.keys.cancels("desk")
        fleet.store.apply([Put(key, value)])
        killed = fleet.owner_of("desk")
        at = await change_owner(deployment, "kill")
        fleet.start_daemon(killed)
        state, _ = await cancel_until_answered(deployment, at)
        at = await change_owner(deployment, "kill")
        _, result = await deployment.submit("desk", lasting_spec(), at=at, job_id=JOB_ID)
        return state, result.reason

    assert run_scenario(scenario) == (None, "cancelled")


def test_cancels_of_unknown_jobs_that_come_together_are_stored_together():
    async def scenario(deployment):
        fleet = deployment.fleet
        owner = fleet.owner_of("desk")
        node = fleet.daemons[owner].node
        commit, writes = node.owned["desk"].writer.commit, []

        async def count(compares, changes):
            writes.extend(each for each in changes if each.key == node.context.keys.cancels("desk"))
            return await commit(compares, changes)

        node.owned["desk"].writer.commit = count
        queue, started_at = fleet.config.queues["desk"], deployment.clock.now()
        async with anyio.create_task_group() as tasks:
            for number in range(200):
                tasks.start_soon(node.service.cancel, queue, f"{number:016x}", 3.0)
        return len(writes), deployment.clock.now() - started_at

    count, seconds = run_scenario(scenario)
    assert 1 <= count <= 3
    assert seconds < 0.5


def test_too_many_cancels_of_unknown_jobs_are_not_answered():
    async def scenario(deployment):
        fleet = deployment.fleet
        node = fleet.daemons[fleet.owner_of("desk")].node
        cancels = node.owned["desk"].unknown_cancels
        for number in range(MAX_CANCELS):
            cancels.note(JobKey("desk", f"f{number:015x}"))
        queue = fleet.config.queues["desk"]
        with pytest.raises(ChangeUnknown):
            await node.service.cancel(queue, JOB_ID, 0.5)
        return await node.service.cancel(queue, "f" + "0" * 15, 0.5)

    assert run_scenario(scenario) is None
