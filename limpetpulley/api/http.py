"""Small helpers over ASGI: reading requests, sending answers and problems."""

from __future__ import annotations

import json
import math
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import Any

import anyio

from ..exception import JobRefused

__all__ = [
    "Headers",
    "Receive",
    "Scope",
    "Send",
    "get_header",
    "read_body",
    "send_json",
    "send_problem",
    "send_refusal",
]

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Headers = Iterable[tuple[bytes, bytes]]

CHUNK_TIMEOUT_SECONDS = 10.0


def get_header(scope: Scope, name: bytes) -> str | None:
    """Return a request header's value, or None."""
    for found, value in scope["headers"]:
        if found == name:
            return value.decode("latin-1")
    return None


async def iterate_body(receive: Receive, limit: int) -> AsyncIterator[bytes]:
    """Yield a request's body.

    :param limit: most bytes
    :raises JobRefused: if it is too large, too slow or broken off
    """
    total = 0
    while True:
        with anyio.move_on_after(CHUNK_TIMEOUT_SECONDS) as scope:
            message = await receive()
        if scope.cancelled_caught:
            raise JobRefused(408, "body-too-slow", "the body did not arrive in time")
        if message["type"] == "http.disconnect":
            raise JobRefused(400, "caller-gone", "the caller broke off")
        chunk = message.get("body", b"")
        total += len(chunk)
        if total > limit:
            raise JobRefused(413, "body-too-large", f"the body is over {limit} bytes")
        if chunk:
            yield chunk
        if not message.get("more_body"):
            return


async def read_body(receive: Receive, limit: int) -> bytes:
    """Return a request's whole body.

    :raises JobRefused: if it is too large, too slow or broken off
    """
    return b"".join([chunk async for chunk in iterate_body(receive, limit)])


async def send_bytes(
    send: Send, status: int, content: bytes, content_type: bytes, headers: Headers = ()
) -> None:
    """Send a whole answer."""
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (b"content-type", content_type),
                (b"content-length", str(len(content)).encode()),
                *headers,
            ],
        }
    )
    await send({"type": "http.response.body", "body": content})


async def send_json(send: Send, value: Any, status: int = 200, headers: Headers = ()) -> None:
    """Send a JSON answer."""
    await send_bytes(send, status, json.dumps(value).encode(), b"application/json", headers)


async def send_problem(
    send: Send,
    status: int,
    reason: str,
    detail: str,
    headers: Headers = (),
    **members: Any,
) -> None:
    """Send an RFC 9457 problem.

    :param reason: short machine-readable reason, the last part of the problem's type
    :param detail: sentence for people
    :param members: further members of the problem
    """
    problem = {
        "type": f"urn:limpetpulley:problem:{reason}",
        "title": reason.replace("-", " "),
        "status": status,
        "detail": detail,
        "reason": reason,
        **members,
    }
    content = json.dumps(problem).encode()
    await send_bytes(send, status, content, b"application/problem+json", headers)


async def send_refusal(send: Send, refused: JobRefused, **members: Any) -> None:
    """Send the answer to a job that was refused.

    :param members: further members of the problem
    """
    headers = []
    if refused.retry_after is not None:
        headers.append((b"retry-after", str(max(1, math.ceil(refused.retry_after))).encode()))
    if refused.status == 408:
        headers.append((b"connection", b"close"))
    await send_problem(
        send,
        refused.status,
        refused.reason,
        refused.detail,
        headers,
        run=refused.run,
        **members,
    )
