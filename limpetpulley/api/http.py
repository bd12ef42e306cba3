"""ASGI helpers that read request bodies and send responses."""

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

#: longest time between two chunks of a request body, in seconds
CHUNK_TIMEOUT_SECONDS = 10.0


def get_header(scope: Scope, name: bytes) -> str | None:
    """Return the value of a request header, or None."""
    for header_name, value in scope["headers"]:
        if header_name == name:
            return value.decode("latin-1")
    return None


async def iterate_body(receive: Receive, max_bytes: int) -> AsyncIterator[bytes]:
    """Yield the chunks of a request body.

    :param max_bytes: maximum size of the body, in bytes
    :raises JobRefused: if it is too large or too slow, or the caller disconnects
    """
    total = 0
    while True:
        with anyio.move_on_after(CHUNK_TIMEOUT_SECONDS) as scope:
            message = await receive()
        if scope.cancelled_caught:
            raise JobRefused(
                408, "body-too-slow", f"no part of the body for {CHUNK_TIMEOUT_SECONDS:g} s"
            )
        if message["type"] == "http.disconnect":
            raise JobRefused(
                400, "caller-gone", "the caller disconnected before the end of the body"
            )
        chunk = message.get("body", b"")
        total += len(chunk)
        if total > max_bytes:
            raise JobRefused(413, "body-too-large", f"the body exceeds {max_bytes} bytes")
        if chunk:
            yield chunk
        if not message.get("more_body"):
            return


async def read_body(receive: Receive, max_bytes: int) -> bytes:
    """Return a whole request body.

    :param max_bytes: maximum size of the body, in bytes
    :raises JobRefused: if it is too large or too slow, or the caller disconnects
    """
    return b"".join([chunk async for chunk in iterate_body(receive, max_bytes)])


async def send_bytes(
    send: Send, status: int, content: bytes, content_type: bytes, headers: Headers = ()
) -> None:
    """Send a complete response."""
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
    """Send a JSON response."""
    await send_bytes(send, status, json.dumps(value).encode(), b"application/json", headers)


async def send_problem(
    send: Send,
    status: int,
    reason: str,
    detail: str,
    headers: Headers = (),
    **members: Any,
) -> None:
    """Send a problem document as of RFC 9457.

    :param reason: short machine-readable reason, the last part of the problem type
    :param detail: human-readable explanation
    :param members: additional members of the document
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
    """Send the response to a job that was refused.

    :param members: additional members of the problem document
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
