"""A daemon knows from others whether the store is silent to them as well."""

import math

import pytest

from ...batch.keys import BatchKeys
from ...clock import ManualClock
from ...exception import PeerError
from ...peer import batch_pb2 as pb
from ...standin.virtual import run_virtual
from ...store import MemoryStore, Mirror, Snapshot
from ...telemetry import null_log
from ..context import DaemonContext, Timing
from ..directory import Member
from ..entry_client import ANSWERING_SECONDS, SILENT_SECONDS, EntryClient
from ..handlers import BatchHandlers

SILENT = pb.EntriesReply(store_silent=True)
ANSWERING = pb.EntriesReply(fresh=True)
#: a daemon that has no copy yet, or one of an earlier build
UNKNOWN = pb.EntriesReply()


def make_context(clock):
    store, keys, log = MemoryStore(clock), BatchKeys("lp/"), null_log("entry-0")
    return DaemonContext(store, keys, None, clock, log, Timing(), None, clock.now)


@pytest.mark.parametrize(
    ("replies", "elapsed", "arriving", "shared"),
    [
        ([SILENT], 0.0, False, True),
        ([SILENT, None], 0.0, True, True),
        ([SILENT], SILENT_SECONDS - 0.1, True, True),
        ([UNKNOWN], 0.0, False, False),
        # A store that turns some daemons away is not away.
        ([SILENT, ANSWERING], 0.0, False, False),
        ([ANSWERING, SILENT, SILENT], 0.0, False, False),
        # Nobody is heard: the others are lost, unless the own link is full.
        ([], 0.0, False, True),
        ([None, None], 0.0, False, True),
        ([None, None], 0.0, True, False),
        ([SILENT], SILENT_SECONDS + 0.1, True, False),
        ([ANSWERING], ANSWERING_SECONDS + 0.1, True, False),
    ],
)
def test_outage_is_shared_if_others_find_the_store_silent_and_none_does_not(
    replies, elapsed, arriving, shared
):
    class Peers:
        async def call(self, address, method, message, timeout):
            reply = replies[int(address)]
            if reply is None:
                raise PeerError("no reply")
            return reply

    async def run():
        clock = ManualClock(100.0)
        context = make_context(clock)
        mirror = Mirror(context.store, "op/", clock, lambda events: None)
        client = EntryClient(context, Peers())
        for number in range(len(replies)):
            await client.ask(mirror, Member(f"entry-{number}", 1, str(number)), 1.0)
        clock.advance(elapsed)
        if arriving:
            context.store_contact.note_arrival("read op/", clock.now())
        return client.is_outage_shared()

    assert run_virtual(run) is shared


@pytest.mark.parametrize(
    ("reply", "confirmed"),
    [
        (pb.EntriesReply(fresh=True, revision=5, age_seconds=0.2), True),
        (pb.EntriesReply(fresh=True, revision=4, age_seconds=0.2), True),
        # The other daemon has changes that this one lacks.
        (pb.EntriesReply(fresh=True, revision=6, age_seconds=0.2), False),
        (pb.EntriesReply(fresh=False, revision=5, age_seconds=0.2), False),
        (pb.EntriesReply(fresh=True, revision=5), False),
    ],
)
def test_answer_without_entries_confirms_only_a_copy_that_lacks_nothing(reply, confirmed):
    class Peers:
        async def call(self, address, method, message, timeout):
            return reply

    async def run():
        clock = ManualClock(100.0)
        mirror = Mirror(make_context(clock).store, "op/", clock, lambda events: None)
        mirror.apply_snapshot(Snapshot((), 5))
        await EntryClient(make_context(clock), Peers()).ask(mirror, Member("a", 1, "a:1"), 1.0)
        return mirror.confirmed_at

    assert run_virtual(run) == (99.8 if confirmed else -math.inf)


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
        context = make_context(clock)
        handlers = BatchHandlers(context, {})
        if answered_at is not None:
            context.store_contact.note_answer(answered_at, answered_at)
        clock.advance(elapsed)
        await handlers.FetchEntries(stream)
        return stream.reply.store_silent

    assert run_virtual(run) is silent
