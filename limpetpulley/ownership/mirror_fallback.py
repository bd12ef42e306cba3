"""Updates of the local mirrors from other daemons while the store does not answer this one."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import anyio

from ..store import Mirror
from .context import DaemonContext
from .directory import Directory, Member
from .entry_client import EntryClient
from .relays import choose_relays

__all__ = ["MirrorFallback"]

#: interval between two checks of the store, in seconds
CHECK_INTERVAL_SECONDS = 0.4
#: time without an answer from the store after which other daemons are asked, in seconds
STORE_TIMEOUT_SECONDS = 1.3
#: timeout of a question how recent another daemon's mirror is, in seconds
ASK_TIMEOUT_SECONDS = 0.8
#: timeout of a transfer from a daemon that has just answered, in seconds: a deflated configuration
#: of a megabyte takes a link of 1 Mbit/s as long
TRANSFER_TIMEOUT_SECONDS = 2.5
#: most daemons that are asked side by side, since some of them may be unreachable as well
MAX_PEERS = 4
#: those of them that are relays of this daemon, which have each change first
MAX_ASKED_RELAYS = 2


class MirrorFallback:
    """Updates the mirrors from other daemons while the store is unreachable from this one.

    A daemon that alone cannot reach the store thus still learns the newest configuration and the
    owners of the pools. Several daemons are asked how recent their copies are, and one of them for
    what differs.

    :param local: this daemon
    :param mirrors: the local mirrors by key prefix
    :param store_age: returns the time since the store last answered a lease renewal, in seconds
    """

    def __init__(
        self,
        context: DaemonContext,
        local: Member,
        directory: Directory,
        client: EntryClient,
        mirrors: dict[str, Mirror],
        store_age: Callable[[], float],
    ):
        self.store_age = store_age
        self.context = context
        self.local = local
        self.directory = directory
        self.client = client
        self.mirrors = mirrors
        self.rng = random.Random(local.name)
        # Name of the daemon that answered last; it is asked first.
        self.last_responder = ""
        # Held during an update of the mirror with a prefix.
        self.locks: dict[str, anyio.Lock] = {}

    async def run(self) -> None:
        """Update the mirrors until cancelled, whenever the store is unreachable."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            if self.store_age() > STORE_TIMEOUT_SECONDS:
                await self._update_all()

    def is_outage_shared(self) -> bool:
        """Return whether the store is silent to others as well, as far as this daemon can know."""
        others = self.directory.members.keys() - {self.local.name}
        return not others or self.client.is_outage_shared()

    async def _update_all(self) -> None:
        """Update the smallest mirror from several daemons, the others from one that answered."""
        first, *others = sorted(self.mirrors.values(), key=_expected_bytes)
        member = await self.update(first)
        if member is None:
            return
        async with anyio.create_task_group() as tasks:
            for mirror in others:
                tasks.start_soon(self._transfer, mirror, member)

    async def update(self, mirror: Mirror, max_age: float | None = None) -> Member | None:
        """Update a mirror from the first of several daemons whose copy is recent enough.

        :param max_age: age at which a copy is recent enough, in seconds; None if the copy of any
            daemon that can reach the store is
        :returns: that daemon, None if there was none
        """
        async with self._lock(mirror):
            if max_age is not None and mirror.age() <= max_age:
                return self.directory.members.get(self.last_responder)
            responder = await self._find_recent(mirror, max_age)
            if responder is None:
                return None
            member, revision = responder
            self.last_responder = member.name
            if revision > mirror.revision and not await self._update_from(mirror, member):
                return None
            return member

    async def _find_recent(
        self, mirror: Mirror, max_age: float | None
    ) -> tuple[Member, int] | None:
        """Return the first daemon whose copy is recent enough, and its revision."""
        responder: tuple[Member, int] | None = None

        async def ask(member: Member) -> None:
            nonlocal responder
            reply = await self.client.ask(mirror, member, ASK_TIMEOUT_SECONDS)
            if reply is None or not reply.fresh:
                return
            if max_age is None or reply.age_seconds <= max_age:
                responder = responder or (member, reply.revision)
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for member in self._select_peers():
                tasks.start_soon(ask, member)
        return responder

    async def _transfer(self, mirror: Mirror, member: Member) -> None:
        async with self._lock(mirror):
            await self._update_from(mirror, member)

    async def _update_from(self, mirror: Mirror, member: Member) -> bool:
        return await self.client.update(mirror, member, TRANSFER_TIMEOUT_SECONDS) is not None

    def _lock(self, mirror: Mirror) -> anyio.Lock:
        return self.locks.setdefault(mirror.prefix, anyio.Lock())

    def _select_peers(self) -> list[Member]:
        """Return the daemon that answered last, relays, and others drawn at random.

        Those that lately did not reply are left out, unless there are no others.
        """
        reachable = {
            name: member
            for name, member in self.directory.members.items()
            if not self.client.is_unreachable(member)
        }
        members = reachable if reachable.keys() - {self.local.name} else self.directory.members
        last = members.get(self.last_responder)
        selected = {last.name: last} if last is not None else {}
        relays = choose_relays(self.directory, self.local)
        for relay in [each for each in relays if each.name in members][:MAX_ASKED_RELAYS]:
            selected[relay.name] = relay
        selected.pop(self.local.name, None)
        others = [
            member
            for name, member in members.items()
            if name != self.local.name and name not in selected
        ]
        count = min(max(0, MAX_PEERS - len(selected)), len(others))
        return [*selected.values(), *self.rng.sample(others, count)]


def _expected_bytes(mirror: Mirror) -> float:
    """Return the size of a mirror's values in bytes, infinite while they are unknown."""
    return mirror.value_bytes() if mirror.loaded.is_set() else math.inf
