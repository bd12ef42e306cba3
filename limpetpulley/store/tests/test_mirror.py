"""A mirror stays up to date when its watch stops to receive events."""

import anyio
import pytest

from ...standin.virtual import VirtualClock, run_virtual
from .. import MemoryStore, Mirror, Put


class StalledWatchStore:
    """A store whose first watch never yields anything."""

    def __init__(self, store):
        self.store = store
        self.watch_count = 0

    async def read(self, prefix):
        return await self.store.read(prefix)

    async def watch(self, prefix, after):
        self.watch_count += 1
        if self.watch_count == 1:
            await anyio.sleep_forever()
        async for events in self.store.watch(prefix, after):
            yield events


@pytest.mark.parametrize(("watch_timeout", "seen"), [(1.6, True), (None, False)])
def test_silent_watch_is_reopened(watch_timeout, seen):
    async def run():
        store = MemoryStore(VirtualClock())
        mirror = Mirror(
            StalledWatchStore(store),
            "w/",
            VirtualClock(),
            lambda events: None,
            watch_timeout=watch_timeout,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(mirror.run)
            await anyio.sleep(0.1)
            await store.commit([], [Put("w/1", b"draining")])
            await anyio.sleep(1.9)
            mirrored = "w/1" in mirror.entries
            tasks.cancel_scope.cancel()
        return mirrored

    assert run_virtual(run) is seen


def test_age_counts_from_the_call_that_showed_the_copy_to_be_current():
    """The answer may be read long after it was sent, as after a pause of the process."""

    async def run():
        clock = VirtualClock()
        store = MemoryStore(clock)
        read = store.read

        async def read_slowly(prefix):
            snapshot = await read(prefix)
            await anyio.sleep(3.0)
            return snapshot

        store.read = read_slowly
        mirror = Mirror(store, "op/", clock, lambda events: None)
        await mirror.load()
        return mirror.age()

    assert run_virtual(run) >= 3.0


def test_every_failure_of_a_watch_is_reported_with_the_delay_until_the_next_attempt():
    async def run():
        failures = []
        mirror = Mirror(
            StalledWatchStore(MemoryStore(VirtualClock())),
            "w/",
            VirtualClock(),
            lambda events: None,
            watch_timeout=0.5,
            on_watch_ended=lambda reason, delay: failures.append(delay),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(mirror.run)
            await anyio.sleep(2.0)
            tasks.cancel_scope.cancel()
        return failures

    assert len(run_virtual(run)) >= 2
