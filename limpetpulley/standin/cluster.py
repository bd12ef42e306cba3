"""A cluster of daemons on a simulated network, for scenarios and measurements."""

from __future__ import annotations

import json
import random
from collections import Counter
from collections.abc import Iterable

import anyio
import attrs
import httpcore

from ..api.callers import CallersApp
from ..config import AccessKey, Change, ConfigObject, digest_secret
from ..daemon import Node, NodeDependencies
from ..daemon.departure import leave
from ..daemon.handlers import PeerHandlers
from ..settings import Settings
from ..store import MemoryStore
from .endpoint import EndpointStandin
from .faults import Faults
from .fleet import MemoryFleet
from .network import AsgiConnections, MemoryNetwork, MemoryPeerCaller, call_app
from .store import FaultyStore
from .virtual import VirtualClock

__all__ = ["Cluster", "JobOutcome"]

MAX_BODY_BYTES = 1 << 20


@attrs.frozen
class JobOutcome:
    """The outcome of a job, as its caller sees it.

    :param status: HTTP status, 0 if the response was cut short
    :param reason: machine-readable reason of a refusal
    :param run: statement of a refusal on whether the job ran
    :param seconds: time until the response, in seconds
    :param content: body of the response
    """

    status: int
    reason: str = ""
    run: str = ""
    seconds: float = 0.0
    content: bytes = b""


@attrs.define
class CountingMetrics:
    """A metrics client that adds up the counters of all daemons."""

    counts: Counter[str] = attrs.field(factory=Counter)

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += count

    def timing(self, name: str, milliseconds: float) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""


