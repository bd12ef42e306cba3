"""HTTP calls to the platform and to workers."""

from __future__ import annotations

import socket
from collections.abc import Mapping
from typing import Protocol

import attrs
import httpcore

from .exception import HttpError

__all__ = ["HttpAnswer", "HttpCaller", "PooledHttp"]

#: most connections to one address; workers take 64 from all daemons together
MAX_CONNECTIONS = 12
#: time after which an idle connection is closed: it may have gone silent
IDLE_SECONDS = 10.0
#: longest time to connect
CONNECT_SECONDS = 1.0
#: time after which unacknowledged bytes end a connection
UNACKNOWLEDGED_MILLISECONDS = 3000

SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS),
]


@attrs.frozen
class HttpAnswer:
    """A whole answer."""

    status: int
    content: bytes


class HttpCaller(Protocol):
    """Makes HTTP calls."""

    async def request(
        self,
        method: str,
        address: str,
        target: str,
        headers: Mapping[str, str],
        content: bytes,
        timeout: float,
    ) -> HttpAnswer:
        """Return the answer to a call.

        :param address: ``host:port``
        :param target: path and query
        :param timeout: longest time for the whole call, in seconds
        :raises HttpError: if no whole answer came; the call may have been carried out
        """

    async def aclose(self) -> None:
        """Close all connections."""


class PooledHttp:
    """HTTP calls over kept connections, a pool for each address.

    After a timeout the address gets a new pool, because its other idle connections may have gone
    silent as well.
    """

    def __init__(self) -> None:
        self.pools: dict[str, httpcore.AsyncConnectionPool] = {}
        self.calls = 0

    async def request(
        self,
        method: str,
        address: str,
        target: str,
        headers: Mapping[str, str],
        content: bytes,
        timeout: float,
    ) -> HttpAnswer:
        """Return the answer to a call."""
        self.calls += 1
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = httpcore.AsyncConnectionPool(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_CONNECTIONS,
                keepalive_expiry=IDLE_SECONDS,
                socket_options=SOCKET_OPTIONS,
            )
        timeouts = {
            "connect": min(CONNECT_SECONDS, timeout),
            "write": timeout,
            "read": timeout,
            "pool": timeout,
        }
        try:
            response = await pool.request(
                method,
                f"http://{address}{target}",
                headers=[("Host", address), *headers.items()],
                content=content or None,
                extensions={"timeout": timeouts},
            )
        except httpcore.TimeoutException as error:
            self.pools.pop(address, None)
            raise HttpError(f"{address}: no answer in time: {error!r}") from None
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as error:
            raise HttpError(f"{address}: {error!r}") from None
        return HttpAnswer(response.status, response.content)

    async def aclose(self) -> None:
        """Close all connections."""
        for pool in self.pools.values():
            await pool.aclose()
        self.pools.clear()
