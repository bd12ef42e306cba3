"""Jobs with an idempotency key, each of which runs at most once across all daemons."""

from __future__ import annotations

import hashlib
from collections.abc import Awaitable, Callable

import anyio
import attrs
from absl import logging

from ..clock import Clock
from ..exception import EndpointError, JobRefused, PeerError
from ..idempotency import CachedResponse, KeyRecord, KeyState, ResponseCache
from ..idempotency.response_cache import MAX_CACHED_RESPONSE_BYTES
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
POLL_MARGIN_SECONDS = 0.5
MAX_POLL_SECONDS = 1.0
MAX_RECENT_JOBS = 5_000


@attrs.define(eq=False)
class _KeyedJob:
    """A job with an idempotency key that this daemon runs or ran.

    :param key: team, queue and idempotency key
    :param body_digest: digest of the request body
    :param request: the job
    :param state: what is known about the job
    :param response: a response too large for the cache, for a single reader
    :param refusal: why there is no response
    :param waiting_requests: number of requests that wait for the response
    :param owned_elsewhere: whether another job holds the claim of the key, or may have held it
    :param finished: set once the outcome is available
    :param run_scope: cancelled if no request waits any more before the job has started
    """

    key: str
    body_digest: bytes
    request: JobRequest
    state: KeyState = KeyState.CLAIMED
    response: EndpointResponse | None = None
    refusal: JobRefused | None = None
    waiting_requests: int = 0
    owned_elsewhere: bool = False
    finished: anyio.Event = attrs.field(factory=anyio.Event)
    run_scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)


