"""HTTP endpoint with the metrics in the Prometheus text format."""

from __future__ import annotations

from ..telemetry import BatchMetrics
from .http import Receive, Scope, Send, send_bytes, send_json

__all__ = ["MetricsApp"]

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class MetricsApp:
    """ASGI application that returns the metrics at every path."""

    def __init__(self, metrics: BatchMetrics):
        self.metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["method"] == "GET":
            await self.metrics.load()
            await send_bytes(send, 200, self.metrics.render(), CONTENT_TYPE)
        else:
            await send_json(send, {"message": "use GET"}, 405)
