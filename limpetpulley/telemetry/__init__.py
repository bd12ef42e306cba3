"""Structured logs."""

from .log import EventLog, quiet_log

__all__ = ["EventLog", "quiet_log"]