@attrs.define
class Cluster:
    """Daemons, their store, the platform's fleet and endpoints, on a simulated network.

    :param tasks: task group in which everything runs
    :param seed: seed of all random sources
    :param validity_seconds: how long a confirmed renewal allows a daemon to start jobs, in seconds
    :param counts: number of store calls of all daemons, by kind
    """

    tasks: anyio.abc.TaskGroup
    seed: int = 1
    validity_seconds: float = 4.0
    nodes: dict[str, Node] = attrs.field(factory=dict)
    apps: dict[str, CallersApp] = attrs.field(factory=dict)
    endpoints: dict[str, EndpointStandin] = attrs.field(factory=dict)
    counts: Counter[str] = attrs.field(factory=Counter)
    metrics: CountingMetrics = attrs.field(factory=lambda: CountingMetrics())
    faults: Faults = attrs.field(factory=Faults)
    clock: VirtualClock = attrs.field(factory=VirtualClock)
    rng: random.Random = attrs.field(init=False)
    network: MemoryNetwork = attrs.field(init=False)
    store: MemoryStore = attrs.field(init=False)
    fleet: MemoryFleet = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.network = MemoryNetwork(random.Random(self.seed + 1))
        self.store = MemoryStore(self.clock)
        self.fleet = MemoryFleet(clock=self.clock)

    def start(self, name: str, data_centre: str, clock_rate: float = 1.0) -> Node:
        """Start a daemon and return its node.

        :param clock_rate: seconds that pass on its clock per second of virtual time
        """
        settings = Settings(
            name=name,
            data_centre=data_centre,
            validity_seconds=self.validity_seconds,
            peers=tuple(node.member.info.peer_address for node in self.nodes.values()),
        )
        dependencies = NodeDependencies(
            FaultyStore(self.store, self.faults, self.network, name, self.counts),
            self.fleet,
            self.fleet,
            MemoryPeerCaller(self.network, name, self.tasks),
            AsgiConnections(self.network, name),
            AsgiConnections(self.network, name),
            self.tasks,
            VirtualClock(clock_rate, self.rng.random() * 1000),
            random.Random(self.rng.random()),
            self.metrics,
        )
        node = Node(settings, dependencies, f"{name}:2", f"{name}:0")
        handlers = PeerHandlers()
        handlers.node = node
        app = CallersApp(MAX_BODY_BYTES)
        app.set_services(node.jobs, node)
        self.network.services[f"{name}:2"] = handlers
        self.network.apps[f"{name}:0"] = app
        self.apps[name] = app
        self.nodes[name] = node
        self.network.cut.discard(name)
        self.fleet.get_or_add(name)
        self.tasks.start_soon(node.run)
        return node

    def add_endpoint(self, vm: str) -> str:
        """Start an endpoint on a VM and return its address."""
        endpoint = self.endpoints[vm] = EndpointStandin(self.clock)
        self.network.apps[f"{vm}:80"] = endpoint
        self.fleet.get_or_add(vm)
        return f"{vm}:80"

    async def apply(self, objects: Iterable[ConfigObject]) -> int:
        """Write configuration objects to the store and return the new revision."""
        node = next(iter(self.nodes.values()))
        snapshot = await self.store.read(node.keyspace.config)
        revisions = {entry.key: entry.revision for entry in snapshot.entries}
        changes = []
        for config_object in objects:
            key = node.keyspace.config_key(config_object.kind, config_object.name)
            changes.append(
                Change(config_object.kind, config_object.name, config_object, revisions.get(key, 0))
            )
        written = await node.writer.apply(changes, "scenario")
        return written.revision

    async def submit(
        self,
        name: str,
        queue: str,
        team: str = "",
        seconds: float = 5.0,
        body: bytes = b"x",
        disconnected: anyio.Event | None = None,
        **headers: str,
    ) -> JobOutcome:
        """Submit a job through a daemon and return its outcome.

        :param team: team whose access key is sent, empty for none
        :param seconds: time left until the job's deadline
        :param disconnected: set when the caller disconnects
        :param headers: further headers, with underscores in place of hyphens
        """
        all_headers = {"time-left": str(seconds), "content-length": str(len(body))}
        if team:
            all_headers |= {"authorization": f"Bearer secret-of-{team}", "team": team}
        all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        encoded = [(key.encode(), value.encode()) for key, value in all_headers.items()]
        submitted_at = self.clock.now()
        path = f"/queues/{queue}/jobs"
        try:
            response = await call_app(
                self.apps[name], path, encoded, body, disconnected=disconnected
            )
        except httpcore.RemoteProtocolError:
            return JobOutcome(0, "broken-off", "", self.clock.now() - submitted_at)
        elapsed = self.clock.now() - submitted_at
        if response.status < 400:
            return JobOutcome(response.status, "", "", elapsed, response.content)
        try:
            problem = json.loads(response.content)
        except ValueError:
            problem = {}
        reason, run = problem.get("reason", ""), problem.get("run", "")
        return JobOutcome(response.status, reason, run, elapsed, response.content)

    async def settle(self, seconds: float = 30.0) -> None:
        """Wait until every running daemon is a valid member of one open view.

        :raises TimeoutError: if that takes longer
        """
        with anyio.fail_after(seconds):
            while not self.is_settled():
                await anyio.sleep(0.05)

    def is_settled(self) -> bool:
        """Return whether every running daemon is a valid member of one open view."""
        view_revisions = {node.member.view_revision for node in self.nodes.values()}
        stored_view = self.store.entries.get("/limpetpulley/view")
        return (
            len(view_revisions) == 1
            and stored_view is not None
            and view_revisions == {stored_view.revision}
            and all(node.member.is_valid() for node in self.nodes.values())
            and all(node.member.view.state == "open" for node in self.nodes.values())  # type: ignore[union-attr]
            and all(node.store_sync.config_loaded for node in self.nodes.values())
        )

    def kill(self, name: str) -> None:
        """Stop a daemon at once without any cleanup, and remove its VM."""
        node = self.nodes.pop(name)
        node.run_scope.cancel()
        self.apps.pop(name)
        self.network.services.pop(f"{name}:2", None)
        self.network.apps.pop(f"{name}:0", None)
        self.network.cut.add(name)
        self.fleet.remove(name)

    async def stop(self, name: str) -> None:
        """Stop a daemon gracefully, and remove its VM."""
        node = self.nodes[name]
        node.leaving = True
        node.store_sync.may_join = False
        node.heartbeats.broadcast()
        await anyio.sleep(0.5)
        dispatcher = node.dispatcher
        while dispatcher.active or dispatcher.held or len(node.starter.waiting):
            await anyio.sleep(0.05)
        await leave(node)
        self.nodes.pop(name)
        node.run_scope.cancel()
        self.apps.pop(name)
        self.network.services.pop(f"{name}:2", None)
        self.network.apps.pop(f"{name}:0", None)
        self.fleet.remove(name)

    def held(self, resource: str) -> int:
        """Return the number of permits of a resource that all running daemons hold together."""
        return sum(node.ledger.holding(resource).held for node in self.nodes.values())

    @staticmethod
    def key(team: str) -> AccessKey:
        """Return the access key whose secret :meth:`submit` sends for a team."""
        return AccessKey(f"{team}-key", team, digest_secret(f"secret-of-{team}"))
