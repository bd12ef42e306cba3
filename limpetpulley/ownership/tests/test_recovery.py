"""How soon pools have owners again after all daemons failed at once."""

from collections import Counter

import anyio
import pytest

from ..directory import PLANNER
from .test_daemons import DAEMON_NAMES, POOLS, run_scenario, two_step_spec

#: longest time from the daemons' start until each pool has an owner and a planner runs, in seconds
RECOVERY_SECONDS = 0.4
#: the same if each pool's last owner is among the daemons that return
RETURN_SECONDS = 0.1
#: longest time from the end of an outage of the store until each pool has an owner, in seconds:
#: a renewal that was sent in the outage must time out first
OUTAGE_RECOVERY_SECONDS = 1.6


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


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("missing", [0, 1])
def test_each_pool_returns_at_once_to_its_last_owner(missing, seed):
    async def scenario(deployment):
        fleet = deployment.fleet
        await anyio.sleep(1.0)
        before = {pool: fleet.owner_of(pool) for pool in POOLS}
        gone = [before[POOLS[0]]][:missing]
        for name in DAEMON_NAMES:
            fleet.kill(name)
        await anyio.sleep(3.0)
        returning = [name for name in DAEMON_NAMES if name not in gone]
        for name in returning:
            fleet.start_daemon(name)
        await anyio.sleep(RETURN_SECONDS)
        after = {pool: fleet.owner_of(pool) for pool in POOLS}
        await anyio.sleep(RECOVERY_SECONDS)
        owned = [fleet.owner_of(pool) for pool in POOLS]
        return {pool: name for pool, name in before.items() if name not in gone}, after, owned

    before, after, owned = run_scenario(scenario, seed=seed)
    assert {pool: after[pool] for pool in before} == before
    assert all(owned)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("outage", [2.0, 3.0, 4.5])
def test_pools_have_owners_soon_after_an_outage_whose_connections_stay_silent(outage, seed):
    """The leases expire in the outage, and no watch reports it: each must be opened anew."""

    async def scenario(deployment):
        fleet = deployment.fleet
        await anyio.sleep(1.0)
        before = {pool: fleet.owner_of(pool) for pool in POOLS}
        fleet.faults.dead_watches = fleet.faults.outage = True
        await anyio.sleep(outage)
        fleet.faults.outage = False
        await anyio.sleep(OUTAGE_RECOVERY_SECONDS)
        return before, {pool: fleet.owner_of(pool) for pool in POOLS}

    before, after = run_scenario(scenario, seed=seed)
    assert after == before


@pytest.mark.parametrize(
    ("answer_seconds", "most"), [(0.0, 0.2), (0.1, 1.2), (0.2, 2.2)], ids=["fast", "slow", "slower"]
)
def test_pools_of_a_leaving_daemon_are_served_soon_by_another_one(answer_seconds, most):
    """A store that answers late delays each of the calls that follow each other."""

    async def scenario(deployment):
        fleet = deployment.fleet
        for number in range(40):
            await deployment.submit(POOLS[number % 2], two_step_spec())
        name = fleet.owner_of(POOLS[0])
        fleet.faults.slow_seconds = answer_seconds
        await anyio.sleep(1.0)
        left_at = deployment.clock.now()
        fleet.tasks.start_soon(fleet.leave, name)
        gap = 0.0
        while fleet.owner_of(POOLS[0]) in (name, None):
            await anyio.sleep(0.01)
            gap = deployment.clock.now() - left_at
        return gap

    assert run_scenario(scenario) <= most


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
