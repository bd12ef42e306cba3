"""The callers' interface to jobs of steps."""

from __future__ import annotations

import re

from ..batch import JobSpec, JobState, QueueRule
from ..batch.records import decode_spec
from ..exception import JobRefused, RecordError, StoreError, StoreUnavailable
from ..ownership import BatchNode, Outcome, Submission
from .http import Receive, Scope, Send, get_header, read_body, send_json, send_problem

__all__ = ["BatchesApp"]

BATCH_PATH = re.compile(r"/queues/([A-Za-z0-9._-]+)/batches(?:/([0-9a-f]{16}))?")
MAX_BODY_BYTES = 1 << 20
#: time that a caller is given that names none, in seconds
DEFAULT_SECONDS = 5.0
BEARER = "Bearer "


class BatchesApp:
    """An ASGI application: submit, ask for, cancel and count jobs of steps."""

    def __init__(self, node: BatchNode):
        self.node = node

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        match = BATCH_PATH.fullmatch(scope["path"])
        config = self.node.around.config
        queue = config.queues.get(match[1]) if match and config else None
        try:
            if match is None or queue is None:
                raise JobRefused(404, "not-found", "use /queues/{queue}/batches/{id}")
            team = self._team(scope, queue)
            if match[2] is None:
                await self._count(scope, send, queue)
            else:
                await self._serve(scope, receive, send, queue, team, match[2])
        except JobRefused as refused:
            await send_problem(
                send, refused.status, refused.reason, refused.detail, run=refused.run
            )
        except (StoreUnavailable, StoreError) as error:
            headers = [(b"retry-after", b"1")]
            await send_problem(send, 503, "unavailable", str(error), headers)

    def _team(self, scope: Scope, queue: QueueRule) -> str:
        value = get_header(scope, b"authorization") or ""
        config = self.node.around.config
        team = config.find_team(value.removeprefix(BEARER)) if config else None
        if team is None and not queue.public:
            raise JobRefused(401, "bad-key", "the access key is not known")
        return team or ""

    async def _count(self, scope: Scope, send: Send, queue: QueueRule) -> None:
        if scope["method"] != "GET":
            raise JobRefused(405, "method", "use GET")
        pending = await self.node.service.count_pending(queue, time_left(scope))
        await send_json(send, {"pending": pending})

    async def _serve(
        self, scope: Scope, receive: Receive, send: Send, queue: QueueRule, team: str, job_id: str
    ) -> None:
        service, seconds = self.node.service, time_left(scope)
        if scope["method"] == "PUT":
            await self._submit(scope, receive, send, queue, team, job_id)
        elif scope["method"] == "GET":
            await _send_state(send, await service.find(queue, job_id, seconds))
        elif scope["method"] == "DELETE":
            await _send_state(send, await service.cancel(queue, job_id, seconds))
        else:
            raise JobRefused(405, "method", "use PUT, GET or DELETE")

    async def _submit(
        self, scope: Scope, receive: Receive, send: Send, queue: QueueRule, team: str, job_id: str
    ) -> None:
        spec = read_spec(await read_body(receive, MAX_BODY_BYTES))
        seconds = time_left(scope)
        elapsed = max(0.0, queue.timeout_seconds - seconds) if queue.timeout_seconds else 0.0
        result = await self.node.service.submit(
            Submission(queue, job_id, spec, team, elapsed), seconds
        )
        if result.outcome is Outcome.ACCEPTED:
            await send_json(send, {"job": job_id, "state": JobState.QUEUED}, 202)
        elif result.outcome is Outcome.UNKNOWN:
            detail = "not known to be stored: ask again with the same id"
            await send_problem(send, 504, result.reason, detail, run="unknown", job=job_id)
        else:
            headers = [(b"retry-after", str(result.retry_seconds).encode())]
            reason = result.reason or "refused"
            detail = f"come back in {result.retry_seconds} s"
            await send_problem(send, 503, reason, detail, headers, run="no", job=job_id)


def time_left(scope: Scope) -> float:
    """Return the time in which a caller needs the answer, in seconds.

    :raises JobRefused: if the header makes no sense
    """
    value = get_header(scope, b"time-left")
    try:
        seconds = float(value) if value else DEFAULT_SECONDS
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < float("inf"):
        raise JobRefused(400, "bad-time-left", "Time-Left: seconds, more than 0")
    return seconds


def read_spec(content: bytes) -> JobSpec:
    """Return the job that a body describes.

    :raises JobRefused: if it describes none, with what is wrong
    """
    try:
        spec = decode_spec(content)
    except RecordError as error:
        raise JobRefused(422, "bad-job", str(error)) from None
    if not spec.steps:
        raise JobRefused(422, "bad-job", "a job has at least one step")
    for place, step in enumerate(spec.steps):
        if step.count < 1:
            raise JobRefused(422, "bad-job", f"step {place}: count is at least 1")
        if any(not 0 <= before < place for before in step.after):
            raise JobRefused(422, "bad-job", f"step {place}: after names earlier steps")
    return spec


async def _send_state(send: Send, state: JobState | None) -> None:
    if state is None:
        raise JobRefused(404, "no-such-job", "no job of this queue has the id")
    await send_json(send, {"state": state})
