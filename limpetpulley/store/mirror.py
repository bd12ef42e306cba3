"""A copy of the entries under a prefix that follows the store."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable

import anyio

from ..clock import Clock
from ..exception import StoreError, StoreUnavailable
from .store import Entry, Event, Snapshot, Store

__all__ = ["Mirror"]

#: pause after the first failed call, doubled up to the longest, in seconds
FIRST_PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 1.0


class Mirror:
    """A copy of the entries under a prefix.

    The copy only moves forward: an entry is replaced by a later revision alone. While the store
    is away it stays as it was; changes that the store has forgotten are made up by reading all.

    :param store: the store
    :param prefix: prefix of the keys
    :param changed: called with each batch of changes after it was applied
    :param lost: called with the reason when the store stops to answer, and with an empty text
        when it answers again
    :param gap: returns the time to wait between two answers of a watch, in seconds, so that
        frequent changes cost fewer calls
    :param silence: longest time without an answer of a watch, in seconds, where entries change
        often; one that brings nothing for longer is opened anew. None for a watch's own time
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        clock: Clock,
        changed: Callable[[list[Event]], None],
        lost: Callable[[str], None] = lambda reason: None,
        poll_interval: Callable[[], float] = lambda: 0.0,
        watch_timeout: float | None = None,
    ):
        self.store = store
        self.prefix = prefix
        self.clock = clock
        self.changed = changed
        self.lost = lost
        self.poll_interval = poll_interval
        self.watch_timeout = watch_timeout
        self.entries: dict[str, Entry] = {}
        self.revision = 0
        self.last_reply_at = clock.now()
        self.loaded = anyio.Event()
        self.failing = False

    async def run(self) -> None:
        """Follow the store until cancelled."""
        pause = FIRST_PAUSE_SECONDS
        while True:
            try:
                if not self.loaded.is_set():
                    await self.load()
                async for events in self._watch():
                    pause = FIRST_PAUSE_SECONDS
                    self._heard()
                    self.apply(events)
                    if events:
                        await anyio.sleep(self.poll_interval())
                continue
            except StoreUnavailable as error:
                self._failed(str(error))
            except StoreError as error:
                self._failed(str(error))
                self.loaded = anyio.Event()
            await anyio.sleep(pause)
            pause = min(2 * pause, LONGEST_PAUSE_SECONDS)

    async def _watch(self) -> AsyncIterator[list[Event]]:
        """Yield the changes of a watch.

        :raises StoreUnavailable: if it brings nothing for too long: its connection may be silent
        """
        watch = aiter(self.store.watch(self.prefix, self.revision))
        while True:
            try:
                with anyio.fail_after(self.watch_timeout):
                    events = await anext(watch)
            except StopAsyncIteration:
                return
            except TimeoutError:
                raise StoreUnavailable(
                    f"a watch brought nothing in {self.watch_timeout} s"
                ) from None
            yield events

    async def load(self) -> None:
        """Read all entries and apply what differs."""
        snapshot = await self.store.read(self.prefix)
        self._heard()
        self.apply_snapshot(snapshot)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply what differs from a copy of all entries, this store's or another daemon's."""
        found = {entry.key: entry for entry in snapshot.entries}
        events = [
            Event(key, None, max(snapshot.revision, entry.revision + 1))
            for key, entry in self.entries.items()
            if key not in found
        ]
        events += [Event(entry.key, entry.value, entry.revision) for entry in snapshot.entries]
        self.revision = max(self.revision, snapshot.revision)
        self.loaded.set()
        self.apply(events)

    def apply(self, events: list[Event]) -> None:
        """Apply changes, older ones than known left out."""
        fresh = []
        for event in events:
            known = self.entries.get(event.key)
            self.revision = max(self.revision, event.revision)
            if known is not None and event.revision <= known.revision:
                continue
            if event.value is not None:
                self.entries[event.key] = Entry(event.key, event.value, event.revision)
            elif known is not None:
                del self.entries[event.key]
            else:
                continue
            fresh.append(event)
        if fresh:
            self.changed(fresh)

    def _heard(self) -> None:
        self.last_reply_at = self.clock.now()
        if self.failing:
            self.failing = False
            self.lost("")

    def _failed(self, reason: str) -> None:
        if not self.failing:
            self.failing = True
            self.lost(reason)
