"""A network in memory between daemons, callers and endpoints, with delays and faults."""

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

__all__ = ["AsgiConnections", "MemoryNetwork", "NetworkCaller", "call_app"]

Headers = list[tuple[bytes, bytes]]


@attrs.define
class MemoryNetwork:
    """Where everything is reached, and what goes wrong on the way.

    :param rng: random source
    :param delay_seconds: time one way
    :param jitter_seconds: most that is added at random
    :param loss: part of the messages between daemons that are lost
    :param doubled: part of the messages between daemons that arrive twice
    """

    rng: random.Random
    delay_seconds: float = 0.0014
    jitter_seconds: float = 0.0003
    loss: float = 0.0
    doubled: float = 0.0
    services: dict[str, Any] = attrs.field(factory=dict)
    apps: dict[str, Callable] = attrs.field(factory=dict)
    hosts: dict[str, str] = attrs.field(factory=dict)
    cut: set[str] = attrs.field(factory=set)
    cut_pairs: set[frozenset[str]] = attrs.field(factory=set)
    frozen: set[str] = attrs.field(factory=set)
    messages: Counter[str] = attrs.field(factory=Counter)
    bytes_sent: Counter[str] = attrs.field(factory=Counter)

    async def travel(self, source: str, target: str) -> None:
        """Wait for the way from one host to another; for good where it is cut."""
        while source in self.frozen or target in self.frozen:
            await anyio.sleep(0.01)
        if self.is_cut(source, target):
            await anyio.sleep_forever()
        await anyio.sleep(self.delay_seconds + self.rng.random() * self.jitter_seconds)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether nothing passes between two hosts."""
        return bool(self.cut & {source, target}) or frozenset((source, target)) in self.cut_pairs


class _MemoryStream:
    """The part of a grpclib stream that the handlers use."""

    def __init__(self, message: Any):
        self.message = message
        self.reply: Any = None
        self.replied = anyio.Event()

    async def recv_message(self) -> Any:
        """Return the request."""
        return self.message

    async def send_message(self, message: Any) -> None:
        """Take the reply."""
        self.reply = message
        self.replied.set()


class NetworkCaller:
    """Calls other daemons over a network in memory.

    :param network: the network
    :param host: host that the calls come from
    :param tasks: task group in which calls are answered
    """

    def __init__(self, network: MemoryNetwork, host: str, tasks: anyio.abc.TaskGroup):
        self.network = network
        self.host = host
        self.tasks = tasks

    async def call(self, address: str, method: str, message: Any, timeout: float = 1.0) -> Any:
        """Return the reply to a message.

        :raises PeerError: if there is none in time
        """
        network, target = self.network, address.rpartition(":")[0]
        network.messages[method] += 1
        network.bytes_sent[method] += message.ByteSize()
        with anyio.move_on_after(timeout):
            await network.travel(self.host, target)
            service = network.services.get(address)
            if service is None or network.rng.random() < network.loss:
                await anyio.sleep_forever()
            assert service is not None
            if network.rng.random() < network.doubled:
                self.tasks.start_soon(self._repeat, service, method, message, target)
            stream = _MemoryStream(type(message).FromString(message.SerializeToString()))
            start_guarded(self.tasks, getattr(service, method), stream)
            await stream.replied.wait()
            if network.rng.random() < network.loss:
                await anyio.sleep_forever()
            await network.travel(target, self.host)
            network.bytes_sent[method + " reply"] += stream.reply.ByteSize()
            return stream.reply
        raise PeerError(f"{address}: no reply to {method}")

    def close_others(self, addresses: Iterable[str]) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""

    async def _repeat(self, service: PeerBase, method: str, message: Any, target: str) -> None:
        await anyio.sleep(self.network.rng.random() * 2.0)
        await self.network.travel(self.host, target)
        await getattr(service, method)(_MemoryStream(message))


async def call_app(
    app: Callable,
    path: str,
    headers: Headers,
    body: bytes | AsyncIterator[bytes] = b"",
    method: str = "POST",
    gone: anyio.Event | None = None,
) -> httpcore.Response:
    """Return an ASGI application's whole answer to a request.

    :param gone: set when the caller breaks off
    :raises httpcore.RemoteProtocolError: if the answer broke off
    """
    whole = body if isinstance(body, bytes) else b"".join([chunk async for chunk in body])
    sent = False
    gone = gone or anyio.Event()
    status, answered, content, ended = 0, [], bytearray(), False

    async def receive() -> dict[str, Any]:
        nonlocal sent
        if not sent:
            sent = True
            return {"type": "http.request", "body": whole, "more_body": False}
        await gone.wait()
        return {"type": "http.disconnect"}

    async def send(message: dict[str, Any]) -> None:
        nonlocal status, answered, ended
        if message["type"] == "http.response.start":
            status, answered = message["status"], list(message["headers"])
        else:
            content.extend(message.get("body", b""))
            ended = not message.get("more_body")

    scope = {"type": "http", "method": method, "path": path, "headers": headers}
    try:
        await app(scope, receive, send)
    except ConnectionAbortedError:
        ended = False
    if not ended:
        raise httpcore.RemoteProtocolError("the answer broke off")
    response = httpcore.Response(status, headers=answered, content=bytes(content))
    await response.aread()
    return response


@attrs.define(eq=False)
class _AsgiConnection:
    """A connection to an application in memory."""

    network: MemoryNetwork
    host: str
    address: str
    silent: bool = False

    async def handle_async_request(self, request: httpcore.Request) -> httpcore.Response:
        """Send a request and return the answer."""
        network, target = self.network, self.address.rpartition(":")[0]
        timeout = request.extensions["timeout"]
        app = network.apps.get(self.address)
        if app is None or network.is_cut(self.host, target):
            await anyio.sleep(timeout["connect"] if app else 0.0)
            raise httpcore.ConnectTimeout if app else httpcore.ConnectError
        while self.host in network.frozen:
            await anyio.sleep(0.01)
        await request.extensions["trace"]("http11.send_request_headers.started", {})
        with anyio.move_on_after(timeout["read"]):
            if self.silent:
                await anyio.sleep_forever()
            await network.travel(self.host, target)
            body = b"".join([chunk async for chunk in request.stream])  # type: ignore[union-attr]
            path = request.url.target.decode()
            response = await call_app(app, path, _lower(request.headers), body)
            await network.travel(target, self.host)
            return httpcore.Response(
                response.status, headers=response.headers, content=response.content
            )
        raise httpcore.ReadTimeout

    def is_available(self) -> bool:
        """Return whether another request can be sent."""
        return True

    def has_expired(self) -> bool:
        """Return whether the other end has closed it."""
        return False

    async def aclose(self) -> None:
        """Close it."""


class AsgiConnections:
    """Connections from one host to applications in memory.

    :param network: the network
    :param host: host that the connections come from
    """

    def __init__(self, network: MemoryNetwork, host: str):
        self.network = network
        self.host = host
        self.idle: dict[str, list[_AsgiConnection]] = {}
        self.opened = 0

    async def acquire(self, address: str, require_fresh: bool) -> tuple[_AsgiConnection, bool]:
        """Return a connection and whether it was used before."""
        kept = self.idle.get(address)
        if kept and not require_fresh:
            return kept.pop(), True
        self.opened += 1
        return _AsgiConnection(self.network, self.host, address), False

    async def release(self, address: str, connection: Any) -> None:
        """Keep a connection whose answer was read whole."""
        self.idle.setdefault(address, []).append(connection)

    def silence(self) -> None:
        """Let the idle connections pass nothing more; new ones work."""
        for kept in self.idle.values():
            for connection in kept:
                connection.silent = True

    async def discard_idle(self, address: str) -> None:
        """Forget the idle connections to an address."""
        self.idle.pop(address, None)

    def set_daemon_count(self, daemons: int) -> None:
        """Do nothing."""

    async def prune(self) -> None:
        """Do nothing."""

    async def aclose(self) -> None:
        """Forget all idle connections."""
        self.idle.clear()


def _lower(headers: Any) -> Headers:
    return [(name.lower(), value) for name, value in headers]
