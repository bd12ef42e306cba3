"""Replicated records of idempotency keys, so that a job with a key runs at most once."""

from .holders import choose_holders, quorum_size, record_may_be_lost
from .records import KeyRecord, KeyRecordTable, KeyState
from .response_cache import CachedResponse, ResponseCache

__all__ = [
    "CachedResponse",
    "KeyRecord",
    "KeyRecordTable",
    "KeyState",
    "ResponseCache",
    "choose_holders",
    "quorum_size",
    "record_may_be_lost",
]
