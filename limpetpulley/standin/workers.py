"""Workers in memory that run tasks under leases, for tests and the demonstration."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import anyio
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

__all__ = ["MemoryWorker", "MemoryWorkers", "TaskPlan"]

FULL_SPEED = 100


@attrs.frozen
class TaskPlan:
    """What becomes of a run.

    :param seconds: when it ends by itself, infinite if it lasts
    :param kind: how it ends then
    :param need: room that it takes
    """

    seconds: float
    kind: EndKind = EndKind.DONE
    need: Amount = Amount()


@attrs.define(eq=False)
class _Run:
    task: TaskId
    number: int
    plan: TaskPlan
    ends_at: float
    checkpoint: str = ""
    percent: int = FULL_SPEED


class MemoryWorker:
    """One worker: it starts, holds, stops and ends runs by its own clock.

    :param listed: how the platform lists it
    :param clock: the time that passes
    :param plan: decides what becomes of a run
    :param started: told of each run that begins
    """

    def __init__(
        self,
        listed: ListedWorker,
        clock: Clock,
        plan: Callable[[StartOrder], TaskPlan],
        started: Callable[[str, StartOrder], None] = lambda worker, order: None,
        longest_hold: float = 10.0,
    ):
        self.listed = listed
        self.clock = clock
        self.plan = plan
        self.started = started
        self.longest_hold = longest_hold
        self.alive = True
        self._begin()

    def _begin(self) -> None:
        self.begun = self.clock.now()
        self.fence = 0
        self.until = 0.0
        self.runs: dict[TaskId, _Run] = {}
        self.highest: dict[TaskId, int] = {}
        self.ended: list[EndedRun] = []
        self.positions = itertools.count(1)
        self.news = anyio.Event()

    def restart(self) -> None:
        """Crash and start again as a new incarnation that knows nothing."""
        self.listed = attrs.evolve(self.listed, incarnation=self.listed.incarnation + 1)
        self._begin()

    def time(self) -> float:
        """Return the time on this worker's clock."""
        return self.clock.now() - self.begun

    def advance(self) -> None:
        """Let the runs end that are due, or whose lease has lapsed."""
        now = self.time()
        lapsed = self.runs and now >= self.until
        for run in sorted(self.runs.values(), key=lambda run: run.ends_at):
            if run.ends_at <= min(now, self.until):
                self._end(run, run.plan.kind)
            elif lapsed:
                self._end(run, EndKind.LAPSED)

    def next_change(self) -> float:
        """Return the seconds until something ends by itself."""
        times = [min(run.ends_at, self.until) for run in self.runs.values()]
        return max(0.0, min(times) - self.time()) if times else float("inf")

    def used(self) -> Amount:
        """Return the room that is taken."""
        total = Amount()
        for run in self.runs.values():
            total = total + run.plan.need
        return total

    def start(self, order: StartOrder, token: int, until: float) -> StartReply:
        """Take a start."""
        self._check(token)
        now = self.time()
        running = self.runs.get(order.task)
        if running is not None and running.number == order.number:
            return StartReply(StartOutcome.STARTED, now)
        if until <= now:
            return StartReply(StartOutcome.LATE, now)
        self._extend(until)
        plan = self.plan(order)
        if order.number <= self.highest.get(order.task, 0) or running is not None:
            return StartReply(StartOutcome.OLD_RUN, now)
        if not plan.need.fits(self.listed.capacity - self.used()):
            return StartReply(StartOutcome.NO_ROOM, now)
        self.runs[order.task] = _Run(
            order.task, order.number, plan, now + plan.seconds, order.checkpoint
        )
        self.started(self.listed.worker_id, order)
        return StartReply(StartOutcome.STARTED, now)

    def stop(self, order: StopOrder, token: int) -> float:
        """Take a stop."""
        self._check(token)
        run = self.runs.get(order.task)
        if run is not None and run.number <= order.number:
            self._end(run, EndKind.STOPPED)
        self.highest[order.task] = max(order.number, self.highest.get(order.task, 0))
        return self.time()

    def pace(self, order: PaceOrder, token: int) -> float:
        """Take an order on a run's speed."""
        self._check(token)
        run = self.runs.get(order.task)
        if run is not None and run.number == order.number:
            run.percent = order.percent
        return self.time()

    def look(self, token: int, acknowledged: int, until: float | None) -> HoldReply:
        """Take a hold; return what runs and what has ended."""
        self._check(token)
        if until is not None:
            self._extend(until)
        self.ended = [end for end in self.ended if end.position > acknowledged]
        rows = tuple(
            ListedRun(run.task, run.number, run.checkpoint, run.percent)
            for run in self.runs.values()
        )
        return HoldReply(self.time(), self.listed.incarnation, rows, tuple(self.ended))

    def _check(self, token: int) -> None:
        if not self.alive:
            raise WorkerError(f"{self.listed.worker_id} does not answer")
        self.advance()
        if token < self.fence:
            raise NotOwnerError(f"{self.listed.worker_id} has seen a newer token than {token}")
        self.fence = token

    def _extend(self, until: float) -> None:
        self.until = max(self.until, min(until, self.time() + self.longest_hold))

    def _end(self, run: _Run, kind: EndKind) -> None:
        del self.runs[run.task]
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        self.ended.append(
            EndedRun(next(self.positions), run.task, run.number, kind, run.checkpoint)
        )
        news, self.news = self.news, anyio.Event()
        news.set()


class MemoryWorkers:
    """Carries orders to workers in memory.

    :param latency: time that an order takes each way, in seconds
    """

    def __init__(self, latency: float = 0.001):
        self.latency = latency
        self.workers: dict[str, MemoryWorker] = {}

    def add(self, worker: MemoryWorker) -> None:
        """Add a worker."""
        self.workers[worker.listed.worker_id] = worker

    async def start(
        self, worker: ListedWorker, order: StartOrder, token: int, until_seconds: float
    ) -> StartReply:
        """Start a run that may live until a worker time."""
        await anyio.sleep(self.latency)
        return self._find(worker).start(order, token, until_seconds)

    async def stop(self, worker: ListedWorker, order: StopOrder, token: int) -> float:
        """Stop a run; return the worker's time."""
        await anyio.sleep(self.latency)
        return self._find(worker).stop(order, token)

    async def pace(self, worker: ListedWorker, order: PaceOrder, token: int) -> float:
        """Set a run's speed; return the worker's time."""
        await anyio.sleep(self.latency)
        return self._find(worker).pace(order, token)

    async def hold(
        self,
        worker: ListedWorker,
        token: int,
        acknowledged: int,
        until_seconds: float | None,
        wait_seconds: float,
    ) -> HoldReply:
        """Extend the lease, acknowledge ends and return what runs and what has ended."""
        await anyio.sleep(self.latency)
        found = self._find(worker)
        reply = found.look(token, acknowledged, until_seconds)
        waited_from = found.time()
        while not reply.ended and found.time() - waited_from < wait_seconds:
            left = wait_seconds - (found.time() - waited_from)
            with anyio.move_on_after(max(0.0005, min(left, found.next_change()))):
                await found.news.wait()
            reply = found.look(token, acknowledged, None)
        return reply

    def _find(self, worker: ListedWorker) -> MemoryWorker:
        found = self.workers.get(worker.worker_id)
        if found is None:
            raise WorkerError(f"{worker.worker_id} is gone")
        return found
