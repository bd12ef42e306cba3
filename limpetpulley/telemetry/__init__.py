"""Structured logs and metrics. ``trace`` merges the logs of several daemons for one job."""

from .log import EventLog, null_log
from .metrics import BatchMetrics

__all__ = [
    "BatchMetrics",
    "EventLog",
    "null_log",
]
