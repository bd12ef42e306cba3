"""Judges rule TWICE from the workers' side: what they were told to run, ran and forgot."""

from __future__ import annotations

import enum
from collections.abc import Callable
from contextvars import ContextVar

import attrs

from limpetpulley.batch import EndKind, TaskId
from limpetpulley.standin.workers import MemoryWorker, RunObserver
from limpetpulley.workers import EndedRun, StartOrder

__all__ = ["CALL", "Call", "Finding", "RunRecord", "TwiceJudge", "Verdict"]

#: time after a job is shown as completed after which none of its tasks may start, in seconds
COMPLETED_SECONDS = 1.0


class Verdict(enum.StrEnum):
    """How a task ran twice."""

    OVERLAP = "two runs at once"
    AFTER_DONE = "start after an acknowledged end done"
    AFTER_COMPLETED = "start after the job was shown as completed"


@attrs.frozen
class Call:
    """A call that a worker carries out.

    :param sender: daemon that sent it
    :param token: its fencing token
    :param arrived_at: when it arrived, in seconds since the start of the test
    :param late: whether it was held up by a cut
    """

    sender: str
    token: int
    arrived_at: float
    late: bool = False


#: the call that the current task carries out
CALL: ContextVar[Call] = ContextVar("call")


@attrs.define(eq=False)
class RunRecord:
    """A run as its worker saw it; times in seconds since the start of the test.

    :param order: the order that started it
    :param replaced_at: when the store had accepted a later claim of the pool than that of the
        order's sender; None if it had not before the start
    :param lapsed_at: when the worker's lease lapsed first after its end
    :param acknowledgement: the call whose ``ackedThrough`` reached its end first
    :param later_starts: starts of the task after its end ``done``
    """

    worker: MemoryWorker
    number: int
    order: Call
    started_at: float
    replaced_at: float | None = None
    ended_at: float | None = None
    kind: EndKind | None = None
    position: int = 0
    lapsed_at: float | None = None
    acknowledgement: Call | None = None
    later_starts: list[RunRecord] = attrs.field(factory=list)

    @property
    def is_taken_note_of(self) -> bool:
        """Return whether its end was acknowledged before the worker's lease lapsed."""
        acknowledged = self.acknowledgement is not None
        return self.kind is EndKind.DONE and acknowledged and self.lapsed_at is None

    def __str__(self) -> str:
        listed = self.worker.listed
        replaced = "" if self.replaced_at is None else f" replaced {self.replaced_at:.3f}"
        parts = [
            f"run {self.number} on {listed.worker_id} ({listed.vm}, {listed.data_centre})",
            f"ordered {self.order.arrived_at:.3f} by {self.order.sender} token {self.order.token}"
            + replaced,
            f"started {self.started_at:.3f}" + ", held up by a cut" * self.order.late,
        ]
        if self.ended_at is not None:
            parts.append(f"ended {self.ended_at:.3f} {self.kind}")
        if self.lapsed_at is not None:
            parts.append(f"lease lapsed {self.lapsed_at:.3f}")
        if self.acknowledgement is not None:
            call = self.acknowledgement
            parts.append(f"acknowledged {call.arrived_at:.3f} by {call.sender} token {call.token}")
        return ", ".join(parts)


@attrs.frozen
class Finding:
    """A start that breaks the rule.

    :param earlier: the earlier run; None if the job was shown as completed
    :param shown_at: when that was, in seconds
    """

    verdict: Verdict
    task: TaskId
    pool: str
    run: RunRecord
    earlier: RunRecord | None = None
    shown_at: float = 0.0

    @property
    def has_replaced_owner(self) -> bool:
        """Return whether one of the runs was started by an owner that had been replaced."""
        runs = [self.run, self.earlier] if self.earlier else [self.run]
        return any(run.replaced_at is not None for run in runs)

    def __str__(self) -> str:
        name = ".".join(map(str, self.task))
        before = self.earlier or f"shown as completed {self.shown_at:.3f}"
        return f"{self.verdict}: {name} of {self.pool}\n  {before}\n  {self.run}"


