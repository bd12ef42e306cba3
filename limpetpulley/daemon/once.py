"""At most one run of a keyed job, across all daemons."""

from __future__ import annotations

import hashlib
from collections.abc import Awaitable, Callable

import anyio
import attrs
from absl import logging

from ..clock import Clock
from ..exception import EndpointError, JobRefused, PeerError
from ..idempotency import (
    AnswerCache,
    KeptAnswer,
    KeyRecord,
    KeyState,
    RecordBook,
    choose_holders,
    is_uncertain,
    needed,
)
from ..idempotency.answers import MAX_ANSWER_BYTES
from ..membership import Member
from ..peer import PeerCaller, convert
from ..peer import peer_pb2 as pb
from ..routing.attempt import Answer
from ..routing.dispatch import JobRequest
from ..tasks import start_guarded
from .peers import PeerTable

__all__ = ["KeyedJobs"]

RETRY_SECONDS = 0.1
CLAIM_TIMEOUT_SECONDS = 0.5
AWAIT_MARGIN_SECONDS = 0.5
LONGEST_WAIT_SECONDS = 1.0
RECORD_SECONDS = 3600.0
RECENT_JOBS = 20_000


@attrs.define(eq=False)
class _Job:
    """A keyed job that this daemon runs or ran."""

    key: str
    digest: bytes
    request: JobRequest
    state: KeyState = KeyState.CLAIMED
    answer: Answer | None = None
    refused: JobRefused | None = None
    readers: int = 0
    foreign: bool = False
    done: anyio.Event = attrs.field(factory=anyio.Event)
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)


@attrs.frozen
class _Conflict:
    record: KeyRecord


