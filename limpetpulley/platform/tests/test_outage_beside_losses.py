"""Known queues are served while the store is away, also if most daemons are lost."""

import anyio
import pytest

from .config_fleet import run_config_scenario

OUTAGE_SECONDS = 20.0
ASKING_SECONDS = 0.2


@pytest.mark.parametrize(("daemons", "lost"), [(8, 0), (8, 3), (8, 6), (20, 17)])
def test_known_queues_are_served_in_an_outage_though_daemons_are_lost(daemons, lost):
    async def scenario(fleet):
        owners = {fleet.owner_of("desk"), fleet.owner_of("tour")}
        for name in [each for each in fleet.daemons if each not in owners][:lost]:
            fleet.kill(name)
        for link in fleet.links.values():
            link.silent = True
        until, unconfirmed = fleet.clock.now() + OUTAGE_SECONDS, []

        async def ask(name):
            asked_at = fleet.clock.now()
            response = await fleet.ask(name, "old")
            if b"configuration-not-confirmed" in response.content:
                unconfirmed.append((name, round(until - asked_at, 1)))

        async with anyio.create_task_group() as tasks:
            while fleet.clock.now() < until:
                for name in fleet.daemons:
                    tasks.start_soon(ask, name)
                await anyio.sleep(ASKING_SECONDS)
        return unconfirmed

    assert run_config_scenario(scenario, daemons) == []
