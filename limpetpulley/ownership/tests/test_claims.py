"""Pools are claimed beside others whose claims fail, and after a restart of their daemons."""

import anyio
import pytest

from ...exception import StoreFault
from ...standin import batchfleet
from ..directory import PLANNER, Member
from ..session import LEASE_SECONDS
from .test_daemons import DAEMON_NAMES, POOLS, run_scenario

#: time until a claim is made once it is possible, in seconds
CLAIM_DELAY_SECONDS = 0.1


@pytest.mark.parametrize("failing_pool", ["desk", "tour", "off", PLANNER])
def test_pools_are_claimed_beside_one_whose_claim_always_fails(failing_pool):
    async def scenario(deployment):
        fleet = deployment.fleet
        for name in DAEMON_NAMES:
            await fleet.leave(name)
        node = fleet.start_daemon(DAEMON_NAMES[0])
        claim = node.session.claim

        async def fail(pool, replaced):
            if pool == failing_pool:
                raise StoreFault("odd key")
            return await claim(pool, replaced)

        node.session.claim = fail
        await anyio.sleep(3.0)
        return {*node.owned, *([PLANNER] if node.planner else [])}

    assert run_scenario(scenario) == {"desk", "tour", "off", PLANNER} - {failing_pool}


@pytest.mark.parametrize("daemons", [1, 3])
@pytest.mark.parametrize("step_milliseconds", [-3_600_000, 0, 3_600_000])
def test_pools_have_owners_within_a_lease_though_the_time_of_day_steps_at_a_restart(
    step_milliseconds, daemons, monkeypatch
):
    """A daemon's incarnation is a time of day; its earlier claims stand until their lease ends."""

    def step(name, incarnation, *args):
        return Member(name, incarnation + step_milliseconds, *args)

    async def scenario(deployment):
        fleet = deployment.fleet
        monkeypatch.setattr(batchfleet, "Member", step)
        owner = fleet.owner_of("desk")
        names = [owner, *(name for name in DAEMON_NAMES if name != owner)][:daemons]
        for name in names:
            fleet.kill(name)
        for name in names:
            fleet.start_daemon(name)
        started_at = fleet.clock.now()
        while not all(fleet.owner_of(pool) for pool in POOLS):
            await anyio.sleep(0.01)
        return fleet.clock.now() - started_at

    assert run_scenario(scenario) < LEASE_SECONDS + CLAIM_DELAY_SECONDS
