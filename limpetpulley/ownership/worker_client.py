"""Client of one worker: renews its lease with long-polling holds and sends it orders."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio

from ..exception import NotOwnerError, StoreError, WorkerError, WorkerFault
from ..pool import (
    Order,
    PoolState,
    process_hold_reply,
    process_start_reply,
    process_stop_reply,
    requeue_speculative_tasks,
)
from ..pool.state import MAX_ORDER_DELAY_SECONDS
from ..workers import PaceOrder, RunPhase, StartOrder, StopOrder, Worker
from ..workers.lease import MIN_CLOCK_RATE
from .context import DaemonContext

__all__ = [
    "EARLIER_CALLS_SECONDS",
    "MAX_UNRENEWED_CLAIM_SECONDS",
    "WorkerClient",
    "requested_lease_seconds",
]

#: fraction of the longest lease that is requested; the rest is a margin for a slow worker clock
LEASE_FRACTION = 0.9
#: longest lease that is requested, in seconds: covers a hold's wait, the restart of all daemons
#: (2 s) and their takeover (below 1 s), and limits how long the tasks of a lost worker wait
MAX_LEASE_SECONDS = 4.2
#: longest time that a hold waits for a run to end, in seconds
HOLD_WAIT_SECONDS = 1.0
#: the same where latency-sensitive tasks share a worker with filler tasks, in seconds
SHORT_HOLD_WAIT_SECONDS = 0.5
#: the same on a worker that is being tried with a task that may have crashed another, in seconds
TRIAL_HOLD_WAIT_SECONDS = 0.25
#: timeout of a call, in addition to the time that a hold waits, in seconds
ANSWER_TIMEOUT_SECONDS = 1.0
#: timeout of a call to a worker that has ended, in seconds: only the next incarnation answers, and
#: calls that hang must leave connections for it
ENDED_TIMEOUT_SECONDS = 0.5
#: time beyond a hold's wait from which on its failure may be a timeout, in seconds
MIN_TIMEOUT_MARGIN_SECONDS = 0.4
#: longest time that the next hold is delayed until run ends are stored, in seconds
STORE_WAIT_SECONDS = 0.1
#: longest time after the claim's last renewal that an owner's leases may run, in seconds. A new
#: owner can thus tell when runs on workers that it cannot reach have ended. Longer than the usual
#: outages of the store
MAX_UNRENEWED_CLAIM_SECONDS = 11.0
#: longest time after a claim for which a worker may carry out a call of an earlier owner that
#: extends a lease, in seconds
EARLIER_CALLS_SECONDS = MAX_UNRENEWED_CLAIM_SECONDS / MIN_CLOCK_RATE + MAX_ORDER_DELAY_SECONDS
#: shortest lease that is requested, in seconds
MIN_LEASE_SECONDS = 0.3
#: delay after a hold without an answer, in seconds
RETRY_DELAY_SECONDS = 0.2
#: longest delay after holds that raised errors which nobody expects, in seconds
MAX_RETRY_DELAY_SECONDS = 2.0


def requested_lease_seconds(longest_hold: float) -> float:
    """Return the lease to request from a worker, in seconds.

    :param longest_hold: longest lease that a worker grants, in seconds
    """
    return min(MAX_LEASE_SECONDS, longest_hold * LEASE_FRACTION)


class WorkerClient:
    """Renews one worker's lease, collects the ends of its runs and sends it orders.

    :param worker: the worker in the pool state
    :param on_change: called when the pool state has changed
    :param claim_age: returns the time since the owner's claim was last renewed, in seconds
    :param stored_event: returns an event that is set the next time that progress is stored
    :param is_claim_valid: returns whether the store still holds the owner's claim
    :param on_refusal: called with the worker and the reason if it refuses the token of a claim that
        the store holds
    """

    def __init__(
        self,
        context: DaemonContext,
        pool_state: PoolState,
        worker: Worker,
        on_change: Callable[[], None],
        stored_event: Callable[[], anyio.Event],
        claim_age: Callable[[], float],
        is_claim_valid: Callable[[], Awaitable[bool]],
        on_refusal: Callable[[Worker, str], None],
    ):
        self.on_refusal = on_refusal
        self.claim_age = claim_age
        self.is_claim_valid = is_claim_valid
        self.context = context
        self.pool_state = pool_state
        self.worker = worker
        self.on_change = on_change
        self.stored_event = stored_event
        self.failing = False
        self.failed_calls = 0
        # Failed calls before the last hold that was answered.
        self.failed_before_reply = 0
        # Whether that reply has listed ends; the worker forgets those that are acknowledged.
        self.has_listed_ends = False
        # Whether a suspected restart is being checked, and of which incarnation a failed check was
        # reported.
        self.checking = False
        self.reported_suspect = 0
        # Whether a stop without an answer was reported since the worker has ended.
        self.reported_ended = False

    async def run(self) -> None:
        """Send holds until the worker is removed from the pool state or has ended.

        After calls that raised errors which nobody expects, the delay until the next one grows.
        """
        delay = RETRY_DELAY_SECONDS
        while self.pool_state.workers.get(self.worker.worker_id) is self.worker:
            if self.worker.ended:
                return
            try:
                await self.hold()
                delay = RETRY_DELAY_SECONDS
            except (WorkerError, TimeoutError) as error:
                self._log_failure(str(error) or "timeout")
                if self.worker.silent or isinstance(error, TimeoutError):
                    requeue_speculative_tasks(self.pool_state, self.worker)
                    self.on_change()
                self.worker.silent = True
                await anyio.sleep(delay)
                is_fault = isinstance(error, WorkerFault)
                delay = min(2 * delay, MAX_RETRY_DELAY_SECONDS) if is_fault else RETRY_DELAY_SECONDS

    async def check_restart(self) -> None:
        """Ask which incarnation answers while an entry tells of another one than the known one.

        Its holds do not wait for the one that is under way, whose connection may be cut, and are
        sent to the address in that entry. They neither extend the lease nor acknowledge ends.
        """
        self.checking = True
        try:
            while self._is_suspected():
                await self._ask_incarnation()
                if self._is_suspected():
                    await anyio.sleep(RETRY_DELAY_SECONDS)
        finally:
            self.checking = False

    def _is_suspected(self) -> bool:
        is_current = self.pool_state.workers.get(self.worker.worker_id) is self.worker
        return is_current and not self.worker.ended and self.worker.suspected is not None

    async def _ask_incarnation(self) -> None:
        suspected, sent_to = self.worker.suspected, self.worker.listed.incarnation
        assert suspected is not None, "no restart is suspected"
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_SECONDS):
                async with self._check_refusals():
                    reply = await self.context.orders.hold(
                        suspected, self.pool_state.token, 0, None, 0.0
                    )
        except (WorkerError, TimeoutError) as error:
            if self.reported_suspect != suspected.incarnation:
                self.reported_suspect = suspected.incarnation
                self.context.log.write(
                    "restart-unconfirmed",
                    worker=self.worker.worker_id,
                    life=sent_to,
                    next_life=suspected.incarnation,
                    reason=str(error) or "timeout",
                )
            return
        self.pool_state.settle_suspicion(self.worker, suspected, reply.incarnation, sent_to)
        self.on_change()

    async def hold(self) -> None:
        """Extend the lease and apply the worker's reply to the pool state."""
        worker, now = self.worker, self.context.clock.now()
        lease_until = None
        lease_seconds = self.allowed_lease_seconds()
        lease_known = worker.reconciled and worker.lease.worker_seconds is not None
        # A worker that the stored roster does not name has no runs, and no lease of any owner.
        lease_known = lease_known and (worker.in_roster or bool(worker.runs))
        # After a call without an answer, the worker may be lost, or may receive calls while its
        # answers do not arrive. Its lease must then lapse, so the hold neither extends the lease
        # nor waits for a run to end.
        if lease_known and not self.failing and lease_seconds >= MIN_LEASE_SECONDS:
            lease_until = worker.lease.extend(now, lease_seconds)
        wait = self.hold_wait_seconds() if worker.reconciled and not self.failing else 0.0
        # A call may have failed because the worker has restarted, and its next incarnation counts
        # its ends anew. A hold that is executed late may reach it as well, so no position is
        # acknowledged again without need.
        failed_calls = self.failed_calls
        confirmed = failed_calls == self.failed_before_reply
        incarnation, suspected = worker.listed.incarnation, worker.suspected
        acknowledged = worker.stored_through if confirmed and self.has_listed_ends else 0
        try:
            with anyio.fail_after(wait + ANSWER_TIMEOUT_SECONDS):
                async with self._check_refusals():
                    reply = await self.context.orders.hold(
                        worker.listed, self.pool_state.token, acknowledged, lease_until, wait
                    )
        except (WorkerError, TimeoutError) as error:
            self.failed_calls += 1
            failed_at = self.context.clock.now()
            # Only a worker's host tells that it has closed a connection; another error does not.
            is_lost = (
                isinstance(error, WorkerError)
                and not isinstance(error, WorkerFault)
                and failed_at - now < wait + MIN_TIMEOUT_MARGIN_SECONDS
            )
            if is_lost and not self.failing:
                worker.lost_at = failed_at
            if acknowledged and not is_lost:
                self.pool_state.note_late_acknowledgement(worker.worker_id, incarnation, now)
            raise
        self.failed_before_reply = failed_calls
        self.has_listed_ends = bool(reply.ended)
        if self.failing:
            self.failing = False
            self.context.log.write(
                "worker-answers", worker=worker.worker_id, life=worker.listed.incarnation
            )
        process_hold_reply(
            self.pool_state,
            worker,
            reply,
            self.context.clock.now(),
            self.context.wall_time(),
            incarnation,
        )
        if suspected is not None:
            self.pool_state.settle_suspicion(worker, suspected, reply.incarnation, incarnation)
        self.on_change()
        if worker.stored_through < worker.processed_through:
            with anyio.move_on_after(STORE_WAIT_SECONDS):
                await self.stored_event().wait()

    def allowed_lease_seconds(self) -> float:
        """Return the lease to request, in seconds: shorter while the claim is not being renewed."""
        requested = requested_lease_seconds(self.context.timing.longest_hold)
        return min(requested, MAX_UNRENEWED_CLAIM_SECONDS - self.claim_age())

    def hold_wait_seconds(self) -> float:
        """Return how long a hold may wait, in seconds.

        The wait is shorter while a run is starting, where filler tasks may slow down
        latency-sensitive ones, and where a task that may crash its worker is started.
        """
        if self.worker.worker_id in self.pool_state.trials:
            return TRIAL_HOLD_WAIT_SECONDS
        serving_present = filler_present = False
        for run in self.worker.runs.values():
            job = self.pool_state.jobs.get(run.task.job_id)
            if job is not None:
                step = job.step_of(run.task)
                serving_present |= step.latency_target_seconds > 0
                filler_present |= step.filler
        start_pending = any(run.phase is RunPhase.STARTING for run in self.worker.runs.values())
        return (
            SHORT_HOLD_WAIT_SECONDS
            if (serving_present and filler_present) or start_pending
            else HOLD_WAIT_SECONDS
        )

    async def send(self, order: Order) -> None:
        """Send one order to the worker."""
        listed, token = self.worker.listed, self.pool_state.token
        awaits_next = isinstance(order, StopOrder) and self._has_ended()
        try:
            with anyio.fail_after(ENDED_TIMEOUT_SECONDS if awaits_next else ANSWER_TIMEOUT_SECONDS):
                if isinstance(order, StartOrder):
                    await self._send_start(order)
                elif isinstance(order, StopOrder):
                    async with self._check_refusals():
                        stop_time = await self.context.orders.stop(listed, order, token)
                    current = self.pool_state.workers.get(order.worker_id)
                    # The next incarnation may not have received the order, and its time differs.
                    if current is None or current.listed.incarnation == listed.incarnation:
                        now = self.context.clock.now()
                        process_stop_reply(self.pool_state, order, stop_time, now)
                        if awaits_next:
                            self.on_change()
                elif isinstance(order, PaceOrder):
                    async with self._check_refusals():
                        await self.context.orders.pace(listed, order, token)
        except (WorkerError, TimeoutError) as error:
            self.failed_calls += 1
            if isinstance(error, WorkerFault):
                self.worker.note_fault(self.context.clock.now())
            # A stop for the next incarnation is sent several times a second, and reported once.
            if awaits_next and self.reported_ended:
                return
            self.reported_ended |= awaits_next
            self.context.log.write(
                "order-unanswered",
                worker=self.worker.worker_id,
                life=self.worker.listed.incarnation,
                order=type(order).__name__,
                task=format_task(order),
                run=order.number,
                reason=str(error) or "timeout",
            )

    def _has_ended(self) -> bool:
        current = self.pool_state.workers.get(self.worker.worker_id)
        return current is None or current.ended

    async def _send_start(self, order: StartOrder) -> None:
        run = self.pool_state.runs.get(order.task)
        if run is None or run.number != order.number or run.phase is not RunPhase.STARTING:
            return
        if self.worker.lease.worker_seconds is None:
            return
        lease_seconds = self.allowed_lease_seconds()
        if lease_seconds < MIN_LEASE_SECONDS:
            return
        lease, now = self.worker.lease, self.context.clock.now()
        min_worker_seconds = lease.min_worker_time(now)
        if self.failing:
            # What is assumed of the lease is no reason to request it.
            lease_until = min(lease.until_seconds, min_worker_seconds + lease_seconds)
        else:
            lease_until = lease.extend(now, lease_seconds)
        async with self._check_refusals():
            reply = await self.context.orders.start(
                self.worker.listed, order, self.pool_state.token, lease_until
            )
        self.worker.faults = 0
        process_start_reply(
            self.pool_state,
            run,
            reply.outcome,
            reply.worker_seconds,
            self.context.clock.now(),
            min_worker_seconds,
        )
        self.on_change()

    @asynccontextmanager
    async def _check_refusals(self) -> AsyncIterator[None]:
        """Check the claim if the worker refuses the token of a call that is made meanwhile.

        A worker that refuses the token although the claim is valid concerns itself only: the server
        at its address may be another than it seems.

        :raises NotOwnerError: if the worker refuses the token, and the claim is not valid or the
            store does not tell
        :raises WorkerFault: if the worker refuses the token of a valid claim
        """
        try:
            yield
        except NotOwnerError as error:
            try:
                is_valid = await self.is_claim_valid()
            except StoreError:
                raise error from None
            if not is_valid:
                raise
            self.on_refusal(self.worker, str(error))
            raise WorkerFault(f"{error}, but the claim is valid") from None

    def _log_failure(self, reason: str) -> None:
        if not self.failing:
            self.failing = True
            silent_seconds = self.context.clock.now() - self.worker.last_reply_at
            self.context.log.write(
                "worker-silent",
                worker=self.worker.worker_id,
                life=self.worker.listed.incarnation,
                reason=reason,
                age=round(silent_seconds, 2),
            )


def format_task(order: Order) -> str:
    """Return the name of an order's task for the log."""
    return ".".join(str(part) for part in order.task)
