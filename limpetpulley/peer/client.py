"""Calls to other daemons."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import anyio
import attrs
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from ..exception import PeerError, PeerUnreachable
from ..tasks import absorb_cancellation

__all__ = ["PeerCaller", "PeerClient"]

CALL_TIMEOUT_SECONDS = 1.0
#: time without a reply after which a channel on which a call timed out is closed; replies take
#: milliseconds, and a takeover has to be noticed within a second
SILENT_SECONDS = 0.8


class PeerCaller(Protocol):
    """Calls other daemons."""

    async def call(
        self, address: str, method: str, message: Any, timeout: float = CALL_TIMEOUT_SECONDS
    ) -> Any:
        """Return the reply to a message.

        :raises PeerError: if there is no reply; the message may have arrived
        """

    def close_others(self, addresses: Iterable[str]) -> None:
        """Close the channels to all other addresses."""

    def close(self) -> None:
        """Close all channels."""


@attrs.define(eq=False)
class _Peer:
    """A channel, and since when the calls on it wait.

    :param waiting: calls that have no reply yet
    :param since: when the first call was made, or the last reply came, while calls wait
    """

    channel: Channel
    stub: Any
    waiting: int = 0
    since: float = 0.0

    def begin(self) -> None:
        """Note a call."""
        if not self.waiting:
            self.since = time.monotonic()
        self.waiting += 1

    def heard(self) -> None:
        """Note a reply."""
        self.since = time.monotonic()

    def is_silent(self) -> bool:
        """Return whether calls have waited for too long without any reply."""
        return time.monotonic() - self.since >= SILENT_SECONDS


class PeerClient:
    """Channels to other daemons by address.

    A channel that has brought no reply for a while is closed when a call on it times out, because
    its connection may have gone silent while new ones work. A call that was given little time is no
    reason: closing the channel would fail the calls of all others.

    :param stub: class of the stubs that know the service's methods
    """

    def __init__(self, stub: Callable[[Channel], Any]) -> None:
        self.stub = stub
        self.channels: dict[str, _Peer] = {}
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
        peer = self._peer(address)
        self.calls += 1
        peer.begin()
        try:
            with anyio.fail_after(timeout):
                try:
                    reply = await getattr(peer.stub, method)(message)
                    peer.heard()
                    return reply
                except anyio.get_cancelled_exc_class():
                    if absorb_cancellation():
                        raise PeerError(f"{address}: connection lost in {method}") from None
                    raise
        except TimeoutError:
            if peer.is_silent():
                self._drop(address, peer)
            raise PeerError(f"{address}: no reply to {method}") from None
        except ConnectionRefusedError as error:
            raise PeerUnreachable(f"{address}: {error}") from None
        except (GRPCError, StreamTerminatedError, OSError) as error:
            raise PeerError(f"{address}: {method} failed: {error}") from None
        finally:
            peer.waiting -= 1

    def close_others(self, addresses: Iterable[str]) -> None:
        """Close the channels to all other addresses."""
        for address in self.channels.keys() - set(addresses):
            self._drop(address, self.channels[address])

    def close(self) -> None:
        """Close all channels."""
        for peer in self.channels.values():
            peer.channel.close()
        self.channels.clear()

    def _peer(self, address: str) -> _Peer:
        found = self.channels.get(address)
        if found is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port))
            found = self.channels[address] = _Peer(channel, self.stub(channel))
        return found

    def _drop(self, address: str, peer: _Peer) -> None:
        if self.channels.get(address) is peer:
            del self.channels[address]
        peer.channel.close()
