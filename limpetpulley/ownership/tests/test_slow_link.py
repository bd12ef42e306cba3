"""A daemon gets its configuration over a link on which that takes longer than an attempt."""

from collections import Counter

import anyio
import pytest

from ...batch.keys import BatchKeys
from ...exception import StoreUnavailable
from ...peer import batch_pb2 as pb
from ...standin.virtual import VirtualClock, run_virtual
from ...store import Entry, MemoryStore, Mirror, Snapshot
from ...telemetry import null_log
from ..context import DaemonContext, Timing
from ..directory import Directory, Member
from ..entry_client import EntryClient
from ..freshness import CONFIRM_TIMEOUT_SECONDS, MirrorFreshness
from ..mirror_fallback import MirrorFallback

LIMIT_SECONDS = 3.0
PLAYED_SECONDS = 15.0
CHUNK_SECONDS = 0.02
READ_TIMEOUT_SECONDS = 1.5
SNAPSHOT = Snapshot((Entry("op/entry", b"value", 1),), 1)


class Link:
    """A link that transfers one chunk at a time, the transfers in turn."""

    def __init__(self, seconds):
        self.seconds = seconds
        self.lock = anyio.Lock()

    async def transfer(self):
        for _ in range(round(self.seconds / CHUNK_SECONDS)):
            async with self.lock:
                await anyio.sleep(CHUNK_SECONDS)


class LinkedStore:
    """A store behind a link, whose client gives a read up after a time."""

    def __init__(self, link):
        self.link = link

    async def read(self, prefix):
        with anyio.move_on_after(READ_TIMEOUT_SECONDS):
            await self.link.transfer()
            return SNAPSHOT
        raise StoreUnavailable("response timed out")

    async def watch(self, prefix, after):
        while True:
            await anyio.sleep(0.6)
            yield []


async def answer_small_calls(mirror, gap=0.3):
    while True:
        called_at = mirror.clock.now()
        await anyio.sleep(gap)
        mirror.contact.note_answer(called_at, mirror.clock.now())


async def ask_nobody(mirror, max_age):
    """Ask no other daemon."""


def play(link, peers, gap=0.3):
    """Return whether a mirror is loaded while a number of other daemons may be asked."""

    async def ask_peers(mirror, max_age):
        async with anyio.create_task_group() as tasks:
            for _ in range(peers):
                tasks.start_soon(fetch_from_peer, mirror)

    async def fetch_from_peer(mirror):
        with anyio.move_on_after(0.8):
            requested_at = mirror.clock.now()
            await link.transfer()
            mirror.apply_snapshot(SNAPSHOT)
            mirror.confirm(requested_at)

    async def run():
        mirror = Mirror(LinkedStore(link), "op/", VirtualClock(), lambda events: None)
        freshness = MirrorFreshness(mirror, lambda: LIMIT_SECONDS, ask_peers, null_log("entry-1"))
        async with anyio.create_task_group() as tasks:
            if peers:
                tasks.start_soon(mirror.run)
            tasks.start_soon(freshness.run)
            tasks.start_soon(answer_small_calls, mirror, gap)
            with anyio.move_on_after(PLAYED_SECONDS):
                await mirror.loaded.wait()
            tasks.cancel_scope.cancel()
        return mirror.loaded.is_set()

    return run_virtual(run)


@pytest.mark.parametrize("seconds", [0.3, 0.9, 1.4])
def test_entries_that_take_longer_than_an_attempt_are_read(seconds):
    assert play(Link(seconds), peers=0)


def test_a_request_does_not_wait_for_a_long_attempt():
    waited = []

    async def run():
        clock = VirtualClock()
        mirror = Mirror(LinkedStore(Link(60.0)), "op/", clock, lambda events: None)
        freshness = MirrorFreshness(mirror, lambda: LIMIT_SECONDS, ask_nobody, null_log("entry-1"))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(freshness.run)
            tasks.start_soon(answer_small_calls, mirror)
            ends_at = clock.now() + PLAYED_SECONDS
            while clock.now() < ends_at:
                await anyio.sleep(0.1)
                started_at = clock.now()
                await freshness.confirm()
                waited.append(clock.now() - started_at)
            tasks.cancel_scope.cancel()

    run_virtual(run)
    assert max(waited) <= 1.01 * CONFIRM_TIMEOUT_SECONDS


@pytest.mark.parametrize("seconds", [0.3, 0.6, 0.9])
def test_other_daemons_do_not_slow_the_read_of_a_store_that_answers(seconds):
    assert play(Link(seconds), peers=4)


def test_the_mirror_that_several_daemons_are_asked_for_has_the_fewest_bytes():
    asked = Counter()

    class Peers:
        async def call(self, address, method, message, timeout):
            asked[message.prefix] += 1
            await anyio.sleep(0.02)
            return pb.EntriesReply(fresh=True, revision=1)

    async def run():
        clock = VirtualClock()
        store, keys, log = MemoryStore(clock), BatchKeys("lp/"), null_log("entry-0")
        context = DaemonContext(store, keys, None, clock, log, Timing(), None, clock.now)
        mirrors = {
            prefix: Mirror(store, prefix, clock, lambda events: None)
            for prefix in ("large/", "small/", "unread/")
        }
        for prefix, values in {"large/": [b"x" * 1000], "small/": [b"x"] * 9}.items():
            entries = tuple(Entry(f"{prefix}{n}", value, 1) for n, value in enumerate(values))
            mirrors[prefix].apply_snapshot(Snapshot(entries, 1))
        directory = Directory(keys)
        directory.members = {f"entry-{n}": Member(f"entry-{n}", 1, f"a:{n}") for n in range(9)}
        client = EntryClient(context, Peers())
        fallback = MirrorFallback(
            context, Member("entry-0", 1, "a:0"), directory, client, mirrors, lambda: 9.0
        )
        with anyio.move_on_after(0.5):
            await fallback.run()

    run_virtual(run)
    assert max(asked, key=asked.__getitem__) == "small/", asked
    assert asked["large/"] == asked["unread/"] == 1, asked


@pytest.mark.parametrize(("seconds", "peers"), [(1.2, 0), (0.9, 4)])
def test_late_answers_do_not_restart_a_slow_read_for_ever(seconds, peers):
    assert play(Link(seconds), peers, gap=0.6)
