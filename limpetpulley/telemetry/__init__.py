"""Structured logs."""

from .log import EventLog

__all__ = ["EventLog"]
