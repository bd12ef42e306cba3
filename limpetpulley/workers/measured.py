"""Orders to workers that are counted and timed."""

from __future__ import annotations

from ..telemetry import BatchMetrics
from .orders import OrderSender, PaceOrder, StartOrder, StartReply, StopOrder
from .state import HoldReply, ListedWorker

__all__ = ["MeasuredOrderSender"]

TO = "worker"


class MeasuredOrderSender:
    """Passes orders on; notes the time of each but holds, which wait for news."""

    def __init__(self, orders: OrderSender, metrics: BatchMetrics):
        self.orders = orders
        self.metrics = metrics

    async def start(
        self, worker: ListedWorker, order: StartOrder, token: int, until_seconds: float
    ) -> StartReply:
        """Start a run that may live until a worker time."""
        running = self.orders.start(worker, order, token, until_seconds)
        reply = await self.metrics.measure(TO, "start", running)
        self.metrics.count_event("start-answered", reply.outcome.name.lower().replace("_", "-"))
        return reply

    async def stop(self, worker: ListedWorker, order: StopOrder, token: int) -> float:
        """Stop a run; return the worker's time."""
        return await self.metrics.measure(TO, "stop", self.orders.stop(worker, order, token))

    async def pace(self, worker: ListedWorker, order: PaceOrder, token: int) -> float:
        """Set a run's speed; return the worker's time."""
        return await self.metrics.measure(TO, "pace", self.orders.pace(worker, order, token))

    async def hold(
        self,
        worker: ListedWorker,
        token: int,
        acknowledged: int,
        until_seconds: float | None,
        wait_seconds: float,
    ) -> HoldReply:
        """Extend the lease, acknowledge ends and return what runs and what has ended."""
        return await self.orders.hold(worker, token, acknowledged, until_seconds, wait_seconds)
