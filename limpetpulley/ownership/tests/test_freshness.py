"""A daemon confirms its configuration before it is too old to be used."""

import anyio
import pytest

from ...clock import ManualClock
from ...standin.virtual import VirtualClock, run_virtual
from ...store import MemoryStore, Mirror
from ...telemetry import null_log
from ..freshness import MirrorFreshness

PLAYED_SECONDS = 12.0


class LossyStore:
    """A store that answers no watch, and loses the reads with certain numbers."""

    def __init__(self, store, lost_reads):
        self.store = store
        self.lost_reads = lost_reads
        self.reads = 0

    async def read(self, prefix):
        self.reads += 1
        if self.reads in self.lost_reads:
            await anyio.sleep_forever()
        return await self.store.read(prefix)


async def ask_nobody(mirror, max_age):
    """Ask no other daemon."""


@pytest.mark.parametrize("limit", [2.0, 3.0, 4.0])
@pytest.mark.parametrize("lost_reads", [{2}, {3}, {2, 4, 6}])
def test_single_lost_reads_do_not_make_the_configuration_outdated(limit, lost_reads):
    async def run():
        store = LossyStore(MemoryStore(VirtualClock()), lost_reads)
        mirror = Mirror(store, "op/", VirtualClock(), lambda events: None)
        freshness = MirrorFreshness(mirror, lambda: limit, ask_nobody, null_log("entry-1"))
        await mirror.load()
        ages = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(freshness.run)
            while len(ages) < PLAYED_SECONDS / 0.05:
                await anyio.sleep(0.05)
                ages.append(freshness.is_fresh())
            tasks.cancel_scope.cancel()
        return set(ages)

    assert run_virtual(run) == {True}


@pytest.mark.parametrize(
    ("answered_before", "age", "is_outage_shared", "usable"),
    [
        (0.1, 1.0, False, True),
        (0.1, 9.0, True, False),
        # The daemon hears nothing: that is an outage only if others hear nothing either.
        (5.0, 9.0, True, True),
        (5.0, 9.0, False, False),
        (5.0, 1.0, False, True),
    ],
)
def test_silence_on_the_own_link_does_not_serve_by_an_outdated_copy(
    answered_before, age, is_outage_shared, usable
):
    clock = ManualClock(100.0)
    mirror = Mirror(MemoryStore(clock), "op/", clock, lambda events: None)
    mirror.contact.note_answer(clock.now() - answered_before, clock.now() - answered_before)
    mirror.confirm(clock.now() - age)
    freshness = MirrorFreshness(
        mirror, lambda: 3.0, ask_nobody, null_log("entry-1"), lambda: is_outage_shared
    )
    assert freshness.is_usable() is usable


@pytest.mark.parametrize("arriving_seconds", [0.0, 2.0])
def test_no_read_begins_beside_an_answer_of_the_watch_that_is_arriving(arriving_seconds):
    reads = []

    async def run():
        clock = VirtualClock()
        store = LossyStore(MemoryStore(clock), set())
        mirror = Mirror(store, "op/", clock, lambda events: None)
        freshness = MirrorFreshness(mirror, lambda: 3.0, ask_nobody, null_log("entry-1"))
        await mirror.load()
        until = clock.now() + 1.0 + arriving_seconds
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(freshness.run)
            while arriving_seconds and clock.now() < until:
                mirror.contact.note_arrival("watch op/", clock.now())
                await anyio.sleep(0.1)
            reads.append(store.reads)
            await anyio.sleep(2.0)
            reads.append(store.reads)
            tasks.cancel_scope.cancel()

    run_virtual(run)
    assert reads[0] == 1
    assert reads[1] > 1
