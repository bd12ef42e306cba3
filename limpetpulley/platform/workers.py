"""Workers: their entries in the store, and the calls that carry orders to them."""

from __future__ import annotations

from typing import Any

from ..batch import EndKind, TaskId
from ..exception import NotOwnerError, RecordError, WorkerError
from ..http_client import HttpAnswer, HttpCaller
from ..reading import load, rows, text, whole
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
from ..workers.calls import ANSWER_SECONDS, ORDER_SECONDS, post_order
from .config import MILLISECONDS, amount

__all__ = ["SERVERS_PREFIX", "PlatformOrderSender", "decode_task", "decode_worker", "encode_task"]

SERVERS_PREFIX = "servers/"
STATES = {"ready": False, "draining": True}
OK, BAD_REQUEST, CONFLICT, MISDIRECTED, TOO_MANY, AWAY = 200, 400, 409, 421, 429, 503
REJECTIONS = {
    "fence": StartOutcome.STALE_OWNER,
    "old": StartOutcome.OLD_RUN,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.NO_TICKET,
}
STATUSES = {
    BAD_REQUEST: StartOutcome.REFUSED,
    MISDIRECTED: StartOutcome.OTHER_WORKER,
    TOO_MANY: StartOutcome.UNHEALTHY,
    AWAY: StartOutcome.UNHEALTHY,
}


def decode_worker(key: str, value: bytes) -> ListedWorker:
    """Return the worker of an entry.

    :raises RecordError: if the entry is damaged; it then names no worker
    """
    source = load(value)
    state = text(source, "state")
    if state not in STATES:
        raise RecordError(f"unknown state {state!r}")
    labels = [label for label in rows(source, "labels") if isinstance(label, str)]
    return ListedWorker(
        worker_id=key.removeprefix(SERVERS_PREFIX),
        pool=text(source, "service"),
        address=text(source, "address"),
        # "born" is the start of the worker's process, in milliseconds since 1970.
        incarnation=whole(source, "born", 0),
        capacity=amount(source.get("capacity")),
        vm=text(source, "machine", ""),
        # The labels are the worker's kind, then its rack.
        rack=labels[-1] if len(labels) > 1 else "",
        labels=frozenset(labels),
        data_centre=text(source, "zone", ""),
        draining=STATES[state],
    )


def encode_task(task: TaskId) -> str:
    """Return a task's name on the wire."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.position}"


def decode_task(name: str) -> TaskId:
    """Return the task of a name on the wire.

    :raises RecordError: if it is none
    """
    try:
        job_id, occurrence, step, position = name.split(".")
        return TaskId(job_id, int(occurrence), int(step), int(position))
    except (ValueError, AttributeError):
        raise RecordError(f"{name!r} names no task") from None


class PlatformOrderSender:
    """Carries orders to workers over HTTP."""

    def __init__(self, http: HttpCaller):
        self.http = http

    async def start(
        self, worker: ListedWorker, order: StartOrder, token: int, until_seconds: float
    ) -> StartReply:
        """Start a run that may live until a worker time."""
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
        if answer.status in STATUSES:
            return StartReply(STATUSES[answer.status], 0.0)
        reply = _read(worker, answer)
        if answer.status == OK:
            return StartReply(StartOutcome.STARTED, _clock(reply))
        reason = REJECTIONS.get(str(reply.get("reason")))
        if answer.status != CONFLICT or reason is None:
            raise WorkerError(f"{worker.worker_id}: start answered {answer.status}")
        if reason is StartOutcome.STALE_OWNER:
            raise NotOwnerError(f"{worker.worker_id} has seen a newer token than {token}")
        return StartReply(reason, _clock(reply))

    async def stop(self, worker: ListedWorker, order: StopOrder, token: int) -> float:
        """Stop a run; return the worker's time."""
        body = {"task": encode_task(order.task), "run": order.number, "fence": token}
        return await self._order(worker, "/api/run-stop", body, token)

    async def pace(self, worker: ListedWorker, order: PaceOrder, token: int) -> float:
        """Set a run's speed; return the worker's time."""
        body = {
            "task": encode_task(order.task),
            "run": order.number,
            "percent": order.percent,
            "fence": token,
        }
        return await self._order(worker, "/api/pace", body, token)

    async def hold(
        self,
        worker: ListedWorker,
        token: int,
        acknowledged: int,
        until_seconds: float | None,
        wait_seconds: float,
    ) -> HoldReply:
        """Extend the lease, acknowledge ends and return what runs and what has ended."""
        body: dict[str, Any] = {"fence": token, "ackedThrough": acknowledged}
        if until_seconds is not None:
            body["untilMs"] = int(until_seconds * MILLISECONDS)
        if wait_seconds > 0:
            body["waitMs"] = int(wait_seconds * MILLISECONDS)
        answer = await self._call(worker, "/api/hold", body, wait_seconds + ANSWER_SECONDS)
        reply = _accepted(worker, answer, token)
        try:
            return HoldReply(
                _clock(reply),
                whole(reply, "born", 0),
                tuple(_running(row) for row in rows(reply, "running")),
                tuple(_ended(row) for row in rows(reply, "finished")),
            )
        except (RecordError, ValueError, TypeError, IndexError) as error:
            raise WorkerError(f"{worker.worker_id}: unreadable answer: {error!r}") from None

    async def _order(
        self, worker: ListedWorker, path: str, body: dict[str, Any], token: int
    ) -> float:
        return _clock(_accepted(worker, await self._call(worker, path, body), token))

    async def _call(
        self,
        worker: ListedWorker,
        path: str,
        body: dict[str, Any],
        seconds: float = ORDER_SECONDS,
    ) -> HttpAnswer:
        # The intended lifetime is named by the worker's id; another one there rejects.
        headers = {"Expect-Instance": worker.worker_id}
        return await post_order(self.http, worker, path, body, seconds, headers)


def _read(worker: ListedWorker, answer: HttpAnswer) -> dict[str, Any]:
    try:
        return load(answer.content)
    except RecordError as error:
        raise WorkerError(f"{worker.worker_id}: {answer.status}: {error}") from None


def _accepted(worker: ListedWorker, answer: HttpAnswer, token: int) -> dict[str, Any]:
    if answer.status == CONFLICT and _read(worker, answer).get("reason") == "fence":
        raise NotOwnerError(f"{worker.worker_id} has seen a newer token than {token}")
    if answer.status != OK:
        raise WorkerError(f"{worker.worker_id}: answered {answer.status}")
    return _read(worker, answer)


def _clock(reply: dict[str, Any]) -> float:
    try:
        return whole(reply, "clockMs") / MILLISECONDS
    except RecordError as error:
        raise WorkerError(str(error)) from None


def _running(row: list[Any]) -> ListedRun:
    # A row holds task, run, checkpoint, percent and, last, either the tail in milliseconds of a
    # task that serves or the processors that another one uses, in thousandths of a core.
    gauge = float(row[4]) if len(row) > 4 else 0.0
    return ListedRun(decode_task(row[0]), int(row[1]), row[2] or "", int(row[3]), gauge)


def _ended(row: list[Any]) -> EndedRun:
    return EndedRun(int(row[0]), decode_task(row[1]), int(row[2]), EndKind(row[3]), row[4] or "")
