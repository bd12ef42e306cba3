"""Emulator of workers that run tasks under leases, for tests and the demonstration."""

from __future__ import annotations

import itertools
import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import attrs

from ..batch import Amount, EndKind, TaskId
from ..clock import Clock
from ..exception import NotOwnerError, WorkerError
from ..workers import (
    EndedRun,
    HoldReply,
    ListedRun,
    ListedWorker,
    PaceOrder,
    StartOrder,
    StartOutcome,
    StartReply,
    StopOrder,
)
from .virtual import HOST

__all__ = ["MemoryWorker", "MemoryWorkers", "OrderFaults", "RunObserver", "RunPlan"]

FULL_SPEED = 100
#: shortest and longest delay of an order that is carried out late, in seconds
LATE_SECONDS = (2.0, 12.0)


@attrs.frozen
class RunPlan:
    """The planned course of a run.

    :param seconds: time after which it ends by itself, in seconds; infinite if it does not
    :param kind: how it ends then
    :param need: capacity that it uses
    """

    seconds: float
    kind: EndKind = EndKind.DONE
    need: Amount = Amount()


class RunObserver:
    """Is told what workers do; does nothing by default. Times are by the worker's clock."""

    def started(self, worker: MemoryWorker, order: StartOrder) -> None:
        """Note that a worker has started a run."""

    def ended(self, worker: MemoryWorker, end: EndedRun, worker_seconds: float) -> None:
        """Note that a run has ended."""

    def lease_lapsed(self, worker: MemoryWorker, worker_seconds: float) -> None:
        """Note that a worker's lease has lapsed."""

    def acknowledged(self, worker: MemoryWorker, position: int) -> None:
        """Note that ends up to a position are acknowledged."""

    def answered(self, worker: MemoryWorker, reply: HoldReply) -> None:
        """Note that a hold's reply has arrived."""

    def crashed(self, worker: MemoryWorker) -> None:
        """Note that a worker is down for good, with all its runs."""

    def delayed(self, order: StartOrder) -> None:
        """Note that a start order will be carried out late."""


@attrs.define(eq=False)
class _Run:
    task: TaskId
    number: int
    plan: RunPlan
    ends_at: float
    checkpoint: str = ""
    percent: int = FULL_SPEED


