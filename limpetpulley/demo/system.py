"""Three daemons, an in-memory platform and several endpoints in one process."""

from __future__ import annotations

import anyio
import attrs
import httpcore

from ..api.server import HttpServer
from ..config import (
    AccessKey,
    Budget,
    Change,
    ConfigObject,
    Pool,
    Queue,
    Team,
    Vm,
    digest_secret,
)
from ..daemon import Daemon, Node
from ..settings import Settings
from ..standin import EndpointStandin, MemoryFleet
from ..store import MemoryStore
from ..telemetry import BatchMetrics, null_log

__all__ = ["DemoSystem"]

DATA_CENTRES = ("almaty-1", "almaty-2", "astana-1")
ENDPOINT_COUNT = 4
SLOTS_PER_ENDPOINT = 4


@attrs.define
class DemoSystem:
    """The system that the demonstration runs.

    :param tasks: task group of the daemons and endpoints
    :param store: store of the daemons
    :param fleet: platform's VM service
    :param endpoints: endpoints by VM
    :param addresses: ``host:port`` of the endpoints by VM
    :param daemons: the daemons
    :param http: connections of the callers
    """

    tasks: anyio.abc.TaskGroup
    store: MemoryStore = attrs.field(factory=MemoryStore)
    fleet: MemoryFleet = attrs.field(factory=MemoryFleet)
    endpoints: dict[str, EndpointStandin] = attrs.field(factory=dict)
    addresses: dict[str, str] = attrs.field(factory=dict)
    daemons: list[Daemon] = attrs.field(factory=list)
    http: httpcore.AsyncConnectionPool = attrs.field(
        factory=lambda: httpcore.AsyncConnectionPool(max_connections=200)
    )

    @property
    def nodes(self) -> list[Node]:
        """Return the nodes of the daemons."""
        return [daemon.node for daemon in self.daemons]

    async def start(self) -> None:
        """Start the endpoints and the daemons."""
        for index in range(ENDPOINT_COUNT):
            name = f"desk-{index + 1}"
            endpoint = self.endpoints[name] = EndpointStandin()
            server = HttpServer(endpoint, "127.0.0.1", 0)
            await self.tasks.start(server.serve)
            self.addresses[name] = f"127.0.0.1:{server.port}"
            self.fleet.get_or_add(name)
        for index, data_centre in enumerate(DATA_CENTRES):
            self.fleet.get_or_add(f"entry-{index + 1}")
            settings = Settings(
                name=f"entry-{index + 1}",
                data_centre=data_centre,
                callers_port=0,
                operators_port=0,
                peers_port=0,
            )
            log = null_log(settings.name)
            daemon = Daemon(
                settings, self.store, self.fleet, self.fleet, self.tasks, log, BatchMetrics()
            )
            self.daemons.append(daemon)
            await daemon.start()

    async def stop(self) -> None:
        """Stop the daemons one by one."""
        for daemon in self.daemons:
            await daemon.stop()
        await self.http.aclose()

    def example_config(self, secrets: dict[str, str]) -> list[ConfigObject]:
        """Return the configuration of the demonstration.

        :param secrets: secrets of the access keys by name; the part before the dash is the team
        """
        vms = [
            Vm(
                name,
                "desk",
                address,
                f"rack-{index // 2}",
                DATA_CENTRES[index % 3],
                SLOTS_PER_ENDPOINT,
            )
            for index, (name, address) in enumerate(self.addresses.items())
        ]
        keys = [
            AccessKey(name, name.partition("-")[0], digest_secret(secret))
            for name, secret in secrets.items()
        ]
        return [
            Team("studios", weight=3.0, limit=12),
            Team("agents", weight=1.0, limit=6),
            *keys,
            Pool("desk"),
            Queue("quotes", "desk", idempotent=True, run_seconds=0.05, max_seconds=5.0),
            Queue("invoices", "desk", run_seconds=0.1, max_seconds=10.0),
            Budget("one-per-pool", "pool", "*", 1),
            *vms,
        ]

    async def apply(self, objects: list[ConfigObject], by: str = "demo") -> None:
        """Write configuration objects through the first daemon."""
        replica = self.nodes[0].replica
        changes = [
            Change(value.kind, value.name, value, replica.revision_of(value.kind, value.name))
            for value in objects
        ]
        await self.nodes[0].writer.apply(changes, by)

    async def submit(
        self, node: int, queue: str, secret: str, body: bytes, **headers: str
    ) -> httpcore.Response:
        """Submit a job through one of the daemons.

        :param node: index of the daemon
        :param headers: further headers, with underscores in place of hyphens
        """
        address = self.nodes[node].member.info.caller_address
        request_headers = {"authorization": f"Bearer {secret}", "time-left": "5"}
        request_headers.update((name.replace("_", "-"), value) for name, value in headers.items())
        return await self.http.request(
            "POST",
            f"http://{address}/queues/{queue}/jobs",
            headers=list(request_headers.items()),
            content=body,
        )
