"""Keeps a mirror up to date from daemons with faster links."""

from __future__ import annotations

import math
from collections.abc import Callable

import anyio

from ..store import Mirror
from .context import DaemonContext
from .directory import Directory, Member
from .entry_client import EntryClient
from .relays import choose_relays, estimate_read_seconds

__all__ = ["RelayFollower"]

#: time that the whole copy may take on this daemon's link for the store to be followed, in seconds
DIRECT_READ_SECONDS = 0.1
#: longest time that a relay waits for the next confirmation of its copy, in seconds: longer than a
#: watch of the store waits, and shorter than a channel between daemons may be without any reply
RELAY_WAIT_SECONDS = 0.65
#: time allowed for a relay's reply in addition to that, in seconds
MARGIN_SECONDS = 0.6
#: the same for the first copy, which is whole, in seconds; the store is read meanwhile
FIRST_COPY_SECONDS = 5.0
#: shortest time between two updates, in seconds; changes in quick succession arrive together
MIN_INTERVAL_SECONDS = 0.1
#: time for which a relay that did not confirm the copy is not asked, in seconds
AVOIDED_SECONDS = 2.0
#: most relays that are asked before the store is followed
MAX_ASKED_RELAYS = 2


class RelayFollower:
    """An :class:`~limpetpulley.store.Upstream` of the relays' mirrors.

    :param max_age: returns the age above which a relay's copy is too old to be followed, in seconds
    """

    def __init__(
        self,
        context: DaemonContext,
        local: Member,
        directory: Directory,
        client: EntryClient,
        max_age: Callable[[], float],
    ):
        self.context = context
        self.local = local
        self.directory = directory
        self.client = client
        self.max_age = max_age
        # Relays that did not confirm the copy, with the local time until which they are not asked.
        self.avoided: dict[str, float] = {}
        # Name of the relay that is followed, empty for none.
        self.relay = ""

    def is_preferred(self, mirror: Mirror) -> bool:
        """Return whether the link is too slow for the whole copy, and there are relays."""
        if mirror.loaded.is_set():
            seconds = estimate_read_seconds(self.local, mirror.value_bytes())
            if seconds <= DIRECT_READ_SECONDS:
                return False
        return bool(choose_relays(self.directory, self.local))

    async def update(self, mirror: Mirror, wait: bool) -> bool:
        """Apply a relay's changes to the mirror; return whether the relay's copy is recent."""
        wait_seconds = RELAY_WAIT_SECONDS if wait else 0.0
        started_at = self.context.clock.now()
        for relay in self._available_relays()[:MAX_ASKED_RELAYS]:
            margin = MARGIN_SECONDS if mirror.loaded.is_set() else FIRST_COPY_SECONDS
            timeout = wait_seconds + margin
            age = await self.client.update(mirror, relay, timeout, wait_seconds)
            # The next relay is not waited for, since the copy may be about to be too old.
            wait_seconds = 0.0
            if age is not None and age <= self.max_age():
                self._note_relay(relay.name)
                elapsed = self.context.clock.now() - started_at
                await anyio.sleep(max(0.0, MIN_INTERVAL_SECONDS - elapsed))
                return True
            self.avoided[relay.name] = self.context.clock.now() + AVOIDED_SECONDS
        self._note_relay("")
        return False

    def _available_relays(self) -> list[Member]:
        now = self.context.clock.now()
        relays = choose_relays(self.directory, self.local)
        return [relay for relay in relays if self.avoided.get(relay.name, -math.inf) <= now]

    def _note_relay(self, name: str) -> None:
        if name != self.relay:
            self.context.log.write("relay-followed", relay=name, previous=self.relay)
            self.relay = name
