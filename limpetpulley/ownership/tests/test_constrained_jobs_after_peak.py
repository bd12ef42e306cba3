"""After a peak, jobs that need more of workers than processors start, on virtual time."""

import anyio
import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import JobSpec, JobState, Step
from .test_daemons import TASK, make_config, run_scenario

VMS = 8
LABEL = "kind-b"
LABELLED_VMS = ("desk-0", "desk-1")
#: length of the peak, interval between its jobs, and time after it, in seconds
PEAK_SECONDS, PEAK_INTERVAL_SECONDS, CALM_SECONDS = 5.0, 0.1, 8.0
#: longest time from a job's first submission to its end, in seconds
FINISH_SECONDS = 6.0

PEAK_SPEC = JobSpec("1.0", (Step(2, TASK, 1.0),))
CONSTRAINED_STEPS = [
    pytest.param(Step(1, TASK, 0.5, label=LABEL), id="label"),
    pytest.param(Step(4, TASK, 0.5, gang=True, max_per_worker=1), id="gang"),
]


def make_pools(standby):
    config = make_config()
    if standby:
        return config
    pools = {name: pool for name, pool in config.pools.items() if not pool.standby}
    return attrs.evolve(config, pools=pools)


async def play_peak(deployment):
    """Submit more than usual for some seconds, in a pool with VMs of two kinds."""
    for name in LABELLED_VMS:
        deployment.fleet.vms.set_labels(name, frozenset({LABEL}))
    for _ in range(round(PEAK_SECONDS / PEAK_INTERVAL_SECONDS)):
        await deployment.submit("desk", PEAK_SPEC)
        await anyio.sleep(PEAK_INTERVAL_SECONDS)


async def state_in_time(deployment, spec):
    """Return a job's state after the time in which it must end."""
    job_id, _ = await deployment.submit("desk", spec)
    await anyio.sleep(FINISH_SECONDS)
    return await deployment.state(job_id)


# Guards against LOST where workers are cordoned for moves that no pool receives.
@pytest.mark.parametrize("step", CONSTRAINED_STEPS)
def test_constrained_job_starts_after_a_peak_without_a_standby_pool(step):
    async def scenario(deployment):
        await play_peak(deployment)
        await anyio.sleep(CALM_SECONDS)
        return await state_in_time(deployment, JobSpec("0.5", (step,)))

    state = run_scenario(scenario, make_pools(standby=False), vms=VMS)
    assert_that(state, Equals(JobState.COMPLETED))
