"""A changed configuration is in force within the platform's limit, whatever call was lost."""

import asyncio

import anyio
import pytest

from .config_fleet import KEY, run_config_scenario

LIMIT_SECONDS = 2.0
#: time after the limit for which answers are looked at, in seconds
OBSERVED_SECONDS = 5.0
DAEMON = "entry-0"
OPERATOR_WATCH = "kv-watch?pathPrefix=op"


async def lose_one_watch(fleet):
    """Lose the daemon's next watch request in a cut that no renewal of its lease meets."""
    fleet.links[DAEMON].lost_target = OPERATOR_WATCH
    await fleet.configure(["old", "other"])
    await anyio.sleep(0.1)
    fleet.links[DAEMON].lost_target = ""


async def refuse_watches(fleet):
    """Refuse the daemon's watches, but not its renewals."""
    fleet.links[DAEMON].refused_target = OPERATOR_WATCH
    await fleet.configure(["old", "other"])
    await anyio.sleep(0.1)


async def refuse_watches_and_reads(fleet):
    """Refuse all of the daemon's reads of the operator's entries."""
    fleet.links[DAEMON].refused_target = "pathPrefix=op"
    await fleet.configure(["old", "other"])
    await anyio.sleep(0.1)


async def silence_the_store(fleet, dark=()):
    """Lose all calls of the daemon to the store, and cut other daemons off from everything."""
    fleet.links[DAEMON].silent = True
    for name in dark:
        fleet.links[name].silent = True
        fleet.network.cut.add(name)


async def silence_the_store_beside_dark_daemons(fleet):
    """Leave two of four other daemons that can tell the configuration."""
    await silence_the_store(fleet, ("entry-1", "entry-2"))


async def silence_the_store_beside_one_sound_daemon(fleet):
    """Leave one of four other daemons that can tell the configuration."""
    await silence_the_store(fleet, ("entry-1", "entry-2", "entry-3"))


async def isolate(fleet):
    """Leave the daemon nobody that can tell the configuration."""
    await silence_the_store(fleet, ("entry-1", "entry-2", "entry-3", "entry-4"))


FAULTS = [
    lose_one_watch,
    refuse_watches,
    refuse_watches_and_reads,
    silence_the_store,
    silence_the_store_beside_dark_daemons,
    silence_the_store_beside_one_sound_daemon,
]


async def observe(fleet, queue, key=KEY):
    """Return the daemon's statuses for a queue, from the limit after a change on."""
    await anyio.sleep(LIMIT_SECONDS)
    statuses = []
    until = fleet.clock.now() + OBSERVED_SECONDS
    while fleet.clock.now() < until:
        statuses.append((await fleet.ask(DAEMON, queue, key)).status)
        await anyio.sleep(0.1)
    return statuses


@pytest.mark.parametrize("fault", [*FAULTS, isolate], ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_added_queue_is_not_denied_after_the_limit(fault, seed):
    async def scenario(fleet):
        await fault(fleet)
        await fleet.configure(["old", "other", "new"])
        return await observe(fleet, "new")

    assert 404 not in run_config_scenario(scenario, seed=seed)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("queue", "key", "status"), [("old", KEY, 404), ("kept", "withdrawn", 401)]
)
def test_removed_queue_and_key_are_not_served_after_the_limit(fault, seed, queue, key, status):
    async def scenario(fleet):
        await fleet.configure(["old", "kept"], [KEY, "withdrawn"])
        await anyio.sleep(0.5)
        await fault(fleet)
        await fleet.configure(["kept"], [KEY])
        return await observe(fleet, queue, key)

    assert set(run_config_scenario(scenario, seed=seed)) == {status}


@pytest.mark.parametrize("fault", FAULTS[:3], ids=lambda fault: fault.__name__)
def test_added_queue_is_served_after_the_limit(fault):
    async def scenario(fleet):
        await fault(fleet)
        await fleet.configure(["old", "other", "new"])
        return await observe(fleet, "new")

    assert set(run_config_scenario(scenario)) == {200}


@pytest.mark.parametrize("pause", [2.5, 8.0])
def test_added_queue_is_not_denied_right_after_a_time_without_contact(pause):
    async def scenario(fleet):
        await silence_the_store(fleet, [DAEMON])
        await anyio.sleep(0.3)
        await fleet.configure(["old", "new"])
        await anyio.sleep(pause)
        fleet.links[DAEMON].silent = False
        fleet.network.cut.clear()
        return [(await fleet.ask(DAEMON, "new")).status for _ in range(3)]

    assert 404 not in run_config_scenario(scenario)


@pytest.mark.parametrize("outage", [0.0, 2.5, 4.0, 4.6, 5.0])
@pytest.mark.parametrize("pause", [2.5, 8.0])
def test_first_request_after_a_pause_is_answered_by_the_newest_version(pause, outage):
    async def scenario(fleet):
        await silence_the_store(fleet, [DAEMON])
        await anyio.sleep(outage)
        fleet.links[DAEMON].silent = False
        fleet.network.cut.clear()
        await anyio.sleep(3.0)
        fleet.links[DAEMON].silent = True
        await fleet.configure(["old", "new"])
        await anyio.sleep(0.01)
        # Nothing runs during the pause, and all timers that fell into it expire after it.
        asyncio.get_running_loop().now_seconds += pause
        fleet.links[DAEMON].silent = False
        status = (await fleet.ask(DAEMON, "new")).status
        return status, fleet.daemons[DAEMON].node.context.config.version == fleet.version

    status, is_newest = run_config_scenario(scenario)
    assert status != 404
    assert is_newest


@pytest.mark.parametrize("outage", [1.0, 2.0, 3.0, 3.7, 4.0, 4.5])
def test_change_after_an_outage_of_the_store_is_in_force_within_the_limit(outage):
    async def scenario(fleet):
        for link in fleet.links.values():
            link.silent = True
        await anyio.sleep(outage)
        for link in fleet.links.values():
            link.silent = False
        await anyio.sleep(1.0)
        await fleet.configure(["new"])
        await anyio.sleep(LIMIT_SECONDS)
        return [
            (await fleet.ask(name, queue)).status
            for name in fleet.daemons
            for queue in ("old", "new")
        ]

    assert run_config_scenario(scenario) == [404, 200] * 5


def test_denials_of_unknown_queues_cost_few_calls_of_the_store():
    async def scenario(fleet):
        link = fleet.links[DAEMON]
        calls = {}
        for asked in (False, True):
            before, until = link.calls, fleet.clock.now() + 10.0
            while fleet.clock.now() < until:
                if asked:
                    assert (await fleet.ask(DAEMON, "unknown")).status == 404
                await anyio.sleep(0.01)
            calls[asked] = link.calls - before
        return calls[True] - calls[False]

    assert run_config_scenario(scenario) <= 10
