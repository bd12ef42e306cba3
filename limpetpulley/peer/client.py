"""Calls to other daemons."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

import anyio
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from ..exception import PeerError, PeerUnreachable
from ..tasks import absorb_cancellation
from .peer_grpc import PeerStub

__all__ = ["PeerCaller", "PeerClient"]

CALL_TIMEOUT_SECONDS = 1.0


class PeerCaller(Protocol):
    """Calls other daemons."""

    async def call(
        self, address: str, method: str, message: Any, timeout: float = CALL_TIMEOUT_SECONDS
    ) -> Any:
        """Return the reply to a message.

        :raises PeerError: if there is no reply; the message may have arrived
        """

    def keep(self, addresses: Iterable[str]) -> None:
        """Close the channels to all other addresses."""

    def close(self) -> None:
        """Close all channels."""


class PeerClient:
    """Channels to other daemons by address.

    A channel on which a call timed out is closed, because its connection may have gone silent
    while new ones work.

    :param stub: class of the stubs that know the service's methods
    """

    def __init__(self, stub: Callable[[Channel], Any] = PeerStub) -> None:
        self.stub = stub
        self.channels: dict[str, tuple[Channel, Any]] = {}
        self.calls = 0

    async def call(
        self, address: str, method: str, message: Any, timeout: float = CALL_TIMEOUT_SECONDS
    ) -> Any:
        """Return the reply to a message.

        :param address: ``host:port`` of the daemon
        :param method: name of the method
        :param timeout: longest time, in seconds
        :raises PeerError: if there is no reply; the message may have arrived
        """
        channel, stub = self._channel(address)
        self.calls += 1
        try:
            with anyio.fail_after(timeout):
                try:
                    return await getattr(stub, method)(message)
                except anyio.get_cancelled_exc_class():
                    if absorb_cancellation():
                        raise PeerError(f"{address}: connection lost in {method}") from None
                    raise
        except TimeoutError:
            self._drop(address, channel)
            raise PeerError(f"{address}: no reply to {method}") from None
        except ConnectionRefusedError as error:
            raise PeerUnreachable(f"{address}: {error}") from None
        except (GRPCError, StreamTerminatedError, OSError) as error:
            raise PeerError(f"{address}: {method} failed: {error}") from None

    def keep(self, addresses: Iterable[str]) -> None:
        """Close the channels to all other addresses."""
        for address in self.channels.keys() - set(addresses):
            self._drop(address, self.channels[address][0])

    def close(self) -> None:
        """Close all channels."""
        for channel, _ in self.channels.values():
            channel.close()
        self.channels.clear()

    def _channel(self, address: str) -> tuple[Channel, Any]:
        found = self.channels.get(address)
        if found is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port))
            found = self.channels[address] = (channel, self.stub(channel))
        return found

    def _drop(self, address: str, channel: Channel) -> None:
        held = self.channels.get(address)
        if held is not None and held[0] is channel:
            del self.channels[address]
        channel.close()
