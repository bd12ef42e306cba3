"""Reconciliation of the pool state with a worker's list of running tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..workers import HoldReply, ListedRun, Run, RunPhase, StopOrder, Worker
from ..workers.state import FULL_SPEED
from .events import PoolEvent
from .inherited_leases import inherited_lease_seconds
from .proofs import Proof

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["SETTLE_MARGIN_SECONDS", "drop_unlisted_runs", "reconcile_running"]

#: margin because a worker may read its clock while it executes an order, in seconds
SETTLE_MARGIN_SECONDS = 0.1


def reconcile_running(
    pool_state: PoolState, worker: Worker, listed_run: ListedRun, worker_seconds: float
) -> None:
    """Apply a run that a worker lists: update it if known, otherwise adopt or stop it."""
    pool_state.note_started(listed_run.task)
    run = pool_state.runs.get(listed_run.task)
    worker_run = worker.runs.get(listed_run.task)
    if worker_run is not None and worker_run.number == listed_run.number:
        worker_run.seen_running = True
    if run is None and worker_run is not None:
        # No other run has replaced it: make it the current run again, or stop it.
        run = _restore(pool_state, worker_run)
    if run is None:
        run = _adopt(pool_state, worker, listed_run, worker_seconds)
    if run is None or run.number != listed_run.number or run.worker_id != worker.worker_id:
        stop = StopOrder(worker.worker_id, listed_run.task, listed_run.number)
        pool_state.orphan_stops.setdefault(stop, 0.0)
        if worker_run is None:
            _add_orphan(pool_state, worker, listed_run)
        if (stop.task, stop.number) not in worker.reported_orphans:
            worker.reported_orphans.add((stop.task, stop.number))
            _report_orphan(pool_state, worker, listed_run, run)
        return
    if run.phase is RunPhase.STARTING:
        run.phase = RunPhase.RUNNING
    if run.started_at is None:
        run.started_at = worker.last_reply_at
    run.checkpoint = listed_run.checkpoint or run.checkpoint
    run.percent = listed_run.percent
    run.at_full_speed = (
        listed_run.percent >= FULL_SPEED and worker_seconds >= run.may_be_stopped_until
    )
    run.gauge = listed_run.gauge
    if listed_run.checkpoint:
        job = pool_state.jobs[listed_run.task.job_id]
        pool_state.checkpoints[job.attempt_unit(listed_run.task)] = listed_run.checkpoint


def drop_unlisted_runs(pool_state: PoolState, worker: Worker, reply: HoldReply) -> None:
    """Drop the settled runs that are missing from a worker's list."""
    listed = {listed_run.task for listed_run in reply.running}
    for run in list(worker.runs.values()):
        settled = run.settled_at is not None and reply.worker_seconds > run.settled_at
        if settled and run.task not in listed:
            pool_state.drop_run(run, Proof.NOT_LISTED)


def _adopt(
    pool_state: PoolState, worker: Worker, listed_run: ListedRun, worker_seconds: float
) -> Run | None:
    """Adopt a run that an earlier owner started; return None if it is not needed."""
    job = pool_state.jobs.get(listed_run.task.job_id)
    if job is None or not job.needs_run(listed_run.task):
        return None
    run = Run(
        listed_run.task,
        listed_run.number,
        worker.worker_id,
        job.step_of(listed_run.task).charge,
        job.team,
        may_be_stopped_until=worker_seconds + pool_state.stop_seconds + SETTLE_MARGIN_SECONDS,
        seen_running=True,
    )
    pool_state.add_run(run, worker)
    worker.lease.assume_extended(inherited_lease_seconds(pool_state, worker))
    pool_state.on_event(
        PoolEvent(
            "run-adopted",
            worker.worker_id,
            listed_run.task,
            listed_run.number,
            life=worker.listed.incarnation,
        )
    )
    return run


def _add_orphan(pool_state: PoolState, worker: Worker, listed_run: ListedRun) -> None:
    """Reserve what an unneeded run uses until it is known to have ended, if its job is known."""
    job = pool_state.jobs.get(listed_run.task.job_id)
    if job is None or not job.has_task(listed_run.task):
        return
    run = Run(
        listed_run.task,
        listed_run.number,
        worker.worker_id,
        job.step_of(listed_run.task).charge,
        job.team,
        phase=RunPhase.STOPPING,
        seen_running=True,
    )
    pool_state.add_superseded_run(run, worker)
    worker.lease.assume_extended(inherited_lease_seconds(pool_state, worker))


def _report_orphan(
    pool_state: PoolState, worker: Worker, listed_run: ListedRun, current: Run | None
) -> None:
    where = f"run {current.number} on {current.worker_id} is current" if current else "not needed"
    pool_state.on_event(
        PoolEvent(
            "run-orphaned",
            worker.worker_id,
            listed_run.task,
            listed_run.number,
            where,
            worker.listed.incarnation,
        )
    )


def _restore(pool_state: PoolState, run: Run) -> Run | None:
    """Make a run the current run of its task again; return None if it is not needed."""
    job = pool_state.jobs.get(run.task.job_id)
    if job is None or not job.needs_run(run.task):
        return None
    pool_state.set_current_run(run)
    pool_state.remove_ready_task(run.task)
    return run
