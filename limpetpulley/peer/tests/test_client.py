"""Calls to another daemon: what one caller's short time does to the others."""

import anyio
import pytest

from ...exception import PeerError, PeerUnreachable
from .. import PeerClient, PeerServer
from .. import peer_pb2 as pb
from ..client import SILENT_SECONDS
from ..peer_grpc import PeerBase, PeerStub


class SlowPeer(PeerBase):
    """Answers reports after a time."""

    def __init__(self, seconds):
        self.seconds = seconds
        self.calls = 0

    async def Report(self, stream):  # noqa: N802
        await stream.recv_message()
        self.calls += 1
        await anyio.sleep(self.seconds)
        await stream.send_message(pb.Done())


def _unanswered(name):
    async def method(self, stream):
        raise NotImplementedError

    method.__name__ = name
    return method


for name in PeerBase.__abstractmethods__ - {"Report"}:
    setattr(SlowPeer, name, _unanswered(name))
SlowPeer.__abstractmethods__ = frozenset()


def play(seconds, timeouts):
    """Return how calls with these times ended that were made at once, and the channels left."""

    async def run():
        peer = SlowPeer(seconds)
        server = PeerServer([peer], "127.0.0.1", 0)
        await server.start()
        client = PeerClient(PeerStub)
        address = f"127.0.0.1:{server.port}"
        ends = [""] * len(timeouts)

        async def call(number, timeout):
            try:
                await client.call(address, "Report", pb.ReportBatch(), timeout)
                ends[number] = "answered"
            except PeerError as error:
                ends[number] = "no reply" if "no reply" in str(error) else "lost"

        async with anyio.create_task_group() as tasks:
            for number, timeout in enumerate(timeouts):
                tasks.start_soon(call, number, timeout)
        left = len(client.channels)
        client.close()
        await server.stop()
        return ends, left

    return anyio.run(run)


@pytest.mark.parametrize(
    ("seconds", "timeouts", "ends", "left"),
    [
        (0.3, [2.0, 0.1, 2.0], ["answered", "no reply", "answered"], 1),
        (0.01, [2.0, 2.0], ["answered", "answered"], 1),
        (3 * SILENT_SECONDS, [SILENT_SECONDS + 0.2, 3.0], ["no reply", "lost"], 0),
    ],
    ids=["short time", "fast", "silent"],
)
def test_a_channel_is_closed_only_when_it_is_silent(seconds, timeouts, ends, left):
    assert play(seconds, timeouts) == (ends, left)


def test_a_refused_connection_says_that_nothing_arrived():
    async def run():
        client = PeerClient(PeerStub)
        server = PeerServer([], "127.0.0.1", 0)
        port = server.port
        server.socket.close()
        with pytest.raises(PeerUnreachable):
            await client.call(f"127.0.0.1:{port}", "Report", pb.ReportBatch())
        client.close()

    anyio.run(run)
