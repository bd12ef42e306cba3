"""The metrics, as text that Prometheus reads."""

from __future__ import annotations

from ..telemetry import BatchMetrics
from .http import Receive, Scope, Send, send_bytes, send_json

__all__ = ["MetricsApp"]

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class MetricsApp:
    """An ASGI application that answers every path with the metrics."""

    def __init__(self, metrics: BatchMetrics):
        self.metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["method"] == "GET":
            await send_bytes(send, 200, self.metrics.render(), CONTENT_TYPE)
        else:
            await send_json(send, {"message": "use GET"}, 405)
