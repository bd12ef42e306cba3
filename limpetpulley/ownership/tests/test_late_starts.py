"""Starts that workers carry out late, in their next incarnation, on virtual time."""

import contextlib

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import JobSpec, Step
from ...exception import NotOwnerError
from .test_daemons import TASK, run_scenario

#: time until the next incarnation's entry appears, in seconds
ENTRY_SECONDS = 1.0


@pytest.mark.parametrize("late_seconds", [0.2, 0.3, 0.6, 0.9])
@pytest.mark.parametrize(("resent", "down_seconds"), [(False, 2.5), (False, 6.0), (True, 6.0)])
def test_a_start_that_the_next_incarnation_carries_out_late_does_not_run(
    late_seconds, resent, down_seconds
):
    """The task has been started elsewhere, or a repeated start has ended ``done``.

    The next incarnation accepts orders for some time before its entry appears.
    """

    async def scenario(deployment):
        fleet, orders = deployment.fleet, deployment.fleet.workers
        start, late = orders.start, []

        async def lose_first(listed, order, token, until):
            if not late:
                late.append((listed.worker_id, order, token, until))
                await anyio.sleep_forever()
            if not resent and listed.worker_id == late[0][0]:
                await anyio.sleep_forever()
            return await start(listed, order, token, until)

        orders.start = lose_first
        seconds = 0.4 if resent else 9.0
        await deployment.submit("desk", JobSpec(str(seconds), (Step(1, TASK, seconds),)))
        while not late:
            await anyio.sleep(0.01)
        worker_id, order, token, until = late[0]
        await anyio.sleep(2.0 if resent else 0.3)
        fleet.vms.crash(worker_id, down_seconds, 0.0, True)
        fleet.vms.hide(worker_id)
        await anyio.sleep(down_seconds + late_seconds)
        before = len(fleet.runs)
        orders.workers[worker_id].start(order, token, until)
        started_late = len(fleet.runs) - before
        await anyio.sleep(ENTRY_SECONDS - late_seconds)
        fleet.vms.show(worker_id)
        await anyio.sleep(12.0)
        return before, started_late, set((await deployment.states()).values())

    before, started_late, states = run_scenario(scenario, vms=3, moves=False)
    assert_that((before, started_late), Equals((1, 0)))
    assert_that({state.value for state in states}, Equals({"completed"}))


@pytest.mark.parametrize("late_seconds", [0.3, 0.6, 0.9])
def test_a_late_start_of_an_earlier_owner_does_not_run_in_the_next_incarnation(late_seconds):
    """Only the earlier owner knew of the start; the next one has seen no incarnation.

    The start is 8 to 11 s late, the longest that the platform delays one is 12 s.
    """

    async def scenario(deployment):
        fleet, orders = deployment.fleet, deployment.fleet.workers
        start, late = orders.start, []

        async def lose_first(listed, order, token, until):
            if not late:
                late.append((listed.worker_id, order, token, until))
            if listed.worker_id == late[0][0] and token == late[0][2]:
                await anyio.sleep_forever()
            return await start(listed, order, token, until)

        orders.start = lose_first
        await deployment.submit("desk", JobSpec("15.0", (Step(1, TASK, 15.0),)))
        while not late:
            await anyio.sleep(0.01)
        worker_id, order, token, until = late[0]
        sent_at = fleet.clock.now()
        fleet.kill(fleet.owner_of("desk"))
        left_seconds = 8.0 - (fleet.clock.now() - sent_at)
        fleet.vms.crash(worker_id, left_seconds, 0.0, True)
        fleet.vms.hide(worker_id)
        await anyio.sleep(left_seconds + late_seconds)
        before = len(fleet.runs)
        with contextlib.suppress(NotOwnerError):
            orders.workers[worker_id].start(order, token, until)
        return before, len(fleet.runs) - before

    assert_that(run_scenario(scenario, vms=3, moves=False), Equals((1, 0)))


@pytest.mark.parametrize("takeover", [False, True])
def test_calls_to_a_worker_that_has_ended_leave_connections_for_the_next_incarnation(takeover):
    """A host that is down may swallow connections; 12 at a time are made to one address."""

    async def scenario(deployment):
        fleet, orders = deployment.fleet, deployment.fleet.workers
        start, victims, pending, counts = orders.start, [], [0], [0]

        async def lose_starts(listed, order, token, until):
            victims.append(listed.worker_id)
            if listed.worker_id == victims[0]:
                await anyio.sleep_forever()
            return await start(listed, order, token, until)

        def hang(call):
            async def hanging(listed, *args):
                if not victims or listed.worker_id != victims[0] or listed.worker_id in up:
                    return await call(listed, *args)
                pending[0] += 1
                counts.append(pending[0])
                try:
                    await anyio.sleep_forever()
                finally:
                    pending[0] -= 1

            return hanging

        up = set(orders.workers)
        orders.start = lose_starts
        orders.stop, orders.hold = hang(orders.stop), hang(orders.hold)
        await deployment.submit("desk", JobSpec("9.0", (Step(1, TASK, 9.0),)))
        while not victims:
            await anyio.sleep(0.01)
        if takeover:
            fleet.kill(fleet.owner_of("desk"))
        up.discard(victims[0])
        fleet.vms.crash(victims[0], 9.0, 0.0, True)
        await anyio.sleep(8.0)
        return max(counts)

    assert 1 <= run_scenario(scenario, vms=3, moves=False) <= 6
