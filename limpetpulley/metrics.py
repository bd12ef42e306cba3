"""Metrics sent to a statsd server."""

from __future__ import annotations

from typing import Protocol

import statsd

__all__ = ["Metrics", "NullMetrics", "make_metrics"]

PREFIX = "limpetpulley"


class Metrics(Protocol):
    """Sink of counters, timings and gauges; docs/METRICS.md lists their names and units."""

    def incr(self, name: str, count: int = 1) -> None:
        """Increment a counter."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class NullMetrics:
    """Metrics that are discarded."""

    def incr(self, name: str, count: int = 1) -> None:
        """Do nothing."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""


def make_metrics(address: str) -> Metrics:
    """Return a statsd client for ``host:port``, or :class:`NullMetrics` if it is empty."""
    if not address:
        return NullMetrics()
    host, _, port = address.rpartition(":")
    return statsd.StatsClient(host, int(port), prefix=PREFIX)
