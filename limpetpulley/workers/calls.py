"""A single HTTP call to a worker, shared by the protocols that workers speak."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from ..exception import HttpError, WorkerError
from ..http_client import HttpClient, HttpResponse
from .state import ListedWorker

__all__ = ["ORDER_TIMEOUT_SECONDS", "REPLY_MARGIN_SECONDS", "post_order"]

#: timeout of a call that does not wait, in seconds; a worker replies within milliseconds
ORDER_TIMEOUT_SECONDS = 1.0
#: time allowed for the reply to a hold in addition to its wait, in seconds
REPLY_MARGIN_SECONDS = 1.0


async def post_order(
    http: HttpClient,
    worker: ListedWorker,
    path: str,
    body: Mapping[str, Any],
    seconds: float,
    headers: Mapping[str, str] | None = None,
) -> HttpResponse:
    """Send an order to a worker and return its HTTP response.

    :param path: path of the order on the worker
    :param body: JSON object to send
    :param seconds: timeout of the call, in seconds
    :param headers: additional headers
    :raises WorkerError: if there is no response; the order may have been executed, or may still be
    """
    content = json.dumps(body, separators=(",", ":")).encode()
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    try:
        return await http.request("POST", worker.address, path, all_headers, content, seconds)
    except HttpError as error:
        raise WorkerError(f"{worker.worker_id}: {error}") from None
