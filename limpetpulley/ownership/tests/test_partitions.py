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


@pytest.mark.parametrize("cut_seconds", [5.0, 5.1, 5.2, 5.3, 6.0, 7.0])
def test_an_owner_in_doubt_of_a_job_does_not_start_what_its_successor_has_stored(cut_seconds):
    """The record that settles its doubt may be the successor's, and tasks of the job may run."""
    spec, job_id = JobSpec("9.0", (Step(1, TASK, 9.0),)), "00000000000000d0"

    async def scenario(deployment):
        fleet = deployment.fleet
        faults = fleet.workers.faults = OrderFaults(fleet.tasks, random.Random(1))
        owner = fleet.owner_of("desk")
        names = sorted(name for name in fleet.workers.workers if name.startswith("desk"))
        restore = fleet.partition([owner], names[:2], faults)

        async def submit_at_owner():
            await deployment.submit("desk", spec, at=owner, job_id=job_id)

        fleet.tasks.start_soon(submit_at_owner)
        started_at = fleet.clock.now()
        await anyio.sleep(3.2)
        successor = next(name for name in fleet.daemons if name != owner)
        await deployment.submit("desk", spec, at=successor, job_id=job_id)
        await anyio.sleep(cut_seconds - (fleet.clock.now() - started_at))
        before = len(fleet.runs)
        # The watch tells of the successor's claim later than the read that settles the doubt.
        fleet.faults.silent_watch = True
        restore()
        await anyio.sleep(3.0)
        return before, len(fleet.runs)

    assert_that(run_scenario(scenario, moves=False), Equals((1, 1)))
