"""Records of idempotency keys, so that a keyed job runs at most once."""

from .answers import AnswerCache, KeptAnswer
from .holders import choose_holders, is_uncertain, needed
from .records import KeyRecord, KeyState, RecordBook

__all__ = [
    "AnswerCache",
    "KeptAnswer",
    "KeyRecord",
    "KeyState",
    "RecordBook",
    "choose_holders",
    "is_uncertain",
    "needed",
]
