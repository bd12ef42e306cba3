"""At most one run of a keyed job, across all daemons."""

from __future__ import annotations

import hashlib
from collections.abc import Awaitable, Callable

import anyio
import attrs
from absl import logging

from ..clock import Clock
from ..exception import EndpointError, JobRefused, PeerError
from ..idempotency import CachedResponse, KeyRecord, KeyState, ResponseCache
from ..idempotency.answers import MAX_CACHED_RESPONSE_BYTES
from ..membership import Member
from ..peer import PeerCaller
from ..peer import peer_pb2 as pb
from ..routing.attempt import Body, EndpointResponse
from ..routing.dispatch import JobRequest
from ..tasks import start_guarded
from .claims import RECORD_LOST, KeyClaims
from .peers import PeerTable

__all__ = ["KeyedJobs"]

RETRY_SECONDS = 0.1
AWAIT_MARGIN_SECONDS = 0.5
LONGEST_WAIT_SECONDS = 1.0
RECENT_JOBS = 5_000


@attrs.define(eq=False)
class _Job:
    """A keyed job that this daemon runs or ran."""

    key: str
    digest: bytes
    request: JobRequest
    state: KeyState = KeyState.CLAIMED
    answer: EndpointResponse | None = None
    refused: JobRefused | None = None
    readers: int = 0
    foreign: bool = False
    done: anyio.Event = attrs.field(factory=anyio.Event)
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)


class KeyedJobs:
    """Runs a keyed job once and gives every request with its key the same answer.

    :param clock: the daemon's clock
    :param member: this daemon's part in the membership
    :param claims: claims of keys at their holders
    :param peers: the other daemons
    :param client: calls to them
    :param tasks: task group in which jobs outlive their callers
    """

    def __init__(
        self,
        clock: Clock,
        member: Member,
        claims: KeyClaims,
        peers: PeerTable,
        client: PeerCaller,
        tasks: anyio.abc.TaskGroup,
    ):
        self.clock = clock
        self.member = member
        self.claims = claims
        self.peers = peers
        self.client = client
        self.tasks = tasks
        self.jobs: dict[str, _Job] = {}
        self.answers = ResponseCache()

    async def run(
        self, key: str, request: JobRequest, call: Callable[[], Awaitable[EndpointResponse]]
    ) -> EndpointResponse:
        """Return the answer of the first request with a key.

        :param key: team, queue and key
        :param request: the job, should it be the first
        :param call: runs the job
        :raises JobRefused: if there is no answer to give
        """
        digest = hashlib.sha256(request.body.buffered or b"").digest()
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

    async def _join_here(self, job: _Job, deadline: float) -> EndpointResponse:
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
        run = "unknown" if job.request.may_have_run_on or job.foreign else "no"
        raise JobRefused(504, "deadline-passed", "the job with this key is not done", run)

    async def _own(self, job: _Job, call: Callable[[], Awaitable[EndpointResponse]]) -> None:
        """Claim the key, run the job and settle the record."""
        with job.scope:
            try:
                answer = await self._claim_and_run(job, call)
                await self._keep(job, answer)
            except JobRefused as refused:
                job.refused = refused
                job.foreign |= refused.reason == RECORD_LOST
                job.state = KeyState.UNKNOWN if refused.run == "unknown" else KeyState.RELEASED
        if job.scope.cancelled_caught and job.refused is None:
            job.refused = JobRefused(499, "caller-gone", "the caller broke off before the start")
            job.state = KeyState.RELEASED
        if job.foreign and job.state is not KeyState.ANSWERED:
            self.jobs.pop(job.key, None)
        job.request.body = Body()
        job.done.set()
        self._drop_unread(job)
        logging.info(
            "decision=key job=%s state=%s reason=%s",
            job.request.job_id,
            job.state,
            job.refused.reason if job.refused else "answered",
        )
        await self.claims.settle(job.key, job.request.job_id, job.state)

    async def _claim_and_run(
        self, job: _Job, call: Callable[[], Awaitable[EndpointResponse]]
    ) -> EndpointResponse:
        while True:
            job.foreign = False
            held = await self.claims.claim(
                job.key, job.digest, job.request.job_id, job.request.deadline
            )
            if held is None:
                return await call()
            job.foreign = True
            _check_digest(held.body_digest, job.digest)
            if not await self._join_elsewhere(job, held):
                continue
            kept = self.answers.get(job.key)
            assert kept is not None
            return _replay(kept)

    async def _join_elsewhere(self, job: _Job, record: KeyRecord) -> bool:
        """Take over the answer of a job that another daemon runs.

        :returns: whether there is an answer; False if that job was released unrun
        :raises JobRefused: if that job has run, or may have, and there is no answer to give
        """
        reply = await self._ask_owner(job, record)
        if reply.state == KeyState.ANSWERED and reply.status:
            headers = tuple((header.name, header.value) for header in reply.headers)
            kept = CachedResponse(reply.status, headers, reply.content)
            if self.answers.put(job.key, kept):
                return True
            raise _ran_already()
        if reply.state == KeyState.RELEASED:
            await self.claims.settle(job.key, record.job, KeyState.RELEASED)
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

    async def _keep(self, job: _Job, answer: EndpointResponse) -> None:
        """Keep an answer if it is small; pass a large one on to one reader."""
        buffered_chunks: list[bytes] = []
        size = 0
        stream = answer.chunks()
        try:
            async for chunk in stream:
                buffered_chunks.append(chunk)
                size += len(chunk)
                if size > MAX_CACHED_RESPONSE_BYTES:
                    job.state = KeyState.ANSWERED
                    job.answer = _prefixed(answer, buffered_chunks, stream)
                    return
        except EndpointError as error:
            raise JobRefused(
                502, "answer-broken-off", f"the answer broke off: {error.reason}", "unknown"
            ) from None
        kept = CachedResponse(answer.status, tuple(answer.headers), b"".join(buffered_chunks))
        self.answers.put(job.key, kept)
        job.state = KeyState.ANSWERED

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


def _replay(kept: CachedResponse) -> EndpointResponse:
    send, receive = anyio.create_memory_object_stream[bytes | EndpointError](1)
    if kept.content:
        send.send_nowait(kept.content)
    send.close()
    return EndpointResponse(kept.status, list(kept.headers), receive)


def _prefixed(answer: EndpointResponse, buffered_chunks: list[bytes], stream) -> EndpointResponse:
    return PrefixedAnswer(
        answer.status, answer.headers, answer.buffered_chunks, buffered_chunks, stream
    )


@attrs.define(eq=False)
class PrefixedAnswer(EndpointResponse):
    """An answer whose first chunks were read already."""

    first: list[bytes] = attrs.field(factory=list)
    rest: object = None

    async def chunks(self):
        """Yield the content from its start."""
        for chunk in self.first:
            yield chunk
        async for chunk in self.rest:  # type: ignore[attr-defined]
            yield chunk
