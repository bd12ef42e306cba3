"""Answers follow from a large configuration on slow links, and daemons have it in time."""

import random
from collections import Counter
from functools import partial

import anyio
import attrs
import pytest

from ...standin.link import SHORT_QUEUE_CHUNKS
from .config_fleet import KEY, run_config_scenario
from .linked_fleet import DAEMONS, LIMIT_SECONDS, WEAK_DAEMONS, LinkedFleet

BULK_QUEUES = 1450
#: time after a disturbance in which a daemon may still lack a version, in seconds
CONTACT_SECONDS = 3.0
#: time for which daemons are asked after the last change, in seconds
SETTLING_SECONDS = 6.0
#: interval between two requests to the same daemon, in seconds
ASKING_SECONDS = 0.1
#: time after a loss of all daemons within which each must have a configuration, in seconds
RECOVERY_SECONDS = 15.0
#: versions before the one in force whose queues and keys are asked for
RECENT_VERSIONS = 8
DECIDED = (200, 401, 404)


@attrs.frozen
class Day:
    """What happens after the configuration has grown.

    :param gaps: times before each of the further changes, in seconds
    :param silent: daemon to which the store is silent from the first of them on, empty for none
    :param queue_chunks: most chunks of a transfer that stand in the queue of a link at a time
    """

    gaps: tuple
    silent: str = ""
    queue_chunks: int = SHORT_QUEUE_CHUNKS


SERIES = (2.0, 0.5, 3.0, 0.7, 2.0, 1.0)
PAIRS = (5.0, 1.2, 4.7, 1.2, 4.7, 1.2)
#: as many chunks as a receiver's buffer of 256 kB admits
LONG_QUEUE_CHUNKS = 16
SILENT_SECONDS = 3.0
DAYS = {
    "changes-in-series": Day(SERIES),
    "pairs-of-changes": Day(PAIRS),
    "pairs-of-changes-behind-long-queues": Day(PAIRS, queue_chunks=LONG_QUEUE_CHUNKS),
    "changes-beside-a-silent-store": Day(SERIES, WEAK_DAEMONS[0]),
    "storm-of-changes": Day((0.5,) * 20),
}


@attrs.define
class Findings:
    """What must not happen, counted by daemon.

    :param outdated: answers that no version of the time before the limit allows
    :param unconfirmed: refusals for lack of a recent configuration
    :param late: versions that were not in force within the limit
    """

    outdated: Counter = attrs.field(factory=Counter)
    unconfirmed: Counter = attrs.field(factory=Counter)
    late: Counter = attrs.field(factory=Counter)


def name_queue(number):
    return f"queue-{number}"


def name_key(number):
    return f"key-{number}"


async def change(fleet, number):
    """Replace a queue and an access key."""
    await fleet.configure(["old", name_queue(number)], [KEY, name_key(number)])


async def ask(fleet, name, asked, findings, is_calm):
    """Ask a daemon, and record an answer that is wrong."""
    asked_at = fleet.clock.now()
    response = await fleet.ask(name, *asked)
    since = asked_at - LIMIT_SECONDS
    in_force = [version for version in fleet.versions if version.at <= since][-1:]
    allowed = {
        version.status(*asked)
        for version in in_force + [version for version in fleet.versions if version.at > since]
    }
    if response.status in DECIDED and response.status not in allowed:
        findings.outdated[name] += 1
    if b"configuration-not-confirmed" in response.content and is_calm(name, asked_at):
        findings.unconfirmed[name] += 1


async def ask_all(fleet, findings, is_calm, rng):
    async with anyio.create_task_group() as tasks:
        while True:
            for name in DAEMONS:
                first = max(0, len(fleet.versions) - RECENT_VERSIONS)
                number = rng.randrange(first, len(fleet.versions) + 1)
                asked = rng.choice([(name_queue(number), KEY), ("old", name_key(number))])
                tasks.start_soon(ask, fleet, name, asked, findings, is_calm)
            await anyio.sleep(ASKING_SECONDS)


def play(day):
    """Return the findings of a day."""

    async def scenario(fleet):
        findings, rng = Findings(), random.Random(1)
        silent_from = silent_until = grown_at = fleet.clock.now()

        def is_calm(name, at):
            disturbed = silent_from <= at <= silent_until + CONTACT_SECONDS
            return not (name == day.silent and disturbed) and at - grown_at > LIMIT_SECONDS

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_all, fleet, findings, is_calm, rng)
            fleet.add_queues(BULK_QUEUES)
            await change(fleet, len(fleet.versions))
            for gap in day.gaps:
                await anyio.sleep(gap)
                if day.silent and silent_until == grown_at:
                    silent_from = fleet.clock.now()
                    silent_until = silent_from + SILENT_SECONDS
                    tasks.start_soon(silence, fleet, day.silent)
                await change(fleet, len(fleet.versions))
            await anyio.sleep(SETTLING_SECONDS)
            tasks.cancel_scope.cancel()
        for name in DAEMONS:
            for version in fleet.versions:
                disturbed_from = silent_from - LIMIT_SECONDS
                is_disturbed = disturbed_from <= version.at <= silent_until + CONTACT_SECONDS
                if name == day.silent and is_disturbed:
                    continue
                findings.late[name] += fleet.lateness(name, version) > LIMIT_SECONDS
        findings.late = +findings.late
        return findings

    make_fleet = partial(LinkedFleet, queue_chunks=day.queue_chunks)
    return run_config_scenario(scenario, len(DAEMONS), make_fleet=make_fleet)


async def silence(fleet, name):
    fleet.links[name].silent = True
    await anyio.sleep(SILENT_SECONDS)
    fleet.links[name].silent = False


@pytest.mark.parametrize("name", DAYS)
def test_changes_of_a_large_configuration_are_in_force_on_slow_links(name):
    assert play(DAYS[name]) == Findings()


@pytest.mark.parametrize(
    ("queues", "queue_chunks"),
    [
        (BULK_QUEUES, SHORT_QUEUE_CHUNKS),
        (BULK_QUEUES, LONG_QUEUE_CHUNKS),
        (2850, SHORT_QUEUE_CHUNKS),
        (2850, LONG_QUEUE_CHUNKS),
    ],
)
def test_daemons_on_slow_links_have_a_large_configuration_soon_after_a_loss_of_all(
    queues, queue_chunks
):
    async def scenario(fleet):
        fleet.add_queues(queues)
        await change(fleet, 0)
        await anyio.sleep(10.0)
        for name in DAEMONS:
            fleet.kill(name)
        await anyio.sleep(2.0)
        for name in DAEMONS:
            fleet.start_daemon(name)
        await anyio.sleep(RECOVERY_SECONDS)
        return [name for name in DAEMONS if fleet.daemons[name].node.context.config is None]

    make_fleet = partial(LinkedFleet, queue_chunks=queue_chunks)
    assert run_config_scenario(scenario, len(DAEMONS), make_fleet=make_fleet) == []
