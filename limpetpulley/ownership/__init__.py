"""Ownership of pools by daemons: leases, claims, takeover and hand-over."""

from .advice import Advice, Adviser
from .board import WaveBoard
from .context import DaemonContext, Timing
from .directory import Directory, Member, judge_strength
from .intake import Submission
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
