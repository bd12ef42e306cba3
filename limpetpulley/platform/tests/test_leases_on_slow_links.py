"""Daemons keep their leases while a large configuration changes on slow links."""

import json

import anyio
import attrs
import pytest

from ...exception import HttpError
from ...store import Put
from ..config import CONFIG_KEY
from .config_fleet import HOST, KEY, StoreLink, run_config_scenario

BYTES_PER_MBIT = 125_000
CHANGES = 6
CHANGE_SECONDS = 3.0


@attrs.define
class NarrowLink:
    """A client of the store whose answers arrive one after the other, each whole."""

    link: StoreLink
    bytes_per_second: float
    lock: anyio.Lock = attrs.field(factory=anyio.Lock)

    async def request(
        self, method, address, target, headers, content, timeout, may_send=None, **progress
    ):
        """Return the answer; one that is given up occupies the link no longer."""
        with anyio.move_on_after(timeout):
            response = await self.link.request(method, address, target, headers, content, timeout)
            async with self.lock:
                await anyio.sleep(len(response.content) / self.bytes_per_second)
            return response
        raise HttpError(f"{address}: response timed out")


def make_document(version, queues):
    """Return a configuration with a number of queues more."""
    names = ["old", *(f"queue-{number:04}" for number in range(queues))]
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": HOST,
                "pathPrefix": f"/{name}/",
                "service": "desk",
                "priority": 1,
                "maxAttempts": 3,
                "stretch": 2.0,
                "targetLatencyMs": 2000 + version,
                "timeoutMs": 30_000,
            }
            for name in names
        ],
        "services": [{"name": "desk"}, {"name": "tour"}],
        "tenants": [{"name": "agents", "apiKeys": [KEY]}],
    }


@pytest.mark.parametrize(
    ("queues", "mbits"), [(50, 2), (1450, 100), (1450, 5), (1450, 2.5), (1450, 2)]
)
def test_leases_are_not_lost_behind_a_daemons_own_transfers(queues, mbits):
    lost = []

    async def scenario(fleet):
        for name, daemon in fleet.daemons.items():
            transfers, session = daemon.node.context.store.transfers, daemon.node.session
            transfers.http = NarrowLink(transfers.http, mbits * BYTES_PER_MBIT)

            def abandon(reason, abandon=session.abandon, name=name):
                lost.append((name, reason))
                abandon(reason)

            session.abandon = abandon
        for _ in range(CHANGES):
            fleet.version += 1
            document = json.dumps(make_document(fleet.version, queues)).encode()
            fleet.platform.store.apply([Put(CONFIG_KEY, document)])
            await anyio.sleep(CHANGE_SECONDS)

    run_config_scenario(scenario)
    assert lost == []
