"""Holds that a worker carries out late, in its next incarnation."""

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import JobSpec, Step
from .test_daemons import TASK, run_scenario


def test_late_hold_of_an_earlier_incarnation_forgets_no_end_of_the_next_one():
    """Its acknowledged position is one of the incarnation for which it was sent."""

    async def scenario(deployment):
        fleet, orders = deployment.fleet, deployment.fleet.workers
        hold, late, silent = orders.hold, [], []

        async def hold_late(listed, token, acknowledged, until, wait):
            if acknowledged and not late:
                late.append((token, acknowledged))
                await anyio.sleep_forever()
            reply = await hold(listed, token, acknowledged, until, wait)
            if silent:
                await anyio.sleep_forever()
            return reply

        orders.hold = hold_late
        await deployment.submit("desk", JobSpec("0.3", (Step(3, TASK, 0.3),)))
        while not late:
            await anyio.sleep(0.01)
        worker_id = fleet.runs[0].worker_id
        fleet.vms.crash(worker_id, 0.2, 0.0, True)
        await anyio.sleep(3.0)
        await deployment.submit("desk", JobSpec("0.5", (Step(1, TASK, 0.5),)))
        await anyio.sleep(0.3)
        # The owner's calls are lost for a moment in which the run ends and the late hold arrives.
        silent.append(True)
        await anyio.sleep(0.4)
        orders.workers[worker_id].hold(*late[0], None)
        silent.clear()
        await anyio.sleep(20.0)
        starts = [run for run in fleet.runs if run.order.payload == "0.5"]
        return len(starts)

    assert_that(run_scenario(scenario, vms=1, moves=False), Equals(1))
