"""Server for other daemons' calls."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from grpclib.server import Server

from ..sockets import listen

__all__ = ["PeerServer"]


class PeerServer:
    """Listens for other daemons.

    :param services: what answers the calls
    :param host: address to listen on
    :param port: port, 0 for any free one
    """

    def __init__(self, services: Sequence[Any], host: str, port: int):
        self.socket = listen(host, port)
        self.port = self.socket.getsockname()[1]
        self.services = list(services)
        self.server: Server | None = None

    async def start(self) -> None:
        """Start to listen; no service is added after that."""
        self.server = Server(self.services)
        await self.server.start(sock=self.socket)

    async def stop(self) -> None:
        """Stop to listen and end the calls that are running."""
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()
