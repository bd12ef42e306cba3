"""HTTP interface for callers: runs a job and returns the endpoint's response or a refusal."""

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
#: maximum size of a body that is buffered so that the job can be retried, in bytes
MAX_BUFFERED_BYTES = 64 * 1024
#: maximum size of the body of a job with an idempotency key, which is always buffered, in bytes
MAX_KEYED_BYTES = 1024 * 1024
#: request headers that are not passed on to the endpoint
DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {
    b"host",
    b"authorization",
    b"content-length",
    b"time-left",
    b"expect",
    b"job-id",
    b"forwarded-job",
}


class Readiness(Protocol):
    """Readiness of the daemon for callers' jobs."""

    def unready_reason(self) -> str:
        """Return why the daemon is not ready, an empty string if it is."""


class CallersApp:
    """ASGI application for callers.

    :param max_body_bytes: maximum size of a request body, in bytes
    """

    jobs: JobService
    readiness: Readiness

    def __init__(self, max_body_bytes: int):
        self.max_body_bytes = max_body_bytes

    def set_services(self, jobs: JobService, readiness: Readiness) -> None:
        """Set the services that handle requests; must be called before the first request.

        :param jobs: runs the jobs
        :param readiness: tells whether the daemon accepts jobs
        """
        self.jobs = jobs
        self.readiness = readiness

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        path = scope["path"]
        if path == "/livez":
            await send_json(send, {"live": True})
        elif path == "/readyz":
            reason = self.readiness.unready_reason()
            await send_json(send, {"ready": not reason, "reason": reason}, 503 if reason else 200)
        elif (match := JOB_PATH.fullmatch(path)) is None:
            await send_problem(send, 404, "not-found", "use POST /queues/{queue}/jobs", run="no")
        elif scope["method"] != "POST":
            headers = [(b"allow", b"POST")]
            await send_problem(send, 405, "method", "use POST", headers, run="no")
        else:
            await self._handle_job(match[1], scope, receive, send)

    async def _handle_job(self, queue: str, scope: Scope, receive: Receive, send: Send) -> None:
        job_id = self.jobs.new_job_id()
        try:
            submission = await self._read_submission(queue, job_id, scope, receive)
            response = await self._run_job(submission, receive)
        except JobRefused as refused:
            self.jobs.record_refusal(job_id, queue, refused)
            if refused.reason != "caller-gone":
                await send_refusal(send, refused, job=job_id)
            return
        if response is not None:
            await _send_response(send, response, job_id, self.readiness.unready_reason() != "")

    async def _read_submission(
        self, queue: str, job_id: str, scope: Scope, receive: Receive
    ) -> Submission:
        key = get_header(scope, b"idempotency-key")
        if key is not None and not KEY_PATTERN.fullmatch(key):
            raise JobRefused(
                400,
                "bad-idempotency-key",
                "Idempotency-Key must be 1 to 200 printable ASCII characters without spaces",
            )
        submission = Submission(
            job_id,
            queue,
            _parse_bearer_token(get_header(scope, b"authorization")),
            _parse_time_left(get_header(scope, b"time-left")),
            key,
            _parse_flag("Idempotent", get_header(scope, b"idempotent")),
            get_header(scope, b"forwarded-job") is not None,
            [(name, value) for name, value in scope["headers"] if name not in DROPPED_HEADERS],
        )
        self.jobs.check_access(submission)
        submission.body = await self._read_body(scope, receive, keyed=key is not None)
        return submission

    async def _read_body(self, scope: Scope, receive: Receive, keyed: bool) -> Body:
        length = _parse_content_length(get_header(scope, b"content-length"))
        if length is not None and length > self.max_body_bytes:
            raise JobRefused(413, "body-too-large", f"the body exceeds {self.max_body_bytes} bytes")
        if keyed:
            return Body(await read_body(receive, min(MAX_KEYED_BYTES, self.max_body_bytes)))
        if length is not None and length <= MAX_BUFFERED_BYTES:
            return Body(await read_body(receive, MAX_BUFFERED_BYTES))
        return Body(None, iterate_body(receive, self.max_body_bytes), length)

    async def _run_job(self, submission: Submission, receive: Receive) -> EndpointResponse | None:
        """Return the response to a job, or None if the caller disconnects."""
        if submission.body.buffered is None:
            return await self.jobs.run(submission)
        response = None
        refused: JobRefused | None = None

        async def cancel_on_disconnect() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_on_disconnect)
            try:
                response = await self.jobs.run(submission)
            except JobRefused as error:
                refused = error
            tasks.cancel_scope.cancel()
        if refused is not None:
            raise refused
        return response


async def _send_response(
    send: Send, response: EndpointResponse, job_id: str, closing: bool
) -> None:
    headers = [*response.headers, (b"job-id", job_id.encode())]
    if closing:
        headers.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    try:
        async for chunk in response.chunks():
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
    except EndpointError as error:
        # The status is already sent: an incomplete body is the only way to signal the failure.
        raise ConnectionAbortedError(f"job {job_id}: response incomplete: {error.reason}") from None
    await send({"type": "http.response.body", "body": b""})


def _parse_bearer_token(value: str | None) -> str:
    if value is None:
        return ""
    scheme, _, secret = value.partition(" ")
    if scheme.lower() != "bearer" or not secret.strip():
        raise JobRefused(401, "bad-authorization", "use Authorization: Bearer KEY")
    return secret.strip()


def _parse_time_left(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < float("inf"):
        raise JobRefused(400, "bad-time-left", "Time-Left must be a number of seconds above 0")
    return seconds


def _parse_flag(name: str, value: str | None) -> bool:
    if value is None:
        return False
    if value.lower() not in ("true", "false"):
        raise JobRefused(400, "bad-header", f"{name} must be true or false")
    return value.lower() == "true"


def _parse_content_length(value: str | None) -> int | None:
    if value is None:
        return None
    if not value.isdigit():
        raise JobRefused(400, "bad-content-length", "Content-Length must be a whole number")
    return int(value)
