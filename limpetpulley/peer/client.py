"""Client for calls to other daemons."""

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
#: time without any reply after which a channel is closed if a call on it times out, in seconds;
#: replies take milliseconds, and the takeover of a pool must be noticed within a second
NO_REPLY_SECONDS = 0.8
#: attribute that a connection of grpclib lacks once it is lost
LOST_CONNECTION_ATTRIBUTE = "_transport"


class PeerCaller(Protocol):
    """Calls other daemons."""

    async def call(
        self, address: str, method: str, message: Any, timeout: float = CALL_TIMEOUT_SECONDS
    ) -> Any:
        """Send a message and return the reply.

        :raises PeerError: if there is no reply; the message may have been delivered
        """

    def close_others(self, addresses: Iterable[str]) -> None:
        """Close the channels to all addresses except these."""

    def close(self) -> None:
        """Close all channels."""


@attrs.define(eq=False)
class _Peer:
    """A channel and its pending calls.

    :param pending: number of calls without a reply so far
    :param waiting_since: time of the last reply or, if later, of the first of the pending calls, on
        the monotonic clock
    """

    channel: Channel
    stub: Any
    pending: int = 0
    waiting_since: float = 0.0

    def record_call(self) -> None:
        """Record that a call was made."""
        if not self.pending:
            self.waiting_since = time.monotonic()
        self.pending += 1

    def record_reply(self) -> None:
        """Record that a reply arrived."""
        self.waiting_since = time.monotonic()

    def is_unresponsive(self) -> bool:
        """Return whether pending calls have waited too long without any reply."""
        return time.monotonic() - self.waiting_since >= NO_REPLY_SECONDS


class PeerClient:
    """Client that keeps one channel for each address.

    If a call times out on a channel that has received no reply for a while, the channel is closed,
    because its connection may be dead while new connections work. A timeout alone is no reason to
    close it: the caller may have allowed little time, and closing fails all other calls on it.

    :param stub: class of the service's stubs
    """

    def __init__(self, stub: Callable[[Channel], Any]) -> None:
        self.stub_class = stub
        self.channels: dict[str, _Peer] = {}
        self.calls = 0

    async def call(
        self, address: str, method: str, message: Any, timeout: float = CALL_TIMEOUT_SECONDS
    ) -> Any:
        """Send a message and return the reply.

        :param address: ``host:port`` of the daemon
        :param method: name of the service's method
        :param message: request message of the method
        :param timeout: timeout of the call, in seconds
        :raises PeerUnreachable: if the connection was refused; the message was not delivered
        :raises PeerError: if there is no reply; the message may have been delivered
        """
        peer = self._get_peer(address)
        self.calls += 1
        peer.record_call()
        try:
            with anyio.fail_after(timeout):
                try:
                    reply = await getattr(peer.stub, method)(message)
                    peer.record_reply()
                    return reply
                except anyio.get_cancelled_exc_class():
                    if absorb_cancellation():
                        raise PeerError(f"{address}: connection lost in {method}") from None
                    raise
        except TimeoutError:
            if peer.is_unresponsive():
                self._close_channel(address, peer)
            raise PeerError(f"{address}: no reply to {method}") from None
        except ConnectionRefusedError as error:
            raise PeerUnreachable(f"{address}: {error}") from None
        except (GRPCError, StreamTerminatedError, OSError) as error:
            raise PeerError(f"{address}: {method} failed: {error}") from None
        except AttributeError as error:
            # Raised by grpclib if the connection is lost while a stream is opened on it.
            if error.name != LOST_CONNECTION_ATTRIBUTE:
                raise
            raise PeerError(f"{address}: connection lost in {method}") from None
        finally:
            peer.pending -= 1

    def close_others(self, addresses: Iterable[str]) -> None:
        """Close the channels to all addresses except these."""
        for address in self.channels.keys() - set(addresses):
            self._close_channel(address, self.channels[address])

    def close(self) -> None:
        """Close all channels."""
        for peer in self.channels.values():
            peer.channel.close()
        self.channels.clear()

    def _get_peer(self, address: str) -> _Peer:
        peer = self.channels.get(address)
        if peer is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port))
            peer = self.channels[address] = _Peer(channel, self.stub_class(channel))
        return peer

    def _close_channel(self, address: str, peer: _Peer) -> None:
        if self.channels.get(address) is peer:
            del self.channels[address]
        peer.channel.close()
