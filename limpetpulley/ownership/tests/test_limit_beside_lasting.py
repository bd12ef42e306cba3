"""Jobs with a task that its team's limit has no room for beside tasks that last."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, JobSpec, Step
from .. import Outcome
from ..admission import LIMIT_IN_LASTING_USE
from .test_daemons import make_config, run_scenario
from .test_team_limit_turns import started

LASTING = JobSpec("lasts", (Step(1, Amount(1000, 100), lasting=True),))
LARGE = {
    "task": JobSpec("1.0", (Step(1, Amount(3700, 1000), 1.0),)),
    "gang": JobSpec("1.0", (Step(2, Amount(1850, 1000), 1.0, gang=True),)),
    "lasting": JobSpec("lasts", (Step(1, Amount(3700, 1000), lasting=True),)),
    "later-step": JobSpec(
        "0.5", (Step(1, Amount(100, 100), 0.5), Step(1, Amount(3700, 100), 0.5, after=(0,)))
    ),
}
#: what runs when a job is submitted, so that its large task waits
BUSY = JobSpec("1.0", (Step(1, Amount(2000, 100), 1.0),))
#: time in which a job that was accepted must have started, in seconds
START_SECONDS = 20.0


def play(scenario):
    return run_scenario(scenario, make_config(Amount(4000, 0, 0)), moves=False)


async def cancel(deployment, job_id):
    node = next(iter(deployment.fleet.daemons.values())).node
    await node.service.cancel(deployment.accepted[job_id], job_id, 3.0)


# Guards against LOST: an accepted job whose task can never start.
@pytest.mark.parametrize("kind", LARGE)
def test_job_is_refused_whose_task_does_not_fit_the_limit_beside_lasting_tasks(kind):
    async def scenario(deployment):
        lasting_id, _ = await deployment.submit("desk", LASTING)
        await anyio.sleep(2.0)
        _, before = await deployment.submit("desk", LARGE[kind])
        await cancel(deployment, lasting_id)
        await anyio.sleep(2.0)
        job_id, after = await deployment.submit("desk", LARGE[kind])
        await anyio.sleep(3.0)
        return (
            before.reason,
            before.retry_seconds > 0,
            after.outcome,
            bool(started(deployment, job_id)),
        )

    expected = (LIMIT_IN_LASTING_USE, True, Outcome.ACCEPTED, True)
    assert_that(play(scenario), Equals(expected))


def test_job_is_accepted_whose_task_fits_the_limit_beside_lasting_tasks():
    async def scenario(deployment):
        await deployment.submit("desk", LASTING)
        await anyio.sleep(2.0)
        job_id, result = await deployment.submit(
            "desk", JobSpec("1.0", (Step(2, Amount(3000, 100), 1.0),))
        )
        await anyio.sleep(4.0)
        return result.outcome, started(deployment, job_id)

    assert_that(play(scenario), Equals((Outcome.ACCEPTED, 2)))


# Guards against LOST: an accepted job whose task can never start, since lasting ones took its room.
@pytest.mark.parametrize(
    ("pool", "is_lasting_first"), [("tour", True), ("desk", False), ("tour", False)]
)
def test_accepted_task_starts_beside_lasting_ones_that_its_owner_may_not_know(
    pool, is_lasting_first
):
    async def scenario(deployment):
        if is_lasting_first:
            results = [await deployment.submit("desk", LASTING)]
            await anyio.sleep(2.0)
            results.append(await deployment.submit(pool, LARGE["task"]))
        else:
            await deployment.submit("desk", BUSY)
            await anyio.sleep(0.1)
            results = [await deployment.submit(pool, LARGE["task"])]
            results.append(await deployment.submit("desk", LASTING))
        await anyio.sleep(START_SECONDS)
        return [
            job_id
            for job_id, result in results
            if result.outcome is Outcome.ACCEPTED and not started(deployment, job_id)
        ]

    assert_that(play(scenario), Equals([]))
