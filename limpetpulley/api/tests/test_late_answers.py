"""An answer that is ready reaches the caller, also after the time that the caller gave.

The connection stays open in all rows. What the module has not given up on is answered when its
outcome is known.
"""

import anyio
import pytest

from .batch_callers import job_document, run_callers

JOB_ID = "00000000000000ab"
OTHER_JOB_ID = "00000000000000cd"
LATENCY_TARGET_SECONDS = 10.0
#: added to each call of the store, in seconds
STORE_DELAY_SECONDS = 0.4
#: one-way delay between hosts, in seconds
NETWORK_DELAY_SECONDS = 0.1


async def slow_store(callers):
    callers.fleet.faults.slow_seconds = STORE_DELAY_SECONDS


async def slow_network(callers):
    callers.fleet.network.delay_seconds = NETWORK_DELAY_SECONDS


async def submit(callers, at, time_left):
    return await callers.submit(at, OTHER_JOB_ID, job_document(), time_left)


async def submit_again(callers, at, time_left):
    return await callers.submit(at, JOB_ID, job_document(), time_left)


async def query(callers, at, time_left):
    return await callers.ask(at, "GET", JOB_ID, time_left=time_left)


async def count(callers, at, time_left):
    return await callers.ask(at, "GET", "", time_left=time_left)


async def cancel(callers, at, time_left):
    return await callers.ask(at, "DELETE", JOB_ID, time_left=time_left)


REQUESTS = [
    (submit, 202, {"job": OTHER_JOB_ID, "state": "queued"}),
    (submit_again, 202, {"job": JOB_ID, "state": "queued"}),
    (query, 200, {"state": "running"}),
    (count, 200, {"pending": 0}),
    (cancel, 200, {"state": "cancelled"}),
]


@pytest.mark.parametrize("time_left", [0.0, 0.06, 0.2])
@pytest.mark.parametrize("place", ["owner", "other"])
@pytest.mark.parametrize("delay", [slow_store, slow_network])
@pytest.mark.parametrize(("request_", "status", "document"), REQUESTS)
def test_answer_that_is_ready_late_reaches_the_caller(
    request_, status, document, delay, place, time_left
):
    async def scenario(callers):
        long_job = job_document(seconds=30.0)
        accepted = await callers.submit(callers.owner_name, JOB_ID, long_job)
        assert accepted.status == 202
        await anyio.sleep(1.0)
        await delay(callers)
        answer = await request_(callers, callers.daemon(place), time_left)
        callers.fleet.faults.slow_seconds = 0.0
        callers.fleet.network.delay_seconds = 0.0014
        return answer

    answer = run_callers(scenario, latency_target_seconds=LATENCY_TARGET_SECONDS)
    assert (answer.status, answer.document) == (status, document)


async def lose_owner(callers, owner_name):
    callers.fleet.kill(owner_name)


async def depose_owner(callers, owner_name):
    callers.fleet.daemons[owner_name].node.session.abandon("test")


async def leave_owner(callers, owner_name):
    await callers.fleet.daemons[owner_name].node.leave()


@pytest.mark.parametrize(
    ("end_owner", "place"),
    [
        (lose_owner, "other"),
        (depose_owner, "other"),
        (depose_owner, "owner"),
        (leave_owner, "other"),
        (leave_owner, "owner"),
    ],
)
@pytest.mark.parametrize(
    ("request_", "status"), [(submit, 202), (submit_again, 202), (query, 200), (cancel, 200)]
)
def test_answer_comes_from_the_next_owner_if_the_first_one_is_lost(
    request_, status, end_owner, place
):
    async def scenario(callers):
        await callers.submit(callers.owner_name, JOB_ID, job_document(seconds=30.0))
        await anyio.sleep(1.0)
        owner_name, at, answers = callers.owner_name, callers.daemon(place), []

        async def ask():
            answers.append(await request_(callers, at, 3.0))

        callers.fleet.faults.slow_seconds = 0.3
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await anyio.sleep(0.1)
            callers.fleet.faults.slow_seconds = 0.0
            await end_owner(callers, owner_name)
        return answers[0]

    answer = run_callers(scenario, latency_target_seconds=LATENCY_TARGET_SECONDS)
    assert answer.status == status
    assert answer.seconds < 3.0
