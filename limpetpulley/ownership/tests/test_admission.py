"""A job in doubt stays one job: asked for again, it is neither refused nor stored twice."""

import anyio
import pytest

from ...batch import JobState
from ...exception import PeerError, StoreRefused, StoreUnavailable
from .. import Outcome
from ..admission import MAX_WRITE_DELAY_SECONDS
from .test_daemons import DAEMON_NAMES, run_scenario, two_step_spec

JOB_ID = "00000000000000ff"


def entries(day):
    """Return the descriptions that are stored."""
    return [key for key in day.fleet.store.entries if key.startswith("lp/job/")]


async def lose_an_answer(day, owner):
    day.fleet.faults.lose_answers = 1


async def be_slow(day, owner):
    """Let the store take longer than the caller has, and be fast again later."""
    day.fleet.faults.slow_seconds = 5.0


@pytest.mark.parametrize("fault", [lose_an_answer, be_slow])
def test_a_job_whose_storing_is_in_doubt_is_accepted_when_asked_for_again(fault):
    async def story(day):
        owner = day.fleet.owner_of("desk")
        await fault(day, owner)
        _, first = await day.submit("desk", two_step_spec(), at=owner, job_id=JOB_ID)
        day.fleet.faults.slow_seconds = 0.0
        await anyio.sleep(0.3)
        told = [first.outcome]
        while told[-1] is not Outcome.ACCEPTED and len(told) < 20:
            at = day.fleet.owner_of("desk") or DAEMON_NAMES[0]
            _, again = await day.submit("desk", two_step_spec(), at=at, job_id=JOB_ID)
            told.append(again.outcome)
            await anyio.sleep(0.3)
        await anyio.sleep(3.0)
        return told, entries(day), await day.states(), [run.order.task for run in day.fleet.runs]

    told, stored, states, tasks = run_scenario(story)
    assert told[0] is not Outcome.REFUSED
    assert told[-1] is Outcome.ACCEPTED
    assert Outcome.REFUSED not in told
    assert len(stored) == 1
    assert list(states.values()) == [JobState.COMPLETED]
    assert len(tasks) == len(set(tasks)) == 3


def test_copies_of_a_request_that_come_together_get_the_same_answer():
    async def story(day):
        day.fleet.faults.slow_seconds = 0.2
        results = []

        async def ask(name):
            _, result = await day.submit("desk", two_step_spec(), at=name, job_id=JOB_ID)
            results.append(result.outcome)

        async with anyio.create_task_group() as tasks:
            for name in DAEMON_NAMES * 2:
                tasks.start_soon(ask, name)
        day.fleet.faults.slow_seconds = 0.0
        return results, entries(day)

    results, stored = run_scenario(story)
    assert results == [Outcome.ACCEPTED] * 6
    assert len(stored) == 1


def test_an_owner_that_did_not_answer_is_asked_again_while_there_is_time():
    async def story(day):
        owner = day.fleet.owner_of("desk")
        other = next(name for name in DAEMON_NAMES if name != owner)
        service = day.fleet.daemons[other].node.service
        inner, failures = service.peers.call, [True, True]

        async def call(address, method, message, timeout=1.0):
            reply = await inner(address, method, message, timeout)
            if method == "Submit" and failures:
                failures.pop()
                raise PeerError(f"{address}: connection lost")
            return reply

        service.peers.call = call
        _, result = await day.submit("desk", two_step_spec(), at=other, job_id=JOB_ID)
        return result.outcome, len(failures), entries(day)

    outcome, failures, stored = run_scenario(story)
    assert outcome is Outcome.ACCEPTED
    assert failures == 0
    assert len(stored) == 1


