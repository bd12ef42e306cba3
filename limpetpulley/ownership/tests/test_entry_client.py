"""A daemon knows from others whether the store is silent to them as well."""

import pytest

from ...batch.keys import BatchKeys
from ...clock import ManualClock
from ...exception import PeerError
from ...peer import batch_pb2 as pb
from ...standin.virtual import run_virtual
from ...store import MemoryStore, Mirror
from ...telemetry import null_log
from ..context import DaemonContext, Timing
from ..directory import Member
from ..entry_client import OBSERVATION_SECONDS, EntryClient
from ..handlers import BatchHandlers

SILENT = pb.EntriesReply(store_silent=True)
ANSWERING = pb.EntriesReply(fresh=True)
#: a daemon that has no copy yet, or one of an earlier build
UNKNOWN = pb.EntriesReply()


@pytest.mark.parametrize(
    ("replies", "elapsed", "shared"),
    [
        ([], 0.0, False),
        ([SILENT], 0.0, True),
        ([SILENT, None], 0.0, True),
        ([SILENT], OBSERVATION_SECONDS + 0.1, False),
        ([UNKNOWN], 0.0, False),
        ([None, None], 0.0, False),
        # A store that turns some daemons away is not away.
        ([SILENT, ANSWERING], 0.0, False),
        ([ANSWERING, SILENT, SILENT], 0.0, False),
    ],
)
def test_outage_is_shared_if_others_find_the_store_silent_and_none_does_not(
    replies, elapsed, shared
):
    class Peers:
        async def call(self, address, method, message, timeout):
            reply = replies[int(address)]
            if reply is None:
                raise PeerError("no reply")
            return reply

    async def run():
        clock = ManualClock(100.0)
        store = MemoryStore(clock)
        log = null_log("entry-0")
        context = DaemonContext(
            store, BatchKeys("lp/"), None, clock, log, Timing(), None, clock.now
        )
        mirror = Mirror(store, "op/", clock, lambda events: None)
        client = EntryClient(context, Peers())
        for number in range(len(replies)):
            await client.ask(mirror, Member(f"entry-{number}", 1, str(number)), 1.0)
        clock.advance(elapsed)
        return client.is_outage_shared()

    assert run_virtual(run) is shared


@pytest.mark.parametrize(
    ("elapsed", "answered_at", "silent"),
    [(0.5, None, False), (1.5, None, True), (5.0, 4.5, False), (5.0, 3.5, True)],
)
def test_daemon_tells_that_the_store_is_silent_to_it_only_once_it_can_know(
    elapsed, answered_at, silent
):
    class Stream:
        async def recv_message(self):
            return pb.EntriesRequest(prefix="op/")

        async def send_message(self, message):
            self.reply = message

    async def run():
        clock, stream = ManualClock(), Stream()
        context = DaemonContext(
            MemoryStore(clock),
            BatchKeys("lp/"),
            None,
            clock,
            null_log("entry-0"),
            Timing(),
            None,
            clock.now,
        )
        handlers = BatchHandlers(context, {})
        if answered_at is not None:
            context.store_contact.note_answer(answered_at, answered_at)
        clock.advance(elapsed)
        await handlers.FetchEntries(stream)
        return stream.reply.store_silent

    assert run_virtual(run) is silent
