"""Prometheus metrics of jobs of steps: counters, histograms and gauges."""

from __future__ import annotations

import re
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

__all__ = ["BatchMetrics"]

PREFIX = "limpetpulley"
#: bucket bounds of the histograms, in seconds: calls, from those within one machine upwards, and
#: start delays, up to the longest deadlines
FAST_BUCKETS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)
SLOW_BUCKETS = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0)
#: reasons that may become label values; free text, such as an error message, would create too many
#: time series
LABEL_PATTERN = re.compile(r"[a-z][a-z-]{0,30}")
Result = TypeVar("Result")


class BatchMetrics:
    """The metrics that one daemon exports.

    :param refresh: called before each export to update the gauges
    """

    def __init__(self, refresh: Callable[[BatchMetrics], None] = lambda metrics: None):
        self.refresh = refresh
        registry = self.registry = CollectorRegistry()

        def counter(name: str, description: str, *labels: str) -> Counter:
            return Counter(f"{PREFIX}_{name}", description, labels, registry=registry)

        def histogram(name: str, description: str, buckets: tuple, *labels: str) -> Histogram:
            return Histogram(
                f"{PREFIX}_{name}", description, labels, registry=registry, buckets=buckets
            )

        def gauge(name: str, description: str, *labels: str) -> Gauge:
            return Gauge(f"{PREFIX}_{name}", description, labels, registry=registry)

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
        """Count an event.

        :param reason: the label value if it matches :data:`LABEL_PATTERN`; otherwise the
            label is empty
        """
        label = reason if isinstance(reason, str) and LABEL_PATTERN.fullmatch(reason) else ""
        self.events.labels(event, label).inc()

    async def measure(self, target: str, call: str, pending: Awaitable[Result]) -> Result:
        """Await a call and return its result; record its duration and outcome.

        :param target: the service that is called, such as ``store``
        :param call: name of the call
        :param pending: the awaitable of the call
        """
        started_at = time.perf_counter()
        result = "cancelled"  # remains set on cancellation, which is not an ``Exception``
        try:
            value = await pending
            result = "answered"
            return value
        except Exception as error:
            result = type(error).__name__
            raise
        finally:
            self.calls.labels(target, call, result).inc()
            self.call_seconds.labels(target, call).observe(time.perf_counter() - started_at)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self.refresh(self)
        return generate_latest(self.registry)
