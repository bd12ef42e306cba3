"""The platform's workers: their entries in the store, and the calls that send orders to them."""

from __future__ import annotations

from typing import Any

from .. import json_decoding as fields
from ..batch import EndKind, TaskId
from ..exception import NotOwnerError, RecordError, WorkerError
from ..http_client import HttpClient, HttpResponse
from ..workers import (
    EndedRun,
    HoldReply,
    ListedRun,
    ListedWorker,
    PaceOrder,
    StartOrder,
    StartOutcome,
    StartReply,
    StopOrder,
)
from ..workers.calls import ORDER_TIMEOUT_SECONDS, REPLY_MARGIN_SECONDS, post_order
from .config import MILLISECONDS, decode_amount

__all__ = ["SERVERS_PREFIX", "PlatformOrderSender", "decode_task", "decode_worker", "encode_task"]

SERVERS_PREFIX = "servers/"
DRAINING_BY_STATE = {"ready": False, "draining": True}
OK, BAD_REQUEST, CONFLICT, MISDIRECTED, TOO_MANY, UNAVAILABLE = 200, 400, 409, 421, 429, 503
OUTCOMES_BY_REASON = {
    "fence": StartOutcome.STALE_OWNER,
    "old": StartOutcome.OLD_RUN,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.NO_TICKET,
}
OUTCOMES_BY_STATUS = {
    BAD_REQUEST: StartOutcome.REFUSED,
    MISDIRECTED: StartOutcome.OTHER_WORKER,
    TOO_MANY: StartOutcome.UNHEALTHY,
    UNAVAILABLE: StartOutcome.UNHEALTHY,
}


def decode_worker(key: str, value: bytes) -> ListedWorker:
    """Return the worker that a store entry announces.

    :raises RecordError: if the entry cannot be read
    """
    source = fields.parse_object(value)
    state = fields.get_str(source, "state")
    if state not in DRAINING_BY_STATE:
        raise RecordError(f"unknown worker state {state!r}")
    labels = fields.get_strings(source, "labels")
    return ListedWorker(
        worker_id=fields.check_token(key.removeprefix(SERVERS_PREFIX), "the identifier"),
        pool=fields.get_str(source, "service"),
        address=fields.get_address(source, "address"),
        # "born" is the start time of the worker's process, in milliseconds since 1970.
        incarnation=fields.get_int(source, "born", 0),
        capacity=decode_amount(source.get("capacity")),
        vm=fields.get_str(source, "machine", ""),
        # The first label is the worker's kind, the last one its rack.
        rack=labels[-1] if len(labels) > 1 else "",
        labels=frozenset(labels),
        data_centre=fields.get_str(source, "zone", ""),
        draining=DRAINING_BY_STATE[state],
        heartbeat=fields.get_int(source, "seq", 0),
    )


