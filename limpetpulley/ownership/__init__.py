"""Ownership of pools by daemons: leases, claims, takeover and hand-over."""

from .admission import Submission
from .advice import Advice, Adviser
from .context import DaemonContext, Timing
from .directory import Directory, Member, compute_strength
from .node import BatchNode
from .owner import PoolOwner
from .service import BatchService, Outcome, SubmitResult
from .waves import WaveRegistry

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
    "WaveRegistry",
    "compute_strength",
]
