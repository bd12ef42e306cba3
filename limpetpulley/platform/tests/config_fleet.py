"""Daemons on virtual time whose store is the platform's stand-in, with faults for each daemon."""

import json

import anyio
import attrs

from ...api.batches import BatchesApp
from ...batch import Amount
from ...exception import HttpError
from ...http_client import HttpResponse
from ...ownership.operator_entries import OperatorEntries
from ...ownership.tests.test_daemons import make_config
from ...standin.batchfleet import BatchFleet
from ...standin.network import call_app
from ...standin.virtual import VirtualClock, run_virtual
from ...store import Put, Transfers
from ..callers import platform_dialect
from ..config import CONFIG_KEY, OPERATOR_PREFIX
from ..daemon import apply_operator_entry
from ..store import PlatformStore
from .standin import PlatformStandin

__all__ = ["ConfigFleet", "StoreLink", "run_config_scenario"]

CALL_SECONDS = 0.004
HOST = "desk.example"
KEY = "agents-key"


@attrs.define
class StoreLink:
    """A daemon's :class:`~limpetpulley.http_client.HttpClient` of the store.

    A call that is lost, or whose answer falls into a time in which the link is silent, gets no
    answer before its timeout.

    :param silent: whether calls and answers are lost
    :param lost_target: calls whose path and query contain it are lost when they are sent
    :param refused_target: calls whose path and query contain it are answered with status 429
    :param calls: number of calls so far
    """

    platform: PlatformStandin
    silent: bool = False
    lost_target: str = ""
    refused_target: str = ""
    calls: int = 0

    async def request(
        self,
        method,
        address,
        target,
        headers,
        content,
        timeout,
        may_send=None,
        on_bytes=None,
        longest=0.0,
    ):
        """Return the answer of the platform."""
        self.calls += 1
        with anyio.move_on_after(timeout):
            await anyio.sleep(CALL_SECONDS / 2)
            if self.silent or (self.lost_target and self.lost_target in target):
                await anyio.sleep_forever()
            if self.refused_target and self.refused_target in target:
                return HttpResponse(429, b"")
            status, body = await self._ask(method, target, content)
            if self.silent:
                await anyio.sleep_forever()
            await anyio.sleep(CALL_SECONDS / 2)
            return HttpResponse(status, body)
        raise HttpError(f"{address}: response timed out")

    async def _ask(self, method, target, content):
        path, _, query = target.partition("?")
        messages = [{"type": "http.request", "body": content, "more_body": False}]
        sent = []

        async def receive():
            return messages.pop()

        async def send(message):
            sent.append(message)

        scope = {"method": method, "path": path, "query_string": query.encode(), "headers": []}
        await self.platform(scope, receive, send)
        return sent[0]["status"], b"".join(message.get("body", b"") for message in sent)


class ConfigFleet(BatchFleet):
    """A fleet whose daemons take their configuration from the platform's store."""

    #: time between the starts of two daemons, in seconds
    start_gap_seconds = 0.0

    def __init__(self, tasks, clock, seed):
        super().__init__(tasks, clock, make_config(), Amount(4000, 8000), seed)
        self.platform = PlatformStandin(clock)
        self.links = {}
        self.version = 1

    def make_store(self, name, contact):
        """Return a client of the stand-in over a link of the daemon's own."""
        self.links[name] = self.make_link(name)
        return PlatformStore(Transfers(self.links[name], "store:1", contact, self.clock))

    def make_link(self, name):
        """Return a daemon's client of the store's HTTP interface."""
        return StoreLink(self.platform)

    def start_daemon(self, name):
        """Start a daemon that mirrors the operator's entries."""
        node = super().start_daemon(name)
        entries = OperatorEntries(
            node.context.store,
            OPERATOR_PREFIX,
            self.apply_entry,
            node,
        )
        entries.start()
        return node

    def apply_entry(self, node, key, value):
        """Apply an entry of the operator to a daemon."""
        apply_operator_entry(self.wave_registry, node, key, value)

    def make_routes(self, queues):
        """Return the rows of queues in the configuration."""
        return [
            {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "service": "desk"}
            for name in queues
        ]

    async def configure(self, queues, keys=(KEY,)):
        """Write the next version of the configuration, with these queues and access keys."""
        self.version += 1
        document = {
            "version": self.version,
            "routes": self.make_routes(queues),
            "services": [{"name": pool} for pool in self.config.pools],
            "tenants": [{"name": "agents", "apiKeys": list(keys)}],
        }
        # The operator's own connection does not share the daemons' faults.
        self.platform.store.apply([Put(CONFIG_KEY, json.dumps(document).encode())])

    async def ask(self, name, queue, key=KEY):
        """Return a daemon's answer to a request for a queue's pending jobs."""
        app = BatchesApp(self.daemons[name].node, platform_dialect())
        headers = [
            (b"host", HOST.encode()),
            (b"authorization", f"Bearer {key}".encode()),
            (b"deadline-ms", b"3000"),
        ]
        return await call_app(app, f"/{queue}/", headers, method="GET")


def run_config_scenario(scenario, daemons=5, seed=1, make_fleet=ConfigFleet):
    """Run a scenario with a fleet that has served for two seconds; return its result.

    :param make_fleet: returns a fleet for a task group, a clock and a seed
    """

    async def run():
        async with anyio.create_task_group() as tasks:
            fleet = make_fleet(tasks, VirtualClock(), seed)
            await fleet.configure(["old"])
            for pool in ("desk", "tour"):
                fleet.vms.add(f"{pool}-0", pool, "r0")
            for number in range(daemons):
                fleet.start_daemon(f"entry-{number}")
                if fleet.start_gap_seconds:
                    await anyio.sleep(fleet.start_gap_seconds)
            while not (fleet.owner_of("desk") and fleet.owner_of("tour")):
                await anyio.sleep(0.1)
            await anyio.sleep(2.0)
            with anyio.fail_after(60.0):
                result = await scenario(fleet)
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(run)