def encode_task(task: TaskId) -> str:
    """Return the name of a task on the wire."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.position}"


def decode_task(name: str) -> TaskId:
    """Return the task with a name on the wire.

    :raises RecordError: if the name is malformed
    """
    try:
        job_id, occurrence, step, position = name.split(".")
        return TaskId(job_id, int(occurrence), int(step), int(position))
    except (ValueError, AttributeError):
        raise RecordError(f"{name!r} is not the name of a task") from None


class PlatformOrderSender:
    """Sends orders to workers with the platform's calls."""

    def __init__(self, http: HttpClient):
        self.http = http

    async def start(
        self, worker: ListedWorker, order: StartOrder, token: int, until_seconds: float
    ) -> StartReply:
        """Start a run whose lease ends at a worker time."""
        body: dict[str, Any] = {
            "task": encode_task(order.task),
            "run": order.number,
            "spec": order.payload,
            "untilMs": int(until_seconds * MILLISECONDS),
            "fence": token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        answer = await self._call(worker, "/api/run-start", body)
        if answer.status in OUTCOMES_BY_STATUS:
            return StartReply(OUTCOMES_BY_STATUS[answer.status], 0.0)
        reply = _read_json(worker, answer)
        if answer.status == OK:
            return StartReply(StartOutcome.STARTED, _worker_seconds(reply))
        outcome = OUTCOMES_BY_REASON.get(str(reply.get("reason")))
        if answer.status != CONFLICT or outcome is None:
            raise WorkerError(f"{worker.worker_id}: unexpected start status {answer.status}")
        if outcome is StartOutcome.STALE_OWNER:
            raise NotOwnerError(f"{worker.worker_id} has seen a newer fencing token than {token}")
        return StartReply(outcome, _worker_seconds(reply))

    async def stop(self, worker: ListedWorker, order: StopOrder, token: int) -> float:
        """Stop a run and return the worker's time."""
        body = {"task": encode_task(order.task), "run": order.number, "fence": token}
        return await self._send_order(worker, "/api/run-stop", body, token)

    async def pace(self, worker: ListedWorker, order: PaceOrder, token: int) -> float:
        """Set the speed of a run and return the worker's time."""
        body = {
            "task": encode_task(order.task),
            "run": order.number,
            "percent": order.percent,
            "fence": token,
        }
        return await self._send_order(worker, "/api/pace", body, token)

    async def hold(
        self,
        worker: ListedWorker,
        token: int,
        acknowledged: int,
        until_seconds: float | None,
        wait_seconds: float,
    ) -> HoldReply:
        """Extend the lease, acknowledge ended runs and return the running and ended runs."""
        body: dict[str, Any] = {"fence": token, "ackedThrough": acknowledged}
        if until_seconds is not None:
            body["untilMs"] = int(until_seconds * MILLISECONDS)
        if wait_seconds > 0:
            body["waitMs"] = int(wait_seconds * MILLISECONDS)
        answer = await self._call(worker, "/api/hold", body, wait_seconds + REPLY_MARGIN_SECONDS)
        reply = _read_accepted(worker, answer, token)
        try:
            return HoldReply(
                _worker_seconds(reply),
                fields.get_int(reply, "born", 0),
                tuple(_decode_running(row) for row in fields.get_list(reply, "running")),
                tuple(_decode_ended(row) for row in fields.get_list(reply, "finished")),
            )
        except (RecordError, ValueError, TypeError, LookupError) as error:
            raise WorkerError(f"{worker.worker_id}: cannot read the reply: {error!r}") from None

    async def _send_order(
        self, worker: ListedWorker, path: str, body: dict[str, Any], token: int
    ) -> float:
        return _worker_seconds(_read_accepted(worker, await self._call(worker, path, body), token))

    async def _call(
        self,
        worker: ListedWorker,
        path: str,
        body: dict[str, Any],
        seconds: float = ORDER_TIMEOUT_SECONDS,
    ) -> HttpResponse:
        # The worker id names the intended instance; another one at the address rejects the order.
        headers = {"Expect-Instance": worker.worker_id}
        return await post_order(self.http, worker, path, body, seconds, headers)


def _read_json(worker: ListedWorker, answer: HttpResponse) -> dict[str, Any]:
    try:
        return fields.parse_object(answer.content)
    except RecordError as error:
        raise WorkerError(f"{worker.worker_id}: status {answer.status}: {error}") from None


def _read_accepted(worker: ListedWorker, answer: HttpResponse, token: int) -> dict[str, Any]:
    if answer.status == CONFLICT and _read_json(worker, answer).get("reason") == "fence":
        raise NotOwnerError(f"{worker.worker_id} has seen a newer fencing token than {token}")
    if answer.status != OK:
        raise WorkerError(f"{worker.worker_id}: unexpected response status {answer.status}")
    return _read_json(worker, answer)


def _worker_seconds(reply: dict[str, Any]) -> float:
    try:
        return fields.get_int(reply, "clockMs") / MILLISECONDS
    except RecordError as error:
        raise WorkerError(str(error)) from None


def _decode_running(row: list[Any]) -> ListedRun:
    # A row consists of task, run, checkpoint, percent and a gauge: for a task that serves requests
    # its tail latency in milliseconds, for another its processor usage in thousandths of a core.
    gauge = fields.get_number({"gauge": row[4]}, "gauge") / MILLISECONDS if len(row) > 4 else 0.0
    number, percent = fields.check_int(row[1], "run"), fields.check_int(row[3], "percent")
    checkpoint = fields.check_str(row[2] or "", "saved")
    return ListedRun(decode_task(row[0]), number, checkpoint, percent, gauge)


def _decode_ended(row: list[Any]) -> EndedRun:
    position, number = fields.check_int(row[0], "N"), fields.check_int(row[2], "run")
    checkpoint = fields.check_str(row[4] or "", "saved")
    return EndedRun(position, decode_task(row[1]), number, EndKind(row[3]), checkpoint)
