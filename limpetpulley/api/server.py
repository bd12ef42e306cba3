"""HTTP server with limits on slow and malformed requests."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import Any

import anyio
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ..sockets import listen

__all__ = ["HttpServer"]

#: longest time until the end of the headers, from connection or request start, in seconds
HEADERS_TIMEOUT_SECONDS = 10.0
#: maximum size of the request target and the headers, in bytes
MAX_HEADERS_BYTES = 32 * 1024
#: time after which an idle connection is closed, in seconds
KEEP_ALIVE_SECONDS = 30
#: interval of the checks whether the server has started, in seconds
START_POLL_SECONDS = 0.005


class HeaderLimitProtocol(HttpToolsProtocol):
    """HTTP/1.1 protocol that limits the size of request headers and the time they take."""

    def connection_made(self, transport: Any) -> None:
        """Start the timeout for the headers of the first request."""
        super().connection_made(transport)
        self.headers_size = 0
        self.headers_timer = self.loop.call_later(HEADERS_TIMEOUT_SECONDS, transport.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timeout."""
        self.headers_timer.cancel()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Reset the size and the timeout for the headers of a request."""
        self.headers_size = 0
        self.headers_timer.cancel()
        self.headers_timer = self.loop.call_later(HEADERS_TIMEOUT_SECONDS, self.transport.close)
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Count the size of the request target."""
        self._count_bytes(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count the size of a header."""
        self._count_bytes(len(name) + len(value))
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Cancel the timeout for the headers."""
        self.headers_timer.cancel()
        super().on_headers_complete()

    def _count_bytes(self, size: int) -> None:
        self.headers_size += size
        if self.headers_size > MAX_HEADERS_BYTES:
            self.transport.abort()


class _EmbeddedServer(uvicorn.Server):
    """Server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class HttpServer:
    """Serves one ASGI application on one port until it is stopped.

    :param app: ASGI application
    :param host: address to listen on
    :param port: port, 0 for any free one
    :param max_connections: maximum number of concurrent connections, None for no limit
    """

    def __init__(self, app: Callable, host: str, port: int, max_connections: int | None = None):
        self.socket = listen(host, port)
        self.port = self.socket.getsockname()[1]
        config = uvicorn.Config(
            app,
            http=HeaderLimitProtocol,
            interface="asgi3",
            ws="none",
            lifespan="off",
            loop="none",
            log_config=None,
            log_level="error",
            access_log=False,
            server_header=False,
            date_header=False,
            limit_concurrency=max_connections,
            timeout_keep_alive=KEEP_ALIVE_SECONDS,
            timeout_graceful_shutdown=None,
        )
        self.server = _EmbeddedServer(config)

    async def serve(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until :meth:`stop` is called and the active requests are completed."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run)
            while not self.server.started and not self.server.should_exit:
                await anyio.sleep(START_POLL_SECONDS)
            task_status.started()

    def stop(self) -> None:
        """Accept no more connections and stop once the active requests are completed."""
        self.server.should_exit = True

    @property
    def is_busy(self) -> bool:
        """Return whether any request is active."""
        return bool(self.server.server_state.tasks)

    async def _run(self) -> None:
        await self.server.serve(sockets=[self.socket])
