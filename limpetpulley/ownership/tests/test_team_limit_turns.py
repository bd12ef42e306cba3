"""Pools that share a team's upper limit take turns: no task that fits the limit waits for good."""

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, JobSpec, Step
from .. import Outcome
from .test_daemons import TASK, make_config, run_scenario

LIMIT = Amount(10_000, 0, 0)
#: time in calm after which a task whose limit is free must run, in seconds
TURN_SECONDS = 3.0


def started(deployment, job_id):
    return sum(run.order.task.job_id == job_id for run in deployment.fleet.runs)


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
