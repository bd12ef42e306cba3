"""Answers kept for requests that repeat a key."""

from __future__ import annotations

from collections import OrderedDict

import attrs

__all__ = ["CachedResponse", "ResponseCache"]

MAX_CACHED_RESPONSE_BYTES = 64 * 1024
MAX_TOTAL_BYTES = 8 * 1024 * 1024


@attrs.frozen
class CachedResponse:
    """A whole answer.

    :param status: HTTP status
    :param headers: headers without those of the connection
    :param content: the content
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    content: bytes


class ResponseCache:
    """The newest answers within a bound on memory.

    >>> cache = AnswerCache()
    >>> cache.put("k", KeptAnswer(200, (), b"x"))
    True
    >>> cache.get("k").content
    b'x'
    """

    def __init__(self, max_bytes: int = MAX_TOTAL_BYTES):
        self.max_bytes = max_bytes
        self.total = 0
        self.answers: OrderedDict[str, CachedResponse] = OrderedDict()

    def put(self, key: str, answer: CachedResponse) -> bool:
        """Keep an answer; return whether it is small enough to be kept."""
        size = len(answer.content)
        if size > MAX_CACHED_RESPONSE_BYTES:
            return False
        self.answers[key] = answer
        self.total += size
        while self.total > self.max_bytes:
            _, dropped = self.answers.popitem(last=False)
            self.total -= len(dropped.content)
        return key in self.answers

    def get(self, key: str) -> CachedResponse | None:
        """Return a kept answer, or None."""
        return self.answers.get(key)
