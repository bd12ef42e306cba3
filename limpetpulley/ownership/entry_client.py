"""Requests for other daemons' copies of store entries."""

from __future__ import annotations

import math

from ..exception import PeerError, RecordError
from ..peer import PeerCaller
from ..peer import batch_pb2 as pb
from ..store import Mirror
from .context import DaemonContext
from .directory import Member
from .entry_replies import decode_snapshot, make_request

__all__ = ["EntryClient"]

#: time for which the store counts as answering others after one has said so, in seconds
ANSWERING_SECONDS = 2.0
#: time for which it counts as silent to others after one has said so, in seconds: in an outage most
#: of the daemons that are asked may be lost
SILENT_SECONDS = 10.0
#: time for which a daemon that did not reply is not asked if there are others, in seconds
UNREACHABLE_SECONDS = 5.0


class EntryClient:
    """Updates this daemon's mirrors from the mirrors of other daemons.

    The replies also tell whether the store answers the others.
    """

    def __init__(self, context: DaemonContext, peers: PeerCaller):
        self.context = context
        self.peers = peers
        # When another daemon last said that the store answers it, and that it does not.
        self.answering_at = -math.inf
        self.silent_at = -math.inf
        # When another daemon last replied, and when each one last failed to.
        self.replied_at = -math.inf
        self.unreachable: dict[str, float] = {}

    def is_outage_shared(self) -> bool:
        """Return whether the store is silent to others as well, as far as this daemon can know.

        If neither others nor the store are heard at all, what this daemon hears is not held up on
        its own link: the others may be lost.
        """
        contact, now = self.context.store_contact, self.context.clock.now()
        if now - self.answering_at <= ANSWERING_SECONDS:
            return False
        if now - self.silent_at <= SILENT_SECONDS:
            return True
        return now - self.replied_at > ANSWERING_SECONDS and not contact.is_anything_arriving(now)

    def is_unreachable(self, member: Member) -> bool:
        """Return whether a daemon has lately not replied."""
        failed_at = self.unreachable.get(member.name, -math.inf)
        return self.context.clock.now() - failed_at <= UNREACHABLE_SECONDS

    async def ask(self, mirror: Mirror, member: Member, timeout: float) -> pb.EntriesReply | None:
        """Ask a daemon how recent its mirror is; confirm the local one if that has all of it.

        :returns: the reply, None if there was none
        """
        return await self._call(mirror, member, make_request(mirror, without_entries=True), timeout)

    async def update(
        self, mirror: Mirror, member: Member, timeout: float, wait_seconds: float = 0.0
    ) -> float | None:
        """Update a mirror from another daemon's.

        :param wait_seconds: longest time to wait for the next confirmation of the other mirror, in
            seconds
        :returns: the age of the other mirror, in seconds, infinite if it is not told; None if that
            daemon cannot reach the store or does not reply
        """
        reply = await self._call(mirror, member, make_request(mirror, wait_seconds), timeout)
        if reply is None or not reply.fresh:
            return None
        return reply.age_seconds if reply.HasField("age_seconds") else math.inf

    async def _call(
        self, mirror: Mirror, member: Member, request: pb.EntriesRequest, timeout: float
    ) -> pb.EntriesReply | None:
        requested_at = self.context.clock.now()
        try:
            reply = await self.peers.call(member.address, "FetchEntries", request, timeout)
            self._note_reply(mirror, reply)
            self._apply(mirror, member, request, reply)
            self.unreachable.pop(member.name, None)
        except (PeerError, RecordError) as error:
            self.unreachable[member.name] = self.context.clock.now()
            self.context.log.write(
                "entries-not-borrowed", peer=member.name, prefix=mirror.prefix, reason=str(error)
            )
            return None
        if reply.fresh and reply.HasField("age_seconds") and reply.revision <= mirror.revision:
            mirror.confirm(requested_at + reply.waited_seconds - reply.age_seconds)
        return reply

    def _note_reply(self, mirror: Mirror, reply: pb.EntriesReply) -> None:
        purpose = f"other daemons {mirror.prefix}"
        self.context.store_contact.note_bytes(purpose, reply.ByteSize())
        now = self.replied_at = self.context.clock.now()
        if reply.fresh:
            self.answering_at = now
        elif reply.store_silent:
            self.silent_at = now

    def _apply(
        self, mirror: Mirror, member: Member, request: pb.EntriesRequest, reply: pb.EntriesReply
    ) -> None:
        """Apply the entries in a reply.

        :raises RecordError: if they cannot be decoded
        """
        if not reply.fresh or reply.revision <= mirror.revision:
            return
        if request.without_entries and not reply.entries:
            return
        had, snapshot = mirror.revision, decode_snapshot(mirror, reply)
        if any(entry.revision > had for entry in snapshot.entries):
            self.context.log.write(
                "entries-borrowed",
                peer=member.name,
                prefix=mirror.prefix,
                revision=reply.revision,
                had=had,
                bytes=reply.ByteSize(),
            )
        mirror.apply_snapshot(snapshot)