@attrs.define(eq=False)
class TwiceJudge(RunObserver):
    """Watches all workers.

    :param now: returns the time of the test, in seconds
    :param find_replacement: returns when the claim of a pool with a token was replaced, in seconds;
        None if it was not
    """

    now: Callable[[], float]
    find_replacement: Callable[[str, int], float | None] = lambda pool, token: None
    findings: list[Finding] = attrs.field(factory=list)
    starts: int = 0
    runs: dict[TaskId, list[RunRecord]] = attrs.field(factory=dict)
    done: dict[MemoryWorker, list[RunRecord]] = attrs.field(factory=dict)
    completed: dict[str, float] = attrs.field(factory=dict)

    def show_completed(self, job_id: str) -> None:
        """Note that a job was shown as completed."""
        self.completed.setdefault(job_id, self.now())

    def started(self, worker: MemoryWorker, order: StartOrder) -> None:
        """Judge a start against the earlier runs of its task."""
        call = CALL.get()
        replaced_at = self.find_replacement(worker.listed.pool, call.token)
        run = RunRecord(worker, order.number, call, self.now(), replaced_at)
        self.starts += 1
        earlier_runs = self.runs.setdefault(order.task, [])
        for earlier in earlier_runs:
            if earlier.ended_at is None and earlier.worker.alive:
                earlier.worker.advance()
            if earlier.ended_at is None and earlier.worker.alive:
                self._add(Verdict.OVERLAP, order.task, run, earlier)
            if earlier.kind is EndKind.DONE:
                earlier.later_starts.append(run)
                if earlier.is_taken_note_of:
                    self._add(Verdict.AFTER_DONE, order.task, run, earlier)
        shown_at = self.completed.get(order.task.job_id)
        # Bounds in time don't hold for orders that a cut held up.
        if shown_at is not None and not run.order.late:
            self._judge_completed(order.task, run, shown_at)
        earlier_runs.append(run)

    def _judge_completed(self, task: TaskId, run: RunRecord, shown_at: float) -> None:
        if run.started_at > shown_at + COMPLETED_SECONDS:
            self._add(Verdict.AFTER_COMPLETED, task, run, None, shown_at)

    def ended(self, worker: MemoryWorker, end: EndedRun, worker_seconds: float) -> None:
        """Note the end of a run."""
        for run in self.runs[end.task]:
            if run.worker is worker and run.number == end.number:
                run.ended_at = self._convert(worker, worker_seconds)
                run.kind, run.position = end.kind, end.position
                self.done.setdefault(worker, []).append(run)

    def lease_lapsed(self, worker: MemoryWorker, worker_seconds: float) -> None:
        """Note that ends of a worker that are not acknowledged yet don't count any more."""
        for run in self.done.get(worker, ()):
            if run.lapsed_at is None:
                run.lapsed_at = self._convert(worker, worker_seconds)

    def acknowledged(self, worker: MemoryWorker, position: int) -> None:
        """Judge the starts after ends that are acknowledged only now."""
        left = []
        for run in self.done.get(worker, ()):
            if run.position > position:
                left.append(run)
                continue
            run.acknowledgement = CALL.get()
            if run.is_taken_note_of:
                for later in run.later_starts:
                    self._add(Verdict.AFTER_DONE, self._task_of(run), later, run)
        self.done[worker] = left

    def _task_of(self, run: RunRecord) -> TaskId:
        return next(task for task, runs in self.runs.items() if run in runs)

    def _add(
        self,
        verdict: Verdict,
        task: TaskId,
        run: RunRecord,
        earlier: RunRecord | None,
        shown_at: float = 0.0,
    ) -> None:
        pool = run.worker.listed.pool
        self.findings.append(Finding(verdict, task, pool, run, earlier, shown_at))

    def _convert(self, worker: MemoryWorker, worker_seconds: float) -> float:
        return self.now() - (worker.time() - worker_seconds)
