"""Pools that share a team's upper limit take turns: no task that fits the limit waits for good."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, JobSpec, JobState, Step
from .. import Outcome
from .test_daemons import POOLS, TASK, make_config, run_scenario

LIMIT = Amount(10_000, 0, 0)
#: time in calm after which a task whose limit is free must run, in seconds
TURN_SECONDS = 3.0


def started(deployment, job_id):
    return sum(run.order.task.job_id == job_id for run in deployment.fleet.runs)


# Guards against LOST: an owner that does not read again that the part its gang needs was returned.
def test_gang_starts_after_its_limit_is_free_again():
    async def scenario(deployment):
        await deployment.submit("tour", JobSpec("4.0", (Step(8, TASK, 4.0),)))
        await anyio.sleep(0.5)
        step = Step(4, TASK, lasting=True, gang=True)
        gang_id, result = await deployment.submit("desk", JobSpec("lasts", (step,)))
        await anyio.sleep(2.5)
        before = started(deployment, gang_id)
        await anyio.sleep(1.0 + TURN_SECONDS)
        return result.outcome, before, started(deployment, gang_id)

    played = run_scenario(scenario, make_config(LIMIT), moves=False)
    assert_that(played, Equals((Outcome.ACCEPTED, 0, 4)))


# Guards against LOST of review/9: pools that each hold a part of a limit and wait for the rest.
@pytest.mark.parametrize(
    "large",
    [
        JobSpec("1.0", (Step(1, Amount(3500, 1000), 1.0),)),
        JobSpec("1.0", (Step(3, Amount(1200, 1000), 1.0, gang=True),)),
    ],
    ids=["task", "gang"],
)
@pytest.mark.parametrize("rounds", [1, 3])
def test_jobs_of_two_pools_that_fit_the_limit_only_alone_run_one_after_the_other(large, rounds):
    async def scenario(deployment):
        usual = JobSpec("2.0", (Step(2, TASK, 2.0),))
        for pool in POOLS:
            await deployment.submit(pool, usual)
        await anyio.sleep(0.5)
        outcomes = [
            (await deployment.submit(pool, large))[1].outcome
            for _ in range(rounds)
            for pool in POOLS
        ]
        await anyio.sleep(2.0 + outcomes.count(Outcome.ACCEPTED) * (1.0 + 0.5) + TURN_SECONDS)
        return outcomes[:2], set((await deployment.states()).values())

    outcomes, states = run_scenario(scenario, make_config(Amount(5000, 0, 0)), moves=False)
    assert_that(outcomes, Equals([Outcome.ACCEPTED] * 2))
    assert_that(states, Equals({JobState.COMPLETED}))


@pytest.mark.parametrize(
    ("elsewhere", "beside", "needed"),
    [(0, 0, 3700), (100, 0, 3700), (0, 1800, 1900), (100, 1800, 1900)],
)
def test_task_starts_in_the_part_of_its_limit_that_another_pool_does_not_use(
    elsewhere, beside, needed
):
    """A share that is little larger than the use of an idle pool was kept for good."""

    async def scenario(deployment):
        await deployment.submit("desk", JobSpec("0.5", (Step(4, Amount(100, 100), 0.5),)))
        if elsewhere:
            lasting = Step(1, Amount(elsewhere, 100), lasting=True)
            await deployment.submit("desk", JobSpec("lasts", (lasting,)))
        if beside:
            await deployment.submit("tour", JobSpec("30", (Step(1, Amount(beside, 100), 30.0),)))
        await anyio.sleep(3.0)
        step = Step(1, Amount(needed, 1000), lasting=True)
        job_id, result = await deployment.submit("tour", JobSpec("lasts", (step,)))
        await anyio.sleep(TURN_SECONDS)
        return result.outcome, started(deployment, job_id)

    played = run_scenario(scenario, make_config(Amount(4000, 0, 0)), moves=False)
    assert_that(played, Equals((Outcome.ACCEPTED, 1)))
