"""One attempt to run a job at one endpoint."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable

import anyio
import attrs
import httpcore
from absl import logging
from anyio.streams.memory import MemoryObjectReceiveStream

from ..clock import Clock
from ..exception import EndpointError
from .connections import CONNECT_TIMEOUT_SECONDS, Connection, Connections, close

__all__ = ["Attempt", "Body", "EndpointResponse"]

BUFFERED_CHUNKS = 4
SILENCE_FACTOR = 3.0
MIN_SILENCE_SECONDS = 1.0
OVERRUN_SECONDS = 30.0
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
LEAVING_HEADER = b"endpoint-leaving"
NOT_RUN_HEADER = b"not-run"
OWN_REASONS = frozenset(("not-a-valid-member", "deadline-passed", "cancelled", "internal-error"))
SEND_EVENT = "http11.send_request_headers.started"

Headers = list[tuple[bytes, bytes]]


@attrs.define(eq=False)
class Body:
    """A request body: whole in memory, or a stream that can be read once.

    :param whole: the body, or None if it is streamed
    :param stream: the rest of it, if it is streamed
    :param length: its length in bytes, if the caller gave one
    """

    buffered: bytes | None = b""
    stream: AsyncIterator[bytes] | None = None
    length: int | None = None
    consumed: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether the body can be sent now, for the first time or again."""
        return self.buffered is not None or not self.consumed

    def content(self) -> bytes | AsyncIterator[bytes]:
        """Return what is to be sent."""
        self.consumed = True
        if self.buffered is not None:
            return self.buffered
        assert self.stream is not None
        return self.stream

    def headers(self) -> Headers:
        """Return the headers that frame the body."""
        length = len(self.buffered) if self.buffered is not None else self.length
        if length is None:
            return [(b"transfer-encoding", b"chunked")]
        return [(b"content-length", str(length).encode())]


@attrs.define(eq=False)
class EndpointResponse:
    """An endpoint's answer, whose content may still be arriving.

    :param status: HTTP status
    :param headers: headers without those of the connection
    :param pieces: the content
    """

    status: int
    headers: Headers
    buffered_chunks: MemoryObjectReceiveStream[bytes | EndpointError]

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the content.

        :raises EndpointError: if the endpoint's answer broke off
        """
        with self.buffered_chunks:
            async for piece in self.buffered_chunks:
                if isinstance(piece, EndpointError):
                    raise piece
                yield piece

    def discard(self) -> None:
        """Let go of the rest of the content."""
        self.buffered_chunks.close()

    def header(self, name: bytes) -> bytes | None:
        """Return a header's value."""
        return next((value for found, value in self.headers if found == name), None)


