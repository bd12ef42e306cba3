"""A local mirror of the store's entries under a prefix."""

from __future__ import annotations

import math
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from typing import Protocol

import anyio

from ..clock import Clock
from ..exception import StoreError, StoreUnavailable
from ..tasks import load_log
from .contact import StoreContact, read_purpose, watch_purpose
from .history import LARGE_VALUE_BYTES, EntryHistory
from .store import Entry, Event, Snapshot, Store

__all__ = ["Mirror", "Upstream"]

#: backoff after the first failed call, doubled up to the maximum, in seconds
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0
#: time after which a read of which nothing arrives is not waited for, in seconds
EXPECTED_READ_SECONDS = 0.3
#: interval between two checks of that, in seconds
READ_CHECK_SECONDS = 0.05
#: age up to which a copy goes on with a watch after its upstream has failed, in seconds
RESUMED_AGE_SECONDS = 3.0
#: time that the upstream has for the first copy before the store is read, in seconds
UPSTREAM_HEAD_START_SECONDS = 0.1
#: interval between two questions to the upstream while the first read is under way, in seconds
FIRST_READ_POLL_SECONDS = 0.2
#: delay before changes that the consumer did not take are passed to it again, doubled up to the
#: maximum, in seconds
INITIAL_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 5.0


class Upstream(Protocol):
    """Keeps a mirror up to date in place of the store."""

    def is_preferred(self, mirror: Mirror) -> bool:
        """Return whether the mirror should follow the upstream rather than the store."""

    async def update(self, mirror: Mirror, wait: bool) -> bool:
        """Apply the upstream's changes to the mirror; return whether that has confirmed it.

        :param wait: whether to wait a moment for the upstream's next confirmation
        """


def log_untaken(event: Event, error: Exception) -> None:
    """Log a change that the consumer of a mirror did not take."""
    load_log().error("revision %d of %s was not taken: %r", event.revision, event.key, error)


