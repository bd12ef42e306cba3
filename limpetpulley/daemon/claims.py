"""Claims of idempotency keys at the members that hold their records."""

from __future__ import annotations

import anyio
from absl import logging

from ..clock import Clock
from ..exception import JobRefused, PeerError
from ..idempotency import (
    KeyRecord,
    KeyRecordTable,
    KeyState,
    choose_holders,
    quorum_size,
    record_may_be_lost,
)
from ..membership import Member, View
from ..peer import PeerCaller, convert
from ..peer import peer_pb2 as pb
from .peers import PeerTable

__all__ = ["DEADLINES_KEPT", "RECORD_LOST", "RECORD_SECONDS", "KeyClaims"]

RECORD_SECONDS = 3600.0
DEADLINES_KEPT = 2.0
RETRY_SECONDS = 0.1
CLAIM_TIMEOUT_SECONDS = 0.5
RECORD_LOST = "record-lost"


class _EpochPassedError(Exception):
    """A holder has moved to a later epoch."""


class KeyClaims:
    """Has keys recorded at a majority of their holders, and holds records of others' keys.

    :param clock: the daemon's clock
    :param member: this daemon's part in the membership
    :param book: records that this daemon holds
    :param peers: the other daemons
    :param client: calls to them
    """

    def __init__(
        self,
        clock: Clock,
        member: Member,
        book: KeyRecordTable,
        peers: PeerTable,
        client: PeerCaller,
    ):
        self.clock = clock
        self.member = member
        self.book = book
        self.peers = peers
        self.client = client

    async def claim(self, key: str, digest: bytes, job: str, deadline: float) -> KeyRecord | None:
        """Have a key recorded for a job.

        :param key: team, queue and key
        :param digest: digest of the job's body
        :param job: identifier of the job
        :param deadline: when its answer is due, in seconds on the clock
        :returns: the record of another job with the key, or None once enough holders took it
        :raises JobRefused: if not enough holders answer in time, or a record may be lost
        """
        while self.clock.now() < deadline:
            view = self.member.view
            if view is None or not self.member.is_valid():
                break
            _check_shadows(key, view)
            message = pb.KeyClaim(
                key=key,
                body_digest=digest,
                owner=self.member.name,
                job=job,
                epoch=self.member.ledger.epoch,
                lifetime_seconds=self._lifetime(deadline),
            )
            try:
                return await self._claim_at_holders(view, message)
            except _EpochPassedError:
                await anyio.sleep(RETRY_SECONDS)
        raise _not_recorded()

    def record(self, claim: pb.KeyClaim) -> pb.KeyClaimReply:
        """Record a key here, unless it is recorded or this member moved to a later epoch."""
        if claim.epoch < self.member.reported_epoch or claim.epoch != self.member.ledger.epoch:
            return pb.KeyClaimReply(epoch_passed=True)
        try:
            record = self.book.claim(
                claim.key, claim.body_digest, claim.owner, claim.job, claim.lifetime_seconds
            )
        except JobRefused:
            return pb.KeyClaimReply(epoch_passed=True)
        if record.job == claim.job:
            return pb.KeyClaimReply(accepted=True)
        return pb.KeyClaimReply(held=convert.to_key_record(record, self.clock.now()))

    async def settle(self, key: str, job: str, state: KeyState) -> None:
        """Tell a key's holders the outcome of the job that claimed it."""
        view = self.member.view
        for holder in _holders(key, view) if view else ():
            await self._tell(holder, pb.KeySettlement(key=key, job=job, state=state))

    async def _claim_at_holders(self, view: View, message: pb.KeyClaim) -> KeyRecord | None:
        holders = _holders(message.key, view)
        accepted: list[str] = []
        try:
            for holder in holders:
                reply = await self._claim_at(holder, message)
                if reply is None:
                    continue
                if reply.epoch_passed:
                    raise _EpochPassedError
                if not reply.accepted:
                    return convert.from_key_record(reply.held, self.clock.now())
                accepted.append(holder)
                if len(accepted) >= quorum_size(len(holders)):
                    accepted.clear()
                    return None
            raise _not_recorded()
        finally:
            released = pb.KeySettlement(key=message.key, job=message.job, state=KeyState.RELEASED)
            for holder in accepted:
                await self._tell(holder, released)

    async def _claim_at(self, holder: str, message: pb.KeyClaim) -> pb.KeyClaimReply | None:
        if holder == self.member.name:
            return self.record(message)
        info = self.peers.find(holder)
        if info is None or not self.peers.is_live(holder):
            return None
        try:
            return await self.client.call(
                info.peer_address, "ClaimKey", message, CLAIM_TIMEOUT_SECONDS
            )
        except PeerError:
            return None

    async def _tell(self, holder: str, settlement: pb.KeySettlement) -> None:
        if holder == self.member.name:
            self.book.settle(settlement.key, settlement.job, KeyState(settlement.state))
            return
        info = self.peers.find(holder)
        if info is not None:
            try:
                await self.client.call(info.peer_address, "SettleKey", settlement)
            except PeerError as error:
                logging.info("decision=key-settle to=%s reason=%s", holder, error)

    def _lifetime(self, deadline: float) -> float:
        return max(RECORD_SECONDS, DEADLINES_KEPT * (deadline - self.clock.now()))


def _holders(key: str, view: View) -> tuple[str, ...]:
    return choose_holders(key, [(info.member, info.data_centre) for info in view.members])


def _check_shadows(key: str, view: View) -> None:
    for shadow in view.shadows:
        if record_may_be_lost(key, shadow.members, shadow.lost):
            raise JobRefused(
                409,
                RECORD_LOST,
                "whether a job with this key has run is not known since some daemons were lost",
                "unknown",
            )


def _not_recorded() -> JobRefused:
    return JobRefused(
        503, "key-not-recorded", "the key could not be recorded; try again", retry_after=2
    )