@attrs.define(eq=False)
class Attempt:
    """Sends a job to an endpoint and reads the answer to its end, whether or not it is wanted.

    Reading on keeps the job's permits until the endpoint is known to be done with it.

    :param address: the endpoint's ``host:port``
    :param path: path of the job
    :param headers: headers to send
    :param body: the body
    :param deadline: when the answer is due, in seconds on the clock
    :param careful: whether sending the job twice would do harm
    :param run_high: run time that few jobs exceed, in seconds
    :param before_send: called right before the first byte is sent; may raise EndpointError
    :param on_end: called once with whether the job is known to have ended
    """

    address: str
    path: str
    headers: Headers
    body: Body
    deadline: float
    require_fresh: bool
    high_run_seconds: float
    clock: Clock
    connections: Connections
    before_send: Callable[[], None]
    on_end: Callable[[bool], None]
    sent: bool = False
    reused: bool = False
    complete: bool = False
    wanted: bool = True
    response: EndpointResponse | None = None
    error: EndpointError | None = None
    settled: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def blames_endpoint(self) -> bool:
        """Return whether the attempt failed at the endpoint, not here."""
        return self.error is not None and self.error.reason not in OWN_REASONS

    async def run(self) -> None:
        """Make the attempt; errors are kept for :meth:`result`."""
        ended = False
        try:
            connection, self.reused = await self.connections.acquire(
                self.address, self.require_fresh
            )
            try:
                await self._exchange(connection)
                ended = True
                await self.connections.release(self.address, connection)
            finally:
                if not ended:
                    await close(connection)
        except EndpointError as error:
            self.error = error
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.ConnectionNotAvailable):
            self.error = EndpointError("cannot-connect", self.sent)
        except httpcore.TimeoutException:
            self.error = EndpointError("no-answer", self.sent)
            await self.connections.discard_idle(self.address)
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            self.error = EndpointError(f"broken-{type(error).__name__}", self.sent)
        except Exception:
            logging.exception("an attempt failed")
            self.error = EndpointError("internal-error", self.sent)
        finally:
            self.settled.set()
            self.on_end(ended or not self.sent)

    async def result(self) -> EndpointResponse:
        """Wait for the head of the answer.

        :raises EndpointError: if there is none
        """
        await self.settled.wait()
        if self.response is not None:
            return self.response
        raise self.error or EndpointError("cancelled", self.sent)

    def abandon(self) -> None:
        """Let the attempt run to its end with nobody reading the answer."""
        self.wanted = False
        if self.response is not None:
            self.response.discard()

    async def _exchange(self, connection: Connection) -> None:
        request = httpcore.Request(
            "POST",
            httpcore.URL(
                scheme=b"http",
                host=self.address.rpartition(":")[0].encode(),
                port=int(self.address.rpartition(":")[2]),
                target=self.path.encode(),
            ),
            headers=[(b"host", self.address.encode()), *self.headers, *self.body.headers()],
            content=self.body.content(),
            extensions={"timeout": self._timeouts(), "trace": self._trace},
        )
        http_response = await connection.handle_async_request(request)
        _check_framing(http_response)
        send, receive = anyio.create_memory_object_stream[bytes | EndpointError](BUFFERED_CHUNKS)
        headers = [
            (name.lower(), value)
            for name, value in http_response.headers
            if name.lower() not in HOP_BY_HOP_HEADERS
        ]
        self.response = EndpointResponse(http_response.status, headers, receive)
        if not self.wanted:
            receive.close()
        with send:
            try:
                await self._pass_on(http_response, send)
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                await _offer(send, EndpointError("answer-broken-off", True))
                raise
            finally:
                with anyio.CancelScope(shield=True):
                    await http_response.aclose()
        self.complete = True

    async def _pass_on(
        self,
        http_response: httpcore.Response,
        send: anyio.abc.ObjectSendStream[bytes | EndpointError],
    ) -> None:
        async for chunk in http_response.aiter_stream():
            if self.wanted and chunk:
                self.wanted = await _offer(send, chunk)
                self.settled.set()

    async def _trace(self, event: str, info: dict) -> None:
        if event == SEND_EVENT:
            self.before_send()
            self.sent = True

    def _timeouts(self) -> dict[str, float]:
        left = max(0.05, self.deadline - self.clock.now())
        read = left + OVERRUN_SECONDS
        if self.reused and not self.require_fresh:
            read = max(MIN_SILENCE_SECONDS, SILENCE_FACTOR * self.high_run_seconds)
        connect = min(CONNECT_TIMEOUT_SECONDS, left)
        return {"connect": connect, "read": read, "write": left, "pool": connect}


async def _offer(
    send: anyio.abc.ObjectSendStream[bytes | EndpointError], piece: bytes | EndpointError
) -> bool:
    """Pass a piece on; return whether anyone still reads."""
    try:
        await send.send(piece)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return False
    return True


def _check_framing(http_response: httpcore.Response) -> None:
    """Refuse an answer whose end could not be told from a connection that broke off."""
    if http_response.status in (204, 304):
        return
    names = {name.lower() for name, _ in http_response.headers}
    if b"content-length" not in names and b"transfer-encoding" not in names:
        raise EndpointError("answer-without-length", True)
