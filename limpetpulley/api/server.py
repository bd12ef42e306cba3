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

HEAD_TIMEOUT_SECONDS = 10.0
MAX_HEAD_BYTES = 32 * 1024
KEEP_ALIVE_SECONDS = 30
#: pause between two looks whether the server has begun to listen, in seconds
START_POLL_SECONDS = 0.005


class GuardedProtocol(HttpToolsProtocol):
    """HTTP/1.1 with a limit on the size of a request's head and on the time it takes."""

    def connection_made(self, transport: Any) -> None:
        """Start to wait for the first request's head."""
        super().connection_made(transport)
        self.head_bytes = 0
        self.head_timer = self.loop.call_later(HEAD_TIMEOUT_SECONDS, transport.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop to wait."""
        self.head_timer.cancel()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Start to count a request's head."""
        self.head_bytes = 0
        self.head_timer.cancel()
        self.head_timer = self.loop.call_later(HEAD_TIMEOUT_SECONDS, self.transport.close)
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Count the target."""
        self._count(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header."""
        self._count(len(name) + len(value))
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Stop to wait for the head."""
        self.head_timer.cancel()
        super().on_headers_complete()

    def _count(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > MAX_HEAD_BYTES:
            self.transport.abort()


class _Server(uvicorn.Server):
    """A server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class HttpServer:
    """Serves one ASGI application on one port until it is stopped.

    :param app: the application
    :param host: address to listen on
    :param port: port, 0 for any free one
    :param max_connections: most connections at once
    """

    def __init__(self, app: Callable, host: str, port: int, max_connections: int | None = None):
        self.socket = listen(host, port)
        self.port = self.socket.getsockname()[1]
        config = uvicorn.Config(
            app,
            http=GuardedProtocol,
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
        self.server = _Server(config)

    async def serve(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until :meth:`stop`; running requests are answered first."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run)
            while not self.server.started and not self.server.should_exit:
                await anyio.sleep(START_POLL_SECONDS)
            task_status.started()

    def stop(self) -> None:
        """Take no more connections and end once running requests are answered."""
        self.server.should_exit = True

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being answered."""
        return bool(self.server.server_state.tasks)

    async def _run(self) -> None:
        await self.server.serve(sockets=[self.socket])