class MemoryWorker:
    """An emulated worker, which starts, stops and ends runs by its own clock.

    All runs end when the lease lapses that their owner extends with its holds.

    :param listed: the worker as the platform lists it
    :param clock: clock from which the worker's own time is derived
    :param plan_run: returns the plan of a run
    :param on_run_started: called with the worker's name and the order for each run that starts
    :param max_lease_seconds: longest lease that the worker grants, in seconds
    """

    def __init__(
        self,
        listed: ListedWorker,
        clock: Clock,
        plan_run: Callable[[StartOrder], RunPlan],
        on_run_started: Callable[[str, StartOrder], None] = lambda worker_id, order: None,
        max_lease_seconds: float = 10.0,
    ):
        self.listed = listed
        self.clock = clock
        self.plan_run = plan_run
        self.on_run_started = on_run_started
        self.max_lease_seconds = max_lease_seconds
        self.observer = RunObserver()
        # Whether holds that wait answer at the end of a run that was started since.
        self.starts_wake_holds = False
        self.alive = True
        self.state = "up"
        self._reset()

    def _reset(self) -> None:
        self.started_at = self.clock.now()
        self.highest_token = 0
        self.lease_until = 0.0
        self.lease_held = False
        self.runs: dict[TaskId, _Run] = {}
        self.highest_ended: dict[TaskId, int] = {}
        self.ended: list[EndedRun] = []
        self.positions = itertools.count(1)
        self.changed = anyio.Event()

    def restart(self) -> None:
        """Crash and restart as a new incarnation, without the runs and the state of the old one."""
        self.listed = attrs.evolve(self.listed, incarnation=self.listed.incarnation + 1)
        self._reset()

    def crash(self, reason: str = "crashed") -> None:
        """Crash for good; pending holds lose their connections."""
        self.alive, self.state = False, reason
        self.observer.crashed(self)
        self.changed.set()

    def time(self) -> float:
        """Return the worker's time: the seconds since its start."""
        return self.clock.now() - self.started_at

    def advance(self) -> None:
        """End the runs that are due, and the others if the lease has lapsed."""
        now = self.time()
        lease_lapsed = self.runs and now >= self.lease_until
        for run in sorted(self.runs.values(), key=lambda run: run.ends_at):
            if run.ends_at <= min(now, self.lease_until):
                self._end_run(run, run.plan.kind, run.ends_at)
            elif lease_lapsed:
                self._end_run(run, EndKind.LAPSED, self.lease_until)
        if self.lease_held and now >= self.lease_until:
            self.lease_held = False
            self.observer.lease_lapsed(self, self.lease_until)

    def seconds_to_next_end(self) -> float:
        """Return the seconds until the next run ends by itself or by the lapse of the lease."""
        end_times = [min(run.ends_at, self.lease_until) for run in self.runs.values()]
        return max(0.0, min(end_times) - self.time()) if end_times else float("inf")

    def used(self) -> Amount:
        """Return the capacity that the runs use."""
        total = Amount()
        for run in self.runs.values():
            total = total + run.plan.need
        return total

    def start(self, order: StartOrder, token: int, until: float) -> StartReply:
        """Start a run; a repeated order changes nothing."""
        self._admit_order(token)
        now = self.time()
        running = self.runs.get(order.task)
        if running is not None and running.number == order.number:
            return StartReply(StartOutcome.STARTED, now)
        if until <= now:
            return StartReply(StartOutcome.LATE, now)
        self._extend_lease(until)
        plan = self.plan_run(order)
        if order.number <= self.highest_ended.get(order.task, 0) or running is not None:
            return StartReply(StartOutcome.OLD_RUN, now)
        if not plan.need.fits(self.listed.capacity - self.used()):
            return StartReply(StartOutcome.NO_ROOM, now)
        self.runs[order.task] = _Run(
            order.task, order.number, plan, now + plan.seconds, order.checkpoint
        )
        if self.starts_wake_holds:
            self._wake_holds()
        self.observer.started(self, order)
        self.on_run_started(self.listed.worker_id, order)
        return StartReply(StartOutcome.STARTED, now)

    def stop(self, order: StopOrder, token: int) -> float:
        """Stop a run, or prevent its start; return the worker's time."""
        self._admit_order(token)
        run = self.runs.get(order.task)
        if run is not None and run.number <= order.number:
            self._end_run(run, EndKind.STOPPED, self.time())
        self.highest_ended[order.task] = max(order.number, self.highest_ended.get(order.task, 0))
        return self.time()

    def pace(self, order: PaceOrder, token: int) -> float:
        """Set a run's speed; return the worker's time."""
        self._admit_order(token)
        run = self.runs.get(order.task)
        if run is not None and run.number == order.number:
            run.percent = order.percent
        return self.time()

    def hold(self, token: int, acknowledged: int, until: float | None) -> HoldReply:
        """Extend the lease; return the runs and the ends that are not acknowledged.

        :param acknowledged: position up to which ends are discarded
        :param until: worker time to which the lease is extended, None to leave it
        """
        self._admit_order(token)
        if until is not None:
            self._extend_lease(until)
        self.observer.acknowledged(self, acknowledged)
        self.ended = [end for end in self.ended if end.position > acknowledged]
        running = tuple(
            ListedRun(run.task, run.number, run.checkpoint, run.percent)
            for run in self.runs.values()
        )
        return HoldReply(self.time(), self.listed.incarnation, running, tuple(self.ended))

    def _admit_order(self, token: int) -> None:
        if not self.alive:
            raise WorkerError(f"{self.listed.worker_id} does not answer")
        self.advance()
        if token < self.highest_token:
            raise NotOwnerError(f"{self.listed.worker_id} has seen a newer token than {token}")
        self.highest_token = token

    def _extend_lease(self, until: float) -> None:
        self.lease_until = max(self.lease_until, min(until, self.time() + self.max_lease_seconds))
        self.lease_held = self.lease_until > self.time()

    def _end_run(self, run: _Run, kind: EndKind, at: float) -> None:
        del self.runs[run.task]
        self.highest_ended[run.task] = max(run.number, self.highest_ended.get(run.task, 0))
        end = EndedRun(next(self.positions), run.task, run.number, kind, run.checkpoint)
        self.ended.append(end)
        self.observer.ended(self, end, at)
        self._wake_holds()

    def _wake_holds(self) -> None:
        changed, self.changed = self.changed, anyio.Event()
        changed.set()


@attrs.define
class OrderFaults:
    """Faults of the orders to workers.

    :param tasks: task group in which orders are carried out, whatever becomes of their senders
    :param late_share: share of the orders that are carried out late and not answered
    :param lost_reply_share: share of the orders that are carried out and not answered
    :param unreachable: workers that no order reaches
    :param mute: workers whose replies are lost
    :param cut_pairs: hosts and workers between which nothing is carried
    """

    tasks: anyio.abc.TaskGroup
    rng: random.Random
    late_share: float = 0.0
    lost_reply_share: float = 0.0
    unreachable: set[str] = attrs.field(factory=set)
    mute: set[str] = attrs.field(factory=set)
    cut_pairs: set[tuple[str, str]] = attrs.field(factory=set)

    def drops_order(self, host: str, worker_id: str) -> bool:
        """Return whether an order from a host is lost on its way to a worker."""
        return worker_id in self.unreachable or (host, worker_id) in self.cut_pairs

    def drops_reply(self, host: str, worker_id: str) -> bool:
        """Return whether a worker's reply is lost on its way to a host."""
        return worker_id in self.mute or self.drops_order(host, worker_id)


