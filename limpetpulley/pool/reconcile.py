"""Reconciliation of the pool state with a worker's list of running tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..workers import HoldReply, Run, Running, RunPhase, StopOrder, Worker
from ..workers.state import FULL_SPEED
from .events import PoolEvent

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["SETTLE_MARGIN_SECONDS", "drop_unlisted_runs", "reconcile_running"]

#: margin because a worker may read its clock while it executes an order, in seconds
SETTLE_MARGIN_SECONDS = 0.1


def reconcile_running(
    pool_state: PoolState, worker: Worker, row: Running, worker_seconds: float
) -> None:
    """Apply a run that a worker lists: update it if known, otherwise adopt or stop it."""
    run = pool_state.runs.get(row.task)
    worker_run = worker.runs.get(row.task)
    if run is None and worker_run is not None:
        # No other run has replaced it: make it the current run again, or stop it.
        run = _restore(pool_state, worker_run)
    if run is None:
        run = _adopt(pool_state, worker, row, worker_seconds)
    if run is None or run.number != row.number or run.worker_id != worker.worker_id:
        pool_state.orphan_stops.setdefault(StopOrder(worker.worker_id, row.task, row.number), 0.0)
        return
    if run.phase is RunPhase.STARTING:
        run.phase = RunPhase.RUNNING
    run.checkpoint = row.checkpoint or run.checkpoint
    run.percent = row.percent
    run.at_work = row.percent >= FULL_SPEED and worker_seconds >= run.doubt_until
    run.gauge = row.gauge
    if row.checkpoint:
        job = pool_state.jobs[row.task.job_id]
        pool_state.checkpoints[job.unit_of(row.task)] = row.checkpoint


def drop_unlisted_runs(pool_state: PoolState, worker: Worker, reply: HoldReply) -> None:
    """Drop the settled runs that are missing from a worker's list."""
    listed = {row.task for row in reply.running}
    for run in list(worker.runs.values()):
        settled = run.settled_at is not None and reply.worker_seconds > run.settled_at
        if settled and run.task not in listed:
            pool_state.drop_run(run, "not-listed")


def _adopt(
    pool_state: PoolState, worker: Worker, row: Running, worker_seconds: float
) -> Run | None:
    """Adopt a run that an earlier owner started; return None if it is not needed."""
    job = pool_state.jobs.get(row.task.job_id)
    if job is None or not job.wants(row.task):
        return None
    run = Run(
        row.task,
        row.number,
        worker.worker_id,
        job.step_of(row.task).charge,
        job.team,
        doubt_until=worker_seconds + pool_state.stop_seconds + SETTLE_MARGIN_SECONDS,
    )
    pool_state.add_run(run, worker)
    job.started = True
    worker.lease.allow(pool_state.longest_hold_seconds)
    pool_state.on_event(PoolEvent("run-adopted", worker.worker_id, row.task, row.number))
    return run


def _restore(pool_state: PoolState, run: Run) -> Run | None:
    """Make a run the current run of its task again; return None if it is not needed."""
    job = pool_state.jobs.get(run.task.job_id)
    if job is None or not job.wants(run.task):
        return None
    pool_state.set_current_run(run)
    pool_state.remove_ready_task(run.task)
    return run
