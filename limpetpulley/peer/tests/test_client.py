"""Calls to another daemon: timeouts of single calls and closing of unresponsive channels."""

import anyio
import pytest

from ...exception import PeerError, PeerUnreachable
from .. import PeerClient, PeerServer
from .. import peer_pb2 as pb
from ..client import NO_REPLY_SECONDS
from ..peer_grpc import PeerBase, PeerStub


class SlowPeer(PeerBase):
    """A service that replies to reports after a delay."""

    def __init__(self, delay_seconds):
        self.delay_seconds = delay_seconds
        self.calls = 0

    async def Report(self, stream):  # noqa: N802
        await stream.recv_message()
        self.calls += 1
        await anyio.sleep(self.delay_seconds)
        await stream.send_message(pb.Done())


def _make_unimplemented(name):
    async def method(self, stream):
        raise NotImplementedError

    method.__name__ = name
    return method


for name in PeerBase.__abstractmethods__ - {"Report"}:
    setattr(SlowPeer, name, _make_unimplemented(name))
SlowPeer.__abstractmethods__ = frozenset()


def make_calls(delay_seconds, timeouts):
    """Make concurrent calls with these timeouts; return their outcomes and the open channels."""

    async def run():
        peer = SlowPeer(delay_seconds)
        server = PeerServer([peer], "127.0.0.1", 0)
        await server.start()
        client = PeerClient(PeerStub)
        address = f"127.0.0.1:{server.port}"
        outcomes = [""] * len(timeouts)

        async def call(number, timeout):
            try:
                await client.call(address, "Report", pb.ReportBatch(), timeout)
                outcomes[number] = "answered"
            except PeerError as error:
                outcomes[number] = "no reply" if "no reply" in str(error) else "lost"

        async with anyio.create_task_group() as tasks:
            for number, timeout in enumerate(timeouts):
                tasks.start_soon(call, number, timeout)
        open_channels = len(client.channels)
        client.close()
        await server.stop()
        return outcomes, open_channels

    return anyio.run(run)


@pytest.mark.parametrize(
    ("seconds", "timeouts", "outcomes", "left"),
    [
        (0.3, [2.0, 0.1, 2.0], ["answered", "no reply", "answered"], 1),
        (0.01, [2.0, 2.0], ["answered", "answered"], 1),
        (3 * NO_REPLY_SECONDS, [NO_REPLY_SECONDS + 0.2, 3.0], ["no reply", "lost"], 0),
    ],
    ids=["short timeout", "fast", "silent"],
)
def test_channel_is_closed_only_if_unresponsive(seconds, timeouts, outcomes, left):
    assert make_calls(seconds, timeouts) == (outcomes, left)


def test_refused_connection_raises_peer_unreachable():
    async def run():
        client = PeerClient(PeerStub)
        server = PeerServer([], "127.0.0.1", 0)
        port = server.port
        server.socket.close()
        with pytest.raises(PeerUnreachable):
            await client.call(f"127.0.0.1:{port}", "Report", pb.ReportBatch())
        client.close()

    anyio.run(run)


class LostConnection:
    """A connection without its transport."""


@pytest.mark.parametrize(
    ("attribute", "error"), [("_transport", PeerError), ("_unknown", AttributeError)]
)
def test_a_connection_that_is_lost_while_a_stream_is_opened_is_no_reply(attribute, error):
    """A programming error is not mistaken for it."""

    class Stub:
        def __init__(self, channel):
            pass

        async def Report(self, message):  # noqa: N802
            getattr(LostConnection(), attribute)

    async def call():
        client = PeerClient(lambda channel: Stub(channel))
        try:
            await client.call("127.0.0.1:1", "Report", pb.Done())
        finally:
            client.close()

    with pytest.raises(error):
        anyio.run(call)
