"""HTTP client for the platform and for workers.

A thin client on top of ``httptools``: the owner of a pool makes hundreds of small calls a second to
its workers, and a general-purpose client takes most of the CPU time of a VM at this rate.
"""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable, Mapping
from typing import Protocol

import anyio
import attrs
import httptools

from .address import Address
from .exception import HttpError

__all__ = ["HttpClient", "HttpResponse", "PooledHttpClient"]

#: connections to one address at a time; a worker accepts 64 from all daemons together
MAX_CONNECTIONS = 12
#: idle time after which a connection is not reused, because it may have stopped responding
MAX_IDLE_SECONDS = 10.0
CONNECT_TIMEOUT_SECONDS = 1.0
#: time after which a connection with unacknowledged data is closed
UNACKNOWLEDGED_TIMEOUT_MS = 3000
#: time without any byte after which a response that is arriving counts as interrupted, in seconds
STALL_SECONDS = 1.0
#: size limit of a response body; a page of the store's entries has about a megabyte
MAX_RESPONSE_BYTES = 8 << 20


@attrs.frozen
class HttpResponse:
    """A complete response."""

    status: int
    content: bytes


class HttpClient(Protocol):
    """Sends HTTP requests."""

    async def request(
        self,
        method: str,
        address: Address,
        target: str,
        headers: Mapping[str, str],
        content: bytes,
        timeout: float,
        may_send: Callable[[], bool] | None = None,
        on_bytes: Callable[[int], None] | None = None,
        longest: float = 0.0,
    ) -> HttpResponse:
        """Send a request and return its response.

                :param target: path and query
        :param timeout: timeout of the call, in seconds
        :param may_send: called once there is a connection, right before the first byte is sent;
            nothing is sent if it returns False
        :param on_bytes: called with the number of bytes whenever a part of the response arrives
        :param longest: timeout of the call while the response is arriving, in seconds, if that is
            longer
        :raises HttpError: if no complete response was received; the request may have been executed
        """

    async def aclose(self) -> None:
        """Close all connections."""


