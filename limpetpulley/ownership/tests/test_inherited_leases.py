"""Leases that calls gave an incarnation of a worker for which they were not meant."""

import random

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import JobSpec, JobState, Step
from ...standin.run_monitor import RunMonitor
from ...standin.workers import OrderFaults
from ..worker_client import MAX_LEASE_SECONDS
from .test_daemons import TASK, run_scenario

#: time by which the clock of a worker's first incarnation is ahead of that of its next one; longer
#: than the longest lease, in seconds
FIRST_LIFE_SECONDS = 15.0
#: run time of a task that outlasts every lease, in seconds
RUN_SECONDS = 20.0
#: longest lease that a worker grants, in seconds
LONGEST_HOLD_SECONDS = 10.0
#: tolerance for the worker's slowest clock and for one planning round, in seconds
TOLERANCE_SECONDS = 0.4
#: time from a start until its worker is cut off, in seconds
CUT_AFTER_SECONDS = 0.1


async def wait_until(condition):
    while not condition():
        await anyio.sleep(0.002)


def observe(fleet):
    """Return a monitor of all runs of a fleet."""
    monitor = RunMonitor(fleet.clock, lambda task: True, lambda task: False)
    fleet.workers.observer = monitor
    for worker in fleet.workers.workers.values():
        worker.observer = monitor
    return monitor


async def kill(fleet, name):
    fleet.kill(name)


async def leave(fleet, name):
    await fleet.leave(name)


@pytest.mark.parametrize("end_owner", [kill, leave])
def test_the_lease_of_a_start_for_an_earlier_incarnation_counts_after_a_handover(end_owner):
    """That start's run is stopped; the worker is idle for the next owner, and lost soon after."""

    async def scenario(deployment):
        fleet = deployment.fleet
        faults = fleet.workers.faults = OrderFaults(fleet.tasks, random.Random(1))
        monitor, start, sent = observe(fleet), fleet.workers.start, []
        await anyio.sleep(FIRST_LIFE_SECONDS)
        [(name, worker)] = [
            item for item in fleet.workers.workers.items() if item[0].startswith("desk")
        ]

        async def restart_first(listed, order, token, until):
            if not sent:
                worker.restart()
            sent.append(token)
            return await start(listed, order, token, until)

        fleet.workers.start = restart_first
        spec = JobSpec(str(RUN_SECONDS), (Step(1, TASK, RUN_SECONDS),))
        job_id, _ = await deployment.submit("desk", spec)
        await wait_until(lambda: worker.highest_ended)
        await end_owner(fleet, fleet.owner_of("desk"))
        await wait_until(lambda: worker.runs)
        await anyio.sleep(CUT_AFTER_SECONDS)
        faults.unreachable.add(name)
        fleet.vms.add("desk-1", "desk", "r1")
        await anyio.sleep(RUN_SECONDS + FIRST_LIFE_SECONDS)
        findings = [str(finding) for finding in monitor.findings]
        return findings, await deployment.state(job_id)

    result = run_scenario(scenario, vms=1, moves=False)
    assert_that(result, Equals(([], JobState.COMPLETED)))


@pytest.mark.parametrize("cut_after_seconds", [0.002, 0.1, 1.0])
def test_the_lease_of_a_start_that_an_unseen_incarnation_answers_counts(cut_after_seconds):
    """The worker is cut off before a hold or an entry tells of its next incarnation."""

    async def scenario(deployment):
        fleet = deployment.fleet
        faults = fleet.workers.faults = OrderFaults(fleet.tasks, random.Random(1))
        monitor, start, answered = observe(fleet), fleet.workers.start, []
        await anyio.sleep(FIRST_LIFE_SECONDS)
        [(name, worker)] = [
            item for item in fleet.workers.workers.items() if item[0].startswith("desk")
        ]

        async def restart_first(listed, order, token, until):
            if not answered:
                worker.restart()
            reply = await start(listed, order, token, until)
            answered.append(reply)
            return reply

        fleet.workers.start = restart_first
        spec = JobSpec(str(RUN_SECONDS), (Step(1, TASK, RUN_SECONDS),))
        job_id, _ = await deployment.submit("desk", spec)
        await wait_until(lambda: answered)
        await anyio.sleep(cut_after_seconds)
        faults.unreachable.add(name)
        fleet.vms.add("desk-1", "desk", "r1")
        await anyio.sleep(RUN_SECONDS + FIRST_LIFE_SECONDS)
        findings = [str(finding) for finding in monitor.findings]
        return findings, await deployment.state(job_id)

    result = run_scenario(scenario, vms=1, moves=False)
    assert_that(result, Equals(([], JobState.COMPLETED)))


@pytest.mark.parametrize(
    ("restarts", "max_seconds"), [(False, MAX_LEASE_SECONDS * 1.03), (True, LONGEST_HOLD_SECONDS)]
)
def test_a_task_waits_for_a_lost_worker_no_longer_than_for_leases_that_may_have_been_given(
    restarts, max_seconds
):
    """The worker is lost right after a handover; its incarnation is settled unless it is new."""

    async def scenario(deployment):
        fleet = deployment.fleet
        faults = fleet.workers.faults = OrderFaults(fleet.tasks, random.Random(1))
        await anyio.sleep(FIRST_LIFE_SECONDS)
        [(name, worker)] = [
            item for item in fleet.workers.workers.items() if item[0].startswith("desk")
        ]
        if restarts:
            worker.restart()
            await anyio.sleep(1.0)
        fleet.kill(fleet.owner_of("desk"))
        await wait_until(lambda: fleet.owner_of("desk"))
        spec = JobSpec(str(RUN_SECONDS), (Step(1, TASK, RUN_SECONDS),))
        await deployment.submit("desk", spec)
        await wait_until(lambda: worker.runs)
        faults.unreachable.add(name)
        lost_at = fleet.clock.now()
        fleet.vms.add("desk-1", "desk", "r1")
        await wait_until(lambda: len(fleet.runs) == 2)
        return fleet.clock.now() - lost_at

    seconds = run_scenario(scenario, vms=1, moves=False)
    assert seconds <= max_seconds + TOLERANCE_SECONDS
