"""HTTP calls to the platform and to workers.

A thin client on ``httptools``: an owner makes hundreds of small calls a second to the workers of
its pool, which a general client spends most of its VM's processor on.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping
from typing import Protocol

import anyio
import attrs
import httptools

from .exception import HttpError

__all__ = ["HttpAnswer", "HttpCaller", "KeptHttp"]

#: most connections to one address at once; workers take 64 from all daemons together
MAX_CONNECTIONS = 12
#: time after which an idle connection is not used again: it may have gone silent
IDLE_SECONDS = 10.0
#: longest time to connect
CONNECT_SECONDS = 1.0
#: time after which unacknowledged bytes end a connection
UNACKNOWLEDGED_MILLISECONDS = 3000
#: largest answer, in bytes; a page of the store's entries holds about a megabyte
MAX_ANSWER_BYTES = 8 << 20


@attrs.frozen
class HttpResponse:
    """A whole answer."""

    status: int
    content: bytes


class HttpClient(Protocol):
    """Makes HTTP calls."""

    async def request(
        self,
        method: str,
        address: str,
        target: str,
        headers: Mapping[str, str],
        content: bytes,
        timeout: float,
        may_send: Callable[[], bool] | None = None,
    ) -> HttpResponse:
        """Return the answer to a call.

        :param address: ``host:port``
        :param target: path and query
        :param timeout: longest time for the whole call, in seconds
        :param may_send: asked right before the first byte is sent, after a connection was made;
            nothing is sent if it returns False
        :raises HttpError: if no whole answer came; the call may have been carried out
        """

    async def aclose(self) -> None:
        """Close all connections."""


class _Connection(asyncio.Protocol):
    """One connection, with at most one call on it at a time."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[HttpResponse] | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.idle_since = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether a call can be made."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        connected = transport.get_extra_info("socket")
        connected.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS
        )

    def data_received(self, data: bytes) -> None:
        """Parse a part of the answer."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.fail(f"not an HTTP answer: {error}")

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell whoever waits that no answer will come."""
        self.fail(f"connection lost: {exc!r}" if exc else "connection closed")

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self.body += body
        if len(self.body) > MAX_ANSWER_BYTES:
            self.fail("the answer is too large")

    def on_message_complete(self) -> None:
        """Hand over the whole answer."""
        status = self.parser.get_status_code()
        if not self.parser.should_keep_alive():
            self.abort()
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(HttpResponse(status, bytes(self.body)))

    def send(self, request: bytes) -> asyncio.Future[HttpResponse]:
        """Send a request; return what will hold its answer."""
        assert self.transport is not None
        self.body = bytearray()
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return self.answer

    def fail(self, reason: str) -> None:
        """Give up the call that waits and close the connection."""
        self.abort()
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(HttpError(f"{self.address}: {reason}"))

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()


@attrs.define
class _Address:
    idle: list[_Connection] = attrs.field(factory=list)
    slots: anyio.Semaphore = attrs.field(factory=lambda: anyio.Semaphore(MAX_CONNECTIONS))


class PooledHttpClient:
    """HTTP calls over kept connections.

    After a call without an answer the other idle connections to its address are closed too: they
    may have gone silent as well.
    """

    def __init__(self) -> None:
        self.addresses: dict[str, _Address] = {}
        self.calls = 0

    async def request(
        self,
        method: str,
        address: str,
        target: str,
        headers: Mapping[str, str],
        content: bytes,
        timeout: float,
        may_send: Callable[[], bool] | None = None,
    ) -> HttpResponse:
        """Return the answer to a call."""
        self.calls += 1
        place = self.addresses.setdefault(address, _Address())
        ends_at = asyncio.get_running_loop().time() + timeout
        await _take_slot(place, address, timeout)
        try:
            connection = await self._open(place, address, ends_at)
            request = _encode(method, address, target, headers, content)
            return await self._call(place, connection, request, ends_at, may_send)
        finally:
            place.slots.release()

    async def aclose(self) -> None:
        """Close all connections."""
        for place in self.addresses.values():
            self._drop_idle(place)

    async def _open(self, place: _Address, address: str, ends_at: float) -> _Connection:
        """Return a kept connection, or a new one."""
        now = asyncio.get_running_loop().time()
        connection = self._take(place, now)
        if connection is None:
            connection = await _connect(address, min(CONNECT_SECONDS, ends_at - now))
        return connection

    async def _call(
        self,
        place: _Address,
        connection: _Connection,
        request: bytes,
        ends_at: float,
        may_send: Callable[[], bool] | None,
    ) -> HttpResponse:
        loop = asyncio.get_running_loop()
        # A timer costs a fraction of a cancel scope, and most calls need neither.
        timer = loop.call_at(ends_at, self._time_out, place, connection)
        answered = False
        try:
            if may_send is not None and not may_send():
                reason = "not sent, the permission for it has run out"
                raise HttpError(f"{connection.address}: {reason}")
            answer = await connection.send(request)
            answered = True
            return answer
        finally:
            timer.cancel()
            if answered and connection.is_open:
                connection.idle_since = loop.time()
                place.idle.append(connection)
            else:
                connection.abort()

    def _time_out(self, place: _Address, connection: _Connection) -> None:
        self._drop_idle(place)
        connection.fail("no answer in time")

    def _take(self, place: _Address, now: float) -> _Connection | None:
        while place.idle:
            connection = place.idle.pop()
            if connection.is_open and now - connection.idle_since <= IDLE_SECONDS:
                return connection
            connection.abort()
        return None

    def _drop_idle(self, place: _Address) -> None:
        for connection in place.idle:
            connection.abort()
        place.idle.clear()


async def _take_slot(place: _Address, address: str, timeout: float) -> None:
    """Wait until another call may be made to an address."""
    try:
        place.slots.acquire_nowait()
    except anyio.WouldBlock:
        with anyio.move_on_after(timeout) as scope:
            await place.slots.acquire()
        if scope.cancelled_caught:
            raise HttpError(f"{address}: no free connection in {timeout:.1f} s") from None


async def _connect(address: str, seconds: float) -> _Connection:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    connection = _Connection(address)
    try:
        with anyio.fail_after(seconds):
            await loop.create_connection(lambda: connection, host, int(port))
    except (OSError, TimeoutError) as error:
        connection.abort()
        raise HttpError(f"{address}: no connection: {error!r}") from None
    return connection


def _encode(
    method: str, address: str, target: str, headers: Mapping[str, str], content: bytes
) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if content or method != "GET":
        lines.append(f"Content-Length: {len(content)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + content
