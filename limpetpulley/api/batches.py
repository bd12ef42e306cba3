"""The callers' interface to jobs of steps."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

import attrs

from ..batch import BatchConfig, JobSpec, JobState, QueueConfig
from ..batch.records import decode_spec
from ..exception import JobRefused, RecordError, StoreError, StoreUnavailable
from ..ownership import BatchNode, Outcome, Submission
from ..secret import digest_secret
from .http import Receive, Scope, Send, get_header, read_body, send_json, send_problem, send_refusal

__all__ = ["BatchesApp", "Dialect", "Target", "native_dialect"]

BATCH_PATH = re.compile(r"/queues/([A-Za-z0-9._-]+)/batches(?:/([0-9a-f]{16}))?")
MAX_BODY_BYTES = 1 << 20
#: most tasks of one job, over all its occurrences
MAX_TASKS = 10_000
#: time that a caller is given that names none, in seconds
DEFAULT_SECONDS = 5.0
#: part of the caller's time kept for the way back, in seconds
RETURN_SECONDS = 0.05
#: time after which a caller comes back that could not be served, in whole seconds
RETRY_SECONDS = 1
BEARER = "Bearer "
HTTP_ERROR = 400


@attrs.frozen
class Target:
    """What a request is about: a queue, and one of its jobs unless the id is empty."""

    queue: QueueConfig
    job_id: str = ""


@attrs.frozen
class Dialect:
    """How callers speak: the same requests, with names and statuses of their own.

    :param submit_method: method that hands a job in
    :param accepted: status of an accepted job
    :param absent: status where there is no such job
    :param unreadable: status of a job that makes no sense
    :param locate: returns what a request is about, None if there is no such queue
    :param read_spec: returns the job of a body; raises
        :class:`~limpetpulley.exception.RecordError` if it makes no sense
    :param deadline_header: header with the time in which the caller needs the answer
    :param deadline_unit: seconds of one unit of that time
    :param look_up: returns what the configuration knows of a shown access key
    """

    submit_method: str
    accepted: int
    absent: int
    unreadable: int
    locate: Callable[[BatchConfig, Scope], Target | None]
    read_spec: Callable[[bytes], JobSpec]
    deadline_header: bytes
    deadline_unit: float
    look_up: Callable[[str], str] = str


@attrs.define
class _Request:
    """A request and its answer, for the log and the metrics; status 0 if none was sent."""

    method: str
    path: str
    began: float
    queue: str = ""
    job_id: str = ""
    team: str = ""
    status: int = 0
    reason: str = ""
    detail: str = ""
    time_left: float = 0.0


class BatchesApp:
    """An ASGI application: submit, ask for, cancel and count jobs of steps."""

    def __init__(self, node: BatchNode, dialect: Dialect):
        self.node = node
        self.dialect = dialect

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        request = _Request(scope["method"], scope["path"], self.node.context.clock.now())

        async def send_noting(message: dict[str, Any]) -> None:
            if message["type"] == "http.response.start":
                request.status = message["status"]
            await send(message)

        try:
            await self._serve(request, scope, receive, send_noting)
        except JobRefused as refused:
            request.reason, request.detail = refused.reason, refused.detail
            await send_refusal(send_noting, refused)
        except (StoreUnavailable, StoreError) as error:
            request.reason, request.detail = "unavailable", str(error)
            headers = [(b"retry-after", str(RETRY_SECONDS).encode())]
            await send_problem(send_noting, 503, "unavailable", str(error), headers)
        finally:
            self._note(request)

    def _note(self, request: _Request) -> None:
        """Count a request, and log it unless it only asked and was answered."""
        context = self.node.context
        seconds = context.clock.now() - request.began
        metrics = context.metrics
        metrics.requests.labels(request.method, request.status, request.reason).inc()
        metrics.request_seconds.labels(request.queue, request.method).observe(seconds)
        if request.method == "GET" and request.status < HTTP_ERROR:
            return
        context.log.write(
            "request-answered",
            method=request.method,
            path=request.path,
            queue=request.queue,
            job=request.job_id,
            team=request.team,
            status=request.status,
            reason=request.reason,
            detail=request.detail,
            seconds=round(seconds, 4),
            time_left=request.time_left,
            config=context.config.version if context.config else 0,
        )

    async def _serve(self, request: _Request, scope: Scope, receive: Receive, send: Send) -> None:
        config = self.node.context.config
        if config is None:
            raise JobRefused(503, "no-config", "no configuration yet", retry_after=RETRY_SECONDS)
        target = self.dialect.locate(config, scope)
        if target is None:
            raise JobRefused(404, "not-found", "there is no such queue")
        request.queue, request.job_id = target.queue.name, target.job_id
        team = request.team = self._team(config, scope, target.queue)
        service, seconds = self.node.service, self._time_left(scope)
        request.time_left = seconds
        method = scope["method"]
        if not target.job_id:
            if method != "GET":
                raise JobRefused(405, "method", "use GET")
            pending = await service.count_pending(target.queue, seconds)
            await send_json(send, {"pending": pending})
        elif method == self.dialect.submit_method:
            spec = self._read_spec(target, await read_body(receive, MAX_BODY_BYTES))
            await self._submit(send, target, team, spec, seconds)
        elif method == "GET":
            await self._send_state(send, await service.find(target.queue, target.job_id, seconds))
        elif method == "DELETE":
            state = await service.cancel(target.queue, target.job_id, seconds)
            await self._send_state(send, state)
        else:
            raise JobRefused(405, "method", f"use {self.dialect.submit_method}, GET or DELETE")

    async def _submit(
        self, send: Send, target: Target, team: str, spec: JobSpec, seconds: float
    ) -> None:
        queue = target.queue
        elapsed = max(0.0, queue.timeout_seconds - seconds) if queue.timeout_seconds else 0.0
        result = await self.node.service.submit(
            Submission(queue, target.job_id, spec, team, elapsed), seconds - RETURN_SECONDS
        )
        if result.outcome is Outcome.ACCEPTED:
            document = {"job": target.job_id, "state": JobState.QUEUED}
            await send_json(send, document, self.dialect.accepted)
        elif result.outcome is Outcome.UNKNOWN:
            detail = "not known to be stored: ask again with the same id"
            raise JobRefused(504, result.reason, detail, run="unknown")
        else:
            detail = f"come back in {result.retry_seconds} s"
            raise JobRefused(
                503, result.reason or "refused", detail, retry_after=result.retry_seconds
            )

    async def _send_state(self, send: Send, state: JobState | None) -> None:
        if state is None:
            raise JobRefused(self.dialect.absent, "no-such-job", "no job of this queue has the id")
        await send_json(send, {"state": state})

    def _team(self, config: BatchConfig, scope: Scope, queue: QueueConfig) -> str:
        value = get_header(scope, b"authorization") or ""
        team = None
        if value.startswith(BEARER):
            shown = value.removeprefix(BEARER)
            team = config.find_team(self.dialect.look_up(shown))
        if team is None and not queue.public:
            raise JobRefused(401, "bad-key", "the access key is not known")
        return team or queue.open_to

    def _time_left(self, scope: Scope) -> float:
        value = get_header(scope, self.dialect.deadline_header)
        try:
            seconds = float(value) * self.dialect.deadline_unit if value else DEFAULT_SECONDS
        except ValueError:
            seconds = -1.0
        if not 0 <= seconds < float("inf"):
            name = self.dialect.deadline_header.decode()
            raise JobRefused(400, f"bad-{name}", f"{name} is a time, not below 0")
        return seconds

    def _read_spec(self, target: Target, content: bytes) -> JobSpec:
        try:
            spec = self.dialect.read_spec(content)
            validate_spec(spec)
        except RecordError as error:
            raise JobRefused(self.dialect.unreadable, "bad-job", str(error)) from None
        return spec


def validate_spec(spec: JobSpec) -> None:
    """Check that a job can be done at all.

    :raises RecordError: with what is wrong
    """
    if not spec.steps:
        raise RecordError("a job has at least one step")
    for place, step in enumerate(spec.steps):
        if step.count < 1:
            raise RecordError(f"step {place}: count is at least 1")
        if any(not 0 <= before < place for before in step.after):
            raise RecordError(f"step {place}: after names earlier steps")
    tasks = max(1, spec.occurrences) * sum(step.count for step in spec.steps)
    if tasks > MAX_TASKS:
        raise RecordError(f"{tasks} tasks are more than {MAX_TASKS}")


def native_dialect() -> Dialect:
    """Return the product's own dialect."""
    return Dialect(
        "PUT", 202, 404, 422, _locate, decode_spec, b"time-left", 1.0, look_up=digest_secret
    )


def _locate(config: BatchConfig, scope: Scope) -> Target | None:
    match = BATCH_PATH.fullmatch(scope["path"])
    queue = config.queues.get(match[1]) if match else None
    return Target(queue, match[2] or "") if match and queue else None
