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