class KeyedJobs:
    """Runs each keyed job once and returns the same response to all requests with its key.

    :param clock: the daemon's clock
    :param member: this daemon's membership state
    :param claims: claims keys at their holders
    :param peers: table of the other daemons
    :param peer_client: client for calls to other daemons
    :param tasks: task group for the jobs, which outlive the requests of their callers
    """

    def __init__(
        self,
        clock: Clock,
        member: Member,
        claims: KeyClaims,
        peers: PeerTable,
        peer_client: PeerCaller,
        tasks: anyio.abc.TaskGroup,
    ):
        self.clock = clock
        self.member = member
        self.claims = claims
        self.peers = peers
        self.peer_client = peer_client
        self.tasks = tasks
        self.jobs: dict[str, _KeyedJob] = {}
        self.responses = ResponseCache()

    async def run(
        self, key: str, request: JobRequest, call: Callable[[], Awaitable[EndpointResponse]]
    ) -> EndpointResponse:
        """Return the response of the first request with a key.

        :param key: team, queue and idempotency key
        :param request: the job, which runs only if it is the first with the key
        :param call: runs the job
        :raises JobRefused: if there is no response to return
        """
        body_digest = hashlib.sha256(request.body.buffered or b"").digest()
        job = self.jobs.get(key)
        if job is not None and job.state is not KeyState.RELEASED:
            _check_digest(job.body_digest, body_digest)
            return await self._await_local(job, request.deadline)
        job = self._add_job(_KeyedJob(key, body_digest, request))
        start_guarded(self.tasks, self._run_job, job, call)
        return await self._await_local(job, request.deadline)

    async def await_answer(self, key: str, job_id: str, wait_seconds: float) -> pb.AnswerReply:
        """Return the outcome of a job that this daemon runs or ran, for another daemon.

        :param key: team, queue and idempotency key
        :param job_id: identifier of the job
        :param wait_seconds: how long to wait for the job to finish
        """
        job = self.jobs.get(key)
        if job is None or job.request.job_id != job_id:
            return pb.AnswerReply(state=KeyState.UNKNOWN)
        with anyio.move_on_after(wait_seconds):
            await job.finished.wait()
        cached = self.responses.get(key)
        if job.state is KeyState.ANSWERED and cached is not None:
            return pb.AnswerReply(
                state=job.state,
                status=cached.status,
                headers=[pb.Header(name=name, value=value) for name, value in cached.headers],
                content=cached.content,
            )
        reply = pb.AnswerReply(state=job.state)
        if job.refusal is not None:
            reply.reason, reply.run = job.refusal.reason, job.refusal.run
        return reply

    async def _await_local(self, job: _KeyedJob, deadline: float) -> EndpointResponse:
        job.waiting_requests += 1
        try:
            with anyio.move_on_after(max(0.0, deadline - self.clock.now())):
                await job.finished.wait()
        finally:
            job.waiting_requests -= 1
            if not job.waiting_requests and not job.finished.is_set() and not job.request.started:
                job.run_scope.cancel()
        if job.refusal is not None:
            raise job.refusal
        cached = self.responses.get(job.key)
        if cached is not None and job.state is KeyState.ANSWERED:
            return _replay_response(cached)
        if job.response is not None:
            response, job.response = job.response, None
            return response
        if job.finished.is_set():
            raise _already_run_error()
        run = "unknown" if job.request.may_have_run_on or job.owned_elsewhere else "no"
        raise JobRefused(504, "deadline-passed", "the job with this key has not finished yet", run)

    async def _run_job(
        self, job: _KeyedJob, call: Callable[[], Awaitable[EndpointResponse]]
    ) -> None:
        """Claim the key, run the job and settle the claim."""
        with job.run_scope:
            try:
                response = await self._claim_and_run(job, call)
                await self._store_response(job, response)
            except JobRefused as refusal:
                job.refusal = refusal
                job.owned_elsewhere |= refusal.reason == RECORD_LOST
                job.state = KeyState.UNKNOWN if refusal.run == "unknown" else KeyState.RELEASED
        if job.run_scope.cancelled_caught and job.refusal is None:
            job.refusal = JobRefused(
                499, "caller-gone", "the caller disconnected before the job started"
            )
            job.state = KeyState.RELEASED
        if job.owned_elsewhere and job.state is not KeyState.ANSWERED:
            self.jobs.pop(job.key, None)
        job.request.body = Body()
        job.finished.set()
        self._discard_unread(job)
        logging.info(
            "decision=key job=%s state=%s reason=%s",
            job.request.job_id,
            job.state,
            job.refusal.reason if job.refusal else "answered",
        )
        await self.claims.settle(job.key, job.request.job_id, job.state)

    async def _claim_and_run(
        self, job: _KeyedJob, call: Callable[[], Awaitable[EndpointResponse]]
    ) -> EndpointResponse:
        while True:
            job.owned_elsewhere = False
            existing = await self.claims.claim(
                job.key, job.body_digest, job.request.job_id, job.request.deadline
            )
            if existing is None:
                return await call()
            job.owned_elsewhere = True
            _check_digest(existing.body_digest, job.body_digest)
            if not await self._await_owner(job, existing):
                continue
            cached = self.responses.get(job.key)
            assert cached is not None
            return _replay_response(cached)

    async def _await_owner(self, job: _KeyedJob, record: KeyRecord) -> bool:
        """Wait for the response of the job that holds the key, and cache it here.

        :param record: claim of the job that holds the key
        :returns: whether there is a response; False if that job was released without running
        :raises JobRefused: if that job has run or may have run, and there is no response
        """
        reply = await self._poll_owner(job, record)
        if reply.state == KeyState.ANSWERED and reply.status:
            headers = tuple((header.name, header.value) for header in reply.headers)
            cached = CachedResponse(reply.status, headers, reply.content)
            if self.responses.put(job.key, cached):
                return True
            raise _already_run_error()
        if reply.state == KeyState.RELEASED:
            await self.claims.settle(job.key, record.job, KeyState.RELEASED)
            return False
        if reply.state == KeyState.CLAIMED:
            raise JobRefused(
                504, "deadline-passed", "the job with this key has not finished yet", "unknown"
            )
        if reply.state == KeyState.ANSWERED:
            raise _already_run_error()
        raise JobRefused(
            409, "may-have-run", "a job with this key may have run; its response is lost", "unknown"
        )

    async def _poll_owner(self, job: _KeyedJob, record: KeyRecord) -> pb.AnswerReply:
        time_left = max(0.1, job.request.deadline - self.clock.now())
        if record.owner == self.member.name:
            return await self.await_answer(record.key, record.job, time_left)
        info = self.peers.find(record.owner)
        reply = pb.AnswerReply(state=KeyState.UNKNOWN)
        while info is not None and self.clock.now() < job.request.deadline:
            time_left = min(MAX_POLL_SECONDS, max(0.1, job.request.deadline - self.clock.now()))
            request = pb.AnswerRequest(key=record.key, job=record.job, wait_seconds=time_left)
            try:
                reply = await self.peer_client.call(
                    info.peer_address, "AwaitAnswer", request, time_left + POLL_MARGIN_SECONDS
                )
                if reply.state != KeyState.CLAIMED:
                    return reply
            except PeerError:
                if not self.peers.is_live(record.owner):
                    return pb.AnswerReply(state=KeyState.UNKNOWN)
                await anyio.sleep(RETRY_SECONDS)
        return reply

    async def _store_response(self, job: _KeyedJob, response: EndpointResponse) -> None:
        """Cache a response if it is small; leave a large one to a single reader."""
        prefix_chunks: list[bytes] = []
        size = 0
        remaining_chunks = response.chunks()
        try:
            async for chunk in remaining_chunks:
                prefix_chunks.append(chunk)
                size += len(chunk)
                if size > MAX_CACHED_RESPONSE_BYTES:
                    job.state = KeyState.ANSWERED
                    job.response = _with_prefix(response, prefix_chunks, remaining_chunks)
                    return
        except EndpointError as error:
            raise JobRefused(
                502, "answer-broken-off", f"the response broke off: {error.reason}", "unknown"
            ) from None
        cached = CachedResponse(response.status, tuple(response.headers), b"".join(prefix_chunks))
        self.responses.put(job.key, cached)
        job.state = KeyState.ANSWERED

    @staticmethod
    def _discard_unread(job: _KeyedJob) -> None:
        """Discard a large response that no request waits for, so that its attempt can end."""
        if job.response is not None and not job.waiting_requests:
            job.response.discard()
            job.response = None

    def _add_job(self, job: _KeyedJob) -> _KeyedJob:
        self.jobs.pop(job.key, None)
        self.jobs[job.key] = job
        if len(self.jobs) > MAX_RECENT_JOBS:
            oldest = next(iter(self.jobs))
            if self.jobs[oldest].finished.is_set():
                del self.jobs[oldest]
        return job


