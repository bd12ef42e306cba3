"""A TCP proxy on loopback that can delay, close, refuse and stall connections."""

from __future__ import annotations

import anyio
import attrs

__all__ = ["FaultProxy"]

CHUNK_BYTES = 65536
POLL_SECONDS = 0.02


@attrs.define
class FaultProxy:
    """Forwards connections to one port on loopback.

    :param target_port: port on loopback to which connections are forwarded
    :param delay_seconds: delay that is added to each chunk, in seconds
    :param half_open: whether no data is forwarded from the target to the callers
    :param refuse_connections: whether new connections are closed at once
    :param port: port on which the proxy listens, 0 to choose a free one
    :param stalled: numbers of the open connections on which no data is forwarded
    :param connections: callers' ends of the open connections, by number
    :param accepted: number of connections accepted so far
    :param bytes_forwarded: bytes forwarded, in both directions
    :param max_open_connections: largest number of connections that were open at once
    """

    target_port: int
    delay_seconds: float = 0.0
    half_open: bool = False
    refuse_connections: bool = False
    port: int = 0
    stalled: set[int] = attrs.field(factory=set)
    connections: dict[int, anyio.abc.SocketStream] = attrs.field(factory=dict)
    accepted: int = 0
    bytes_forwarded: int = 0
    max_open_connections: int = 0

    async def serve(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=self.port)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        await listener.serve(self._handle)

    def silence(self) -> None:
        """Stall the connections that are open now; connections opened later work."""
        self.stalled.update(self.connections)

    async def close_connections(self) -> None:
        """Close the connections that are open now."""
        for connection in list(self.connections.values()):
            await anyio.aclose_forcefully(connection)

    async def _handle(self, caller: anyio.abc.SocketStream) -> None:
        if self.refuse_connections:
            await anyio.aclose_forcefully(caller)
            return
        self.accepted += 1
        number = self.accepted
        self.connections[number] = caller
        self.max_open_connections = max(self.max_open_connections, len(self.connections))
        try:
            target = await anyio.connect_tcp("127.0.0.1", self.target_port)
            async with target, anyio.create_task_group() as tasks:
                tasks.start_soon(self._forward, number, caller, target, False, tasks)
                tasks.start_soon(self._forward, number, target, caller, True, tasks)
        except* (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            self.connections.pop(number, None)
            self.stalled.discard(number)
            await anyio.aclose_forcefully(caller)

    async def _forward(
        self,
        number: int,
        source: anyio.abc.SocketStream,
        target: anyio.abc.SocketStream,
        to_caller: bool,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        try:
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                if self.delay_seconds:
                    await anyio.sleep(self.delay_seconds)
                while number in self.stalled or (to_caller and self.half_open):
                    await anyio.sleep(POLL_SECONDS)
                await target.send(chunk)
                self.bytes_forwarded += len(chunk)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            tasks.cancel_scope.cancel()
