"""How soon pools have owners again after all daemons failed at once."""

from collections import Counter

import anyio
import pytest

from ..directory import PLANNER
from .test_daemons import DAEMON_NAMES, POOLS, run_scenario

#: longest time from the daemons' start until each pool has an owner and a planner runs, in seconds
RECOVERY_SECONDS = 0.4


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("spread", [0.0, 0.25], ids=["together", "one after the other"])
@pytest.mark.parametrize("downtime", [0.3, 1.2, 3.0], ids=["leases valid", "leases expire", "long"])
def test_pools_are_reclaimed_soon_by_several_daemons(downtime, spread, seed):
    async def scenario(deployment):
        fleet = deployment.fleet
        await anyio.sleep(1.0)
        for name in DAEMON_NAMES:
            fleet.kill(name)
        await anyio.sleep(downtime)
        for name in DAEMON_NAMES:
            fleet.start_daemon(name)
            await anyio.sleep(spread / len(DAEMON_NAMES))
        started_at = deployment.clock.now()
        planners = 0
        while not (all(map(fleet.owner_of, POOLS)) and planners):
            await anyio.sleep(0.01)
            planners = sum(each.node.planner is not None for each in fleet.daemons.values())
        return (
            deployment.clock.now() - started_at,
            Counter(map(fleet.owner_of, (*POOLS, "off"))),
            planners,
        )

    seconds, owners, planners = run_scenario(scenario, seed=seed)
    # A lease of the earlier daemons may have to expire first.
    expiry = 1.4 - downtime if 1.0 < downtime < 1.4 else 0.0
    assert seconds <= RECOVERY_SECONDS + expiry
    assert planners == 1
    assert max(owners.values()) <= 2


def test_a_restarted_daemon_reclaims_its_pools_without_waiting_for_its_old_lease():
    async def scenario(deployment):
        fleet = deployment.fleet
        name = fleet.owner_of("desk")
        fleet.kill(name)
        await anyio.sleep(0.2)
        fleet.start_daemon(name)
        started_at = deployment.clock.now()
        while fleet.owner_of("desk") is None:
            await anyio.sleep(0.01)
        return deployment.clock.now() - started_at

    assert run_scenario(scenario) < 0.2


def test_the_planner_is_claimed_first():
    assert sorted([PLANNER, *POOLS])[0] == PLANNER
