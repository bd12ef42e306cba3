"""Structured logs and metrics; the story of a job across daemons' logs is in ``trace``."""

from .log import EventLog, null_log
from .metrics import BatchMetrics

__all__ = [
    "BatchMetrics",
    "EventLog",
    "null_log",
]
