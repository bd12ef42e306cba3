"""Workers whose time of day was set back between two starts under their identifier."""

import random

import anyio
import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import JobSpec, JobState, Step
from ...exception import WorkerError
from ...standin.workers import MemoryWorker, OrderFaults
from .test_daemons import TASK, run_scenario
from .test_inherited_leases import observe

#: number of an incarnation that started while the time of day was ahead, and of the next one
AHEAD, SET_BACK = 5_000, 3_000
#: time by which the clock of one incarnation is ahead of that of the next one; longer than the
#: longest lease, in seconds
LIFE_SECONDS = 15.0
#: time between two updates of the entries, and until the current incarnation's entry is among them,
#: in seconds
UPDATE_SECONDS = 0.1
ENTRY_SECONDS = 1.0
#: the same where the owner is lost meanwhile, in seconds
TAKEOVER_SECONDS = 4.0
#: longest time from an entry that tells of a restart until the lost run is started again, while a
#: hold to the incarnation before hangs, in seconds
MAX_RESTART_SECONDS = 0.5
#: run times of a task that outlasts a lease, and of one that does not, in seconds
LONG_SECONDS, SHORT_SECONDS = 20.0, 0.2


def restart(fleet, name, incarnation):
    """Let a worker end and start again at once; its entry is still that of before."""
    earlier = fleet.workers.workers[name]
    listed = attrs.evolve(earlier.listed, incarnation=incarnation)
    earlier.crash("restarted")
    worker = MemoryWorker(listed, fleet.clock, earlier.plan_run, earlier.on_run_started)
    fleet.workers.add(worker)
    return worker


def enlist(fleet, name):
    """Let a worker write its entry."""
    fleet.vms.listed_workers[name] = fleet.workers.workers[name].listed
    fleet.vms.on_workers_changed(fleet.vms.visible_workers())


async def update_entries(fleet, seconds):
    """Let all daemons read the entries again and again for a time in seconds."""
    for _ in range(round(seconds / UPDATE_SECONDS)):
        fleet.vms.on_workers_changed(fleet.vms.visible_workers())
        await anyio.sleep(UPDATE_SECONDS)


def find_worker(fleet):
    [name] = [name for name in fleet.workers.workers if name.startswith("desk")]
    return name


async def answer_first(fleet, name):
    restart(fleet, name, SET_BACK)
    await update_entries(fleet, ENTRY_SECONDS)
    enlist(fleet, name)


async def list_first(fleet, name):
    fleet.workers.faults.unreachable.add(name)
    restart(fleet, name, SET_BACK)
    enlist(fleet, name)
    await update_entries(fleet, ENTRY_SECONDS)
    fleet.workers.faults.unreachable.discard(name)


async def never_list(fleet, name):
    restart(fleet, name, SET_BACK)
    await update_entries(fleet, ENTRY_SECONDS)


async def kill_owner(fleet, name):
    restart(fleet, name, SET_BACK)
    fleet.kill(fleet.owner_of("desk"))
    await update_entries(fleet, TAKEOVER_SECONDS)
    enlist(fleet, name)


async def leave_owner(fleet, name):
    restart(fleet, name, SET_BACK)
    await fleet.leave(fleet.owner_of("desk"))
    await update_entries(fleet, TAKEOVER_SECONDS)
    enlist(fleet, name)


@pytest.mark.parametrize(
    "set_back", [answer_first, list_first, never_list, kill_owner, leave_owner]
)
def test_no_job_is_lost_on_a_worker_whose_time_of_day_was_set_back(set_back):
    async def scenario(deployment):
        fleet = deployment.fleet
        fleet.workers.faults = OrderFaults(fleet.tasks, random.Random(1))
        monitor, name = observe(fleet), find_worker(fleet)
        restart(fleet, name, AHEAD)
        enlist(fleet, name)
        await update_entries(fleet, LIFE_SECONDS)
        before = JobSpec("1.0", (Step(2, TASK, 1.0),))
        await deployment.submit("desk", before)
        await anyio.sleep(0.5)
        await set_back(fleet, name)
        for _ in range(10):
            spec = JobSpec(str(SHORT_SECONDS), (Step(1, TASK, SHORT_SECONDS),))
            await deployment.submit("desk", spec)
            await update_entries(fleet, 0.3)
        await update_entries(fleet, LIFE_SECONDS)
        states = list((await deployment.states()).values())
        return len(states), set(states), [str(finding) for finding in monitor.findings]

    result = run_scenario(scenario, vms=1, moves=False)
    assert_that(result, Equals((11, {JobState.COMPLETED}, [])))


