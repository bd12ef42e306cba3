"""One call to a worker over HTTP, whatever the protocol."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from ..exception import HttpError, WorkerError
from ..http_client import HttpClient, HttpResponse
from .state import ListedWorker

__all__ = ["ANSWER_SECONDS", "ORDER_SECONDS", "post_order"]

#: longest time for a call that does not wait, in seconds; a worker answers within milliseconds
ORDER_SECONDS = 1.0
#: time for an answer beyond the time that a hold waits, in seconds
ANSWER_SECONDS = 1.0


async def post_order(
    http: HttpClient,
    worker: ListedWorker,
    path: str,
    body: Mapping[str, Any],
    seconds: float,
    headers: Mapping[str, str] | None = None,
) -> HttpResponse:
    """Return a worker's answer to an order.

    :param headers: further headers
    :raises WorkerError: if none came; the order may have been carried out, or may be later
    """
    content = json.dumps(body, separators=(",", ":")).encode()
    fields = {"Content-Type": "application/json", **(headers or {})}
    try:
        return await http.request("POST", worker.address, path, fields, content, seconds)
    except HttpError as error:
        raise WorkerError(f"{worker.worker_id}: {error}") from None
