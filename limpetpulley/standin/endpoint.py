"""Emulator of an endpoint that records the runs of jobs."""

from __future__ import annotations

import hashlib
from collections import Counter

import anyio
import attrs

from ..api.http import Receive, Scope, Send, get_header, iterate_body, send_json
from ..clock import Clock, SystemClock

__all__ = ["EndpointStandin", "Run"]

MAX_BODY_BYTES = 1 << 30
#: number of runs that are recorded
MAX_RUNS = 200_000


@attrs.define
class Run:
    """One run of a job, as the endpoint recorded it.

    :param job: identifier of the job
    :param key: its idempotency key, empty if it has none
    :param ended: time of its end, 0 while it is running
    """

    job: str
    key: str
    team: str
    started: float
    ended: float = 0.0


class EndpointStandin:
    """ASGI application that runs a job by waiting and echoes the job's body.

    The headers ``run-seconds``, ``answer-bytes`` and ``fail`` of a job set its duration, the size
    of the response and the status with which it fails. A job runs to its end even if its caller
    disconnects. ``GET /records`` returns the recorded runs; ``POST /faults`` sets the faults
    ``fail-all``, ``leaving`` and ``truncate`` by headers.

    :param clock: clock by which runs are recorded
    """

    def __init__(self, clock: Clock | None = None):
        self.clock = clock or SystemClock()
        self.runs: list[Run] = []
        self.running = 0
        self.most_running = 0
        self.running_by_team: Counter[str] = Counter()
        self.fail_all = False
        self.leaving = False
        self.truncate = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["path"] == "/records":
            await send_json(send, [attrs.asdict(run) for run in self.runs])
        elif scope["path"] == "/faults":
            for name in ("fail_all", "leaving", "truncate"):
                value = get_header(scope, name.replace("_", "-").encode())
                if value is not None:
                    setattr(self, name, value == "true")
            await send_json(send, {})
        elif self.leaving:
            await _refuse_leaving(send)
        else:
            await self._run_job(scope, receive, send)

    async def _run_job(self, scope: Scope, receive: Receive, send: Send) -> None:
        run = Run(
            get_header(scope, b"job-id") or "",
            get_header(scope, b"idempotency-key") or "",
            get_header(scope, b"team") or "",
            self.clock.now(),
        )
        self._record_start(run)
        try:
            digest, body = hashlib.sha256(), []
            async for chunk in iterate_body(receive, MAX_BODY_BYTES):
                digest.update(chunk)
                body.append(chunk)
            seconds = float(get_header(scope, b"run-seconds") or 0)
            with anyio.CancelScope(shield=True):
                await anyio.sleep(seconds)
        finally:
            self._record_end(run)
        status = int(get_header(scope, b"fail") or 200)
        if self.fail_all:
            status = 500
        response_bytes = int(get_header(scope, b"answer-bytes") or 0)
        content = b"x" * response_bytes if response_bytes else b"".join(body)
        await self._send_response(send, status, content, digest.hexdigest())

    async def _send_response(self, send: Send, status: int, content: bytes, digest: str) -> None:
        headers = [
            (b"content-type", b"application/octet-stream"),
            (b"content-length", str(len(content)).encode()),
            (b"body-digest", digest.encode()),
        ]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        if self.truncate and content:
            half = content[: len(content) // 2]
            await send({"type": "http.response.body", "body": half, "more_body": True})
            raise ConnectionAbortedError("response truncated by the injected fault")
        await send({"type": "http.response.body", "body": content})

    def _record_start(self, run: Run) -> None:
        if len(self.runs) < MAX_RUNS:
            self.runs.append(run)
        self.running += 1
        self.running_by_team[run.team] += 1
        self.most_running = max(self.most_running, self.running)

    def _record_end(self, run: Run) -> None:
        run.ended = self.clock.now()
        self.running -= 1
        self.running_by_team[run.team] -= 1


async def _refuse_leaving(send: Send) -> None:
    headers = [
        (b"content-length", b"0"),
        (b"endpoint-leaving", b"true"),
        (b"not-run", b"true"),
    ]
    await send({"type": "http.response.start", "status": 503, "headers": headers})
    await send({"type": "http.response.body", "body": b""})
