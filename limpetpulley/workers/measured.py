"""An order sender that records metrics of its calls."""

from __future__ import annotations

from ..telemetry import BatchMetrics
from .orders import OrderSender, PaceOrder, StartOrder, StartReply, StopOrder
from .state import HoldReply, ListedWorker

__all__ = ["MeasuredOrderSender"]

CALL_TARGET = "worker"


class MeasuredOrderSender:
    """Records the duration and result of each call of another sender, except of holds.

    Holds are excluded because their duration is mostly the requested wait.
    """

    def __init__(self, sender: OrderSender, metrics: BatchMetrics):
        self.sender = sender
        self.metrics = metrics

    async def start(
        self, worker: ListedWorker, order: StartOrder, token: int, until_seconds: float
    ) -> StartReply:
        """Start a run whose lease ends at a worker time."""
        call = self.sender.start(worker, order, token, until_seconds)
        reply = await self.metrics.measure(CALL_TARGET, "start", call)
        self.metrics.count_event("start-answered", reply.outcome.name.lower().replace("_", "-"))
        return reply

    async def stop(self, worker: ListedWorker, order: StopOrder, token: int) -> float:
        """Stop a run and return the worker's time."""
        return await self.metrics.measure(
            CALL_TARGET, "stop", self.sender.stop(worker, order, token)
        )

    async def pace(self, worker: ListedWorker, order: PaceOrder, token: int) -> float:
        """Set the speed of a run and return the worker's time."""
        return await self.metrics.measure(
            CALL_TARGET, "pace", self.sender.pace(worker, order, token)
        )

    async def hold(
        self,
        worker: ListedWorker,
        token: int,
        acknowledged: int,
        until_seconds: float | None,
        wait_seconds: float,
    ) -> HoldReply:
        """Extend the lease, acknowledge ended runs and return the running and ended runs."""
        return await self.sender.hold(worker, token, acknowledged, until_seconds, wait_seconds)
