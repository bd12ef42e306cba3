"""Copies of the store's entries from other daemons, while the store does not serve this one."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from ..exception import PeerError
from ..peer import PeerCaller
from ..peer import batch_pb2 as pb
from ..store import Entry, Mirror, Snapshot
from .around import Around
from .directory import Directory, Member

__all__ = ["MirrorFallback"]

#: time between two looks, in seconds
LOOK_SECONDS = 0.4
#: time without the store's answer after which another daemon is asked, in seconds
PATIENCE_SECONDS = 1.3
#: longest time for an answer, in seconds
ANSWER_SECONDS = 0.8


class MirrorFallback:
    """Keeps the copies of prefixes in step with other daemons' while the store is away here.

    A daemon that alone is turned away then still learns the newest configuration, and who owns
    which pool.

    :param mirrors: the copies by prefix
    :param store_age: returns the time since the store's last answer to a renewal, in seconds
    """

    def __init__(
        self,
        around: Around,
        me: Member,
        directory: Directory,
        peers: PeerCaller,
        mirrors: dict[str, Mirror],
        store_age: Callable[[], float],
    ):
        self.store_age = store_age
        self.around = around
        self.me = me
        self.directory = directory
        self.peers = peers
        self.mirrors = mirrors
        self.rng = random.Random()

    async def run(self) -> None:
        """Borrow until cancelled."""
        while True:
            await anyio.sleep(LOOK_SECONDS)
            if self.store_age() <= PATIENCE_SECONDS:
                continue
            others = [m for m in self.directory.members.values() if m.name != self.me.name]
            if others:
                member = self.rng.choice(others)
                for mirror in self.mirrors.values():
                    await self._borrow(mirror, member)

    async def _borrow(self, mirror: Mirror, member: Member) -> None:
        request = pb.EntriesRequest(prefix=mirror.prefix, after=mirror.revision)
        try:
            reply = await self.peers.call(member.address, "FetchEntries", request, ANSWER_SECONDS)
        except PeerError as error:
            self.around.log.write("entries-not-borrowed", peer=member.name, reason=str(error))
            return
        if reply.fresh and reply.revision > mirror.revision:
            entries = tuple(Entry(row.key, row.value, row.revision) for row in reply.entries)
            self.around.log.write(
                "entries-borrowed",
                peer=member.name,
                prefix=mirror.prefix,
                revision=reply.revision,
                had=mirror.revision,
            )
            mirror.adopt(Snapshot(entries, reply.revision))
