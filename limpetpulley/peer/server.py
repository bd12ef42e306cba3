"""Server for calls from other daemons."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from grpclib.server import Server

from ..sockets import listen

__all__ = ["PeerServer"]


class PeerServer:
    """Serves calls from other daemons.

    :param services: implementations of the served services
    :param host: address to listen on
    :param port: port to listen on, 0 for any free one
    """

    def __init__(self, services: Sequence[Any], host: str, port: int):
        self.socket = listen(host, port)
        self.port = self.socket.getsockname()[1]
        self.services = list(services)
        self.server: Server | None = None

    async def start(self) -> None:
        """Start serving; services that are added later are not served."""
        self.server = Server(self.services)
        await self.server.start(sock=self.socket)

    async def stop(self) -> None:
        """Stop listening and cancel the calls in progress."""
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()
