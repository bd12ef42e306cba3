"""Simulated network between daemons, callers and endpoints, with delays and faults."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any

import anyio
import attrs
import httpcore

from ..exception import PeerError
from ..peer.peer_grpc import PeerBase
from ..tasks import start_guarded
from .link import BandwidthLink, carry_between

__all__ = ["AsgiConnections", "MemoryNetwork", "MemoryPeerCaller", "call_app"]

Headers = list[tuple[bytes, bytes]]


@attrs.define
class MemoryNetwork:
    """Services by address, and the faults of the network between them.

    Addresses are ``host:port``; delays and partitions apply to hosts.

    :param rng: random source
    :param delay_seconds: least one-way delay, in seconds
    :param jitter_seconds: largest random addition to the delay, in seconds
    :param loss_rate: share of the requests between daemons, and of the replies, that are lost
    :param duplication_rate: share of the requests between daemons that are delivered twice
    :param services: gRPC handlers of the daemons, by address
    :param apps: ASGI applications, by address
    :param cut: hosts that are partitioned from all others
    :param cut_pairs: pairs of hosts that are partitioned from each other
    :param frozen: hosts whose traffic is held back until they are removed from the set
    :param links: links of the hosts; messages from and to other hosts take no time for their bytes
    :param messages: number of requests between daemons, by method
    :param bytes_sent: bytes sent between daemons, by method; replies are counted separately
    """

    rng: random.Random
    delay_seconds: float = 0.0014
    jitter_seconds: float = 0.0003
    loss_rate: float = 0.0
    duplication_rate: float = 0.0
    services: dict[str, Any] = attrs.field(factory=dict)
    apps: dict[str, Callable] = attrs.field(factory=dict)
    hosts: dict[str, str] = attrs.field(factory=dict)
    cut: set[str] = attrs.field(factory=set)
    cut_pairs: set[frozenset[str]] = attrs.field(factory=set)
    frozen: set[str] = attrs.field(factory=set)
    links: dict[str, BandwidthLink] = attrs.field(factory=dict)
    messages: Counter[str] = attrs.field(factory=Counter)
    bytes_sent: Counter[str] = attrs.field(factory=Counter)

    async def simulate_transit(self, source: str, target: str) -> None:
        """Wait for the delay from one host to another; never return if they are partitioned."""
        while source in self.frozen or target in self.frozen:
            await anyio.sleep(0.01)
        if self.is_partitioned(source, target):
            await anyio.sleep_forever()
        await anyio.sleep(self.delay_seconds + self.rng.random() * self.jitter_seconds)

    async def carry(self, source: str, target: str, count: int) -> None:
        """Carry the bytes of a message over the links of two hosts, if they have one."""
        links = self.links.get(source), self.links.get(target)
        if links[0] is not None and links[1] is not None:
            await carry_between(links[0], links[1], count)

    def is_partitioned(self, source: str, target: str) -> bool:
        """Return whether two hosts are partitioned from each other."""
        return bool(self.cut & {source, target}) or frozenset((source, target)) in self.cut_pairs


class _MemoryStream:
    """The part of the interface of a grpclib stream that the handlers use."""

    def __init__(self, message: Any):
        self.message = message
        self.reply: Any = None
        self.replied = anyio.Event()

    async def recv_message(self) -> Any:
        """Return the request."""
        return self.message

    async def send_message(self, message: Any) -> None:
        """Record the reply."""
        self.reply = message
        self.replied.set()


class MemoryPeerCaller:
    """A :class:`~limpetpulley.peer.client.PeerCaller` over the simulated network.

    :param network: the network
    :param host: host that sends the calls
    :param tasks: task group in which the handlers run
    """

    def __init__(self, network: MemoryNetwork, host: str, tasks: anyio.abc.TaskGroup):
        self.network = network
        self.host = host
        self.tasks = tasks

    async def call(self, address: str, method: str, message: Any, timeout: float = 1.0) -> Any:
        """Return the reply to a message.

        :raises PeerError: if no reply arrives before the timeout
        """
        network, target = self.network, address.rpartition(":")[0]
        network.messages[method] += 1
        network.bytes_sent[method] += message.ByteSize()
        with anyio.move_on_after(timeout):
            await network.simulate_transit(self.host, target)
            await network.carry(self.host, target, message.ByteSize())
            service = network.services.get(address)
            if service is None or network.rng.random() < network.loss_rate:
                await anyio.sleep_forever()
            assert service is not None
            if network.rng.random() < network.duplication_rate:
                self.tasks.start_soon(self._deliver_duplicate, service, method, message, target)
            stream = _MemoryStream(type(message).FromString(message.SerializeToString()))
            start_guarded(self.tasks, getattr(service, method), stream)
            await stream.replied.wait()
            if network.rng.random() < network.loss_rate:
                await anyio.sleep_forever()
            await network.simulate_transit(target, self.host)
            await network.carry(target, self.host, stream.reply.ByteSize())
            network.bytes_sent[method + " reply"] += stream.reply.ByteSize()
            return stream.reply
        raise PeerError(f"{address}: no reply to {method}")

    def close_others(self, addresses: Iterable[str]) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""

    async def _deliver_duplicate(
        self, service: PeerBase, method: str, message: Any, target: str
    ) -> None:
        await anyio.sleep(self.network.rng.random() * 2.0)
        await self.network.simulate_transit(self.host, target)
        await getattr(service, method)(_MemoryStream(message))


async def call_app(
    app: Callable,
    path: str,
    headers: Headers,
    body: bytes | AsyncIterator[bytes] = b"",
    method: str = "POST",
    disconnected: anyio.Event | None = None,
) -> httpcore.Response:
    """Send a request to an ASGI application and return its complete response.

    :param disconnected: set when the caller disconnects
    :raises httpcore.RemoteProtocolError: if the response was cut short
    """
    request_body = body if isinstance(body, bytes) else b"".join([chunk async for chunk in body])
    request_sent = False
    disconnected = disconnected or anyio.Event()
    status, response_headers, content, complete = 0, [], bytearray(), False

    async def receive() -> dict[str, Any]:
        nonlocal request_sent
        if not request_sent:
            request_sent = True
            return {"type": "http.request", "body": request_body, "more_body": False}
        await disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(message: dict[str, Any]) -> None:
        nonlocal status, response_headers, complete
        if message["type"] == "http.response.start":
            status, response_headers = message["status"], list(message["headers"])
        else:
            content.extend(message.get("body", b""))
            complete = not message.get("more_body")

    scope = {"type": "http", "method": method, "path": path, "headers": headers}
    try:
        await app(scope, receive, send)
    except ConnectionAbortedError:
        complete = False
    if not complete:
        raise httpcore.RemoteProtocolError("the response was cut short")
    response = httpcore.Response(status, headers=response_headers, content=bytes(content))
    await response.aread()
    return response


@attrs.define(eq=False)
class _AsgiConnection:
    """A connection from a host to an ASGI application on the simulated network.

    :param stalled: whether requests on it get no response
    """

    network: MemoryNetwork
    host: str
    address: str
    stalled: bool = False

    async def handle_async_request(self, request: httpcore.Request) -> httpcore.Response:
        """Send a request and return the response."""
        network, target = self.network, self.address.rpartition(":")[0]
        timeout = request.extensions["timeout"]
        app = network.apps.get(self.address)
        if app is None or network.is_partitioned(self.host, target):
            await anyio.sleep(timeout["connect"] if app else 0.0)
            raise httpcore.ConnectTimeout if app else httpcore.ConnectError
        while self.host in network.frozen:
            await anyio.sleep(0.01)
        await request.extensions["trace"]("http11.send_request_headers.started", {})
        with anyio.move_on_after(timeout["read"]):
            if self.stalled:
                await anyio.sleep_forever()
            await network.simulate_transit(self.host, target)
            body = b"".join([chunk async for chunk in request.stream])  # type: ignore[union-attr]
            path = request.url.target.decode()
            response = await call_app(app, path, _lower_names(request.headers), body)
            await network.simulate_transit(target, self.host)
            return httpcore.Response(
                response.status, headers=response.headers, content=response.content
            )
        raise httpcore.ReadTimeout

    def is_available(self) -> bool:
        """Return whether another request can be sent."""
        return True

    def has_expired(self) -> bool:
        """Return whether the other end has closed the connection."""
        return False

    async def aclose(self) -> None:
        """Do nothing."""


class AsgiConnections:
    """Connections from one host to ASGI applications on the simulated network.

    :param network: the network
    :param host: host that opens the connections
    """

    def __init__(self, network: MemoryNetwork, host: str):
        self.network = network
        self.host = host
        self.idle: dict[str, list[_AsgiConnection]] = {}
        self.opened_count = 0

    async def acquire(self, address: str, require_fresh: bool) -> tuple[_AsgiConnection, bool]:
        """Return a connection, and whether it is reused.

        :param require_fresh: whether to open a new connection even if one is idle
        """
        idle = self.idle.get(address)
        if idle and not require_fresh:
            return idle.pop(), True
        self.opened_count += 1
        return _AsgiConnection(self.network, self.host, address), False

    async def release(self, address: str, connection: Any) -> None:
        """Keep a connection for reuse, after its response was read completely."""
        self.idle.setdefault(address, []).append(connection)

    def silence(self) -> None:
        """Stall the connections that are idle now; connections opened later work."""
        for idle in self.idle.values():
            for connection in idle:
                connection.stalled = True

    async def discard_idle(self, address: str) -> None:
        """Discard the idle connections to an address."""
        self.idle.pop(address, None)

    def set_daemon_count(self, daemons: int) -> None:
        """Do nothing."""

    async def prune(self) -> None:
        """Do nothing."""

    async def aclose(self) -> None:
        """Discard all idle connections."""
        self.idle.clear()


def _lower_names(headers: Any) -> Headers:
    return [(name.lower(), value) for name, value in headers]
