"""Lists of VMs that show a VM as down while its worker goes on, on virtual time."""

import random

import anyio
import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import JobSpec, JobState, Step
from ...fleet.vms import Phase
from ...standin.workers import OrderFaults
from .test_daemons import TASK, run_scenario

#: time after which the runs of a worker that is cut off have lapsed, in seconds
LAPSE_SECONDS = 4.6


def list_as_down(fleet, name):
    """Let lists show a VM as down; return a function that ends it."""
    list_vms = fleet.vms.list_vms

    async def list_with_vm_down():
        return [
            attrs.evolve(vm, phase=Phase.DOWN) if vm.name == name else vm for vm in await list_vms()
        ]

    fleet.vms.list_vms = list_with_vm_down

    def restore():
        fleet.vms.list_vms = list_vms

    return restore


@pytest.mark.parametrize("is_cut_off", [False, True])
@pytest.mark.parametrize("down_seconds", [1.0, 3.0, 7.0])
def test_a_task_of_a_worker_that_lives_is_not_started_elsewhere_because_its_vm_is_listed_as_down(
    down_seconds, is_cut_off
):
    """If the worker is cut off as well, its run ends with the lease, and not before."""

    async def scenario(deployment):
        fleet, workers = deployment.fleet, deployment.fleet.workers.workers
        faults = fleet.workers.faults = OrderFaults(fleet.tasks, random.Random(1))
        job_id, _ = await deployment.submit("desk", JobSpec("9.0", (Step(1, TASK, 9.0),)))
        await anyio.sleep(1.0)
        worker_id = fleet.runs[0].worker_id
        restore = list_as_down(fleet, workers[worker_id].listed.vm)
        if is_cut_off:
            faults.unreachable.add(worker_id)
        most = 0
        for _ in range(round(down_seconds / 0.02)):
            await anyio.sleep(0.02)
            for worker in workers.values():
                worker.advance()
            most = max(most, sum(len(worker.runs) for worker in workers.values()))
        restore()
        faults.unreachable.clear()
        await anyio.sleep(20.0 - down_seconds)
        return most, len(fleet.runs), await deployment.state(job_id)

    starts = 2 if is_cut_off and down_seconds > LAPSE_SECONDS else 1
    result = run_scenario(scenario, moves=False)
    assert_that(result, Equals((1, starts, JobState.COMPLETED)))


def test_a_task_of_a_worker_that_has_crashed_starts_elsewhere_at_once():
    """Its host closes the connections, which confirms what the list shows."""

    async def scenario(deployment):
        fleet = deployment.fleet
        await deployment.submit("desk", JobSpec("3.0", (Step(1, TASK, 3.0),)))
        await anyio.sleep(1.0)
        crashed_at = fleet.clock.now()
        fleet.vms.crash(fleet.runs[0].worker_id, 5.0)
        await anyio.sleep(4.0)
        return len(fleet.runs), fleet.runs[-1].at - crashed_at

    starts, seconds = run_scenario(scenario, moves=False)
    assert_that(starts, Equals(2))
    assert seconds < 1.5