def test_while_the_store_is_away_new_jobs_are_refused_at_once_and_never_run():
    async def story(day):
        owner = day.fleet.owner_of("desk")
        day.fleet.faults.outage = True
        _, first = await day.submit("desk", two_step_spec(), at=owner, job_id=JOB_ID)
        begun = day.clock.now()
        refused, second = await day.submit("desk", two_step_spec(), at=owner)
        taken = day.clock.now() - begun
        day.fleet.faults.outage = False
        await anyio.sleep(6.0)
        _, third = await day.submit("desk", two_step_spec())
        await anyio.sleep(3.0)
        ran = {run.order.task.job_id for run in day.fleet.runs}
        return first, second, taken, third.outcome, refused in ran

    first, second, taken, third, ran = run_scenario(story)
    assert first.outcome is Outcome.UNKNOWN
    assert (second.outcome, second.reason) == (Outcome.REFUSED, "store-away")
    assert second.retry_seconds > 0
    assert taken < 0.1
    assert third is Outcome.ACCEPTED
    assert not ran


def test_a_job_that_may_be_stored_is_not_refused_though_the_store_refuses_it_now():
    async def story(day):
        owner = day.fleet.owner_of("desk")
        writer = day.fleet.daemons[owner].node.owned["desk"].writer
        kept, answers = writer.commit, [StoreUnavailable("no answer"), StoreRefused("busy")]

        async def commit(compares, writes):
            if answers:
                raise answers.pop(0)
            return await kept(compares, writes)

        writer.commit = commit
        told = []
        for _ in range(2):
            _, result = await day.submit("desk", two_step_spec(), at=owner, job_id=JOB_ID)
            told.append(result.outcome)
        return told

    assert run_scenario(story) == [Outcome.UNKNOWN, Outcome.ACCEPTED]


def test_a_job_for_a_pool_whose_workers_are_all_away_may_come_back_soon():
    async def story(day):
        owner = day.fleet.owner_of("desk")
        for worker in day.fleet.daemons[owner].node.owned["desk"].book.workers.values():
            worker.present = False
        _, result = await day.submit("desk", two_step_spec(), at=owner)
        return result

    result = run_scenario(story)
    assert (result.outcome, result.reason) == (Outcome.REFUSED, "no-workers")
    assert result.retry_seconds == 1


@pytest.mark.parametrize("carried_out", [True, False])
def test_a_job_in_doubt_that_nobody_asks_for_again_is_settled(carried_out):
    async def story(day):
        owner = day.fleet.owner_of("desk")
        node = day.fleet.daemons[owner].node
        intake, writer = node.owned["desk"].intake, node.owned["desk"].writer
        kept, lost = writer.commit, [True, True]

        async def commit(compares, writes):
            if not lost:
                return await kept(compares, writes)
            if carried_out and len(lost) == 1:
                await kept(compares, writes)
            lost.pop()
            raise StoreUnavailable("no answer")

        writer.commit = commit
        _, first = await day.submit("desk", two_step_spec(), at=owner, job_id=JOB_ID)
        held = len(intake.open)
        await anyio.sleep(MAX_WRITE_DELAY_SECONDS + 4.0)
        left, queue = len(intake.open), day.fleet.config.queues["desk"]
        state = await node.service.find(queue, JOB_ID, 3.0)
        _, again = await day.submit("desk", two_step_spec(), at=owner, job_id=JOB_ID)
        await anyio.sleep(3.0)
        return first.outcome, held, left, state, again.outcome, len(day.fleet.runs)

    first, held, left, state, again, runs = run_scenario(story)
    assert (first, held) == (Outcome.UNKNOWN, 1)
    assert left == 0
    assert state is (JobState.COMPLETED if carried_out else None)
    assert (again, runs) == (Outcome.ACCEPTED, 3)


@pytest.mark.parametrize("after", [0.0, 0.3, 0.6, 0.9])
def test_a_job_handed_in_while_its_owner_is_lost_reaches_the_next_one(after):
    async def story(day):
        owner = day.fleet.owner_of("desk")
        other = next(name for name in DAEMON_NAMES if name != owner)
        day.fleet.kill(owner)
        await anyio.sleep(after)
        _, result = await day.submit("desk", two_step_spec(), at=other, job_id=JOB_ID)
        await anyio.sleep(4.0)
        return result.outcome, await day.states(), len(entries(day))

    outcome, states, stored = run_scenario(story)
    assert outcome is Outcome.ACCEPTED
    assert list(states.values()) == [JobState.COMPLETED]
    assert stored == 1
