"""Reconciliation of the pool state with a worker's list of running tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..workers import HoldReply, Run, Running, RunPhase, StopOrder, Worker
from ..workers.state import FULL_SPEED
from .events import PoolEvent

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["SETTLE_SECONDS", "note_absent", "note_running"]

#: margin because a worker may read its clock while it executes an order, in seconds
SETTLE_SECONDS = 0.1


def note_running(book: PoolState, worker: Worker, row: Running, worker_seconds: float) -> None:
    """Apply a run that a worker lists: update it if known, otherwise adopt or stop it."""
    run = book.runs.get(row.task)
    copy = worker.runs.get(row.task)
    if run is None and copy is not None:
        # No other run has replaced it: make it the current run again, or stop it.
        run = _restore(book, copy)
    if run is None:
        run = _adopt(book, worker, row, worker_seconds)
    if run is None or run.number != row.number or run.worker_id != worker.worker_id:
        book.strays.setdefault(StopOrder(worker.worker_id, row.task, row.number), 0.0)
        return
    if run.phase is RunPhase.STARTING:
        run.phase = RunPhase.RUNNING
    run.checkpoint = row.checkpoint or run.checkpoint
    run.percent = row.percent
    run.at_work = row.percent >= FULL_SPEED and worker_seconds >= run.doubt_until
    run.gauge = row.gauge
    if row.checkpoint:
        job = book.jobs[row.task.job_id]
        book.checkpoints[job.unit_of(row.task)] = row.checkpoint


def note_absent(book: PoolState, worker: Worker, reply: HoldReply) -> None:
    """Drop the settled runs that are missing from a worker's list."""
    shown = {row.task for row in reply.running}
    for run in list(worker.runs.values()):
        settled = run.settled_at is not None and reply.worker_seconds > run.settled_at
        if settled and run.task not in shown:
            book.drop_run(run, "not-listed")


def _adopt(book: PoolState, worker: Worker, row: Running, worker_seconds: float) -> Run | None:
    """Adopt a run that an earlier owner started; return None if it is not needed."""
    job = book.jobs.get(row.task.job_id)
    if job is None or not job.wants(row.task):
        return None
    run = Run(
        row.task,
        row.number,
        worker.worker_id,
        job.step_of(row.task).charge,
        job.team,
        doubt_until=worker_seconds + book.stop_seconds + SETTLE_SECONDS,
    )
    book.add_run(run, worker)
    job.started = True
    worker.lease.allow(book.longest_hold_seconds)
    book.report(PoolEvent("run-adopted", worker.worker_id, row.task, row.number))
    return run


def _restore(book: PoolState, run: Run) -> Run | None:
    """Make a run the current run of its task again; return None if it is not needed."""
    job = book.jobs.get(run.task.job_id)
    if job is None or not job.wants(run.task):
        return None
    book.place_run(run)
    book.end_wait(run.task)
    return run
