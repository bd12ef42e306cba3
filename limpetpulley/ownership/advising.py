"""Fetches tickets from the advice service, one call at a time."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ..exception import AdviceError
from ..pool import PoolState
from ..pool.planning import rank
from ..pool.tickets import TicketRequest
from .around import Around

__all__ = ["TicketKeeper"]

#: pause after a call without an answer, in seconds
RETRY_SECONDS = 0.2
#: longest time between two looks for steps that need tickets, in seconds
LOOK_SECONDS = 0.1


class TicketKeeper:
    """Keeps the tickets of one pool's steps.

    :param changed: called when tickets have come
    """

    def __init__(self, around: Around, book: PoolState, changed: Callable[[], None]):
        self.around = around
        self.book = book
        self.changed = changed

    def use_config(self) -> None:
        """Take the queues that need tickets from the configuration in force."""
        config = self.around.config
        if config is not None:
            self.book.tickets.rules = {
                queue.name: queue.advice for queue in config.queues.values() if queue.advice
            }

    async def run(self) -> None:
        """Fetch tickets until cancelled."""
        while True:
            self.use_config()
            request = self._next() if self.book.tickets.rules and self.around.adviser else None
            if request is None:
                await anyio.sleep(LOOK_SECONDS)
                continue
            await self._fetch(request)

    def _next(self) -> TicketRequest | None:
        book = self.book
        book.tickets.retain(book.jobs)
        jobs = sorted((book.jobs[job_id] for job_id in book.ready), key=rank)
        workers = [worker for worker in book.workers.values() if worker.present]
        waiting = [(job, book.ready[job.key.job_id]) for job in jobs]
        return book.tickets.next_request(waiting, workers, self.around.clock.now())

    async def _fetch(self, request: TicketRequest) -> None:
        asked_at = self.around.clock.now()
        self.book.tickets.mark_requested(request, asked_at)
        assert self.around.adviser is not None
        try:
            advice = await self.around.adviser.advise(request)
        except AdviceError as error:
            self.around.log.write("advice-missing", step=request.step, reason=str(error))
            await anyio.sleep(RETRY_SECONDS)
            return
        self.book.tickets.store_tickets(request, advice.tickets, advice.valid_seconds, asked_at)
        self.around.log.write(
            "advice-taken", step=request.step, workers=len(request.workers), of=len(advice.tickets)
        )
        self.changed()