@attrs.define(eq=False)
class _Delivery:
    """An order on its way, and its outcome."""

    settled: anyio.Event = attrs.field(factory=anyio.Event)
    reply: Any = None
    error: WorkerError | NotOwnerError | None = None


class MemoryWorkers:
    """A :class:`~limpetpulley.workers.WorkerOrders` that carries orders to workers in memory.

    :param latency_seconds: time until an order reaches its worker, in seconds
    """

    def __init__(self, latency_seconds: float = 0.001):
        self.latency_seconds = latency_seconds
        self.workers: dict[str, MemoryWorker] = {}
        self.faults: OrderFaults | None = None
        self.observer = RunObserver()

    def add(self, worker: MemoryWorker) -> None:
        """Add a worker."""
        worker.observer = self.observer
        worker.starts_wake_holds = self.faults is not None
        self.workers[worker.listed.worker_id] = worker

    async def start(
        self, worker: ListedWorker, order: StartOrder, token: int, until_seconds: float
    ) -> StartReply:
        """Start a run under a lease until a worker time."""

        async def start(found: MemoryWorker) -> StartReply:
            return found.start(order, token, until_seconds)

        return await self._call(worker, start, order)

    async def stop(self, worker: ListedWorker, order: StopOrder, token: int) -> float:
        """Stop a run; return the worker's time."""

        async def stop(found: MemoryWorker) -> float:
            return found.stop(order, token)

        return await self._call(worker, stop)

    async def pace(self, worker: ListedWorker, order: PaceOrder, token: int) -> float:
        """Set a run's speed; return the worker's time."""

        async def pace(found: MemoryWorker) -> float:
            return found.pace(order, token)

        return await self._call(worker, pace)

    async def hold(
        self,
        worker: ListedWorker,
        token: int,
        acknowledged: int,
        until_seconds: float | None,
        wait_seconds: float,
    ) -> HoldReply:
        """Extend the lease, acknowledge ends, and return the runs and the ends."""

        async def hold(found: MemoryWorker) -> HoldReply:
            reply = found.hold(token, acknowledged, until_seconds)
            wait_started_at = found.time()
            while not reply.ended and found.time() - wait_started_at < wait_seconds:
                if not found.alive:
                    raise WorkerError(f"{worker.worker_id}: connection lost")
                left_seconds = wait_seconds - (found.time() - wait_started_at)
                next_end = max(0.0005, min(left_seconds, found.seconds_to_next_end()))
                with anyio.move_on_after(next_end):
                    await found.changed.wait()
                # Acknowledgements take effect when the call arrives, for the ends of then.
                reply = found.hold(token, 0, None)
            return reply

        return await self._call(worker, hold)

    async def _call(
        self,
        worker: ListedWorker,
        call: Callable[[MemoryWorker], Awaitable[Any]],
        order: StartOrder | None = None,
    ) -> Any:
        """Carry an order out and return the reply; wait for ever if it is lost.

        :param order: the order if it starts a run
        """
        if self.faults is None:
            await anyio.sleep(self.latency_seconds)
            return await call(self._find(worker))
        faults, delivery = self.faults, _Delivery()
        late = faults.rng.random() < faults.late_share
        if late and order is not None:
            self.observer.delayed(order)
        delay_seconds = faults.rng.uniform(*LATE_SECONDS) if late else self.latency_seconds
        faults.tasks.start_soon(
            self._deliver, faults, HOST.get(), worker, call, delay_seconds, delivery
        )
        await delivery.settled.wait()
        if delivery.error is not None:
            raise delivery.error
        return delivery.reply

    async def _deliver(
        self,
        faults: OrderFaults,
        host: str,
        worker: ListedWorker,
        call: Callable[[MemoryWorker], Awaitable[Any]],
        delay_seconds: float,
        delivery: _Delivery,
    ) -> None:
        HOST.set("")
        await anyio.sleep(0.0)
        lost = faults.rng.random() < faults.lost_reply_share or delay_seconds >= LATE_SECONDS[0]
        await anyio.sleep(delay_seconds)
        if faults.drops_order(host, worker.worker_id) and delay_seconds < LATE_SECONDS[0]:
            return
        try:
            found = self._find(worker)
            delivery.reply = await call(found)
        except (WorkerError, NotOwnerError) as error:
            delivery.error = error
        if lost or faults.drops_reply(host, worker.worker_id):
            return
        if isinstance(delivery.reply, HoldReply):
            self.observer.answered(found, delivery.reply)
        delivery.settled.set()

    def _find(self, worker: ListedWorker) -> MemoryWorker:
        found = self.workers.get(worker.worker_id)
        if found is None:
            raise WorkerError(f"{worker.worker_id} is gone")
        return found