@pytest.mark.parametrize("incarnation", [SET_BACK, AHEAD + 1])
def test_a_restart_that_only_an_entry_tells_is_confirmed_soon(incarnation):
    """The hold to the incarnation before hangs."""

    async def scenario(deployment):
        fleet = deployment.fleet
        name, send_hold = find_worker(fleet), fleet.workers.hold
        restart(fleet, name, AHEAD)
        enlist(fleet, name)
        await anyio.sleep(ENTRY_SECONDS)

        async def hold(listed_worker, *args):
            try:
                reply = await send_hold(listed_worker, *args)
            except WorkerError:
                await anyio.sleep_forever()
            if listed_worker.incarnation == AHEAD and is_over:
                await anyio.sleep_forever()
            return reply

        fleet.workers.hold, is_over = hold, []
        spec = JobSpec(str(LONG_SECONDS), (Step(1, TASK, LONG_SECONDS),))
        await deployment.submit("desk", spec)
        await anyio.sleep(ENTRY_SECONDS)
        fleet.vms.add("desk-1", "desk", "r1")
        await anyio.sleep(ENTRY_SECONDS)
        is_over.append(True)
        restart(fleet, name, incarnation)
        await anyio.sleep(UPDATE_SECONDS)
        before, listed_at = len(fleet.runs), fleet.clock.now()
        enlist(fleet, name)
        while len(fleet.runs) == before:
            await anyio.sleep(0.01)
        return before, fleet.clock.now() - listed_at

    before, seconds = run_scenario(scenario, vms=1, moves=False)
    assert before == 1 and seconds < MAX_RESTART_SECONDS


@pytest.mark.parametrize("is_cut", [False, True])
def test_a_late_entry_of_an_incarnation_before_the_current_one_drops_no_run(is_cut):
    """Its number is the highest; the worker may be cut off when it is read."""

    async def scenario(deployment):
        fleet = deployment.fleet
        faults = fleet.workers.faults = OrderFaults(fleet.tasks, random.Random(1))
        monitor, name = observe(fleet), find_worker(fleet)
        middle = restart(fleet, name, AHEAD).listed
        restart(fleet, name, SET_BACK)
        spec = JobSpec(str(LONG_SECONDS), (Step(1, TASK, LONG_SECONDS),))
        job_id, _ = await deployment.submit("desk", spec)
        while not fleet.workers.workers[name].runs:
            await anyio.sleep(0.01)
        fleet.vms.add("desk-1", "desk", "r1")
        await anyio.sleep(TAKEOVER_SECONDS)
        if is_cut:
            faults.unreachable.add(name)
            await anyio.sleep(ENTRY_SECONDS)
        fleet.vms.listed_workers[name] = middle
        await update_entries(fleet, ENTRY_SECONDS)
        enlist(fleet, name)
        await update_entries(fleet, 2 * LONG_SECONDS)
        starts = len(fleet.runs)
        return (
            [str(finding) for finding in monitor.findings],
            await deployment.state(job_id),
            starts,
        )

    result = run_scenario(scenario, vms=1, moves=False)
    assert_that(result, Equals(([], JobState.COMPLETED, 1 + is_cut)))


@pytest.mark.parametrize("listed", [True, False])
@pytest.mark.parametrize("cut_after_seconds", [0.6, 1.1, 1.6])
def test_no_run_outlives_its_lease_where_the_time_of_day_was_set_back(cut_after_seconds, listed):
    """Holds extend the lease of the incarnation that has carried out the start, unanswered."""

    async def scenario(deployment):
        fleet = deployment.fleet
        faults = fleet.workers.faults = OrderFaults(fleet.tasks, random.Random(1))
        monitor, name, sent = observe(fleet), find_worker(fleet), []
        restart(fleet, name, AHEAD)
        enlist(fleet, name)
        await update_entries(fleet, LIFE_SECONDS)
        send_start = fleet.workers.start

        async def lose_reply(listed_worker, order, token, until):
            is_lost = listed_worker.worker_id == name
            if is_lost and not sent:
                restart(fleet, name, SET_BACK)
            sent.append(order)
            reply = await send_start(listed_worker, order, token, until)
            if is_lost:
                await anyio.sleep_forever()
            return reply

        fleet.workers.start = lose_reply
        spec = JobSpec(str(LONG_SECONDS), (Step(1, TASK, LONG_SECONDS),))
        job_id, _ = await deployment.submit("desk", spec)
        while not sent:
            await anyio.sleep(0.01)
        if listed:
            enlist(fleet, name)
        await update_entries(fleet, cut_after_seconds)
        faults.unreachable.add(name)
        fleet.vms.add("desk-1", "desk", "r1")
        await update_entries(fleet, 2 * LONG_SECONDS + LIFE_SECONDS)
        return [str(finding) for finding in monitor.findings], await deployment.state(job_id)

    result = run_scenario(scenario, vms=1, moves=False)
    assert_that(result, Equals(([], JobState.COMPLETED)))
