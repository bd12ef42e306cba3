"""Changes that are acknowledged as the store returns are in force within the limit."""

import anyio
import pytest

from ..store import WATCH_WAIT_SECONDS
from .config_fleet import KEY, run_config_scenario

LIMIT_SECONDS = 2.0
OPERATOR_ENTRIES = "pathPrefix=op"


def set_links(fleet, **faults):
    """Give the links of all daemons to the store the same faults."""
    for link in fleet.links.values():
        for name, value in faults.items():
            setattr(link, name, value)


async def return_from_outage(fleet, outage_seconds, keeps_history):
    """Silence the store, and acknowledge the changes that piled up as it returns."""
    set_links(fleet, silent=True)
    await anyio.sleep(outage_seconds)
    set_links(fleet, silent=False)
    await anyio.sleep(0.05)
    for number in range(4):
        await fleet.configure([f"pending-{number}"])
        await anyio.sleep(0.03)
    await fleet.configure(["new"])
    if not keeps_history:
        fleet.platform.store.drop_history()


async def refuse_reads(fleet, first, seconds):
    """Refuse reads of the operator's entries for some time, after a delay."""
    await anyio.sleep(first)
    set_links(fleet, refused_target=OPERATOR_ENTRIES)
    await anyio.sleep(seconds)
    set_links(fleet, refused_target="")


async def ask_all(fleet, queues):
    """Return the status of each daemon's answer for each queue."""
    return [(await fleet.ask(name, queue)).status for name in fleet.daemons for queue in queues]


@pytest.mark.parametrize("keeps_history", [True, False])
@pytest.mark.parametrize("outage", [1.0, 2.5, 4.0, 5.2, 6.1, 7.3, 8.2, 8.9])
@pytest.mark.parametrize("refused", [None, (0.0, 0.6), (0.8, 0.4), (1.4, 0.4)])
def test_change_at_the_end_of_an_outage_is_in_force_within_the_limit(
    outage, keeps_history, refused
):
    async def scenario(fleet):
        await return_from_outage(fleet, outage, keeps_history)
        acknowledged_at = fleet.clock.now()
        if refused:
            await refuse_reads(fleet, *refused)
        await anyio.sleep(acknowledged_at + LIMIT_SECONDS - fleet.clock.now())
        return await ask_all(fleet, ["old", "new"])

    assert run_config_scenario(scenario) == [404, 200] * 5


@pytest.mark.parametrize("outage", [1.0, 2.5, 4.0, 5.2, 6.1, 7.3, 8.2, 8.9])
def test_pools_have_owners_again_within_the_limit_after_an_outage(outage):
    async def scenario(fleet):
        set_links(fleet, silent=True)
        await anyio.sleep(outage)
        set_links(fleet, silent=False)
        fleet.platform.store.drop_history()
        await anyio.sleep(LIMIT_SECONDS)
        return {daemon.node.is_ready for daemon in fleet.daemons.values()}

    assert run_config_scenario(scenario) == {True}


@pytest.mark.parametrize(
    ("queue", "key"), [("removed", KEY), ("kept", "withdrawn")], ids=["queue", "key"]
)
def test_nothing_removed_is_served_while_the_store_refuses_reads_of_the_configuration(queue, key):
    async def scenario(fleet):
        await fleet.configure(["old", "removed", "kept"], [KEY, "withdrawn"])
        await anyio.sleep(0.5)
        set_links(fleet, refused_target=OPERATOR_ENTRIES)
        await anyio.sleep(WATCH_WAIT_SECONDS + 0.1)
        await fleet.configure(["old", "kept"], [KEY])
        await anyio.sleep(LIMIT_SECONDS)
        statuses = set()
        for _ in range(20):
            statuses.add((await fleet.ask("entry-0", queue, key)).status)
            await anyio.sleep(0.1)
        return statuses

    assert run_config_scenario(scenario) == {503}


@pytest.mark.parametrize("outage", [3.0, 8.0, 30.0])
def test_known_queue_is_served_while_the_store_answers_nothing(outage):
    async def scenario(fleet):
        set_links(fleet, silent=True)
        await anyio.sleep(outage)
        return await ask_all(fleet, ["old"])

    assert set(run_config_scenario(scenario)) == {200}