class _Connection(asyncio.Protocol):
    """A connection that serves one request at a time."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.response: asyncio.Future[HttpResponse] | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.idle_since = 0.0
        # Bytes of the pending response so far, when the last of them arrived, the timer of its
        # timeout, and what is called with the bytes of each part.
        self.received_bytes = 0
        self.received_at = -math.inf
        self.timer: asyncio.TimerHandle | None = None
        self.on_bytes: Callable[[int], None] | None = None

    @property
    def is_open(self) -> bool:
        """Return whether a request can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        connected_socket = transport.get_extra_info("socket")
        connected_socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
        )

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response."""
        self.received_bytes += len(data)
        self.received_at = asyncio.get_running_loop().time()
        if self.on_bytes is not None:
            self.on_bytes(len(data))
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.fail(f"not an HTTP response: {error}")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request."""
        self.fail(f"connection lost: {exc!r}" if exc else "connection closed")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.body += body
        if len(self.body) > MAX_RESPONSE_BYTES:
            self.fail(f"response body exceeds {MAX_RESPONSE_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Complete the pending request with its response."""
        status = self.parser.get_status_code()
        if not self.parser.should_keep_alive():
            self.abort()
        if self.response is not None and not self.response.done():
            self.response.set_result(HttpResponse(status, bytes(self.body)))

    def send(self, request: bytes) -> asyncio.Future[HttpResponse]:
        """Send a request; return a future of its response."""
        assert self.transport is not None
        self.body = bytearray()
        self.received_bytes, self.received_at = 0, -math.inf
        self.response = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return self.response

    def fail(self, reason: str) -> None:
        """Close the connection and fail the pending request."""
        self.abort()
        if self.response is not None and not self.response.done():
            self.response.set_exception(HttpError(f"{self.address}: {reason}"))

    def abort(self) -> None:
        """Close the connection without flushing it."""
        if self.transport is not None:
            self.transport.abort()


@attrs.define
class _AddressConnections:
    """Connections to one address."""

    address: Address
    idle: list[_Connection] = attrs.field(factory=list)
    slots: anyio.Semaphore = attrs.field(factory=lambda: anyio.Semaphore(MAX_CONNECTIONS))


class PooledHttpClient:
    """An HTTP client that reuses connections.

    After a request has timed out, the other idle connections to its address are closed too,
    because they may have stopped responding as well.
    """

    def __init__(self) -> None:
        self.connections: dict[Address, _AddressConnections] = {}
        self.calls = 0

    async def request(
        self,
        method: str,
        address: Address,
        target: str,
        headers: Mapping[str, str],
        content: bytes,
        timeout: float,
        may_send: Callable[[], bool] | None = None,
        on_bytes: Callable[[int], None] | None = None,
        longest: float = 0.0,
    ) -> HttpResponse:
        """Send a request and return its response."""
        self.calls += 1
        connections = self.connections.get(address)
        if connections is None:
            connections = self.connections[address] = _AddressConnections(_parse(address))
        started_at = asyncio.get_running_loop().time()
        deadline = started_at + timeout
        await _acquire_slot(connections, address, timeout)
        try:
            connection = await self._get_connection(connections, deadline)
            connection.on_bytes = on_bytes
            request = _encode(method, address, target, headers, content)
            longest_until = max(deadline, started_at + longest)
            return await self._call(
                connections, connection, request, deadline, longest_until, may_send
            )
        finally:
            connections.slots.release()

    async def aclose(self) -> None:
        """Close all connections."""
        for connections in self.connections.values():
            self._close_idle(connections)

    async def _get_connection(
        self, connections: _AddressConnections, deadline: float
    ) -> _Connection:
        """Return an idle connection, or a new one."""
        now = asyncio.get_running_loop().time()
        connection = self._pop_idle(connections, now)
        if connection is None:
            timeout = min(CONNECT_TIMEOUT_SECONDS, deadline - now)
            connection = await _connect(connections.address, timeout)
        return connection

    async def _call(
        self,
        connections: _AddressConnections,
        connection: _Connection,
        request: bytes,
        deadline: float,
        longest_until: float,
        may_send: Callable[[], bool] | None,
    ) -> HttpResponse:
        loop = asyncio.get_running_loop()
        # A timer costs a fraction of a cancel scope, and most calls end before either fires.
        connection.timer = loop.call_at(
            deadline, self._on_timeout, connections, connection, longest_until
        )
        completed = False
        try:
            if may_send is not None and not may_send():
                reason = "not sent: no longer permitted"
                raise HttpError(f"{connection.address}: {reason}")
            response = await connection.send(request)
            completed = True
            return response
        finally:
            connection.timer.cancel()
            connection.on_bytes = None
            if completed and connection.is_open:
                connection.idle_since = loop.time()
                connections.idle.append(connection)
            else:
                connection.abort()

    def _on_timeout(
        self, connections: _AddressConnections, connection: _Connection, longest_until: float
    ) -> None:
        """Give up a response, unless it is arriving."""
        loop = asyncio.get_running_loop()
        until = min(connection.received_at + STALL_SECONDS, longest_until)
        if loop.time() < until:
            connection.timer = loop.call_at(
                until, self._on_timeout, connections, connection, longest_until
            )
            return
        self._close_idle(connections)
        connection.fail(f"response timed out after {connection.received_bytes} bytes")

    def _pop_idle(self, connections: _AddressConnections, now: float) -> _Connection | None:
        while connections.idle:
            connection = connections.idle.pop()
            if connection.is_open and now - connection.idle_since <= MAX_IDLE_SECONDS:
                return connection
            connection.abort()
        return None

    def _close_idle(self, connections: _AddressConnections) -> None:
        for connection in connections.idle:
            connection.abort()
        connections.idle.clear()


async def _acquire_slot(connections: _AddressConnections, address: Address, timeout: float) -> None:
    """Wait until the connection limit of an address admits another request."""
    try:
        connections.slots.acquire_nowait()
    except anyio.WouldBlock:
        with anyio.move_on_after(timeout) as scope:
            await connections.slots.acquire()
        if scope.cancelled_caught:
            raise HttpError(f"{address}: no free connection within {timeout:.1f} s") from None


def _parse(address: str) -> Address:
    try:
        return Address(address)
    except ValueError as error:
        raise HttpError(str(error)) from None


async def _connect(address: Address, timeout: float) -> _Connection:
    loop = asyncio.get_running_loop()
    connection = _Connection(address)
    try:
        with anyio.fail_after(timeout):
            await loop.create_connection(lambda: connection, address.host, address.port)
    except (OSError, TimeoutError) as error:
        connection.abort()
        raise HttpError(f"{address}: connection failed: {error!r}") from None
    return connection


def _encode(
    method: str, address: Address, target: str, headers: Mapping[str, str], content: bytes
) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if content or method != "GET":
        lines.append(f"Content-Length: {len(content)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + content