def _check_digest(first: bytes, second: bytes) -> None:
    if first != second:
        raise JobRefused(
            422, "key-reused", "the Idempotency-Key was already used with a different body"
        )


def _already_run_error() -> JobRefused:
    return JobRefused(
        409,
        "ran-already",
        "the job with this key has already run; its response is not cached",
        "unknown",
    )


def _replay_response(cached: CachedResponse) -> EndpointResponse:
    send, receive = anyio.create_memory_object_stream[bytes | EndpointError](1)
    if cached.content:
        send.send_nowait(cached.content)
    send.close()
    return EndpointResponse(cached.status, list(cached.headers), receive)


def _with_prefix(
    response: EndpointResponse, prefix_chunks: list[bytes], remaining_chunks
) -> EndpointResponse:
    return PrefixedResponse(
        response.status,
        response.headers,
        response.buffered_chunks,
        prefix_chunks,
        remaining_chunks,
    )


@attrs.define(eq=False)
class PrefixedResponse(EndpointResponse):
    """A response whose first chunks were already read.

    :param prefix_chunks: the chunks that were read
    :param remaining_chunks: iterator over the chunks that follow them
    """

    prefix_chunks: list[bytes] = attrs.field(factory=list)
    remaining_chunks: object = None

    async def chunks(self):
        """Yield the content from its beginning."""
        for chunk in self.prefix_chunks:
            yield chunk
        async for chunk in self.remaining_chunks:  # type: ignore[attr-defined]
            yield chunk
