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
from .connections import CONNECT_TIMEOUT_SECONDS, Connection, Connections, close_connection

__all__ = ["Attempt", "Body", "EndpointResponse"]

MAX_BUFFERED_CHUNKS = 4
REUSED_READ_TIMEOUT_FACTOR = 3.0
MIN_REUSED_READ_TIMEOUT_SECONDS = 1.0
READ_GRACE_SECONDS = 30.0
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
ENDPOINT_LEAVING_HEADER = b"endpoint-leaving"
NOT_RUN_HEADER = b"not-run"
LOCAL_REASONS = frozenset(("not-a-valid-member", "deadline-passed", "cancelled", "internal-error"))
SEND_STARTED_EVENT = "http11.send_request_headers.started"

Headers = list[tuple[bytes, bytes]]


@attrs.define(eq=False)
class Body:
    """A request body, either buffered in memory or a stream that can be read only once.

    :param buffered: the complete body, or None if it is streamed
    :param stream: chunks of a streamed body
    :param length: length in bytes, if the caller declared it
    :param consumed: whether the body was sent at least once
    """

    buffered: bytes | None = b""
    stream: AsyncIterator[bytes] | None = None
    length: int | None = None
    consumed: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether the body can be sent: it is buffered, or its stream was not read yet."""
        return self.buffered is not None or not self.consumed

    def content(self) -> bytes | AsyncIterator[bytes]:
        """Return the content to send and mark the body as consumed."""
        self.consumed = True
        if self.buffered is not None:
            return self.buffered
        assert self.stream is not None
        return self.stream

    def headers(self) -> Headers:
        """Return the Content-Length or Transfer-Encoding header of the body."""
        length = len(self.buffered) if self.buffered is not None else self.length
        if length is None:
            return [(b"transfer-encoding", b"chunked")]
        return [(b"content-length", str(length).encode())]


@attrs.define(eq=False)
class EndpointResponse:
    """An endpoint's response whose content may still be arriving.

    :param status: HTTP status
    :param headers: headers without the hop-by-hop ones
    :param buffered_chunks: stream of the received chunks, and of the error if the content broke off
    """

    status: int
    headers: Headers
    buffered_chunks: MemoryObjectReceiveStream[bytes | EndpointError]

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the content.

        :raises EndpointError: if the response broke off before its end
        """
        with self.buffered_chunks:
            async for chunk in self.buffered_chunks:
                if isinstance(chunk, EndpointError):
                    raise chunk
                yield chunk

    def discard(self) -> None:
        """Discard the rest of the content."""
        self.buffered_chunks.close()

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with a lower-case name, or None."""
        return next((value for header, value in self.headers if header == name), None)


@attrs.define(eq=False)
class Attempt:
    """Sends a job to an endpoint and reads the response to its end, even if nobody needs it.

    The job's permits stay in use until the endpoint is known to have finished the job, so an
    abandoned response is still read to its end.

    :param address: the endpoint's ``host:port``
    :param path: path of the job
    :param headers: headers to send
    :param body: request body
    :param deadline: when the response is due, in seconds on the clock
    :param require_fresh: whether to reuse only connections that were idle very briefly, because
        sending the job twice would do harm or a reused connection failed before
    :param high_run_seconds: run time that few jobs exceed, in seconds
    :param clock: the daemon's clock
    :param connections: connections to the endpoints
    :param before_send: called right before the first byte is sent; may raise EndpointError
    :param on_end: called once with whether the job is known to have ended
    :param sent: whether sending has started
    :param reused: whether the connection was used before
    :param complete: whether the response was received to its end
    :param response_needed: whether anybody still reads the response
    :param response: the response, once its head has arrived
    :param error: why the attempt failed
    :param settled: set once the outcome is available, see :meth:`result`
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
    response_needed: bool = True
    response: EndpointResponse | None = None
    error: EndpointError | None = None
    settled: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def failed_at_endpoint(self) -> bool:
        """Return whether the attempt failed because of the endpoint, not for a local reason."""
        return self.error is not None and self.error.reason not in LOCAL_REASONS

    async def run(self) -> None:
        """Make the attempt; an error is stored for :meth:`result` to raise."""
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
                    await close_connection(connection)
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
            logging.exception("unexpected error while sending a job to an endpoint")
            self.error = EndpointError("internal-error", self.sent)
        finally:
            self.settled.set()
            self.on_end(ended or not self.sent)

    async def result(self) -> EndpointResponse:
        """Wait for the head of the response.

        :raises EndpointError: if the attempt failed before it arrived
        """
        await self.settled.wait()
        if self.response is not None:
            return self.response
        raise self.error or EndpointError("cancelled", self.sent)

    def abandon(self) -> None:
        """Discard the response; the attempt itself runs on to its end."""
        self.response_needed = False
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
        send, receive = anyio.create_memory_object_stream[bytes | EndpointError](
            MAX_BUFFERED_CHUNKS
        )
        headers = [
            (name.lower(), value)
            for name, value in http_response.headers
            if name.lower() not in HOP_BY_HOP_HEADERS
        ]
        self.response = EndpointResponse(http_response.status, headers, receive)
        if not self.response_needed:
            receive.close()
        with send:
            try:
                await self._relay_chunks(http_response, send)
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                await _try_send(send, EndpointError("answer-broken-off", True))
                raise
            finally:
                with anyio.CancelScope(shield=True):
                    await http_response.aclose()
        self.complete = True

    async def _relay_chunks(
        self,
        http_response: httpcore.Response,
        send: anyio.abc.ObjectSendStream[bytes | EndpointError],
    ) -> None:
        async for chunk in http_response.aiter_stream():
            if self.response_needed and chunk:
                self.response_needed = await _try_send(send, chunk)
                self.settled.set()

    async def _trace(self, event: str, info: dict) -> None:
        if event == SEND_STARTED_EVENT:
            self.before_send()
            self.sent = True

    def _timeouts(self) -> dict[str, float]:
        time_left = max(0.05, self.deadline - self.clock.now())
        read = time_left + READ_GRACE_SECONDS
        if self.reused and not self.require_fresh:
            read = max(
                MIN_REUSED_READ_TIMEOUT_SECONDS, REUSED_READ_TIMEOUT_FACTOR * self.high_run_seconds
            )
        connect = min(CONNECT_TIMEOUT_SECONDS, time_left)
        return {"connect": connect, "read": read, "write": time_left, "pool": connect}


async def _try_send(
    send: anyio.abc.ObjectSendStream[bytes | EndpointError], chunk: bytes | EndpointError
) -> bool:
    """Send a chunk to the reader; return False if the reader has closed the stream."""
    try:
        await send.send(chunk)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return False
    return True


def _check_framing(http_response: httpcore.Response) -> None:
    """Reject a response without framing: its end looks the same as a lost connection."""
    if http_response.status in (204, 304):
        return
    names = {name.lower() for name, _ in http_response.headers}
    if b"content-length" not in names and b"transfer-encoding" not in names:
        raise EndpointError("answer-without-length", True)
