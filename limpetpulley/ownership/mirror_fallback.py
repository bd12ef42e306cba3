"""Updates of the local mirrors from other daemons while the store does not answer this one."""

from __future__ import annotations

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
#: time without an answer from the store after which another daemon is asked, in seconds
STORE_TIMEOUT_SECONDS = 1.3
#: timeout of a request to another daemon, in seconds
PEER_TIMEOUT_SECONDS = 0.8


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
        self.rng = random.Random()

    async def run(self) -> None:
        """Update the mirrors until cancelled, whenever the store is unreachable."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            if self.store_age() <= STORE_TIMEOUT_SECONDS:
                continue
            others = [m for m in self.directory.members.values() if m.name != self.local.name]
            if others:
                member = self.rng.choice(others)
                for mirror in self.mirrors.values():
                    await self._update(mirror, member)

    async def _update(self, mirror: Mirror, member: Member) -> None:
        request = pb.EntriesRequest(prefix=mirror.prefix, after=mirror.revision)
        try:
            reply = await self.peers.call(
                member.address, "FetchEntries", request, PEER_TIMEOUT_SECONDS
            )
        except PeerError as error:
            self.context.log.write("entries-not-borrowed", peer=member.name, reason=str(error))
            return
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
