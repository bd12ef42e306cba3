"""Structured logs, metrics, and the story of a job across daemons' logs."""

from .log import EventLog, quiet_log
from .metrics import BatchMetrics
from .trace import Story, TraceLine, read_lines, trace

__all__ = [
    "BatchMetrics",
    "EventLog",
    "Story",
    "TraceLine",
    "quiet_log",
    "read_lines",
    "trace",
]
