"""Judges whether a task that must run once ran twice, from what emulated workers do."""

from __future__ import annotations

import enum
from collections.abc import Callable

import attrs

from ..batch import EndKind, TaskId
from ..clock import Clock
from ..fleet.vms import Phase
from ..workers import EndedRun, HoldReply, StartOrder
from .workers import MemoryWorker, RunObserver

__all__ = ["Finding", "RunMonitor", "Verdict"]

#: time after which an end that a reply has listed counts as known, in seconds
LISTED_SECONDS = 0.1
#: time after a job is shown as completed in which copies of its tasks may still start, in seconds
COPY_SECONDS = 1.0


class Verdict(enum.StrEnum):
    """How a task ran twice.

    A start after an end that was only listed, not acknowledged, is a fault if nothing disturbed
    the deployment, or if the worker's VM was ordered away; beside a disturbance the end may be
    lost for good otherwise.
    """

    OVERLAP = "overlap"
    AFTER_DONE = "after-done"
    AFTER_COMPLETED = "after-completed"
    AFTER_LISTED = "after-listed"
    AFTER_LISTED_ORDERED_AWAY = "after-listed-ordered-away"
    AFTER_LISTED_DISTURBED = "after-listed-disturbed"


@attrs.frozen
class Finding:
    """A run that should not have been started.

    :param at: time of its start, by the monitor's clock
    :param before_at: start of the other run, its end, or when the job was shown as completed
    :param before: the other run: its worker and number
    """

    verdict: Verdict
    task: TaskId
    at: float
    worker_id: str
    number: int
    before_at: float
    before: str = ""

    def __str__(self) -> str:
        return (
            f"{self.verdict} {'.'.join(map(str, self.task))}: {self.worker_id}#{self.number}"
            f" at {self.at:.3f}, {self.before} at {self.before_at:.3f}"
        )


@attrs.define(eq=False)
class _Running:
    worker: MemoryWorker
    number: int
    at: float


@attrs.define(eq=False)
class _DoneEnd:
    """An end ``done`` in one life of a worker; times are by the monitor's clock."""

    worker: MemoryWorker
    end: EndedRun
    at: float
    lapsed_at: float | None = None
    listed_at: float | None = None
    acknowledged: bool = False
    later_starts: list[tuple[float, str, int]] = attrs.field(factory=list)


