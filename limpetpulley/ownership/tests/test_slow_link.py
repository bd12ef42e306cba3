"""A daemon gets its configuration over a link on which that takes longer than an attempt."""

import anyio
import pytest

from ...exception import StoreUnavailable
from ...standin.virtual import VirtualClock, run_virtual
from ...store import Entry, Mirror, Snapshot
from ...telemetry import null_log
from ..freshness import CONFIRM_TIMEOUT_SECONDS, MirrorFreshness

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


async def answer_small_calls(mirror):
    while True:
        mirror.contact.note_answer(mirror.clock.now(), mirror.clock.now())
        await anyio.sleep(0.3)


async def ask_nobody(mirror, max_age):
    """Ask no other daemon."""


def play(link, peers):
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
            tasks.start_soon(answer_small_calls, mirror)
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
