"""Which daemon schedules which pool: leases, claims, takeover and hand-over."""

from .advice import Advice, Adviser
from .around import Around, Timing
from .board import WaveBoard
from .directory import Directory, Member, judge_strength
from .intake import Submission
from .node import BatchNode
from .owner import PoolOwner
from .service import BatchService, Outcome, SubmitResult

__all__ = [
    "Advice",
    "Adviser",
    "Around",
    "BatchNode",
    "BatchService",
    "Directory",
    "Member",
    "Outcome",
    "PoolOwner",
    "SubmitResult",
    "Submission",
    "Timing",
    "WaveBoard",
    "judge_strength",
]
