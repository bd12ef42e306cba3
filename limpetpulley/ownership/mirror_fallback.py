"""Updates of the local mirrors from other daemons while the store does not answer this one."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import anyio

from ..exception import PeerError
from ..peer import PeerCaller
from ..peer import batch_pb2 as pb
from ..store import Entry, Mirror, Snapshot
from .context import DaemonContext
from .directory import Directory, Member

__all__ = ["MirrorFallback"]

#: interval between two checks of the store, in seconds
CHECK_INTERVAL_SECONDS = 0.4
#: time without an answer from the store after which other daemons are asked, in seconds
STORE_TIMEOUT_SECONDS = 1.3
#: timeout of a request to another daemon, in seconds
PEER_TIMEOUT_SECONDS = 0.8
#: most daemons that are asked side by side, since some of them may be unreachable as well
MAX_PEERS = 4


class MirrorFallback:
    """Updates the mirrors from other daemons while the store is unreachable from this one.

    A daemon that alone cannot reach the store thus still learns the newest configuration and the
    owners of the pools.

    :param local: this daemon
    :param mirrors: the local mirrors by key prefix
    :param store_age: returns the time since the store last answered a lease renewal, in seconds
    """

    def __init__(
        self,
        context: DaemonContext,
        local: Member,
        directory: Directory,
        peers: PeerCaller,
        mirrors: dict[str, Mirror],
        store_age: Callable[[], float],
    ):
        self.store_age = store_age
        self.context = context
        self.local = local
        self.directory = directory
        self.peers = peers
        self.mirrors = mirrors
        self.rng = random.Random(local.name)
        # Name of the daemon that answered last; it is asked first.
        self.last_responder = ""

    async def run(self) -> None:
        """Update the mirrors until cancelled, whenever the store is unreachable."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            if self.store_age() > STORE_TIMEOUT_SECONDS:
                await self._update_all()

    async def _update_all(self) -> None:
        """Update the smallest mirror from several daemons, the others from one that answered."""
        first, *others = sorted(self.mirrors.values(), key=_expected_bytes)
        member = await self.update(first)
        if member is not None:
            async with anyio.create_task_group() as tasks:
                for mirror in others:
                    tasks.start_soon(self._update_from, mirror, member)

    async def update(self, mirror: Mirror, max_age: float | None = None) -> Member | None:
        """Update a mirror from several daemons side by side.

        :param max_age: age at which the mirror is recent enough, in seconds; None if the reply of
            any daemon that can reach the store is
        :returns: the first daemon whose reply was recent enough, None if there was none
        """
        responder: Member | None = None

        async def ask(member: Member) -> None:
            nonlocal responder
            is_fresh = await self._update_from(mirror, member)
            if is_fresh if max_age is None else mirror.age() <= max_age:
                responder = responder or member
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for member in self._select_peers():
                tasks.start_soon(ask, member)
        if responder is not None:
            self.last_responder = responder.name
        return responder

    def _select_peers(self) -> list[Member]:
        others = [
            member
            for member in self.directory.members.values()
            if member.name not in (self.local.name, self.last_responder)
        ]
        last = self.directory.members.get(self.last_responder)
        first = [last] if last is not None else []
        count = MAX_PEERS - len(first)
        return first + self.rng.sample(others, min(count, len(others)))

    async def _update_from(self, mirror: Mirror, member: Member) -> bool:
        """Update a mirror from one daemon; return whether that one can reach the store."""
        request = pb.EntriesRequest(prefix=mirror.prefix, after=mirror.revision)
        requested_at = self.context.clock.now()
        try:
            reply = await self.peers.call(
                member.address, "FetchEntries", request, PEER_TIMEOUT_SECONDS
            )
        except PeerError as error:
            self.context.log.write("entries-not-borrowed", peer=member.name, reason=str(error))
            return False
        purpose = f"other daemons {mirror.prefix}"
        self.context.store_contact.note_bytes(purpose, reply.ByteSize())
        if reply.fresh and reply.revision > mirror.revision:
            entries = tuple(Entry(row.key, row.value, row.revision) for row in reply.entries)
            self.context.log.write(
                "entries-borrowed",
                peer=member.name,
                prefix=mirror.prefix,
                revision=reply.revision,
                had=mirror.revision,
            )
            mirror.apply_snapshot(Snapshot(entries, reply.revision))
        if reply.fresh and reply.HasField("age_seconds"):
            mirror.confirm(requested_at - reply.age_seconds)
        return reply.fresh


def _expected_bytes(mirror: Mirror) -> float:
    """Return the size of a mirror's values in bytes, infinite while they are unknown."""
    if not mirror.loaded.is_set():
        return math.inf
    return sum(len(entry.value) for entry in mirror.entries.values())
