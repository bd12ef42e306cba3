"""How old a daemon's copy of the configuration is, and how that age is kept low."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
import attrs

from ..exception import StoreError, StoreUnavailable
from ..store import Mirror
from ..telemetry import EventLog

__all__ = ["AlwaysFresh", "ConfigFreshness", "MirrorFreshness", "ReplicaFreshness", "round_age"]

#: fraction of the time in which a change must be in force up to which the copy may be old when a
#: request is denied by it; the rest covers the clocks' drift and the answer's way
MAX_AGE_FRACTION = 0.9
#: the same fraction from which on the copy is confirmed without a request, so that a second attempt
#: fits before it is too old
REFRESH_AGE_FRACTION = 0.5
#: interval between two checks of the age, in seconds
CHECK_INTERVAL_SECONDS = 0.1
#: timeout of an attempt to confirm the copy, in seconds, doubled after each failed attempt up to
#: the maximum, because on a slow link the entries take longer than the first
CONFIRM_TIMEOUT_SECONDS = 0.5
MAX_CONFIRM_TIMEOUT_SECONDS = 4.0
#: the same fraction up to which a copy that follows another daemon's is not read from the store
FOLLOWED_AGE_FRACTION = 0.75
#: time that other daemons have to confirm such a copy before the store is asked, in seconds
PEERS_HEAD_START_SECONDS = 0.4
#: time that the store has for its answer before other daemons are asked, in seconds
STORE_HEAD_START_SECONDS = 0.1
#: pause after an attempt that left the copy too old, in seconds
RETRY_SECONDS = 0.3


def round_age(age: float) -> float | None:
    """Return an age for the log, in seconds; None if there never was a configuration."""
    return round(age, 2) if math.isfinite(age) else None


class ConfigFreshness(Protocol):
    """Knows how old a daemon's configuration is."""

    def age(self) -> float:
        """Return the time since the configuration was known to be current, in seconds."""

    def is_fresh(self) -> bool:
        """Return whether every change that must be in force is known."""

    def is_usable(self) -> bool:
        """Return whether requests may be served by it.

        An outdated configuration is used only in an outage of the store. If the store answers other
        calls or other daemons, changes to the configuration take effect elsewhere, and callers get
        an answer there.
        """

    async def confirm(self) -> bool:
        """Try to make the configuration fresh, if it is not; return whether it is."""


class AlwaysFresh:
    """A configuration that the daemon was given directly."""

    def age(self) -> float:
        """Return 0."""
        return 0.0

    def is_fresh(self) -> bool:
        """Return True."""
        return True

    def is_usable(self) -> bool:
        """Return True."""
        return True

    async def confirm(self) -> bool:
        """Return True."""
        return True


@attrs.frozen
class ReplicaFreshness:
    """A configuration that another part of the daemon keeps and confirms.

    :param replica_age: returns the time since it was known to be current, in seconds
    :param is_replica_fresh: returns whether it is recent enough
    """

    replica_age: Callable[[], float]
    is_replica_fresh: Callable[[], bool]

    def age(self) -> float:
        """Return the time since the replica was known to be current, in seconds."""
        return self.replica_age()

    def is_fresh(self) -> bool:
        """Return whether the replica is recent enough."""
        return self.is_replica_fresh()

    def is_usable(self) -> bool:
        """Return True: the replica's own daemon refuses jobs by an outdated one."""
        return True

    async def confirm(self) -> bool:
        """Return whether the replica is recent enough."""
        return self.is_replica_fresh()


