"""Admission of jobs while store writes fail, time out or lose their answers.

A job in doubt, whose description may or may not be stored, must stay a single job: submitted again,
it is neither refused nor stored twice.
"""

import anyio
import pytest

from ...batch import Job, JobKey, JobState
from ...batch.records import encode_description
from ...exception import PeerError, StoreRefused, StoreUnavailable
from ...store import Put
from .. import Outcome
from ..admission import MAX_WRITE_DELAY_SECONDS
from .test_daemons import DAEMON_NAMES, run_scenario, two_step_spec

JOB_ID = "00000000000000ff"


def stored_descriptions(deployment):
    """Return the keys of the stored job descriptions."""
    return [key for key in deployment.fleet.store.entries if key.startswith("lp/job/")]


async def lose_answer(deployment, owner):
    deployment.fleet.faults.lose_answers = 1


async def slow_store(deployment, owner):
    """Make the store slower than the caller's deadline; the test resets the delay later."""
    deployment.fleet.faults.slow_seconds = 5.0


@pytest.mark.parametrize("fault", [lose_answer, slow_store])
def test_job_in_doubt_is_accepted_when_submitted_again(fault):
    async def scenario(deployment):
        owner = deployment.fleet.owner_of("desk")
        await fault(deployment, owner)
        _, first = await deployment.submit("desk", two_step_spec(), at=owner, job_id=JOB_ID)
        deployment.fleet.faults.slow_seconds = 0.0
        await anyio.sleep(0.3)
        outcomes = [first.outcome]
        while outcomes[-1] is not Outcome.ACCEPTED and len(outcomes) < 20:
            at = deployment.fleet.owner_of("desk") or DAEMON_NAMES[0]
            _, again = await deployment.submit("desk", two_step_spec(), at=at, job_id=JOB_ID)
            outcomes.append(again.outcome)
            await anyio.sleep(0.3)
        await anyio.sleep(3.0)
        return (
            outcomes,
            stored_descriptions(deployment),
            await deployment.states(),
            [run.order.task for run in deployment.fleet.runs],
        )

    outcomes, stored, states, tasks = run_scenario(scenario)
    assert outcomes[0] is not Outcome.REFUSED
    assert outcomes[-1] is Outcome.ACCEPTED
    assert Outcome.REFUSED not in outcomes
    assert len(stored) == 1
    assert list(states.values()) == [JobState.COMPLETED]
    assert len(tasks) == len(set(tasks)) == 3


def test_concurrent_duplicate_submissions_get_the_same_answer():
    async def scenario(deployment):
        deployment.fleet.faults.slow_seconds = 0.2
        results = []

        async def ask(name):
            _, result = await deployment.submit("desk", two_step_spec(), at=name, job_id=JOB_ID)
            results.append(result.outcome)

        async with anyio.create_task_group() as tasks:
            for name in DAEMON_NAMES * 2:
                tasks.start_soon(ask, name)
        deployment.fleet.faults.slow_seconds = 0.0
        return results, stored_descriptions(deployment)

    results, stored = run_scenario(scenario)
    assert results == [Outcome.ACCEPTED] * 6
    assert len(stored) == 1


def test_submission_is_repeated_before_the_deadline_if_the_owner_does_not_answer():
    async def scenario(deployment):
        owner = deployment.fleet.owner_of("desk")
        other = next(name for name in DAEMON_NAMES if name != owner)
        service = deployment.fleet.daemons[other].node.service
        original_call, failures = service.peers.call, [True, True]

        async def call(address, method, message, timeout=1.0):
            reply = await original_call(address, method, message, timeout)
            if method == "Submit" and failures:
                failures.pop()
                raise PeerError(f"{address}: connection lost")
            return reply

        service.peers.call = call
        _, result = await deployment.submit("desk", two_step_spec(), at=other, job_id=JOB_ID)
        return result.outcome, len(failures), stored_descriptions(deployment)

    outcome, failures, stored = run_scenario(scenario)
    assert outcome is Outcome.ACCEPTED
    assert failures == 0
    assert len(stored) == 1


def test_new_jobs_are_refused_at_once_and_never_run_during_a_store_outage():
    async def scenario(deployment):
        owner = deployment.fleet.owner_of("desk")
        deployment.fleet.faults.outage = True
        _, first = await deployment.submit("desk", two_step_spec(), at=owner, job_id=JOB_ID)
        started_at = deployment.clock.now()
        refused_job_id, second = await deployment.submit("desk", two_step_spec(), at=owner)
        elapsed = deployment.clock.now() - started_at
        deployment.fleet.faults.outage = False
        await anyio.sleep(6.0)
        _, third = await deployment.submit("desk", two_step_spec())
        await anyio.sleep(3.0)
        started_jobs = {run.order.task.job_id for run in deployment.fleet.runs}
        return first, second, elapsed, third.outcome, refused_job_id in started_jobs

    first, second, elapsed, third, was_started = run_scenario(scenario)
    assert first.outcome is Outcome.UNKNOWN
    assert (second.outcome, second.reason) == (Outcome.REFUSED, "store-away")
    assert second.retry_seconds > 0
    assert elapsed < 0.1
    assert third is Outcome.ACCEPTED
    assert not was_started


