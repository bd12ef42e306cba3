"""HTTP interface for callers that submit jobs of steps."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

import attrs

from ..batch import BatchConfig, JobSpec, JobState, QueueConfig
from ..batch.records import decode_spec
from ..batch.validation import validate_spec
from ..exception import ChangeUnknown, JobRefused, RecordError, StoreError, StoreUnavailable
from ..ownership import BatchNode, Outcome, Submission
from ..ownership.failures import describe_error
from ..ownership.freshness import ConfigFreshness
from ..secret import digest_secret
from .http import Receive, Scope, Send, get_header, read_body, send_json, send_problem, send_refusal

__all__ = ["BatchesApp", "Dialect", "Target", "denial", "native_dialect"]

BATCH_PATH = re.compile(r"/queues/([A-Za-z0-9._-]+)/batches(?:/([0-9a-f]{16}))?")
MAX_BODY_BYTES = 1 << 20
#: time left for a request without a deadline header, in seconds
DEFAULT_TIMEOUT_SECONDS = 5.0
#: part of the caller's time left that is reserved for sending the response, in seconds
RESPONSE_MARGIN_SECONDS = 0.05
#: retry delay for callers that cannot be served now, in whole seconds
RETRY_SECONDS = 1
BEARER_PREFIX = "Bearer "
MIN_ERROR_STATUS = 400


@attrs.frozen
class Target:
    """Target of a request: a queue, and one of its jobs unless the identifier is empty."""

    queue: QueueConfig
    job_id: str = ""


@attrs.frozen
class Dialect:
    """Variant of the HTTP interface: its methods, paths, status codes, headers and body format.

    :param submit_method: HTTP method that submits a job
    :param accepted_status: status code for an accepted job
    :param not_found_status: status code if the job does not exist
    :param invalid_status: status code for an invalid job specification
    :param find_target: returns the target of a request, None if the queue does not exist
    :param decode_spec: decodes the job specification in a body; raises
        :class:`~limpetpulley.exception.RecordError` if it is invalid
    :param deadline_header: name of the header with the time left until the caller needs the
        response
    :param deadline_unit: unit of that header, in seconds
    :param stored_key: returns the form in which the configuration stores an access key
    """

    submit_method: str
    accepted_status: int
    not_found_status: int
    invalid_status: int
    find_target: Callable[[BatchConfig, Scope], Target | None]
    decode_spec: Callable[[bytes], JobSpec]
    deadline_header: bytes
    deadline_unit: float
    stored_key: Callable[[str], str] = str


@attrs.define
class _RequestRecord:
    """A request and its response, for the log and the metrics; status 0 if none was sent.

    :param in_doubt: reason to answer with if it fails from now on: its job may be stored or
        cancelled; empty if it cannot be
    """

    method: str
    path: str
    started_at: float
    queue: str = ""
    job_id: str = ""
    team: str = ""
    status: int = 0
    reason: str = ""
    detail: str = ""
    time_left: float = 0.0
    in_doubt: str = ""


class BatchesApp:
    """ASGI application that submits, queries, cancels and counts jobs of steps."""

    def __init__(self, node: BatchNode, dialect: Dialect):
        self.node = node
        self.dialect = dialect

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request.

        An error that nobody expects concerns this request only. The caller is told that the outcome
        is unknown if the request may have had an effect.
        """
        record = _RequestRecord(scope["method"], scope["path"], self.node.context.clock.now())

        async def send_recorded(message: dict[str, Any]) -> None:
            if message["type"] == "http.response.start":
                record.status = message["status"]
            await send(message)

        try:
            await self._handle(record, scope, receive, send_recorded)
        except JobRefused as refused:
            await _refuse(record, refused, send_recorded)
        except (StoreUnavailable, StoreError) as error:
            await _answer_failure(record, str(error), send_recorded)
        except Exception as error:
            self.node.context.log.write(
                "request-fault", path=record.path, method=record.method, **describe_error(error)
            )
            if record.status:
                # The response has begun, so that only its end can tell.
                raise
            await _answer_failure(record, "unexpected error in the daemon", send_recorded)
        finally:
            self._record_request(record)

    def _record_request(self, record: _RequestRecord) -> None:
        """Update the metrics, and log the request.

        A successful query is logged only if it was answered by a configuration that may be
        outdated.
        """
        context = self.node.context
        seconds = context.clock.now() - record.started_at
        metrics = context.metrics
        metrics.count_request(record.method, record.status, record.reason)
        metrics.observe_request(record.queue, record.method, seconds)
        is_query_answered = record.method == "GET" and record.status < MIN_ERROR_STATUS
        if is_query_answered and context.freshness.is_fresh():
            return
        context.log.write(
            "request-answered",
            method=record.method,
            path=record.path,
            queue=record.queue,
            job=record.job_id,
            team=record.team,
            status=record.status,
            reason=record.reason,
            detail=record.detail,
            seconds=round(seconds, 4),
            time_left=record.time_left,
            **context.config_fields(),
        )

    async def _handle(
        self, record: _RequestRecord, scope: Scope, receive: Receive, send: Send
    ) -> None:
        context = self.node.context
        await context.freshness.confirm()
        config = context.config
        if config is None:
            raise JobRefused(
                503, "no-config", "no configuration received yet", retry_after=RETRY_SECONDS
            )
        if not context.freshness.is_usable():
            raise _not_confirmed()
        target = self.dialect.find_target(config, scope)
        if target is None:
            refusal = JobRefused(404, "not-found", "the queue does not exist")
            raise denial(refusal, context.freshness)
        record.queue, record.job_id = target.queue.name, target.job_id
        team = record.team = self._authenticate(config, scope, target.queue)
        service, seconds = self.node.service, self._parse_time_left(scope)
        record.time_left = seconds
        method = scope["method"]
        if not target.job_id:
            if method != "GET":
                raise JobRefused(405, "method", "use GET")
            pending = await service.count_pending(target.queue, seconds)
            await send_json(send, {"pending": pending})
        elif method == self.dialect.submit_method:
            spec = self._parse_spec(target, await read_body(receive, MAX_BODY_BYTES))
            record.in_doubt = "not-known-to-be-stored"
            await self._submit(send, target, team, spec, seconds)
        elif method == "GET":
            await self._send_state(send, await service.find(target.queue, target.job_id, seconds))
        elif method == "DELETE":
            await self._cancel(record, send, target, seconds)
        else:
            raise JobRefused(405, "method", f"use {self.dialect.submit_method}, GET or DELETE")

    async def _submit(
        self, send: Send, target: Target, team: str, spec: JobSpec, seconds: float
    ) -> None:
        queue = target.queue
        elapsed = max(0.0, queue.timeout_seconds - seconds) if queue.timeout_seconds else 0.0
        result = await self.node.service.submit(
            Submission(queue, target.job_id, spec, team, elapsed), seconds - RESPONSE_MARGIN_SECONDS
        )
        if result.outcome is Outcome.ACCEPTED:
            document = {"job": target.job_id, "state": JobState.QUEUED}
            await send_json(send, document, self.dialect.accepted_status)
        elif result.outcome is Outcome.UNKNOWN:
            detail = "unknown whether the job is stored: submit it again with the same id"
            raise JobRefused(504, result.reason, detail, run="unknown")
        else:
            detail = f"retry in {result.retry_seconds} s"
            raise JobRefused(
                503, result.reason or "refused", detail, retry_after=result.retry_seconds
            )

    async def _cancel(
        self, record: _RequestRecord, send: Send, target: Target, seconds: float
    ) -> None:
        record.in_doubt = "not-known-to-be-cancelled"
        try:
            state = await self.node.service.cancel(target.queue, target.job_id, seconds)
        except ChangeUnknown as error:
            raise JobRefused(504, record.in_doubt, str(error), run="unknown") from None
        except (StoreUnavailable, StoreError):
            # The job was not cancelled.
            record.in_doubt = ""
            raise
        await self._send_state(send, state)

    async def _send_state(self, send: Send, state: JobState | None) -> None:
        if state is None:
            raise JobRefused(
                self.dialect.not_found_status, "no-such-job", "the queue has no job with this id"
            )
        await send_json(send, {"state": state})

    def _authenticate(self, config: BatchConfig, scope: Scope, queue: QueueConfig) -> str:
        """Return the team of the access key, or the team for requests without a valid key."""
        value = get_header(scope, b"authorization") or ""
        team = None
        if value.startswith(BEARER_PREFIX):
            access_key = value.removeprefix(BEARER_PREFIX)
            team = config.find_team(self.dialect.stored_key(access_key))
        if team is None and not queue.public:
            refusal = JobRefused(401, "bad-key", "the access key is missing or unknown")
            raise denial(refusal, self.node.context.freshness)
        return team or queue.open_to

    def _parse_time_left(self, scope: Scope) -> float:
        value = get_header(scope, self.dialect.deadline_header)
        try:
            seconds = (
                float(value) * self.dialect.deadline_unit if value else DEFAULT_TIMEOUT_SECONDS
            )
        except ValueError:
            seconds = -1.0
        if not 0 <= seconds < float("inf"):
            name = self.dialect.deadline_header.decode()
            raise JobRefused(400, f"bad-{name}", f"{name} must be a finite number, at least 0")
        return seconds

    def _parse_spec(self, target: Target, content: bytes) -> JobSpec:
        try:
            spec = self.dialect.decode_spec(content)
            validate_spec(spec)
        except RecordError as error:
            raise JobRefused(self.dialect.invalid_status, "bad-job", str(error)) from None
        return spec