class MirrorFreshness:
    """A configuration in a mirror of the store.

    Each answer to the mirror's watch confirms it. Before it is too old without one, the entries are
    read from the store, and from other daemons if that fails or the store answers nothing.

    :param limit: returns the time within which a change must be in force, in seconds
    :param ask_peers: updates the mirror from other daemons until it is at most as old as its second
        argument says, in seconds
    :param is_outage_shared: returns whether the store is silent to other daemons as well; what this
        one hears may be held up on its own link
    """

    def __init__(
        self,
        mirror: Mirror,
        limit: Callable[[], float],
        ask_peers: Callable[[Mirror, float], Awaitable[object]],
        log: EventLog,
        is_outage_shared: Callable[[], bool] = lambda: True,
    ):
        self.mirror = mirror
        self.limit = limit
        self.ask_peers = ask_peers
        self.log = log
        self.is_outage_shared = is_outage_shared
        self.failed = False
        self.attempt_seconds = CONFIRM_TIMEOUT_SECONDS
        # Set at the end of the attempt that is under way, None if there is none.
        self.attempt_ended: anyio.Event | None = None

    def age(self) -> float:
        """Return the time since the mirror was known to be complete, in seconds."""
        return self.mirror.age()

    def is_fresh(self) -> bool:
        """Return whether the mirror has every change that must be in force."""
        return self.age() <= MAX_AGE_FRACTION * self.limit()

    def is_usable(self) -> bool:
        """Return whether the mirror is fresh, or the store answers nothing to any daemon."""
        if self.is_fresh():
            return True
        return not self._is_store_answering() and self.is_outage_shared()

    def refresh_age(self) -> float:
        """Return the age from which on the mirror is confirmed without a request, in seconds."""
        return REFRESH_AGE_FRACTION * self.limit()

    def followed_age(self) -> float:
        """Return the age up to which a copy that follows another daemon's is good, in seconds."""
        return FOLLOWED_AGE_FRACTION * self.limit()

    def _is_store_answering(self) -> bool:
        return self.mirror.contact.is_answering(self.mirror.clock.now())

    async def run(self) -> None:
        """Confirm the mirror before it is too old, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            if self._is_recent():
                # The watch may have succeeded where the attempts failed.
                self._record_outcome(self.age())
            elif self.attempt_ended is None:
                await self._attempt()
                if self.failed:
                    await self.mirror.contact.sleep(RETRY_SECONDS)

    async def confirm(self) -> bool:
        """Confirm the mirror if it is too old, unless the last attempt failed.

        While attempts fail, they are repeated without a request waiting for them, except for the
        attempt that is under way when the store answers again.
        """
        while not self.is_fresh() and not self.failed:
            if self.attempt_ended is None:
                await self._attempt()
            elif not await self._wait_for(self.attempt_ended):
                return self.is_fresh()
        if not self.is_usable() and self.attempt_ended is not None:
            await self._wait_for(self.attempt_ended)
        return self.is_fresh()

    async def _wait_for(self, attempt_ended: anyio.Event) -> bool:
        """Wait for an attempt, but not as long as a slow one takes; return whether it has ended."""
        with anyio.move_on_after(CONFIRM_TIMEOUT_SECONDS):
            await attempt_ended.wait()
        return attempt_ended.is_set()

    def _is_recent(self) -> bool:
        return self.age() <= self.refresh_age()

    async def _attempt(self) -> None:
        """Read the entries from the store and other daemons until the mirror is recent."""
        ended = self.attempt_ended = anyio.Event()
        age, started_at = self.age(), self.mirror.clock.now()
        try:
            while self.mirror.is_watch_arriving():
                # It confirms the copy, and a read would slow it on the same link.
                await anyio.sleep(CHECK_INTERVAL_SECONDS)
            if not await self._confirm_by_peers():
                await self._read_or_ask_peers()
        finally:
            self.attempt_ended = None
            ended.set()
        if self._is_recent():
            self.attempt_seconds = CONFIRM_TIMEOUT_SECONDS
        else:
            self.attempt_seconds = min(2 * self.attempt_seconds, MAX_CONFIRM_TIMEOUT_SECONDS)
            seconds = round(self.mirror.clock.now() - started_at, 2)
            self.log.write("config-attempt-failed", age=round_age(self.age()), seconds=seconds)
        self._record_outcome(age)

    async def _confirm_by_peers(self) -> bool:
        """Ask other daemons first if the copy follows them; return whether the store is not needed.

        Their answer is short, while the store's would fill the link.
        """
        if not self.mirror.prefers_upstream():
            return False
        with anyio.move_on_after(PEERS_HEAD_START_SECONDS):
            await self.ask_peers(self.mirror, self.refresh_age())
        return self.age() <= self.followed_age()

    async def _read_or_ask_peers(self) -> None:
        """Read the entries from the store, and ask other daemons if that fails."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._give_up_in_time, tasks.cancel_scope)
            async with anyio.create_task_group() as attempts:
                read_ended = anyio.Event()
                attempts.start_soon(self._ask_peers, attempts.cancel_scope, read_ended)
                await self._read()
                read_ended.set()
                if self._is_recent():
                    attempts.cancel_scope.cancel()
            tasks.cancel_scope.cancel()

    async def _give_up_in_time(self, scope: anyio.CancelScope) -> None:
        """End an attempt after its time, unless the entries are arriving from the store."""
        await anyio.sleep(self.attempt_seconds)
        while self.mirror.is_arriving():
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
        scope.cancel()

    def _record_outcome(self, previous_age: float) -> None:
        """Record whether the mirror is fresh; log if that has changed."""
        confirmed = self.is_fresh()
        if confirmed == self.failed:
            event = "config-confirmed" if confirmed else "config-not-confirmed"
            self.log.write(event, age=round_age(self.age()), was=round_age(previous_age))
        self.failed = not confirmed

    async def _read(self) -> None:
        try:
            await self.mirror.load()
        except (StoreUnavailable, StoreError) as error:
            self.log.write("config-not-read", reason=str(error), age=round_age(self.age()))

    async def _ask_peers(self, scope: anyio.CancelScope, read_ended: anyio.Event) -> None:
        """Ask other daemons once the read has failed or the store answers nothing.

        While the store answers other calls, the read may only be slow, and the replies of other
        daemons would slow it further.
        """
        await anyio.sleep(STORE_HEAD_START_SECONDS)
        while self._is_store_answering() and not read_ended.is_set():
            with anyio.move_on_after(CHECK_INTERVAL_SECONDS):
                await read_ended.wait()
        await self.ask_peers(self.mirror, self.refresh_age())
        if self._is_recent():
            scope.cancel()