class Mirror:
    """A local copy of the entries under a prefix, kept up to date by a watch.

    Revisions never go back: an entry is only replaced by a later revision. While the store is
    unavailable, the copy stays unchanged. Whenever the watch has ended, all entries are read again,
    because the store may no longer have the changes since the copy's revision, which is old if few
    entries under the prefix change. While an upstream is preferred, the copy follows that one, and
    the store only if the upstream does not answer.

    A batch of which the consumer raises an error is passed to it change by change. A change that it
    does not take is passed to it again at growing intervals, until it is taken or there is a later
    one of its key; the others are not held up.

    :param store: the store
    :param prefix: prefix of the keys
    :param on_change: called with each batch of changes after it is applied
    :param on_connection_change: called with the reason when the store becomes unavailable, and with
        an empty string when it responds again
    :param poll_interval: returns the time to wait after a batch of changes, in seconds, so that
        frequent changes cost fewer calls
    :param watch_timeout: maximum time to wait for the watch to yield, in seconds, after which it is
        reopened; for prefixes whose entries change often. None to rely on the timeout of the store
        client's watch
    :param contact: records the store's answers; a watch from before a silence of the store is
        reopened at its next answer, because its connection may never report anything again
    :param on_watch_ended: called with the reason whenever the watch or a read has failed, and with
        the delay until the next attempt, in seconds
    :param on_untaken: called with a change and the error for which the consumer did not take it,
        once until the error changes
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        clock: Clock,
        on_change: Callable[[list[Event]], None],
        on_connection_change: Callable[[str], None] = lambda reason: None,
        poll_interval: Callable[[], float] = lambda: 0.0,
        watch_timeout: float | None = None,
        contact: StoreContact | None = None,
        on_watch_ended: Callable[[str, float], None] = lambda reason, delay: None,
        on_untaken: Callable[[Event, Exception], None] = log_untaken,
    ):
        self.store = store
        self.prefix = prefix
        self.clock = clock
        self.on_change = on_change
        self.on_connection_change = on_connection_change
        self.poll_interval = poll_interval
        self.watch_timeout = watch_timeout
        self.contact = contact or StoreContact()
        self.on_watch_ended = on_watch_ended
        self.on_untaken = on_untaken
        # Changes that the consumer did not take, by key, and the errors that were told of.
        self.untaken: dict[str, Event] = {}
        self.told_errors: dict[str, str] = {}
        self.retry_needed = anyio.Event()
        self.entries: dict[str, Entry] = {}
        self.revision = 0
        self.last_reply_at = clock.now()
        # Time at which the copy is known to have been complete: the start of the latest answered
        # call, because an answer may be read long after the store has sent it.
        self.confirmed_at = -math.inf
        self.loaded = anyio.Event()
        self.failing = False
        # Set at the end of the latest read, and when that began.
        self.read_ended = anyio.Event()
        self.read_ended.set()
        self.read_started_at = -math.inf
        self.upstream: Upstream | None = None
        # Set when the copy is confirmed or changed, and replaced by another event then.
        self.updated = anyio.Event()
        # Earlier values of large entries, for differences to other daemons.
        self.history = EntryHistory()
        self.completed_reads = 0
        # Whether the last failure was not for want of an answer.
        self.is_history_lost = False

    def age(self) -> float:
        """Return the time since the copy was known to be complete, in seconds.

        It is too low for a store that sends changes without being asked for each batch.
        """
        return self.clock.now() - self.confirmed_at

    def confirm(self, at: float) -> None:
        """Record that the copy includes all changes up to a local time."""
        if at > self.confirmed_at:
            self.confirmed_at = at
            self._wake_followers()

    def is_arriving(self) -> bool:
        """Return whether the entries that a read has asked for are arriving."""
        return self.contact.is_arriving(read_purpose(self.prefix), self.clock.now())

    def is_watch_arriving(self) -> bool:
        """Return whether a long answer to the watch is arriving."""
        return self.contact.is_arriving(watch_purpose(self.prefix), self.clock.now())

    def value_bytes(self) -> int:
        """Return the size of all values, in bytes."""
        return sum(len(entry.value) for entry in self.entries.values())

    def large_entries(self) -> list[Entry]:
        """Return the entries with large values."""
        return [entry for entry in self.entries.values() if len(entry.value) >= LARGE_VALUE_BYTES]

    def prefers_upstream(self) -> bool:
        """Return whether the copy should follow the upstream rather than the store."""
        return self.upstream is not None and self.upstream.is_preferred(self)

    async def run(self) -> None:
        """Keep the copy up to date until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_retries)
            await self._follow()

    async def _follow(self) -> None:
        backoff = INITIAL_BACKOFF_SECONDS
        while True:
            try:
                if self.loaded.is_set():
                    while await self._update_from_upstream(wait=True):
                        backoff = INITIAL_BACKOFF_SECONDS
                    if not self._can_resume_watch():
                        await self.load()
                else:
                    await self._load_first()
                    if await self._update_from_upstream(wait=False):
                        continue
                backoff = INITIAL_BACKOFF_SECONDS
                await self._follow_store()
            except (StoreUnavailable, StoreError) as error:
                # Other errors than an absent answer: the store may have dropped the changes.
                self.is_history_lost = not isinstance(error, StoreUnavailable)
                self._record_failure(str(error), backoff)
                await self.contact.sleep(backoff)
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
            except Exception as error:
                self.is_history_lost = True
                self._record_failure(repr(error), backoff)
                await self.contact.sleep(backoff)
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)

    async def _run_retries(self) -> None:
        """Pass changes that the consumer did not take to it again, at growing intervals."""
        while True:
            delay = INITIAL_RETRY_SECONDS
            await self.retry_needed.wait()
            while self.untaken:
                await anyio.sleep(delay)
                delay = min(2 * delay, MAX_RETRY_SECONDS)
                untaken, self.untaken = self.untaken, {}
                for event in untaken.values():
                    self._hand_over([event])
            self.retry_needed = anyio.Event()

    def _can_resume_watch(self) -> bool:
        """Return whether a watch brings what an upstream that has failed did not.

        Only where a read takes long; it brings each version that was missed since, so few of them.
        """
        is_recent = self.age() <= RESUMED_AGE_SECONDS
        return is_recent and not self.is_history_lost and self.prefers_upstream()

    async def _follow_store(self) -> None:
        """Apply the changes that a watch reports until the upstream is preferred and answers."""
        async with aclosing(self._watch()) as watch:
            async for events in watch:
                self.apply(events)
                if await self._update_from_upstream(wait=False):
                    return
                if events:
                    await anyio.sleep(self.poll_interval())

    async def _update_from_upstream(self, wait: bool) -> bool:
        """Return whether the upstream is preferred and has confirmed the copy."""
        if self.upstream is None or not self.prefers_upstream():
            return False
        try:
            return await self.upstream.update(self, wait)
        except Exception as error:
            self.on_watch_ended(f"the upstream failed: {error!r}", 0.0)
            return False

    async def _load_first(self) -> None:
        """Read all entries for the first time, from the upstream if that has them sooner."""
        failure: StoreUnavailable | StoreError | None = None

        async def poll() -> None:
            while not await self._update_from_upstream(wait=False):
                await anyio.sleep(FIRST_READ_POLL_SECONDS)
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(poll)
            if self.prefers_upstream():
                await anyio.sleep(UPSTREAM_HEAD_START_SECONDS)
            try:
                await self.load()
            except (StoreUnavailable, StoreError) as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _watch(self) -> AsyncGenerator[list[Event], None]:
        """Yield the changes that a watch reports.

        :raises StoreUnavailable: if the watch yields nothing within the timeout, because its
            connection may be dead without having been closed
        """
        watch = aiter(self.store.watch(self.prefix, self.revision))
        while True:
            events = None
            opened_at = self.clock.now()
            try:
                with (
                    anyio.fail_after(self.watch_timeout),
                    anyio.CancelScope() as scope,
                    self.contact.cancel_if_overtaken(scope, opened_at),
                ):
                    events = await anext(watch)
            except StopAsyncIteration:
                return
            except TimeoutError:
                raise StoreUnavailable(
                    f"the watch yielded nothing in {self.watch_timeout} s"
                ) from None
            if events is None:
                # The store has answered a later call after a silence.
                return
            self._record_reply(opened_at)
            yield events

    async def load(self) -> None:
        """Read all entries and apply the differences to the copy.

        One read is under way at a time: a second one would slow the first on the same link. A call
        during a read waits for that one, and reads only if it failed, or if nothing of it arrives.

        :raises StoreUnavailable: if the store did not answer
        """
        reads = self.completed_reads
        while self._is_read_expected():
            with anyio.move_on_after(READ_CHECK_SECONDS):
                await self.read_ended.wait()
            if self.completed_reads > reads:
                return
        ended = self.read_ended = anyio.Event()
        self.read_started_at = self.clock.now()
        try:
            await self._load()
            self.completed_reads += 1
        finally:
            ended.set()

    def _is_read_expected(self) -> bool:
        """Return whether a read is under way that is not overdue."""
        if self.read_ended.is_set():
            return False
        age = self.clock.now() - self.read_started_at
        return age <= EXPECTED_READ_SECONDS or self.is_arriving()

    async def _load(self) -> None:
        """Read all entries, again if the read was lost in a silence of the store.

        It is repeated at the store's next answer. The repeated read is not given up so: answers may
        be late because of its own length.
        """
        requested_at = self.clock.now()
        with (
            anyio.CancelScope() as scope,
            self.contact.cancel_if_overtaken(scope, requested_at),
        ):
            await self._read(requested_at)
        if scope.cancelled_caught:
            await self._read(self.clock.now())

    async def _read(self, requested_at: float) -> None:
        snapshot = await self.store.read(self.prefix)
        self.contact.note_answer(requested_at, self.clock.now())
        self._record_reply(requested_at)
        self.apply_snapshot(snapshot)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply the differences to a snapshot, read from the store or from another daemon."""
        snapshot_entries = {entry.key: entry for entry in snapshot.entries}
        events = [
            Event(key, None, max(snapshot.revision, entry.revision + 1))
            for key, entry in self.entries.items()
            if key not in snapshot_entries and entry.revision <= snapshot.revision
        ]
        events += [
            Event(entry.key, entry.value, entry.revision)
            for entry in snapshot.entries
            if entry.key in self.entries or entry.revision > self.revision
        ]
        # Pages of later revisions do not have the changes between the first page's and theirs.
        revision = max(self.revision, snapshot.revision)
        self.loaded.set()
        self.apply(events)
        self.revision = revision

    def apply(self, events: list[Event]) -> None:
        """Apply changes, except those that are older than the copy's entry of the key."""
        new_events = []
        for event in events:
            current = self.entries.get(event.key)
            self.revision = max(self.revision, event.revision)
            if current is not None and event.revision <= current.revision:
                continue
            if current is not None:
                self.history.add(current)
            if event.value is not None:
                self.entries[event.key] = Entry(event.key, event.value, event.revision)
            elif current is not None:
                del self.entries[event.key]
            else:
                continue
            self.untaken.pop(event.key, None)
            new_events.append(event)
        if new_events:
            self._wake_followers()
            self._hand_over(new_events)

    def _hand_over(self, events: list[Event]) -> None:
        """Pass changes to the consumer; keep those that it does not take."""
        try:
            self.on_change(events)
        except Exception as error:
            if len(events) > 1:
                for event in events:
                    self._hand_over([event])
                return
            self._keep_untaken(events[0], error)
            return
        for event in events:
            self.told_errors.pop(event.key, None)

    def _keep_untaken(self, event: Event, error: Exception) -> None:
        self.untaken[event.key] = event
        self.retry_needed.set()
        if self.told_errors.get(event.key) != repr(error):
            self.told_errors[event.key] = repr(error)
            self.on_untaken(event, error)

    def _wake_followers(self) -> None:
        updated, self.updated = self.updated, anyio.Event()
        updated.set()

    def _record_reply(self, requested_at: float) -> None:
        self.last_reply_at = self.clock.now()
        self.confirm(requested_at)
        if self.failing:
            self.failing = False
            self.on_connection_change("")

    def _record_failure(self, reason: str, delay: float) -> None:
        self.on_watch_ended(reason, delay)
        if not self.failing:
            self.failing = True
            self.on_connection_change(reason)