def test_job_that_may_be_stored_is_not_refused_when_the_store_refuses_the_next_write():
    async def scenario(deployment):
        owner = deployment.fleet.owner_of("desk")
        writer = deployment.fleet.daemons[owner].node.owned["desk"].writer
        original_commit, errors = writer.commit, [StoreUnavailable("no answer")]

        async def commit(compares, writes):
            await anyio.sleep(0.1)
            raise errors.pop() if errors else StoreRefused("busy")

        writer.commit = commit
        _, first = await deployment.submit("desk", two_step_spec(), at=owner, job_id=JOB_ID)
        writer.commit = original_commit
        _, second = await deployment.submit("desk", two_step_spec(), at=owner, job_id=JOB_ID)
        return [first.outcome, second.outcome]

    assert run_scenario(scenario) == [Outcome.UNKNOWN, Outcome.ACCEPTED]


def test_job_is_refused_with_a_short_retry_delay_if_the_pool_has_no_present_worker():
    async def scenario(deployment):
        owner = deployment.fleet.owner_of("desk")
        for worker in (
            deployment.fleet.daemons[owner].node.owned["desk"].pool_state.workers.values()
        ):
            worker.present = False
        _, result = await deployment.submit("desk", two_step_spec(), at=owner)
        return result

    result = run_scenario(scenario)
    assert (result.outcome, result.reason) == (Outcome.REFUSED, "no-workers")
    assert result.retry_seconds == 1


@pytest.mark.parametrize("applied", [True, False], ids=["applied late", "lost"])
def test_job_in_doubt_is_resolved_without_another_submission(applied):
    async def scenario(deployment):
        owner = deployment.fleet.owner_of("desk")
        node = deployment.fleet.daemons[owner].node
        admission, writer = node.owned["desk"].admission, node.owned["desk"].writer
        original_commit, attempts = writer.commit, []

        async def commit(compares, writes):
            attempts.append((compares, writes))
            await anyio.sleep(0.1)
            raise StoreUnavailable("no answer")

        writer.commit = commit
        _, first = await deployment.submit("desk", two_step_spec(), at=owner, job_id=JOB_ID)
        writer.commit, in_doubt = original_commit, len(admission.pending)
        if applied:
            await original_commit(*attempts[1])
        await anyio.sleep(MAX_WRITE_DELAY_SECONDS + 4.0)
        remaining, queue = len(admission.pending), deployment.fleet.config.queues["desk"]
        state = await node.service.find(queue, JOB_ID, 3.0)
        _, again = await deployment.submit("desk", two_step_spec(), at=owner, job_id=JOB_ID)
        await anyio.sleep(3.0)
        return first.outcome, in_doubt, remaining, state, again.outcome, len(deployment.fleet.runs)

    first, in_doubt, remaining, state, again, runs = run_scenario(scenario)
    assert (first, in_doubt) == (Outcome.UNKNOWN, 1)
    assert remaining == 0
    assert state is (JobState.COMPLETED if applied else None)
    assert (again, runs) == (Outcome.ACCEPTED, 3)


@pytest.mark.parametrize("after", [0.0, 0.3, 0.6, 0.9])
def test_job_submitted_while_its_owner_is_lost_reaches_the_next_owner(after):
    async def scenario(deployment):
        owner = deployment.fleet.owner_of("desk")
        other = next(name for name in DAEMON_NAMES if name != owner)
        deployment.fleet.kill(owner)
        await anyio.sleep(after)
        _, result = await deployment.submit("desk", two_step_spec(), at=other, job_id=JOB_ID)
        await anyio.sleep(4.0)
        return result.outcome, await deployment.states(), len(stored_descriptions(deployment))

    outcome, states, stored = run_scenario(scenario)
    assert outcome is Outcome.ACCEPTED
    assert list(states.values()) == [JobState.COMPLETED]
    assert stored == 1


class FailingReads:
    """A daemon's client of the store whose reads of one key fail at first."""

    def __init__(self, store, key, errors):
        self.store = store
        self.key = key
        self.errors = list(errors)

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def get(self, key):
        if key == self.key and self.errors:
            raise self.errors.pop()
        return await self.store.get(key)


READ_ERRORS = {
    "answered": [],
    "refused": [StoreRefused("busy")] * 3,
    "unanswered": [StoreUnavailable("no answer")] * 3,
}


@pytest.mark.parametrize("reads", READ_ERRORS)
def test_job_whose_record_is_in_the_store_is_accepted_as_it_is_stored(reads):
    """The record was written by an attempt that was given up, and took effect even later."""

    async def scenario(deployment):
        owner = deployment.fleet.owner_of("desk")
        node, key = deployment.fleet.daemons[owner].node, JobKey("desk", JOB_ID)
        wall_time = node.context.wall_time()
        stored = Job(
            key, two_step_spec(), "desk", "agents", 2, accepted_at=wall_time - 20, due_by=wall_time
        )
        put = Put(node.context.keys.description(key), encode_description(stored))
        await deployment.fleet.store.commit([], [put])
        node.context.store = FailingReads(node.context.store, put.key, READ_ERRORS[reads])
        outcomes = []
        for _ in range(3):
            _, result = await deployment.submit("desk", two_step_spec(), at=owner, job_id=JOB_ID)
            outcomes.append(result.outcome)
        await anyio.sleep(3.0)
        return outcomes, await deployment.states(), len(deployment.fleet.runs)

    outcomes, states, runs = run_scenario(scenario)
    assert Outcome.REFUSED not in outcomes
    assert outcomes[-1] is Outcome.ACCEPTED
    assert list(states.values()) == [JobState.COMPLETED]
    assert runs == 3
