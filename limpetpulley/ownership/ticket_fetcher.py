"""Fetches tickets from the advice service, one request at a time."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ..exception import AdviceError
from ..pool import PoolState
from ..pool.ready_jobs import rank
from ..pool.tickets import TicketRequest
from .context import DaemonContext

__all__ = ["TicketFetcher"]

#: delay after a request without an answer, in seconds
RETRY_DELAY_SECONDS = 0.2
#: interval between checks for steps that need tickets, in seconds
CHECK_INTERVAL_SECONDS = 0.1


class TicketFetcher:
    """Fetches the tickets for one pool's steps.

    :param on_change: called when new tickets have arrived
    """

    def __init__(
        self, context: DaemonContext, pool_state: PoolState, on_change: Callable[[], None]
    ):
        self.context = context
        self.pool_state = pool_state
        self.on_change = on_change

    def apply_config(self) -> None:
        """Apply the advice configuration of the queues that need tickets."""
        config = self.context.config
        if config is not None:
            self.pool_state.tickets.advice_configs = {
                queue.name: queue.advice for queue in config.queues.values() if queue.advice
            }

    async def run(self) -> None:
        """Fetch tickets until cancelled."""
        while True:
            self.apply_config()
            request = (
                self._next_request()
                if self.pool_state.tickets.advice_configs and self.context.adviser
                else None
            )
            if request is None:
                await anyio.sleep(CHECK_INTERVAL_SECONDS)
                continue
            await self._fetch(request)

    def _next_request(self) -> TicketRequest | None:
        pool_state = self.pool_state
        pool_state.tickets.retain(pool_state.jobs)
        jobs = sorted((pool_state.jobs[job_id] for job_id in pool_state.ready), key=rank)
        workers = [worker for worker in pool_state.workers.values() if worker.present]
        waiting = [(job, pool_state.ready[job.key.job_id]) for job in jobs]
        return pool_state.tickets.next_request(waiting, workers, self.context.clock.now())

    async def _fetch(self, request: TicketRequest) -> None:
        requested_at = self.context.clock.now()
        self.pool_state.tickets.mark_requested(request, requested_at)
        assert self.context.adviser is not None
        try:
            advice = await self.context.adviser.advise(request)
        except AdviceError as error:
            self.context.log.write("advice-missing", step=request.step, reason=str(error))
            await anyio.sleep(RETRY_DELAY_SECONDS)
            return
        self.pool_state.tickets.store_tickets(
            request, advice.tickets, advice.valid_seconds, requested_at
        )
        self.context.log.write(
            "advice-taken", step=request.step, workers=len(request.workers), of=len(advice.tickets)
        )
        self.on_change()
