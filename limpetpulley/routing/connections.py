"""HTTP connections to endpoints."""

from __future__ import annotations

import socket
from collections import defaultdict
from typing import Protocol

import anyio
import attrs
import httpcore

from ..clock import Clock

__all__ = ["Connection", "Connections", "EndpointConnections"]

CONNECT_TIMEOUT_SECONDS = 1.0
UNACKNOWLEDGED_MILLISECONDS = 3000
KEEPALIVE_IDLE_SECONDS = 5
REUSE_SECONDS = 10.0
CAREFUL_REUSE_SECONDS = 0.5
IDLE_PER_ENDPOINT = 32

SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
]


class Connection(Protocol):
    """An HTTP connection."""

    async def handle_async_request(self, request: httpcore.Request) -> httpcore.Response:
        """Send a request and return the head of its answer."""

    def is_available(self) -> bool:
        """Return whether another request can be sent."""

    def has_expired(self) -> bool:
        """Return whether the other end has closed it."""

    async def aclose(self) -> None:
        """Close it."""


class Connections(Protocol):
    """Connections by address."""

    async def acquire(self, address: str, require_fresh: bool) -> tuple[Connection, bool]:
        """Return a connection and whether it was used before."""

    async def release(self, address: str, connection: Connection) -> None:
        """Take back a connection whose answer was read whole."""

    async def discard_idle(self, address: str) -> None:
        """Close the idle connections to an address, because one of them went silent."""

    def set_daemon_count(self, daemons: int) -> None:
        """Note how many daemons connect to the same endpoints."""

    async def prune(self) -> None:
        """Close connections that have been idle too long."""

    async def aclose(self) -> None:
        """Close all idle connections."""


@attrs.define
class _Idle:
    connection: Connection
    since: float


class EndpointConnections:
    """Connections by address; idle ones are used again only while they are recent.

    A connection can go silent without an error while new ones work. One that has not answered
    for a while is therefore closed, not tried; a job that must not be sent twice gets one that
    answered a moment ago, or a new one.

    :param clock: the daemon's clock
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.max_idle = IDLE_PER_ENDPOINT
        self.idle: dict[str, list[_Idle]] = defaultdict(list)

    def set_daemon_count(self, daemons: int) -> None:
        """Keep so few idle connections that all daemons together leave room for the busy ones.

        :param daemons: how many daemons connect to the same endpoints
        """
        self.max_idle = max(1, IDLE_PER_ENDPOINT // max(1, daemons))

    async def acquire(self, address: str, require_fresh: bool) -> tuple[Connection, bool]:
        """Return a connection and whether it was used before.

        :param address: ``host:port``
        :param careful: whether a silent connection would do harm
        """
        longest = CAREFUL_REUSE_SECONDS if require_fresh else REUSE_SECONDS
        idle = self.idle[address]
        while idle:
            found = idle.pop()
            recent = self.clock.now() - found.since <= longest
            if recent and found.connection.is_available() and not found.connection.has_expired():
                return found.connection, True
            await close(found.connection)
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        return (
            httpcore.AsyncHTTPConnection(
                origin, keepalive_expiry=REUSE_SECONDS, socket_options=SOCKET_OPTIONS
            ),
            False,
        )

    async def release(self, address: str, connection: Connection) -> None:
        """Keep a connection whose answer was read whole, or close it if there are enough."""
        idle = self.idle[address]
        if len(idle) < self.max_idle and connection.is_available():
            idle.append(_Idle(connection, self.clock.now()))
        else:
            await close(connection)

    async def discard_idle(self, address: str) -> None:
        """Close the idle connections to an address, because one of them went silent."""
        for found in self.idle.pop(address, []):
            await close(found.connection)

    async def prune(self) -> None:
        """Close connections that have been idle too long."""
        oldest = self.clock.now() - REUSE_SECONDS
        for address in list(self.idle):
            old = [found for found in self.idle[address] if found.since < oldest]
            self.idle[address] = [found for found in self.idle[address] if found.since >= oldest]
            for found in old:
                await close(found.connection)
            if not self.idle[address]:
                del self.idle[address]

    async def aclose(self) -> None:
        """Close all idle connections."""
        for idle in self.idle.values():
            for found in idle:
                await close(found.connection)
        self.idle.clear()


async def close(connection: Connection) -> None:
    """Close a connection whatever state it is in."""
    with anyio.CancelScope(shield=True), anyio.move_on_after(CONNECT_TIMEOUT_SECONDS):
        await connection.aclose()
