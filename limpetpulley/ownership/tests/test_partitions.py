"""Owners that are cut off, together with some workers, from the store and the other daemons."""

import random

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import JobSpec, JobState, Step
from ...standin.workers import OrderFaults
from ...telemetry import EventLog
from .test_daemons import TASK, run_scenario

CUT_SECONDS = 13.0


@pytest.mark.parametrize("run_seconds", [2.0, 4.0, 6.0, 9.0])
@pytest.mark.parametrize("cut_after_seconds", [0.2, 1.0])
def test_an_owner_that_is_cut_off_does_not_restart_what_its_successor_keeps_alive(
    run_seconds, cut_after_seconds
):
    """The task has ended on the other side of the cut, or is still running there."""

    async def scenario(deployment):
        fleet = deployment.fleet
        faults = fleet.workers.faults = OrderFaults(fleet.tasks, random.Random(1))
        spec = JobSpec(str(run_seconds), (Step(1, TASK, run_seconds),))
        job_id, _ = await deployment.submit("desk", spec)
        await anyio.sleep(cut_after_seconds)
        beside_owner = fleet.workers.workers.keys() - {run.worker_id for run in fleet.runs}
        owner = fleet.owner_of("desk")
        restore = fleet.partition([owner], beside_owner, faults)
        await anyio.sleep(CUT_SECONDS)
        restore()
        await anyio.sleep(3.0)
        return len(fleet.runs), await deployment.state(job_id)

    result = run_scenario(scenario, moves=False)
    assert_that(result, Equals((1, JobState.COMPLETED)))


@pytest.mark.parametrize("crash_after_seconds", [1.0, 1.06, 1.12, 1.18, 1.24])
def test_a_task_of_a_crashed_vm_waits_no_longer_than_a_renewal_takes(
    crash_after_seconds, monkeypatch
):
    """The owner asks for the renewal, and plans at once when it is answered."""
    times = {"run-dropped": [], "run-ordered": []}

    async def scenario(deployment):
        clock = deployment.fleet.clock
        monkeypatch.setattr(
            EventLog,
            "write",
            lambda log, event, **fields: times.get(event, []).append(clock.now()),
        )
        await deployment.submit("desk", JobSpec("4.0", (Step(1, TASK, 4.0),)))
        await anyio.sleep(crash_after_seconds)
        deployment.fleet.vms.crash(deployment.fleet.runs[0].worker_id, 5.0)
        await anyio.sleep(3.0)

    run_scenario(scenario, moves=False)
    assert_that((len(times["run-dropped"]), len(times["run-ordered"])), Equals((1, 2)))
    assert times["run-ordered"][1] - times["run-dropped"][0] < 0.1
