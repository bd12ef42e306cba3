"""Metrics of jobs of steps: counters, histograms and levels, read as text over HTTP."""

from __future__ import annotations

import re
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

__all__ = ["BatchMetrics"]

PREFIX = "limpetpulley"
#: bounds of the histograms, in seconds: from a call on one machine to the longest deadlines
FAST_BUCKETS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)
SLOW_BUCKETS = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0)
#: reasons that may become labels; free texts, such as errors, would make too many series
WORD = re.compile(r"[a-z][a-z-]{0,30}")
Result = TypeVar("Result")


class BatchMetrics:
    """What one daemon counts and measures.

    :param refresh: called before the metrics are read, to set the levels
    """

    def __init__(self, refresh: Callable[[BatchMetrics], None] = lambda metrics: None):
        self.refresh = refresh
        registry = self.registry = CollectorRegistry()

        def counter(name: str, meaning: str, *labels: str) -> Counter:
            return Counter(f"{PREFIX}_{name}", meaning, labels, registry=registry)

        def histogram(name: str, meaning: str, buckets: tuple, *labels: str) -> Histogram:
            return Histogram(
                f"{PREFIX}_{name}", meaning, labels, registry=registry, buckets=buckets
            )

        def gauge(name: str, meaning: str, *labels: str) -> Gauge:
            return Gauge(f"{PREFIX}_{name}", meaning, labels, registry=registry)

        self.requests = counter(
            "requests", "Callers' requests by status and reason", "method", "status", "reason"
        )
        self.request_seconds = histogram(
            "request_seconds", "Time until a caller's answer", FAST_BUCKETS, "queue", "method"
        )
        self.events = counter(
            "events", "Decisions, also those whose log lines were left out", "event", "reason"
        )
        self.start_seconds = histogram(
            "start_seconds",
            "Time from a job's acceptance to its first start",
            SLOW_BUCKETS,
            "queue",
        )
        self.calls = counter("calls", "Calls by result", "to", "call", "result")
        self.call_seconds = histogram("call_seconds", "Time of a call", FAST_BUCKETS, "to", "call")
        self.loop_lag_seconds = histogram(
            "loop_lag_seconds", "How late the event loop woke a task", FAST_BUCKETS
        )
        self.owned_pools = gauge("owned_pools", "Pools that this daemon owns")
        self.queue_depth = gauge("queue_depth", "Accepted jobs that have not begun", "queue")
        self.config_version = gauge("config_version", "Version of the configuration in force")
        self.watch_age_seconds = gauge(
            "watch_age_seconds", "Time since the store last answered a watch", "prefix"
        )
        self.lines_dropped = gauge("log_lines_dropped", "Log lines lost to a slow reader")

    def count_event(self, event: str, reason: object) -> None:
        """Count a decision.

        :param reason: why, counted apart if it is one of a few words
        """
        word = reason if isinstance(reason, str) and WORD.fullmatch(reason) else ""
        self.events.labels(event, word).inc()

    async def measure(self, to: str, call: str, running: Awaitable[Result]) -> Result:
        """Return the result of a call, and note its time and whether it failed.

        :param to: what is called, such as ``store``
        """
        began = time.perf_counter()
        result = "cancelled"
        try:
            found = await running
            result = "answered"
            return found
        except Exception as error:
            result = type(error).__name__
            raise
        finally:
            self.calls.labels(to, call, result).inc()
            self.call_seconds.labels(to, call).observe(time.perf_counter() - began)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        self.refresh(self)
        return generate_latest(self.registry)
