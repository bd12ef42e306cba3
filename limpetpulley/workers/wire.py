"""The product's own worker protocol: store entries of workers and orders over HTTP."""

from __future__ import annotations

import json
from typing import Any, TypeVar

from ..address import Address
from ..batch import TaskId
from ..exception import NotOwnerError, RecordError, WorkerError
from ..http_client import HttpClient, HttpResponse
from ..json_decoding import check_token
from ..message_decoding import decode_message, make_message_converter
from .calls import ORDER_TIMEOUT_SECONDS, REPLY_MARGIN_SECONDS, post_order
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


#: converts messages to and from values that JSON can represent
CONVERTER = make_message_converter(StartOutcome)
CONVERTER.register_structure_hook(Address, lambda text, _: Address(text))
CONVERTER.register_structure_hook(TaskId, lambda row, _: _task(*row))


def encode_listed(worker: ListedWorker) -> bytes:
    """Return the value of the store entry that announces a worker."""
    return json.dumps(CONVERTER.unstructure(worker), separators=(",", ":")).encode()


def decode_listed(key: str, value: bytes) -> ListedWorker:
    """Return the worker that a store entry announces.

    :raises RecordError: if the entry cannot be read
    """
    worker: ListedWorker = decode_message(CONVERTER, value, ListedWorker)
    check_token(worker.worker_id, "the identifier")
    return worker


class OrderPath:
    """Paths of the orders under ``/workers/{id}``."""

    START = "start"
    STOP = "stop"
    PACE = "pace"
    HOLD = "hold"


class HttpOrderSender:
    """Sends orders to workers over HTTP.

    An order is a JSON object with the fields of its message, the owner's fencing ``token`` and the
    worker time ``until`` which runs may live. The worker responds with 404 if the order is for
    another worker, and with 409 if it has seen a newer token.
    """

    def __init__(self, http: HttpClient):
        self.http = http

    async def start(
        self, worker: ListedWorker, order: StartOrder, token: int, until_seconds: float
    ) -> StartReply:
        """Start a run whose lease ends at a worker time."""
        body = {"order": CONVERTER.unstructure(order), "token": token, "until": until_seconds}
        answer = await self._call(worker, OrderPath.START, body)
        if answer.status == NOT_FOUND:
            return StartReply(StartOutcome.OTHER_WORKER, 0.0)
        return self._read_reply(worker, answer, StartReply)

    async def stop(self, worker: ListedWorker, order: StopOrder, token: int) -> float:
        """Stop a run and return the worker's time."""
        body = {"order": CONVERTER.unstructure(order), "token": token}
        return self._read_reply(worker, await self._call(worker, OrderPath.STOP, body), float)

    async def pace(self, worker: ListedWorker, order: PaceOrder, token: int) -> float:
        """Set the speed of a run and return the worker's time."""
        body = {"order": CONVERTER.unstructure(order), "token": token}
        return self._read_reply(worker, await self._call(worker, OrderPath.PACE, body), float)

    async def hold(
        self,
        worker: ListedWorker,
        token: int,
        acknowledged: int,
        until_seconds: float | None,
        wait_seconds: float,
    ) -> HoldReply:
        """Extend the lease, acknowledge ended runs and return the running and ended runs."""
        body = {
            "token": token,
            "acknowledged": acknowledged,
            "until": until_seconds,
            "wait": wait_seconds,
        }
        seconds = wait_seconds + REPLY_MARGIN_SECONDS
        answer = await self._call(worker, OrderPath.HOLD, body, seconds)
        return self._read_reply(worker, answer, HoldReply)

    async def _call(
        self,
        worker: ListedWorker,
        order: str,
        body: dict[str, Any],
        seconds: float = ORDER_TIMEOUT_SECONDS,
    ) -> HttpResponse:
        path = f"/workers/{worker.worker_id}/{order}"
        return await post_order(self.http, worker, path, body, seconds)

    def _read_reply(
        self, worker: ListedWorker, answer: HttpResponse, message_type: type[Read]
    ) -> Read:
        if answer.status == CONFLICT:
            raise NotOwnerError(f"{worker.worker_id} has seen a newer fencing token")
        if answer.status != OK:
            raise WorkerError(f"{worker.worker_id}: unexpected response status {answer.status}")
        try:
            return decode_message(CONVERTER, answer.content, message_type)
        except RecordError as error:
            raise WorkerError(f"{worker.worker_id}: cannot read the reply: {error}") from None
