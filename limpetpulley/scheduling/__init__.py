"""Which job starts next, and which is refused: shares, deadlines and admission."""

from .admission import Admission, PoolLoad
from .runtimes import RunTimes
from .share import due_shares
from .waiting import WaitingJob, WaitingJobs

__all__ = ["Admission", "PoolLoad", "RunTimes", "WaitingJob", "WaitingJobs", "due_shares"]
