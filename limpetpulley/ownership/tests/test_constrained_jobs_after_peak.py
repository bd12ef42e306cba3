"""After a peak, jobs that need more of workers than processors start, on virtual time."""

import anyio
import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import JobSpec, JobState, Step
from ...fleet.vms import WaveOrder
from .. import Outcome
from .test_daemons import TASK, make_config, run_scenario

VMS = 8
LABEL = "kind-b"
LABELLED_VMS = ("desk-0", "desk-1")
#: length of the peak, interval between its jobs, and time after it, in seconds
PEAK_SECONDS, PEAK_INTERVAL_SECONDS, CALM_SECONDS = 5.0, 0.1, 8.0
#: longest time from a job's first submission to its end, in seconds
FINISH_SECONDS = 6.0
#: longest time until a caller that retries when told to is accepted, in seconds
MAX_WAIT_SECONDS = 6.5
#: time for a wave, and interval between two jobs beside it, in seconds
WAVE_SECONDS, WAVE_JOB_INTERVAL_SECONDS = 40.0, 0.5

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


# Guards against LOST where the workers that a later step needs leave the pool while it waits.
@pytest.mark.parametrize("moves", [True, False], ids=["moves", "moves-refused"])
@pytest.mark.parametrize("standby", [True, False], ids=["standby", "no-standby"])
@pytest.mark.parametrize("step", CONSTRAINED_STEPS)
def test_constrained_step_starts_after_a_peak_that_its_job_has_outlasted(step, standby, moves):
    async def scenario(deployment):
        await play_peak(deployment)
        spec = JobSpec("10.0", (Step(1, TASK, 10.0), attrs.evolve(step, after=(0,))))
        job_id, _ = await deployment.submit("desk", spec)
        await anyio.sleep(20.0 + FINISH_SECONDS)
        return await deployment.state(job_id)

    state = run_scenario(scenario, make_pools(standby), vms=VMS, moves=moves)
    assert_that(state, Equals(JobState.COMPLETED))


async def submit_until_accepted(deployment, spec):
    """Submit a job as a caller does that retries; return its id, None if it is never accepted."""
    for _ in range(4):
        job_id, result = await deployment.submit("desk", spec)
        if result.outcome is Outcome.ACCEPTED:
            return job_id
        await anyio.sleep(result.retry_seconds)
    return None


# Guards against jobs that are refused for good once the VMs that they need have left.
@pytest.mark.parametrize("calm_seconds", [3.5, 5.0, CALM_SECONDS, 3 * CALM_SECONDS])
@pytest.mark.parametrize("step", CONSTRAINED_STEPS)
def test_job_is_accepted_soon_in_a_pool_that_has_shrunk(step, calm_seconds):
    async def scenario(deployment):
        await play_peak(deployment)
        await anyio.sleep(calm_seconds)
        vms = sum(vm.pool == "desk" for vm in deployment.fleet.vms.vms.values())
        submitted_at = deployment.clock.now()
        job_id = await submit_until_accepted(deployment, JobSpec("0.5", (step,)))
        accepted_after = deployment.clock.now() - submitted_at
        await anyio.sleep(CALM_SECONDS)
        state = job_id and await deployment.state(job_id)
        vms_after = sum(vm.pool == "desk" for vm in deployment.fleet.vms.vms.values())
        return vms, accepted_after, state, vms_after

    vms, accepted_after, state, vms_after = run_scenario(scenario, make_pools(True), vms=VMS)
    assert vms < 4
    assert accepted_after < MAX_WAIT_SECONDS
    assert_that((state, vms_after), Equals((JobState.COMPLETED, 2)))


# Guards against LOST where idle workers stay cordoned for moves that the platform refuses.
@pytest.mark.parametrize("step", CONSTRAINED_STEPS)
def test_cordoned_workers_serve_an_accepted_job_that_needs_them(step):
    async def scenario(deployment):
        await play_peak(deployment)
        await anyio.sleep(CALM_SECONDS)
        pool_state = (
            deployment.fleet.daemons[deployment.fleet.owner_of("desk")]
            .node.owned["desk"]
            .pool_state
        )
        cordoned = {each.listed.vm for each in pool_state.workers.values() if each.cordoned}
        job_id = await submit_until_accepted(deployment, JobSpec("0.5", (step,)))
        await anyio.sleep(FINISH_SECONDS)
        return cordoned, await deployment.state(job_id)

    cordoned, state = run_scenario(scenario, make_pools(True), vms=VMS, moves=False)
    assert_that((len(cordoned), state), Equals((6, JobState.COMPLETED)))


# Guards against LOST where a job is accepted for workers whose VMs are about to leave.
@pytest.mark.parametrize("submitted_after", [3.0, 3.1, 3.2, 3.25, 3.3, 3.35, 3.4, 3.5])
@pytest.mark.parametrize("step", CONSTRAINED_STEPS)
def test_job_that_is_accepted_while_the_pool_shrinks_is_completed(step, submitted_after):
    async def scenario(deployment):
        await play_peak(deployment)
        await anyio.sleep(submitted_after)
        await deployment.submit("desk", JobSpec("0.5", (step,)))
        await anyio.sleep(FINISH_SECONDS)
        return set((await deployment.states()).values())

    states = run_scenario(scenario, make_pools(True), vms=VMS)
    assert_that(states, Equals({JobState.COMPLETED}))


# Guards against a wave that is late, or jobs that are lost, where jobs need all workers of a pool.
@pytest.mark.parametrize("at_once", [1, 2, 4])
@pytest.mark.parametrize("step", CONSTRAINED_STEPS)
def test_wave_is_completed_beside_jobs_that_need_the_workers(step, at_once):
    async def scenario(deployment):
        for name in LABELLED_VMS:
            deployment.fleet.vms.set_labels(name, frozenset({LABEL}))
        vms = tuple(deployment.fleet.vms.vms)
        deployment.fleet.order_wave(WaveOrder("7", vms, WAVE_SECONDS, at_once))
        for _ in range(round(WAVE_SECONDS / WAVE_JOB_INTERVAL_SECONDS)):
            await deployment.submit("desk", JobSpec("0.5", (step,)))
            await anyio.sleep(WAVE_JOB_INTERVAL_SECONDS)
        maintained = deployment.fleet.vms.maintained_vms["7"]
        await anyio.sleep(FINISH_SECONDS)
        return len(vms) - len(maintained), set((await deployment.states()).values())

    result = run_scenario(scenario, make_pools(True))
    assert_that(result, Equals((0, {JobState.COMPLETED})))


def test_pool_shrinks_after_a_peak_of_plain_jobs():
    async def scenario(deployment):
        await play_peak(deployment)
        await anyio.sleep(CALM_SECONDS)
        vms = deployment.fleet.vms.vms.values()
        return sum(vm.pool == "desk" for vm in vms)

    assert_that(run_scenario(scenario, make_pools(True), vms=VMS), Equals(2))
