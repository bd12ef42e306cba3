"""One worker's conversation: holds that wait for ends, and the orders in between."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ..exception import WorkerError
from ..pool import Order, PoolState, requeue_speculative_tasks
from ..workers import PaceOrder, RunPhase, StartOrder, StopOrder, Worker
from .around import Around

__all__ = ["UNSEEN_OWNER_SECONDS", "WorkerAgent", "lease_seconds"]

#: part of the longest lease that is asked for; what is left covers a worker's slow clock
LEASE_PART = 0.9
#: longest lease that is asked for: bridges a hold's wait, the restart of all daemons (2 s) and
#: their takeover (below 1 s), and bounds how long the tasks of a lost worker wait
LONGEST_LEASE_SECONDS = 4.2
#: longest time that a hold waits for an end
WAIT_SECONDS = 1.0
#: the same where tasks that serve share a worker with tasks that fill
SHORT_WAIT_SECONDS = 0.5
#: time for an answer beyond the time that a hold waits
ANSWER_SECONDS = 1.0
#: longest time that a hold is put off until ends are stored
STORE_WAIT_SECONDS = 0.1
#: time after its claim's last renewal beyond which an owner lets no run live: with it a new owner
#: knows when runs that it cannot see have ended. Longer than the store's usual outages
UNSEEN_OWNER_SECONDS = 11.0
#: shortest lease that is worth an order, in seconds
LEAST_LEASE_SECONDS = 0.3
#: pause after a hold without an answer
RETRY_SECONDS = 0.2


def lease_seconds(longest_hold: float) -> float:
    """Return the lease that is asked for on a worker."""
    return min(LONGEST_LEASE_SECONDS, longest_hold * LEASE_PART)


class WorkerAgent:
    """Keeps one worker's lease, takes its ends and passes orders on.

    :param worker: the worker's entry in the book
    :param changed: called when the book has changed
    :param claim_age: returns the time since the owner's claim was last renewed, in seconds
    :param stored: returns an event that is set when progress was stored
    """

    def __init__(
        self,
        around: Around,
        book: PoolState,
        worker: Worker,
        changed: Callable[[], None],
        stored: Callable[[], anyio.Event],
        claim_age: Callable[[], float],
    ):
        self.claim_age = claim_age
        self.around = around
        self.book = book
        self.worker = worker
        self.changed = changed
        self.stored = stored
        self.failing = False

    async def run(self) -> None:
        """Hold the worker until it is gone."""
        while self.book.workers.get(self.worker.worker_id) is self.worker:
            if self.worker.ended:
                return
            try:
                await self.hold()
            except (WorkerError, TimeoutError) as error:
                self._note_failure(str(error) or "timeout")
                if self.worker.silent or isinstance(error, TimeoutError):
                    requeue_speculative_tasks(self.book, self.worker)
                    self.changed()
                self.worker.silent = True
                await anyio.sleep(RETRY_SECONDS)

    async def hold(self) -> None:
        """Extend the lease, and take what the worker lists."""
        worker, now = self.worker, self.around.clock.now()
        until = None
        length = self.lease_length()
        known = worker.reconciled and worker.lease.worker_seconds is not None
        # After a call without an answer, the lease of a worker that is lost, or that hears but is
        # not heard, has to lapse: it is only asked, and answers at once if it can.
        if known and not self.failing and length >= LEAST_LEASE_SECONDS:
            until = worker.lease.extend(now, length)
        wait = self.wait_seconds() if worker.reconciled and not self.failing else 0.0
        with anyio.fail_after(wait + ANSWER_SECONDS):
            reply = await self.around.orders.hold(
                worker.listed, self.book.token, worker.stored_through, until, wait
            )
        if self.failing:
            self.failing = False
            self.around.log.write("worker-answers", worker=worker.worker_id)
        self.book.process_hold_reply(worker, reply, self.around.clock.now(), self.around.day())
        self.changed()
        if worker.stored_through < worker.seen_through:
            with anyio.move_on_after(STORE_WAIT_SECONDS):
                await self.stored().wait()

    def lease_length(self) -> float:
        """Return the lease to ask for: less while the owner's claim is not renewed."""
        asked = lease_seconds(self.around.timing.longest_hold)
        return min(asked, UNSEEN_OWNER_SECONDS - self.claim_age())

    def wait_seconds(self) -> float:
        """Return how long a hold may wait: less where tasks that serve may be disturbed."""
        serving = filling = False
        for run in self.worker.runs.values():
            job = self.book.jobs.get(run.task.job_id)
            if job is not None:
                step = job.step_of(run.task)
                serving |= step.latency_target_seconds > 0
                filling |= step.filler
        starting = any(run.phase is RunPhase.STARTING for run in self.worker.runs.values())
        return SHORT_WAIT_SECONDS if (serving and filling) or starting else WAIT_SECONDS

    async def send(self, order: Order) -> None:
        """Carry one order to the worker."""
        listed, token = self.worker.listed, self.book.token
        try:
            with anyio.fail_after(ANSWER_SECONDS):
                if isinstance(order, StartOrder):
                    await self._start(order)
                elif isinstance(order, StopOrder):
                    when = await self.around.orders.stop(listed, order, token)
                    self.book.process_stop_reply(order, when, self.around.clock.now())
                elif isinstance(order, PaceOrder):
                    await self.around.orders.pace(listed, order, token)
        except (WorkerError, TimeoutError) as error:
            self.around.log.write(
                "order-unanswered",
                worker=self.worker.worker_id,
                order=type(order).__name__,
                task=name_task(order),
                run=order.number,
                reason=str(error) or "timeout",
            )

    async def _start(self, order: StartOrder) -> None:
        run = self.book.runs.get(order.task)
        if run is None or run.number != order.number or run.phase is not RunPhase.STARTING:
            return
        if self.worker.lease.worker_seconds is None:
            return
        length = self.lease_length()
        if length < LEAST_LEASE_SECONDS:
            return
        lease, now = self.worker.lease, self.around.clock.now()
        until = lease.until_seconds if self.failing else lease.extend(now, length)
        reply = await self.around.orders.start(self.worker.listed, order, self.book.token, until)
        self.book.process_start_reply(
            run, reply.outcome, reply.worker_seconds, self.around.clock.now()
        )
        self.changed()

    def _note_failure(self, reason: str) -> None:
        if not self.failing:
            self.failing = True
            silent = self.around.clock.now() - self.worker.heard_at
            self.around.log.write(
                "worker-silent", worker=self.worker.worker_id, reason=reason, age=round(silent, 2)
            )


def name_task(order: Order) -> str:
    """Return a task's name for the log."""
    return ".".join(str(part) for part in order.task)
