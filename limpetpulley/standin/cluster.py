"""Several daemons' logic over a network in memory, for scenarios and measurements."""

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
from .network import AsgiConnections, MemoryNetwork, NetworkCaller, call_app
from .store import FaultyStore
from .virtual import VirtualClock

__all__ = ["Cluster", "Outcome"]

MAX_BODY_BYTES = 1 << 20


@attrs.frozen
class Outcome:
    """How a job ended for its caller.

    :param status: HTTP status, 0 if the answer broke off
    :param reason: reason of a refusal
    :param run: whether a refusal says that the job did not run
    :param seconds: time until the answer
    :param content: the answer's content
    """

    status: int
    reason: str = ""
    run: str = ""
    seconds: float = 0.0
    content: bytes = b""


@attrs.define
class CountingMetrics:
    """Counts of all daemons together."""

    counts: Counter[str] = attrs.field(factory=Counter)

    def incr(self, name: str, count: int = 1) -> None:
        """Count events."""
        self.counts[name] += count

    def timing(self, name: str, milliseconds: float) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""


@attrs.define
class Cluster:
    """Daemons, store, fleet and endpoints.

    :param tasks: task group that everything runs in
    :param seed: seed of all random sources
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
        """Start a daemon.

        :param clock_rate: rate of its clock
        """
        settings = Settings(
            name=name,
            data_centre=data_centre,
            validity_seconds=self.validity_seconds,
            peers=tuple(node.member.info.peer_address for node in self.nodes.values()),
        )
        around = NodeDependencies(
            FaultyStore(self.store, self.faults, self.network, name, self.counts),
            self.fleet,
            self.fleet,
            NetworkCaller(self.network, name, self.tasks),
            AsgiConnections(self.network, name),
            AsgiConnections(self.network, name),
            self.tasks,
            VirtualClock(clock_rate, self.rng.random() * 1000),
            random.Random(self.rng.random()),
            self.metrics,
        )
        node = Node(settings, around, f"{name}:2", f"{name}:0")
        handlers = PeerHandlers()
        handlers.node = node
        app = CallersApp(MAX_BODY_BYTES)
        app.set_services(node.jobs, node)
        self.network.services[f"{name}:2"] = handlers
        self.network.apps[f"{name}:0"] = app
        self.apps[name] = app
        self.nodes[name] = node
        self.network.cut.discard(name)
        self.fleet.machine(name)
        self.tasks.start_soon(node.run)
        return node

    def add_endpoint(self, vm: str) -> str:
        """Add an endpoint and return its address."""
        endpoint = self.endpoints[vm] = EndpointStandin(self.clock)
        self.network.apps[f"{vm}:80"] = endpoint
        self.fleet.machine(vm)
        return f"{vm}:80"

    async def apply(self, objects: Iterable[ConfigObject]) -> int:
        """Write objects straight to the store; return the revision."""
        node = next(iter(self.nodes.values()))
        snapshot = await self.store.read(node.keyspace.config)
        seen = {entry.key: entry.revision for entry in snapshot.entries}
        changes = []
        for value in objects:
            key = node.keyspace.config_key(value.kind, value.name)
            changes.append(Change(value.kind, value.name, value, seen.get(key, 0)))
        written = await node.writer.apply(changes, "scenario")
        return written.revision

    async def submit(
        self,
        name: str,
        queue: str,
        team: str = "",
        seconds: float = 5.0,
        body: bytes = b"x",
        gone: anyio.Event | None = None,
        **headers: str,
    ) -> Outcome:
        """Hand in a job through a daemon and return how it ended."""
        fields = {"time-left": str(seconds), "content-length": str(len(body))}
        if team:
            fields |= {"authorization": f"Bearer secret-of-{team}", "team": team}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        encoded = [(key.encode(), value.encode()) for key, value in fields.items()]
        began = self.clock.now()
        path = f"/queues/{queue}/jobs"
        try:
            response = await call_app(self.apps[name], path, encoded, body, gone=gone)
        except httpcore.RemoteProtocolError:
            return Outcome(0, "broken-off", "", self.clock.now() - began)
        taken = self.clock.now() - began
        if response.status < 400:
            return Outcome(response.status, "", "", taken, response.content)
        try:
            problem = json.loads(response.content)
        except ValueError:
            problem = {}
        reason, run = problem.get("reason", ""), problem.get("run", "")
        return Outcome(response.status, reason, run, taken, response.content)

    async def settle(self, seconds: float = 30.0) -> None:
        """Wait until every running daemon is a valid member of one open view.

        :raises TimeoutError: if that takes longer
        """
        with anyio.fail_after(seconds):
            while not self.is_settled():
                await anyio.sleep(0.05)

    def is_settled(self) -> bool:
        """Return whether every running daemon is a valid member of one open view."""
        views = {node.member.view_revision for node in self.nodes.values()}
        newest = self.store.entries.get("/limpetpulley/view")
        return (
            len(views) == 1
            and newest is not None
            and views == {newest.revision}
            and all(node.member.is_valid() for node in self.nodes.values())
            and all(node.member.view.state == "open" for node in self.nodes.values())  # type: ignore[union-attr]
            and all(node.store_sync.config_loaded for node in self.nodes.values())
        )

    def kill(self, name: str) -> None:
        """Let a daemon be gone at once."""
        node = self.nodes.pop(name)
        node.run_scope.cancel()
        self.apps.pop(name)
        self.network.services.pop(f"{name}:2", None)
        self.network.apps.pop(f"{name}:0", None)
        self.network.cut.add(name)
        self.fleet.remove(name)

    async def stop(self, name: str) -> None:
        """Stop a daemon gracefully."""
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
        """Return the permits of a resource that all running daemons hold."""
        return sum(node.ledger.holding(resource).held for node in self.nodes.values())

    @staticmethod
    def key(team: str) -> AccessKey:
        """Return the access key whose secret :meth:`submit` shows for a team."""
        return AccessKey(f"{team}-key", team, digest_secret(f"secret-of-{team}"))
