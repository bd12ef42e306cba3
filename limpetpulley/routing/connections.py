"""Reusable HTTP connections to endpoints."""

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
UNACKNOWLEDGED_TIMEOUT_MS = 3000
KEEPALIVE_IDLE_SECONDS = 5
MAX_IDLE_SECONDS = 10.0
FRESH_IDLE_SECONDS = 0.5
MAX_IDLE_PER_ENDPOINT = 32

SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
]


class Connection(Protocol):
    """An HTTP connection."""

    async def handle_async_request(self, request: httpcore.Request) -> httpcore.Response:
        """Send a request and return the head of its response."""

    def is_available(self) -> bool:
        """Return whether the connection accepts another request."""

    def has_expired(self) -> bool:
        """Return whether the endpoint has closed the connection."""

    async def aclose(self) -> None:
        """Close the connection."""


class Connections(Protocol):
    """Acquires and releases connections by address."""

    async def acquire(self, address: str, require_fresh: bool) -> tuple[Connection, bool]:
        """Return a connection and whether it was used before."""

    async def release(self, address: str, connection: Connection) -> None:
        """Return a connection for reuse after its response was read to the end."""

    async def discard_idle(self, address: str) -> None:
        """Close the idle connections to an address after one of them stopped responding."""

    def set_daemon_count(self, daemons: int) -> None:
        """Set how many daemons connect to the same endpoints."""

    async def prune(self) -> None:
        """Close connections that have been idle for too long."""

    async def aclose(self) -> None:
        """Close all idle connections."""


@attrs.define
class _IdleConnection:
    connection: Connection
    idle_since: float


class EndpointConnections:
    """Connections by address; idle ones are reused only for a short time.

    A connection can stop responding without an error while new connections work. A connection
    that has been idle for long is therefore closed instead of reused. A job that must not be
    sent twice gets a connection that was in use a moment ago, or a new one.

    :param clock: the daemon's clock
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.max_idle_per_endpoint = MAX_IDLE_PER_ENDPOINT
        self.idle: dict[str, list[_IdleConnection]] = defaultdict(list)

    def set_daemon_count(self, daemons: int) -> None:
        """Divide the limit on idle connections per endpoint among the daemons.

        All daemons together then leave an endpoint enough connections for running jobs.

        :param daemons: how many daemons connect to the same endpoints
        """
        self.max_idle_per_endpoint = max(1, MAX_IDLE_PER_ENDPOINT // max(1, daemons))

    async def acquire(self, address: str, require_fresh: bool) -> tuple[Connection, bool]:
        """Return a connection and whether it was used before.

        :param address: ``host:port``
        :param require_fresh: whether to reuse only connections that were idle very briefly
        """
        max_idle_seconds = FRESH_IDLE_SECONDS if require_fresh else MAX_IDLE_SECONDS
        idle = self.idle[address]
        while idle:
            entry = idle.pop()
            recent = self.clock.now() - entry.idle_since <= max_idle_seconds
            if recent and entry.connection.is_available() and not entry.connection.has_expired():
                return entry.connection, True
            await close_connection(entry.connection)
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        return (
            httpcore.AsyncHTTPConnection(
                origin, keepalive_expiry=MAX_IDLE_SECONDS, socket_options=SOCKET_OPTIONS
            ),
            False,
        )

    async def release(self, address: str, connection: Connection) -> None:
        """Keep a connection whose response was read to the end, or close it above the limit."""
        idle = self.idle[address]
        if len(idle) < self.max_idle_per_endpoint and connection.is_available():
            idle.append(_IdleConnection(connection, self.clock.now()))
        else:
            await close_connection(connection)

    async def discard_idle(self, address: str) -> None:
        """Close the idle connections to an address after one of them stopped responding."""
        for entry in self.idle.pop(address, []):
            await close_connection(entry.connection)

    async def prune(self) -> None:
        """Close connections that have been idle for too long."""
        min_idle_since = self.clock.now() - MAX_IDLE_SECONDS
        for address in list(self.idle):
            expired = [entry for entry in self.idle[address] if entry.idle_since < min_idle_since]
            self.idle[address] = [
                entry for entry in self.idle[address] if entry.idle_since >= min_idle_since
            ]
            for entry in expired:
                await close_connection(entry.connection)
            if not self.idle[address]:
                del self.idle[address]

    async def aclose(self) -> None:
        """Close all idle connections."""
        for idle in self.idle.values():
            for entry in idle:
                await close_connection(entry.connection)
        self.idle.clear()


async def close_connection(connection: Connection) -> None:
    """Close a connection in any state, within the connect timeout and despite cancellation."""
    with anyio.CancelScope(shield=True), anyio.move_on_after(CONNECT_TIMEOUT_SECONDS):
        await connection.aclose()