async def _refuse(record: _RequestRecord, refused: JobRefused, send: Send) -> None:
    record.reason, record.detail = refused.reason, refused.detail
    await send_refusal(send, refused)


async def _answer_failure(record: _RequestRecord, detail: str, send: Send) -> None:
    """Answer a request that has failed: unknown if it may have had an effect, else unavailable."""
    if record.in_doubt:
        await _refuse(record, JobRefused(504, record.in_doubt, detail, run="unknown"), send)
        return
    record.reason, record.detail = "unavailable", detail
    headers = [(b"retry-after", str(RETRY_SECONDS).encode())]
    await send_problem(send, 503, "unavailable", detail, headers)


def denial(refusal: JobRefused, freshness: ConfigFreshness) -> JobRefused:
    """Return a refusal that follows from the configuration, if that is known to be current.

    Otherwise the queue or the key may have been added, so that the caller should ask again.
    """
    return refusal if freshness.is_fresh() else _not_confirmed()


def _not_confirmed() -> JobRefused:
    """Return the refusal of a request while the configuration may be outdated."""
    return JobRefused(
        503,
        "configuration-not-confirmed",
        "this daemon cannot confirm that its configuration is up to date",
        retry_after=RETRY_SECONDS,
    )


def native_dialect() -> Dialect:
    """Return the dialect of limpetpulley's own interface."""
    return Dialect(
        "PUT", 202, 404, 422, _find_target, decode_spec, b"time-left", 1.0, stored_key=digest_secret
    )


def _find_target(config: BatchConfig, scope: Scope) -> Target | None:
    match = BATCH_PATH.fullmatch(scope["path"])
    queue = config.queues.get(match[1]) if match else None
    return Target(queue, match[2] or "") if match and queue else None
