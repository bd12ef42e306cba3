"""The Prometheus counters, histograms and gauges behind the metrics of jobs of steps.

Loaded after the start of a daemon: ``prometheus_client`` loads HTTP servers that it does not use.
"""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

__all__ = ["Instruments"]

PREFIX = "limpetpulley"
#: bucket bounds of the histograms, in seconds: calls, from those within one machine upwards, and
#: start delays, up to the longest deadlines
FAST_BUCKETS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)
SLOW_BUCKETS = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0)


class Instruments:
    """The instruments of one daemon in a registry of their own."""

    def __init__(self) -> None:
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
        self.claim_age_seconds = gauge(
            "claim_age_seconds", "Time since the lease of this daemon's claims was last renewed"
        )
        self.queue_depth = gauge("queue_depth", "Accepted jobs that have not begun", "queue")
        self.config_version = gauge("config_version", "Version of the configuration in force")
        self.config_age_seconds = gauge(
            "config_age_seconds", "Time since the configuration was known to be current"
        )
        self.watch_age_seconds = gauge(
            "watch_age_seconds", "Time since the store last answered a watch", "prefix"
        )
        self.received_bytes = gauge(
            "received_bytes", "Bytes from the store and other daemons since the start", "purpose"
        )
        self.owner_failures = gauge(
            "owner_failures", "Owners in a row that failed, or planners", "pool"
        )
        self.lines_dropped = gauge("log_lines_dropped", "Log lines lost to a slow reader")

    def count(self, name: str, labels: tuple[object, ...]) -> None:
        """Increment the counter in an attribute."""
        getattr(self, name).labels(*labels).inc()

    def observe(self, name: str, labels: tuple[object, ...], seconds: float) -> None:
        """Add an observation to the histogram in an attribute."""
        histogram = getattr(self, name)
        (histogram.labels(*labels) if labels else histogram).observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
