"""Cache of responses for requests that repeat an idempotency key."""

from __future__ import annotations

from collections import OrderedDict

import attrs

__all__ = ["CachedResponse", "ResponseCache"]

MAX_CACHED_RESPONSE_BYTES = 64 * 1024
MAX_TOTAL_BYTES = 8 * 1024 * 1024


@attrs.frozen
class CachedResponse:
    """A complete response.

    :param status: HTTP status
    :param headers: headers without the hop-by-hop ones
    :param content: body of the response
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    content: bytes


class ResponseCache:
    """The newest responses within a memory limit.

    >>> cache = ResponseCache()
    >>> cache.put("k", CachedResponse(200, (), b"x"))
    True
    >>> cache.get("k").content
    b'x'
    """

    def __init__(self, max_bytes: int = MAX_TOTAL_BYTES):
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.responses: OrderedDict[str, CachedResponse] = OrderedDict()

    def put(self, key: str, response: CachedResponse) -> bool:
        """Cache a response; return whether it is small enough to be cached."""
        size = len(response.content)
        if size > MAX_CACHED_RESPONSE_BYTES:
            return False
        self.responses[key] = response
        self.total_bytes += size
        while self.total_bytes > self.max_bytes:
            _, evicted = self.responses.popitem(last=False)
            self.total_bytes -= len(evicted.content)
        return key in self.responses

    def get(self, key: str) -> CachedResponse | None:
        """Return the cached response of a key, or None."""
        return self.responses.get(key)
