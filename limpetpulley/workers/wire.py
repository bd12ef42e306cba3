"""Workers that speak the product's own protocol: their entries, and orders to them over HTTP."""

from __future__ import annotations

import json
from typing import Any, TypeVar

from ..batch import TaskId
from ..exception import NotOwnerError, RecordError, WorkerError
from ..http_client import HttpAnswer, HttpCaller
from ..reading import message_converter, read_message
from .calls import ANSWER_SECONDS, ORDER_SECONDS, post_order
from .orders import PaceOrder, StartOrder, StartReply, StopOrder
from .state import HoldReply, ListedWorker, StartOutcome

__all__ = [
    "CONVERTER",
    "HttpOrderSender",
    "OrderPath",
    "decode_listed",
    "encode_listed",
]

OK, NOT_FOUND, CONFLICT = 200, 404, 409
Read = TypeVar("Read")


def _task(job_id: str, occurrence: int, step: int, position: int) -> TaskId:
    return TaskId(str(job_id), int(occurrence), int(step), int(position))


#: turns messages into plain values for JSON and back
CONVERTER = message_converter(StartOutcome)
CONVERTER.register_structure_hook(TaskId, lambda row, _: _task(*row))


def encode_listed(worker: ListedWorker) -> bytes:
    """Return the entry with which a worker makes itself known."""
    return json.dumps(CONVERTER.unstructure(worker), separators=(",", ":")).encode()


def decode_listed(key: str, value: bytes) -> ListedWorker:
    """Return the worker of an entry.

    :raises RecordError: if the entry is damaged; it then names no worker
    """
    return read_message(CONVERTER, value, ListedWorker)


class OrderPath:
    """Paths of the orders, below ``/workers/{id}``."""

    START = "start"
    STOP = "stop"
    PACE = "pace"
    HOLD = "hold"


class HttpOrderSender:
    """Carries orders to workers over HTTP.

    An order is a JSON object: the fields of its message, the owner's fencing ``token``, and the
    worker time ``until`` that runs may live to. The worker answers 404 if it is another one, and
    409 if it has seen a newer token.
    """

    def __init__(self, http: HttpCaller):
        self.http = http

    async def start(
        self, worker: ListedWorker, order: StartOrder, token: int, until_seconds: float
    ) -> StartReply:
        """Start a run that may live until a worker time."""
        body = {"order": CONVERTER.unstructure(order), "token": token, "until": until_seconds}
        answer = await self._call(worker, OrderPath.START, body)
        if answer.status == NOT_FOUND:
            return StartReply(StartOutcome.OTHER_WORKER, 0.0)
        return self._accept(worker, answer, StartReply)

    async def stop(self, worker: ListedWorker, order: StopOrder, token: int) -> float:
        """Stop a run; return the worker's time."""
        body = {"order": CONVERTER.unstructure(order), "token": token}
        return self._accept(worker, await self._call(worker, OrderPath.STOP, body), float)

    async def pace(self, worker: ListedWorker, order: PaceOrder, token: int) -> float:
        """Set a run's speed; return the worker's time."""
        body = {"order": CONVERTER.unstructure(order), "token": token}
        return self._accept(worker, await self._call(worker, OrderPath.PACE, body), float)

    async def hold(
        self,
        worker: ListedWorker,
        token: int,
        acknowledged: int,
        until_seconds: float | None,
        wait_seconds: float,
    ) -> HoldReply:
        """Extend the lease, acknowledge ends and return what runs and what has ended."""
        body = {
            "token": token,
            "acknowledged": acknowledged,
            "until": until_seconds,
            "wait": wait_seconds,
        }
        seconds = wait_seconds + ANSWER_SECONDS
        answer = await self._call(worker, OrderPath.HOLD, body, seconds)
        return self._accept(worker, answer, HoldReply)

    async def _call(
        self,
        worker: ListedWorker,
        order: str,
        body: dict[str, Any],
        seconds: float = ORDER_SECONDS,
    ) -> HttpAnswer:
        path = f"/workers/{worker.worker_id}/{order}"
        return await post_order(self.http, worker, path, body, seconds)

    def _accept(self, worker: ListedWorker, answer: HttpAnswer, wanted: type[Read]) -> Read:
        if answer.status == CONFLICT:
            raise NotOwnerError(f"{worker.worker_id} has seen a newer token")
        if answer.status != OK:
            raise WorkerError(f"{worker.worker_id}: answered {answer.status}")
        try:
            return read_message(CONVERTER, answer.content, wanted)
        except RecordError as error:
            raise WorkerError(f"{worker.worker_id}: {error}") from None
