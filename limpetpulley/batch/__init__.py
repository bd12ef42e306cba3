"""Jobs of steps and tasks: model, state machine, stored records and rules."""

from .job import EndKind, Job, JobState
from .model import Amount, JobKey, JobSpec, Step, TaskId
from .config import AdviceRule, BatchConfig, PoolRule, QueueRule, TeamRule

__all__ = [
    "AdviceRule",
    "Amount",
    "BatchConfig",
    "EndKind",
    "Job",
    "JobKey",
    "JobSpec",
    "JobState",
    "PoolRule",
    "QueueRule",
    "Step",
    "TaskId",
    "TeamRule",
]
