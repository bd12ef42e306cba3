"""A team stays within its limit when a pool changes hands beside a worker that is cut off."""

import random

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, JobSpec, JobState, Step
from ...standin.workers import OrderFaults
from .. import Outcome
from .test_daemons import TASK, make_config, run_scenario

LIMIT_MILLICORES = 5000
#: run time of a task, in seconds; longer than a lease
RUN_SECONDS = 8.0
#: time for which the worker stays cut off, in seconds; its leases have lapsed then
CUT_SECONDS = 9.0


@pytest.mark.parametrize("graceful", [True, False])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_new_job_stays_within_the_limit_beside_runs_on_a_worker_that_is_cut_off(graceful, seed):
    async def scenario(deployment):
        fleet = deployment.fleet
        workers = fleet.workers.workers
        fleet.workers.faults = OrderFaults(deployment.fleet.tasks, random.Random(seed))
        wide_spec = JobSpec(str(RUN_SECONDS), (Step(4, TASK, RUN_SECONDS),))
        await deployment.submit("desk", wide_spec)
        await anyio.sleep(0.5)
        busy = {name for name, worker in workers.items() if worker.runs}
        fleet.workers.faults.unreachable |= busy
        owner = fleet.owner_of("desk")
        if graceful:
            await fleet.leave(owner)
        else:
            fleet.kill(owner)
        await anyio.sleep(0.8)
        while fleet.owner_of("desk") is None:
            await anyio.sleep(0.05)
        _, result = await deployment.submit("desk", wide_spec)
        peak = 0
        for step in range(int((CUT_SECONDS + 3 * RUN_SECONDS) / 0.05)):
            if step * 0.05 >= CUT_SECONDS:
                fleet.workers.faults.unreachable.clear()
            for worker in workers.values():
                worker.advance()
            peak = max(peak, sum(worker.used().cpu_millicores for worker in workers.values()))
            await anyio.sleep(0.05)
        return len(busy), result.outcome, peak, set((await deployment.states()).values())

    config = make_config(Amount(LIMIT_MILLICORES, 0, 0))
    busy, outcome, peak, states = run_scenario(scenario, config, seed=seed)
    assert_that((busy, outcome), Equals((1, Outcome.ACCEPTED)))
    assert peak <= LIMIT_MILLICORES
    assert_that(states, Equals({JobState.COMPLETED}))


@pytest.mark.parametrize("is_cut", [False, True])
@pytest.mark.parametrize("cut_after_seconds", [0.02, 0.1, 0.3])
def test_new_job_stays_within_the_limit_beside_later_steps_that_a_cut_off_owner_starts(
    cut_after_seconds, is_cut
):
    """The successor has not seen the first step end, the owner that is cut off has."""
    limit_millicores, first = 4000, Amount(500, 500)

    async def scenario(deployment):
        fleet, workers = deployment.fleet, deployment.fleet.workers.workers
        faults = fleet.workers.faults = OrderFaults(fleet.tasks, random.Random(1))
        steps = (Step(1, first, 3.0), Step(3, TASK, 3.0, after=(0,)))
        first_id, _ = await deployment.submit("desk", JobSpec("3.0", steps))
        await anyio.sleep(0.3)
        busy = {run.worker_id for run in fleet.runs}
        owner = fleet.owner_of("desk")
        other_id, _ = await deployment.submit("desk", JobSpec("0.8", (Step(3, TASK, 0.8),)))
        while await deployment.state(other_id) is not JobState.COMPLETED:
            await anyio.sleep(0.02)
        await anyio.sleep(cut_after_seconds)
        if is_cut:
            fleet.partition([owner], busy, faults)
        await anyio.sleep(2.2)
        successor = next(name for name in fleet.daemons if name != owner)
        lasting = JobSpec("lasts", (Step(4, TASK, lasting=True),))
        await deployment.submit("desk", lasting, at=successor)
        peak = 0
        for _ in range(100):
            await anyio.sleep(0.05)
            used = Amount()
            for worker in filter(lambda worker: worker.alive, workers.values()):
                worker.advance()
                for run in worker.runs.values():
                    is_first = run.task.job_id == first_id and run.task.step == 0
                    used = used + (first if is_first else TASK)
            peak = max(peak, used.cpu_millicores)
        return peak

    peak = run_scenario(scenario, make_config(Amount(limit_millicores, 0)), moves=False)
    assert peak <= limit_millicores
