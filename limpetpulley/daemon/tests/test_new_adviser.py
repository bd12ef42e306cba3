"""Tests that a group's new adviser learns at once which permits the members hold."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...config import Pool, Queue, Team, Vm
from ...standin.cluster import Cluster
from ...standin.virtual import run_virtual

RUN_SECONDS = 0.1
#: bound of the scenario `no_stranded_permits`
ANSWER_SECONDS = 0.16


async def start_cluster(tasks, seed):
    """Return a cluster whose three daemons have just joined, so that one holds all permits."""
    cluster = Cluster(tasks, seed)
    for number in (1, 2, 3):
        cluster.start(f"d{number}", f"dc{number}")
    address = cluster.add_endpoint("vm-1")
    objects = [
        Team("desk", limit=4),
        Cluster.key("desk"),
        Pool("main"),
        Queue("jobs", "main", run_seconds=RUN_SECONDS, max_seconds=10.0),
        Vm("vm-1", "main", address, "r", "dc1", 4),
    ]
    await cluster.apply(objects)
    await cluster.settle()
    return cluster


async def submit_to_each(seed, silent_seconds):
    """Submit one job to each daemon and return the longest time until an answer, in seconds.

    :param silent_seconds: time between the last daemon's joining and the jobs
    """
    outcomes = []
    async with anyio.create_task_group() as tasks:
        cluster = await start_cluster(tasks, seed)
        await anyio.sleep(silent_seconds)

        async def submit(name):
            outcomes.append(
                await cluster.submit(name, "jobs", "desk", run_seconds=str(RUN_SECONDS))
            )

        async with anyio.create_task_group() as jobs:
            for name in cluster.nodes:
                jobs.start_soon(submit, name)
        tasks.cancel_scope.cancel()
    assert_that([outcome.status for outcome in outcomes], Equals([200] * 3))
    return max(outcome.seconds for outcome in outcomes)


@pytest.mark.parametrize("silent_seconds", [0.05, 0.3])
@pytest.mark.parametrize("seed", range(1, 6))
def test_job_starts_on_permits_of_another_member_soon_after_a_view_opens(seed, silent_seconds):
    seconds = run_virtual(submit_to_each, seed, silent_seconds)
    assert seconds <= ANSWER_SECONDS, f"{seconds:.3f} s"