class KeyedJobs:
    """Runs a keyed job once and gives every request with its key the same answer.

    :param clock: the daemon's clock
    :param member: this daemon's part in the membership
    :param book: records that this daemon holds
    :param peers: the other daemons
    :param client: calls to them
    :param tasks: task group in which jobs outlive their callers
    """

    def __init__(
        self,
        clock: Clock,
        member: Member,
        book: RecordBook,
        peers: PeerTable,
        client: PeerCaller,
        tasks: anyio.abc.TaskGroup,
    ):
        self.clock = clock
        self.member = member
        self.book = book
        self.peers = peers
        self.client = client
        self.tasks = tasks
        self.jobs: dict[str, _Job] = {}
        self.answers = AnswerCache()

    async def run(
        self, key: str, request: JobRequest, call: Callable[[], Awaitable[Answer]]
    ) -> Answer:
        """Return the answer of the first request with a key.

        :param key: team, queue and key
        :param request: the job, should it be the first
        :param call: runs the job
        :raises JobRefused: if there is no answer to give
        """
        digest = hashlib.sha256(request.body.whole or b"").digest()
        job = self.jobs.get(key)
        if job is not None and job.state is not KeyState.RELEASED:
            _check_digest(job.digest, digest)
            return await self._join_here(job, request.deadline)
        job = self._remember(_Job(key, digest, request))
        start_guarded(self.tasks, self._own, job, call)
        return await self._join_here(job, request.deadline)

    async def await_answer(self, key: str, job_id: str, wait_seconds: float) -> pb.AnswerReply:
        """Return what is known of a job that this daemon ran, for another daemon."""
        job = self.jobs.get(key)
        if job is None or job.request.job_id != job_id:
            return pb.AnswerReply(state=KeyState.UNKNOWN)
        with anyio.move_on_after(wait_seconds):
            await job.done.wait()
        kept = self.answers.get(key)
        if job.state is KeyState.ANSWERED and kept is not None:
            return pb.AnswerReply(
                state=job.state,
                status=kept.status,
                headers=[pb.Header(name=name, value=value) for name, value in kept.headers],
                content=kept.content,
            )
        reply = pb.AnswerReply(state=job.state)
        if job.refused is not None:
            reply.reason, reply.run = job.refused.reason, job.refused.run
        return reply

    async def _join_here(self, job: _Job, deadline: float) -> Answer:
        job.readers += 1
        try:
            with anyio.move_on_after(max(0.0, deadline - self.clock.now())):
                await job.done.wait()
        finally:
            job.readers -= 1
            if not job.readers and not job.done.is_set() and not job.request.started:
                job.scope.cancel()
        if job.refused is not None:
            raise job.refused
        kept = self.answers.get(job.key)
        if kept is not None and job.state is KeyState.ANSWERED:
            return _replay(kept)
        if job.answer is not None:
            answer, job.answer = job.answer, None
            return answer
        if job.done.is_set():
            raise _ran_already()
        run = "unknown" if job.request.maybe_run or job.foreign else "no"
        raise JobRefused(504, "deadline-passed", "the job with this key is not done", run)

    async def _own(self, job: _Job, call: Callable[[], Awaitable[Answer]]) -> None:
        """Claim the key, run the job and settle the record."""
        with job.scope:
            try:
                answer = await self._claim_and_run(job, call)
                await self._keep(job, answer)
            except JobRefused as refused:
                job.refused = refused
                job.state = KeyState.UNKNOWN if refused.run == "unknown" else KeyState.RELEASED
        if job.scope.cancelled_caught and job.refused is None:
            job.refused = JobRefused(499, "caller-gone", "the caller broke off before the start")
            job.state = KeyState.RELEASED
        if job.foreign and job.state is not KeyState.ANSWERED:
            self.jobs.pop(job.key, None)
        job.done.set()
        self._drop_unread(job)
        logging.info(
            "decision=key job=%s state=%s reason=%s",
            job.request.job_id,
            job.state,
            job.refused.reason if job.refused else "answered",
        )
        await self._settle(job)

    async def _claim_and_run(self, job: _Job, call: Callable[[], Awaitable[Answer]]) -> Answer:
        while True:
            conflict = await self._claim(job)
            if conflict is None:
                return await call()
            job.foreign = True
            _check_digest(conflict.record.body_digest, job.digest)
            if not await self._join_elsewhere(job, conflict.record):
                job.foreign = False
                continue
            kept = self.answers.get(job.key)
            assert kept is not None
            return _replay(kept)

    async def _claim(self, job: _Job) -> _Conflict | None:
        """Have the key recorded at enough holders.

        :returns: the record of another job with the key, if there is one
        :raises JobRefused: if not enough holders answer in time
        """
        while self.clock.now() < job.request.deadline:
            view = self.member.view
            if view is None or not self.member.is_valid():
                break
            for shadow in view.shadows:
                if is_uncertain(job.key, shadow.members, shadow.lost):
                    job.foreign = True
                    raise _lost_record()
            members = [(info.member, info.data_centre) for info in view.members]
            holders = choose_holders(job.key, members)
            accepted: list[str] = []
            retry = False
            for holder in holders:
                reply = await self._claim_at(holder, job)
                if reply is None:
                    continue
                if reply.accepted:
                    accepted.append(holder)
                    if len(accepted) >= needed(len(holders)):
                        return None
                elif reply.epoch_passed:
                    retry = True
                    break
                else:
                    await self._release(job, accepted)
                    return _Conflict(convert.from_key_record(reply.held, self.clock.now()))
            await self._release(job, accepted)
            if not retry:
                break
            await anyio.sleep(RETRY_SECONDS)
        raise JobRefused(
            503, "key-not-recorded", "the key could not be recorded; try again", retry_after=2
        )

    async def _claim_at(self, holder: str, job: _Job) -> pb.KeyClaimReply | None:
        claim = pb.KeyClaim(
            key=job.key,
            body_digest=job.digest,
            owner=self.member.name,
            job=job.request.job_id,
            epoch=self.member.ledger.epoch,
            lifetime_seconds=RECORD_SECONDS,
        )
        if holder == self.member.name:
            return self.record_claim(claim)
        info = self.peers.find(holder)
        if info is None or not self.peers.is_live(holder):
            return None
        try:
            return await self.client.call(
                info.peer_address, "ClaimKey", claim, CLAIM_TIMEOUT_SECONDS
            )
        except PeerError:
            return None

    def record_claim(self, claim: pb.KeyClaim) -> pb.KeyClaimReply:
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

    async def _join_elsewhere(self, job: _Job, record: KeyRecord) -> bool:
        """Take over the answer of a job that another daemon runs.

        :returns: whether there is an answer; False if that job was released unrun
        :raises JobRefused: if that job has run, or may have, and there is no answer to give
        """
        reply = await self._ask_owner(job, record)
        if reply.state == KeyState.ANSWERED and reply.status:
            headers = tuple((header.name, header.value) for header in reply.headers)
            kept = KeptAnswer(reply.status, headers, reply.content)
            if self.answers.put(job.key, kept):
                return True
            raise _ran_already()
        if reply.state == KeyState.RELEASED:
            released = pb.KeySettlement(key=job.key, job=record.job, state=KeyState.RELEASED)
            await self._settle_at(job.key, released)
            return False
        if reply.state == KeyState.CLAIMED:
            raise JobRefused(504, "deadline-passed", "the job with this key is not done", "unknown")
        if reply.state == KeyState.ANSWERED:
            raise _ran_already()
        raise JobRefused(
            409, "may-have-run", "a job with this key may have run; its answer is lost", "unknown"
        )

    async def _ask_owner(self, job: _Job, record: KeyRecord) -> pb.AnswerReply:
        left = max(0.1, job.request.deadline - self.clock.now())
        if record.owner == self.member.name:
            return await self.await_answer(record.key, record.job, left)
        info = self.peers.find(record.owner)
        reply = pb.AnswerReply(state=KeyState.UNKNOWN)
        while info is not None and self.clock.now() < job.request.deadline:
            left = min(LONGEST_WAIT_SECONDS, max(0.1, job.request.deadline - self.clock.now()))
            request = pb.AnswerRequest(key=record.key, job=record.job, wait_seconds=left)
            try:
                reply = await self.client.call(
                    info.peer_address, "AwaitAnswer", request, left + AWAIT_MARGIN_SECONDS
                )
                if reply.state != KeyState.CLAIMED:
                    return reply
            except PeerError:
                if not self.peers.is_live(record.owner):
                    return pb.AnswerReply(state=KeyState.UNKNOWN)
                await anyio.sleep(RETRY_SECONDS)
        return reply

    async def _keep(self, job: _Job, answer: Answer) -> None:
        """Keep an answer if it is small; pass a large one on to one reader."""
        pieces: list[bytes] = []
        size = 0
        stream = answer.chunks()
        try:
            async for chunk in stream:
                pieces.append(chunk)
                size += len(chunk)
                if size > MAX_ANSWER_BYTES:
                    job.state = KeyState.ANSWERED
                    job.answer = _prefixed(answer, pieces, stream)
                    return
        except EndpointError as error:
            raise JobRefused(
                502, "answer-broken-off", f"the answer broke off: {error.reason}", "unknown"
            ) from None
        kept = KeptAnswer(answer.status, tuple(answer.headers), b"".join(pieces))
        self.answers.put(job.key, kept)
        job.state = KeyState.ANSWERED

    async def _settle(self, job: _Job) -> None:
        settlement = pb.KeySettlement(key=job.key, job=job.request.job_id, state=job.state)
        await self._settle_at(job.key, settlement)

    async def _release(self, job: _Job, holders: list[str]) -> None:
        settlement = pb.KeySettlement(key=job.key, job=job.request.job_id, state=KeyState.RELEASED)
        for holder in holders:
            await self._tell(holder, settlement)

    async def _settle_at(self, key: str, settlement: pb.KeySettlement) -> None:
        view = self.member.view
        members = [(info.member, info.data_centre) for info in view.members] if view else []
        for holder in choose_holders(key, members):
            await self._tell(holder, settlement)

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

    @staticmethod
    def _drop_unread(job: _Job) -> None:
        """Let go of a large answer that no caller waits for, so that its attempt can end."""
        if job.answer is not None and not job.readers:
            job.answer.discard()
            job.answer = None

    def _remember(self, job: _Job) -> _Job:
        self.jobs.pop(job.key, None)
        self.jobs[job.key] = job
        if len(self.jobs) > RECENT_JOBS:
            oldest = next(iter(self.jobs))
            if self.jobs[oldest].done.is_set():
                del self.jobs[oldest]
        return job


