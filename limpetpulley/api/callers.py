"""Callers' interface: jobs in, whole answers or honest refusals out."""

from __future__ import annotations

import re
from typing import Protocol

import anyio

from ..exception import EndpointError, JobRefused
from ..jobs import JobService, Submission
from ..routing.attempt import HOP_BY_HOP_HEADERS, Body, EndpointResponse
from .http import (
    Receive,
    Scope,
    Send,
    get_header,
    iterate_body,
    read_body,
    send_json,
    send_problem,
    send_refusal,
)

__all__ = ["CallersApp", "Readiness"]

JOB_PATH = re.compile(r"/queues/([a-z0-9.-]{1,63})/jobs")
KEY_PATTERN = re.compile(r"[!-~]{1,200}")
REPEATABLE_BYTES = 64 * 1024
KEYED_BYTES = 1024 * 1024
NOT_PASSED_ON = HOP_BY_HOP_HEADERS | {
    b"host",
    b"authorization",
    b"content-length",
    b"time-left",
    b"expect",
    b"job-id",
    b"forwarded-job",
}


class Readiness(Protocol):
    """Whether the daemon takes callers' jobs."""

    def not_ready(self) -> str:
        """Return why not, or an empty string."""


class CallersApp:
    """ASGI application for callers.

    :param max_body_bytes: largest request body
    """

    jobs: JobService
    readiness: Readiness

    def __init__(self, max_body_bytes: int):
        self.max_body_bytes = max_body_bytes

    def connect(self, jobs: JobService, readiness: Readiness) -> None:
        """Set what answers the requests, before the first one.

        :param jobs: what runs the jobs
        :param readiness: whether the daemon takes jobs
        """
        self.jobs = jobs
        self.readiness = readiness

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        path = scope["path"]
        if path == "/livez":
            await send_json(send, {"live": True})
        elif path == "/readyz":
            reason = self.readiness.not_ready()
            await send_json(send, {"ready": not reason, "reason": reason}, 503 if reason else 200)
        elif (match := JOB_PATH.fullmatch(path)) is None:
            await send_problem(send, 404, "not-found", "use POST /queues/{queue}/jobs", run="no")
        elif scope["method"] != "POST":
            headers = [(b"allow", b"POST")]
            await send_problem(send, 405, "method", "use POST", headers, run="no")
        else:
            await self._serve_job(match[1], scope, receive, send)

    async def _serve_job(self, queue: str, scope: Scope, receive: Receive, send: Send) -> None:
        job_id = self.jobs.new_job_id()
        try:
            submission = await self._read(queue, job_id, scope, receive)
            answer = await self._run(submission, receive)
        except JobRefused as refused:
            self.jobs.record_refusal(job_id, queue, refused)
            if refused.reason != "caller-gone":
                await send_refusal(send, refused, job=job_id)
            return
        if answer is not None:
            await _send_answer(send, answer, job_id, self.readiness.not_ready() != "")

    async def _read(self, queue: str, job_id: str, scope: Scope, receive: Receive) -> Submission:
        key = get_header(scope, b"idempotency-key")
        if key is not None and not KEY_PATTERN.fullmatch(key):
            raise JobRefused(
                400, "bad-idempotency-key", "Idempotency-Key: 1 to 200 printable characters"
            )
        submission = Submission(
            job_id,
            queue,
            _bearer(get_header(scope, b"authorization")),
            _time_left(get_header(scope, b"time-left")),
            key,
            _flag("Idempotent", get_header(scope, b"idempotent")),
            get_header(scope, b"forwarded-job") is not None,
            [(name, value) for name, value in scope["headers"] if name not in NOT_PASSED_ON],
        )
        self.jobs.check_access(submission)
        submission.body = await self._read_body(scope, receive, keyed=key is not None)
        return submission

    async def _read_body(self, scope: Scope, receive: Receive, keyed: bool) -> Body:
        length = _length(get_header(scope, b"content-length"))
        if length is not None and length > self.max_body_bytes:
            raise JobRefused(413, "body-too-large", f"the body is over {self.max_body_bytes} bytes")
        if keyed:
            return Body(await read_body(receive, min(KEYED_BYTES, self.max_body_bytes)))
        if length is not None and length <= REPEATABLE_BYTES:
            return Body(await read_body(receive, REPEATABLE_BYTES))
        return Body(None, iterate_body(receive, self.max_body_bytes), length)

    async def _run(self, submission: Submission, receive: Receive) -> EndpointResponse | None:
        """Return the answer to a job, or None once the caller has gone."""
        if submission.body.buffered is None:
            return await self.jobs.run(submission)
        answer = None
        refused: JobRefused | None = None

        async def watch_caller() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch_caller)
            try:
                answer = await self.jobs.run(submission)
            except JobRefused as error:
                refused = error
            tasks.cancel_scope.cancel()
        if refused is not None:
            raise refused
        return answer


async def _send_answer(send: Send, answer: EndpointResponse, job_id: str, closing: bool) -> None:
    headers = [*answer.headers, (b"job-id", job_id.encode())]
    if closing:
        headers.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    try:
        async for chunk in answer.chunks():
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
    except EndpointError as error:
        # Ending without the last chunk is the only way to tell the caller of a broken answer.
        raise ConnectionAbortedError(f"job {job_id}: {error.reason}") from None
    await send({"type": "http.response.body", "body": b""})


def _bearer(value: str | None) -> str:
    if value is None:
        return ""
    scheme, _, secret = value.partition(" ")
    if scheme.lower() != "bearer" or not secret.strip():
        raise JobRefused(401, "bad-authorization", "use Authorization: Bearer KEY")
    return secret.strip()


def _time_left(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < float("inf"):
        raise JobRefused(400, "bad-time-left", "Time-Left: seconds, more than 0")
    return seconds


def _flag(name: str, value: str | None) -> bool:
    if value is None:
        return False
    if value.lower() not in ("true", "false"):
        raise JobRefused(400, "bad-header", f"{name}: true or false")
    return value.lower() == "true"


def _length(value: str | None) -> int | None:
    if value is None:
        return None
    if not value.isdigit():
        raise JobRefused(400, "bad-content-length", "Content-Length: a whole number")
    return int(value)
