"""Claiming of idempotency keys at the members that hold their records."""

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

__all__ = ["MIN_RECORD_SECONDS", "RECORD_DEADLINE_FACTOR", "RECORD_LOST", "KeyClaims"]

MIN_RECORD_SECONDS = 3600.0
RECORD_DEADLINE_FACTOR = 2.0
RETRY_SECONDS = 0.1
CLAIM_TIMEOUT_SECONDS = 0.5
RECORD_LOST = "record-lost"


class _EpochPassedError(Exception):
    """Raised when a holder has already moved to a later epoch."""


class KeyClaims:
    """Claims keys at a majority of their holders and records the claims of other daemons.

    :param clock: the daemon's clock
    :param member: this daemon's membership state
    :param key_records: key records that this daemon holds
    :param peers: table of the other daemons
    :param peer_client: client for calls to other daemons
    """

    def __init__(
        self,
        clock: Clock,
        member: Member,
        key_records: KeyRecordTable,
        peers: PeerTable,
        peer_client: PeerCaller,
    ):
        self.clock = clock
        self.member = member
        self.key_records = key_records
        self.peers = peers
        self.peer_client = peer_client

    async def claim(
        self, key: str, body_digest: bytes, job: str, deadline: float
    ) -> KeyRecord | None:
        """Claim a key for a job.

        :param key: team, queue and idempotency key
        :param body_digest: digest of the request body
        :param job: identifier of the job
        :param deadline: when the response is due, in seconds on the clock
        :returns: None once a majority of the holders accepted the claim, or the record of
            another job that has claimed the key
        :raises JobRefused: if too few holders answer in time, or a record may have been lost
        """
        while self.clock.now() < deadline:
            view = self.member.view
            if view is None or not self.member.is_valid():
                break
            _check_record_losses(key, view)
            message = pb.KeyClaim(
                key=key,
                body_digest=body_digest,
                owner=self.member.name,
                job=job,
                epoch=self.member.ledger.epoch,
                lifetime_seconds=self._record_lifetime(deadline),
            )
            try:
                return await self._claim_at_majority(view, message)
            except _EpochPassedError:
                await anyio.sleep(RETRY_SECONDS)
        raise _not_recorded_error()

    def record_claim(self, claim: pb.KeyClaim) -> pb.KeyClaimReply:
        """Record a claim at this holder, unless the key is claimed or the epoch has passed."""
        if claim.epoch < self.member.reported_epoch or claim.epoch != self.member.ledger.epoch:
            return pb.KeyClaimReply(epoch_passed=True)
        try:
            record = self.key_records.claim(
                claim.key, claim.body_digest, claim.owner, claim.job, claim.lifetime_seconds
            )
        except JobRefused:
            return pb.KeyClaimReply(epoch_passed=True)
        if record.job == claim.job:
            return pb.KeyClaimReply(accepted=True)
        return pb.KeyClaimReply(held=convert.to_key_record(record, self.clock.now()))

    async def settle(self, key: str, job: str, state: KeyState) -> None:
        """Send the outcome of the job that claimed a key to the key's holders."""
        view = self.member.view
        for holder in _holders(key, view) if view else ():
            await self._send_settlement(holder, pb.KeySettlement(key=key, job=job, state=state))

    async def _claim_at_majority(self, view: View, message: pb.KeyClaim) -> KeyRecord | None:
        holders = _holders(message.key, view)
        accepted_by: list[str] = []
        try:
            for holder in holders:
                reply = await self._claim_at_holder(holder, message)
                if reply is None:
                    continue
                if reply.epoch_passed:
                    raise _EpochPassedError
                if not reply.accepted:
                    return convert.from_key_record(reply.held, self.clock.now())
                accepted_by.append(holder)
                if len(accepted_by) >= quorum_size(len(holders)):
                    accepted_by.clear()
                    return None
            raise _not_recorded_error()
        finally:
            release = pb.KeySettlement(key=message.key, job=message.job, state=KeyState.RELEASED)
            for holder in accepted_by:
                await self._send_settlement(holder, release)

    async def _claim_at_holder(self, holder: str, message: pb.KeyClaim) -> pb.KeyClaimReply | None:
        if holder == self.member.name:
            return self.record_claim(message)
        info = self.peers.find(holder)
        if info is None or not self.peers.is_live(holder):
            return None
        try:
            return await self.peer_client.call(
                info.peer_address, "ClaimKey", message, CLAIM_TIMEOUT_SECONDS
            )
        except PeerError:
            return None

    async def _send_settlement(self, holder: str, settlement: pb.KeySettlement) -> None:
        if holder == self.member.name:
            self.key_records.settle(settlement.key, settlement.job, KeyState(settlement.state))
            return
        info = self.peers.find(holder)
        if info is not None:
            try:
                await self.peer_client.call(info.peer_address, "SettleKey", settlement)
            except PeerError as error:
                logging.info("decision=key-settle to=%s reason=%s", holder, error)

    def _record_lifetime(self, deadline: float) -> float:
        return max(MIN_RECORD_SECONDS, RECORD_DEADLINE_FACTOR * (deadline - self.clock.now()))


def _holders(key: str, view: View) -> tuple[str, ...]:
    return choose_holders(key, [(info.member, info.data_centre) for info in view.members])


def _check_record_losses(key: str, view: View) -> None:
    for loss in view.shadows:
        if record_may_be_lost(key, loss.members, loss.lost):
            raise JobRefused(
                409,
                RECORD_LOST,
                "a job with this key may have run; its record may be lost with failed daemons",
                "unknown",
            )


def _not_recorded_error() -> JobRefused:
    return JobRefused(
        503,
        "key-not-recorded",
        "a majority of the key's record holders did not accept the claim; try again",
        retry_after=2,
    )
