"""Which daemon schedules which pool: leases, claims, takeover and hand-over."""

from .advice import Advice, Adviser
from .context import DaemonContext, Timing
from .board import WaveBoard
from .directory import Directory, Member, judge_strength
from .admission import Submission
from .node import BatchNode
from .owner import PoolOwner
from .service import BatchService, Outcome, SubmitResult

__all__ = [
    "Advice",
    "Adviser",
    "DaemonContext",
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
