"""The callers' requests as the platform's clients make them."""

from __future__ import annotations

import math
import re
from typing import Any

from ..api.http import Receive, Scope, Send, get_header, read_body, send_bytes, send_json
from ..batch import JobSpec, QueueRule, Step
from ..exception import JobRefused, RecordError, StoreError, StoreUnavailable
from ..ownership import BatchNode, Outcome, Submission
from ..reading import flag, load, number, rows, text, whole
from .amounts import amount

__all__ = ["CallersApp", "decode_job_spec", "readiness_app"]

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
MILLISECONDS = 1000.0
MAX_BODY_BYTES = 262144
MAX_TASKS = 10_000
#: time that a caller is given that names no deadline, in seconds
DEFAULT_SECONDS = 3.0
#: part of the caller's time kept for the way back, in seconds
RETURN_SECONDS = 0.05
BEARER = "Bearer "


class CallersApp:
    """An ASGI application that serves the platform's clients."""

    def __init__(self, node: BatchNode):
        self.node = node

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        config = self.node.around.config
        if config is None:
            await refuse(send, 503, 1)
            return
        host = (get_header(scope, b"host") or "").partition(":")[0]
        queue = config.find_queue(host, scope["path"])
        if queue is None:
            await answer(send, 404)
            return
        team = self._team(scope)
        if team is None and not queue.public:
            await answer(send, 401)
            return
        rest = scope["path"][len(queue.path_prefix) :]
        try:
            await self._serve(scope, receive, send, queue, team or "", rest)
        except JobRefused as error:
            await answer(send, error.status)
        except (StoreUnavailable, StoreError) as error:
            self.node.around.log.write(
                "request-unserved", method=scope["method"], path=scope["path"], reason=str(error)
            )
            await refuse(send, 503, 1)

    def _team(self, scope: Scope) -> str | None:
        value = get_header(scope, b"authorization") or ""
        if not value.startswith(BEARER) or self.node.around.config is None:
            return None
        return self.node.around.config.find_team(value.removeprefix(BEARER))

    async def _serve(
        self, scope: Scope, receive: Receive, send: Send, queue: QueueRule, team: str, rest: str
    ) -> None:
        service, seconds = self.node.service, time_left(scope)
        if not rest and scope["method"] == "GET":
            pending = await service.count_pending(queue, seconds)
            await send_json(send, {"pending": pending})
            return
        if not JOB_ID.fullmatch(rest):
            await answer(send, 404)
            return
        if scope["method"] == "POST":
            await self._submit(scope, receive, send, queue, team, rest)
        elif scope["method"] == "GET":
            state = await service.find(queue, rest, seconds)
            await (answer(send, 410) if state is None else send_json(send, {"state": state}))
        elif scope["method"] == "DELETE":
            state = await service.cancel(queue, rest, seconds)
            await answer(send, 410 if state is None else 200)
        else:
            await answer(send, 405)

    async def _submit(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        queue: QueueRule,
        team: str,
        job_id: str,
    ) -> None:
        seconds = time_left(scope)
        content = await read_body(receive, MAX_BODY_BYTES)
        try:
            spec = decode_job_spec(content)
        except RecordError as error:
            self.node.around.log.write("job-unreadable", job=job_id, reason=str(error))
            await answer(send, 400)
            return
        elapsed = max(0.0, queue.timeout_seconds - seconds) if queue.timeout_seconds else 0.0
        result = await self.node.service.submit(
            Submission(queue, job_id, spec, team, elapsed), seconds - RETURN_SECONDS
        )
        if result.outcome is Outcome.ACCEPTED:
            await answer(send, 200)
        elif result.outcome is Outcome.UNKNOWN:
            # Neither accepted nor known to be rejected: the client asks again with the same ID.
            await answer(send, 504)
        else:
            await refuse(send, 503, result.retry_seconds)


def time_left(scope: Scope) -> float:
    """Return the time in which a caller needs the answer, in seconds."""
    value = get_header(scope, b"deadline-ms")
    try:
        return max(0.0, float(value) / MILLISECONDS) if value else DEFAULT_SECONDS
    except ValueError:
        return DEFAULT_SECONDS


def readiness_app(node: BatchNode):
    """Return an ASGI application that tells whether callers can be served."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        await answer(send, 200 if node.is_ready else 503)

    return app


def decode_job_spec(content: bytes) -> JobSpec:
    """Return the job that a request's body describes.

    :raises RecordError: if it cannot be read
    """
    source = load(content)
    steps = tuple(_step(row, place) for place, row in enumerate(rows(source, "phases")))
    occurrences = whole(source, "repeatCount", 0)
    if not steps or max(1, occurrences) * sum(step.count for step in steps) > MAX_TASKS:
        raise RecordError("no steps, or too many tasks")
    return JobSpec(
        text(source, "spec", ""),
        steps,
        occurrences,
        number(source, "firstMs", 0) / MILLISECONDS,
        number(source, "intervalMs", 0) / MILLISECONDS,
    )


def _step(row: Any, place: int) -> Step:
    if not isinstance(row, dict):
        raise RecordError("a step is not an object")
    after = tuple(int(before) for before in rows(row, "after"))
    if any(not 0 <= before < place for before in after):
        raise RecordError("a step comes after one that is not earlier")
    count = whole(row, "count", 0)
    if count < 1:
        raise RecordError("a step has no tasks")
    return Step(
        count=count,
        need=amount(row),
        estimate_seconds=number(row, "estimateMs", 0) / MILLISECONDS,
        after=after,
        checkpoints=flag(row, "checkpointing"),
        gang=flag(row, "gang"),
        same_rack=flag(row, "sameRack"),
        label=text(row, "constraints", ""),
        near_rack=text(row, "affinity", ""),
        max_per_worker=whole(row, "antiAffinity", 0),
        speculative=flag(row, "speculative"),
        lasting=flag(row, "longRunning"),
        image=text(row, "image", ""),
        latency_target_seconds=number(row, "targetMs", 0) / MILLISECONDS,
        filler=flag(row, "fills"),
        # Fields of 0 are left out, so a lasting step without it may miss none.
        may_miss=whole(row, "mayMiss", 0) if flag(row, "longRunning") else None,
    )


async def answer(send: Send, status: int) -> None:
    """Send an answer without content."""
    await send_bytes(send, status, b"{}", b"application/json")


async def refuse(send: Send, status: int, retry_seconds: int) -> None:
    """Send a refusal that says when to come back."""
    headers = [(b"retry-after", str(math.ceil(retry_seconds)).encode())]
    await send_bytes(send, status, b"{}", b"application/json", headers)