def _check_digest(first: bytes, second: bytes) -> None:
    if first != second:
        raise JobRefused(422, "key-reused", "the Idempotency-Key was used before with another body")


def _ran_already() -> JobRefused:
    return JobRefused(
        409, "ran-already", "the job with this key has run; its answer is not kept", "unknown"
    )


def _lost_record() -> JobRefused:
    return JobRefused(
        409,
        "record-lost",
        "whether a job with this key has run is not known since some daemons were lost",
        "unknown",
    )


def _replay(kept: KeptAnswer) -> Answer:
    send, receive = anyio.create_memory_object_stream[bytes | EndpointError](1)
    if kept.content:
        send.send_nowait(kept.content)
    send.close()
    return Answer(kept.status, list(kept.headers), receive)


def _prefixed(answer: Answer, pieces: list[bytes], stream) -> Answer:
    return PrefixedAnswer(answer.status, answer.headers, answer.pieces, pieces, stream)


@attrs.define(eq=False)
class PrefixedAnswer(Answer):
    """An answer whose first chunks were read already."""

    first: list[bytes] = attrs.field(factory=list)
    rest: object = None

    async def chunks(self):
        """Yield the content from its start."""
        for chunk in self.first:
            yield chunk
        async for chunk in self.rest:  # type: ignore[attr-defined]
            yield chunk
