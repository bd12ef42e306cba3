"""Multi-step jobs and their tasks: model, state machine, stored records and configuration."""

from .config import AdviceConfig, BatchConfig, PoolConfig, QueueConfig, TeamConfig
from .job import EndKind, Job, JobState
from .model import Amount, JobKey, JobSpec, Step, TaskId

__all__ = [
    "AdviceConfig",
    "Amount",
    "BatchConfig",
    "EndKind",
    "Job",
    "JobKey",
    "JobSpec",
    "JobState",
    "PoolConfig",
    "QueueConfig",
    "Step",
    "TaskId",
    "TeamConfig",
]
