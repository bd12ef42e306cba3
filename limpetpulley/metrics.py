"""Metrics sent to a statsd server."""

from __future__ import annotations

from typing import Protocol

import statsd

__all__ = ["Metrics", "NullMetrics", "make_metrics"]

PREFIX = "limpetpulley"


class Metrics(Protocol):
    """Where counts, times and levels go; names and units are listed in docs/METRICS.md."""

    def incr(self, name: str, count: int = 1) -> None:
        """Count events."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Note a time in milliseconds."""

    def gauge(self, name: str, value: float) -> None:
        """Note a level."""


class NullMetrics:
    """Metrics that go nowhere."""

    def incr(self, name: str, count: int = 1) -> None:
        """Do nothing."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""


def make_metrics(address: str) -> Metrics:
    """Return a statsd client for ``host:port``, or one that does nothing if it is empty."""
    if not address:
        return NullMetrics()
    host, _, port = address.rpartition(":")
    return statsd.StatsClient(host, int(port), prefix=PREFIX)
