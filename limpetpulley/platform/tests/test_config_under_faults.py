"""Answers follow from a configuration that is recent enough, under random faults in series."""

import random

import anyio
import attrs
import pytest

from .config_fleet import run_config_scenario

LIMIT_SECONDS = 2.0
#: time without a fault after which a daemon must serve by the configuration in force, in seconds
CONTACT_SECONDS = 3.0
PLAYED_SECONDS = 25.0
QUEUES = [f"queue-{number}" for number in range(6)]
FAULTS = ["silent", "watch-lost", "watch-refused", "reads-refused", "all-refused", "isolated"]
FAULT_SERIES = 3


@attrs.define
class Observer:
    """What was configured when, which daemons were disturbed, and what they answered wrongly.

    :param versions: times of the changes, and the queues from each on
    :param disturbed_until: time until which each daemon was disturbed
    """

    versions: list = attrs.field(factory=lambda: [(0.0, [])])
    disturbed_until: dict = attrs.field(factory=dict)
    wrong: list = attrs.field(factory=list)

    def queues_since(self, time):
        """Return the sets of queues that were configured at any time since one."""
        later = [queues for at, queues in self.versions if at > time]
        earlier = [queues for at, queues in self.versions if at <= time]
        return earlier[-1:] + later

    def check(self, name, queue, asked_at, status):
        """Record an answer that no version of the time before the limit allows."""
        sets = self.queues_since(asked_at - LIMIT_SECONDS)
        calm_since = self.disturbed_until.get(name, 0.0)
        in_touch = asked_at - calm_since > CONTACT_SECONDS
        is_denied_wrongly = status == 404 and all(queue in queues for queues in sets)
        is_served_wrongly = status == 200 and not any(queue in queues for queues in sets)
        if is_denied_wrongly or (is_served_wrongly and in_touch):
            self.wrong.append((name, queue, round(asked_at, 2), status))


async def change_configuration(fleet, rng, observer):
    while True:
        queues = rng.sample(QUEUES, rng.randint(1, len(QUEUES)))
        observer.versions.append((fleet.clock.now(), queues))
        await fleet.configure(["old", *queues])
        await anyio.sleep(rng.choice([0.2, 0.5, 1.0, 3.0]))


async def disturb(fleet, rng, observer):
    while True:
        await anyio.sleep(rng.uniform(0.0, 3.0))
        names = rng.sample(sorted(fleet.links), rng.randint(1, len(fleet.links)))
        fault = rng.choice(FAULTS)
        for name in names:
            _begin(fleet, name, fault)
        seconds = rng.choice([0.1, 0.3, 0.6, 1.5, 4.0, 8.0])
        for name in names:
            until = fleet.clock.now() + seconds
            observer.disturbed_until[name] = max(until, observer.disturbed_until.get(name, 0.0))
        await anyio.sleep(seconds)
        for name in names:
            _end(fleet, name)


def _begin(fleet, name, fault):
    link = fleet.links[name]
    if fault in ("silent", "isolated"):
        link.silent = True
    if fault == "isolated":
        fleet.network.cut.add(name)
    if fault == "watch-lost":
        link.lost_target = "kv-watch?pathPrefix=op"
    refused = {
        "watch-refused": "kv-watch",
        "reads-refused": "pathPrefix=op",
        "all-refused": "/api/",
    }
    link.refused_target = refused.get(fault, link.refused_target)


def _end(fleet, name):
    link = fleet.links[name]
    link.silent, link.lost_target, link.refused_target = False, "", ""
    fleet.network.cut.discard(name)


def play(seed):
    """Return the wrong answers of one run."""

    async def scenario(fleet):
        rng, observer = random.Random(seed), Observer()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(change_configuration, fleet, rng, observer)
            for _ in range(FAULT_SERIES):
                tasks.start_soon(disturb, fleet, rng, observer)
            until = fleet.clock.now() + PLAYED_SECONDS
            while fleet.clock.now() < until:
                name, queue = rng.choice(sorted(fleet.links)), rng.choice(QUEUES)
                asked_at = fleet.clock.now()
                tasks.start_soon(ask, fleet, observer, name, queue, asked_at)
                await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()
        return observer.wrong

    return run_config_scenario(scenario, seed=seed)


async def ask(fleet, observer, name, queue, asked_at):
    response = await fleet.ask(name, queue)
    observer.check(name, queue, asked_at, response.status)


@pytest.mark.parametrize("seed", range(12))
def test_no_answer_is_outdated_under_random_faults(seed):
    assert play(seed) == []
