"""Records of idempotency keys, so that a keyed job runs at most once."""

from .holders import choose_holders, quorum_size, record_may_be_lost
from .records import KeyRecord, KeyRecordTable, KeyState
from .response_cache import CachedResponse, ResponseCache

__all__ = [
    "ResponseCache",
    "CachedResponse",
    "KeyRecord",
    "KeyState",
    "KeyRecordTable",
    "choose_holders",
    "record_may_be_lost",
    "quorum_size",
]