@attrs.define
class RunMonitor(RunObserver):
    """Watches all runs of a simulation and collects the findings.

    :param is_judged: returns whether a task must run once: neither a gang's nor a lasting one
    :param may_have_copies: returns whether copies of a task may run in parallel
    :param is_calm: returns whether there was no disturbance near a time
    """

    clock: Clock
    is_judged: Callable[[TaskId], bool]
    may_have_copies: Callable[[TaskId], bool]
    is_calm: Callable[[float], bool] = lambda at: True
    findings: list[Finding] = attrs.field(factory=list)
    starts: int = 0
    running: dict[TaskId, list[_Running]] = attrs.field(factory=dict)
    done: dict[TaskId, list[_DoneEnd]] = attrs.field(factory=dict)
    unacknowledged: dict[MemoryWorker, list[_DoneEnd]] = attrs.field(factory=dict)
    completed: dict[str, float] = attrs.field(factory=dict)
    late_orders: set[tuple[TaskId, int]] = attrs.field(factory=set)

    def show_completed(self, job_id: str) -> None:
        """Note that a job was shown as completed."""
        self.completed.setdefault(job_id, self.clock.now())

    def started(self, worker: MemoryWorker, order: StartOrder) -> None:
        """Judge a start."""
        now, task = self.clock.now(), order.task
        self.starts += 1
        for other in list(self.running.get(task, ())):
            other.worker.advance()
        others = self.running.setdefault(task, [])
        if self.is_judged(task):
            self._judge_completed(worker, order, now)
            if not self.may_have_copies(task):
                for other in others:
                    self._add(Verdict.OVERLAP, worker, order, now, other.at, _name(other))
                for done in self.done.get(task, ()):
                    self._judge_done(done, worker, order, now)
        others.append(_Running(worker, order.number, now))

    def ended(self, worker: MemoryWorker, end: EndedRun, worker_seconds: float) -> None:
        """Note the end of a run."""
        self.running[end.task] = [
            run
            for run in self.running.get(end.task, ())
            if run.worker is not worker or run.number != end.number
        ]
        if end.kind is EndKind.DONE:
            done = _DoneEnd(worker, end, self._local_time(worker, worker_seconds))
            self.done.setdefault(end.task, []).append(done)
            self.unacknowledged.setdefault(worker, []).append(done)

    def lease_lapsed(self, worker: MemoryWorker, worker_seconds: float) -> None:
        """Note that the ends of a worker so far need not be taken into account any more."""
        for done in self.unacknowledged.get(worker, ()):
            if done.lapsed_at is None:
                done.lapsed_at = self._local_time(worker, worker_seconds)

    def acknowledged(self, worker: MemoryWorker, position: int) -> None:
        """Judge the starts after ends that are acknowledged only now."""
        for done in self.unacknowledged.get(worker, ()):
            if done.end.position <= position and done.lapsed_at is None:
                done.acknowledged = True
                for at, worker_id, number in done.later_starts:
                    self.findings.append(
                        Finding(
                            Verdict.AFTER_DONE,
                            done.end.task,
                            at,
                            worker_id,
                            number,
                            done.at,
                            f"done, acknowledged later, {_name(done)}",
                        )
                    )
        self.unacknowledged[worker] = [
            done for done in self.unacknowledged.get(worker, ()) if done.end.position > position
        ]

    def answered(self, worker: MemoryWorker, reply: HoldReply) -> None:
        """Note which ends a reply has listed."""
        positions = {end.position for end in reply.ended}
        for done in self.unacknowledged.get(worker, ()):
            if done.listed_at is None and done.end.position in positions:
                done.listed_at = self.clock.now()

    def crashed(self, worker: MemoryWorker) -> None:
        """Forget the runs of a worker that is down."""
        for task, runs in self.running.items():
            self.running[task] = [run for run in runs if run.worker is not worker]

    def delayed(self, order: StartOrder) -> None:
        """Note a late order, for which limits of time do not hold."""
        self.late_orders.add((order.task, order.number))

    def _judge_completed(self, worker: MemoryWorker, order: StartOrder, now: float) -> None:
        shown_at = self.completed.get(order.task.job_id)
        if shown_at is None:
            return
        copies = self.may_have_copies(order.task)
        late = (order.task, order.number) in self.late_orders
        if not copies or (now > shown_at + COPY_SECONDS and not late):
            self._add(Verdict.AFTER_COMPLETED, worker, order, now, shown_at, "completed")

    def _judge_done(
        self, done: _DoneEnd, worker: MemoryWorker, order: StartOrder, now: float
    ) -> None:
        known_at = None if done.listed_at is None else done.listed_at + LISTED_SECONDS
        if done.acknowledged:
            name = f"done and acknowledged, {_name(done)}"
            self._add(Verdict.AFTER_DONE, worker, order, now, done.at, name)
        elif (
            known_at is not None
            and known_at <= now
            and (done.lapsed_at is None or done.lapsed_at > known_at)
        ):
            calm = self.is_calm(done.at) and self.is_calm(known_at)
            verdict = Verdict.AFTER_LISTED if calm else Verdict.AFTER_LISTED_DISTURBED
            if done.worker.state in (Phase.MOVING.value, Phase.MAINTENANCE.value):
                verdict = Verdict.AFTER_LISTED_ORDERED_AWAY
            name = f"done, listed at {done.listed_at:.3f}, {_name(done)} ({done.worker.state})"
            self._add(verdict, worker, order, now, done.at, name)
        done.later_starts.append((now, worker.listed.worker_id, order.number))

    def _add(
        self,
        verdict: Verdict,
        worker: MemoryWorker,
        order: StartOrder,
        now: float,
        before_at: float,
        before: str,
    ) -> None:
        self.findings.append(
            Finding(
                verdict,
                order.task,
                now,
                worker.listed.worker_id,
                order.number,
                before_at,
                before,
            )
        )

    def _local_time(self, worker: MemoryWorker, worker_seconds: float) -> float:
        return self.clock.now() - (worker.time() - worker_seconds)


def _name(run: _Running | _DoneEnd) -> str:
    number = run.number if isinstance(run, _Running) else run.end.number
    return f"{run.worker.listed.worker_id}#{number}"
