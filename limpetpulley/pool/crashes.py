"""Crashes of workers, and the runs that may have caused them. No I/O.

A task may crash each worker that starts it. Such a crash follows the start at once, so only runs
that the worker did not outlive for a moment are suspects. A worker that was being drained has ended
as planned and has not crashed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..workers import Run, Worker
from .events import PoolEvent

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["has_outlived_start", "record_crash", "suspect_runs"]

#: time after a run's start within which a crash of its worker may be due to it, in seconds
STARTUP_SECONDS = 0.2


def has_outlived_start(worker: Worker, run: Run) -> bool:
    """Return whether a worker has replied some time after the start of a run on it."""
    if run.ordered_at is None:
        return True
    return run.started_at is not None and worker.last_reply_at >= run.started_at + STARTUP_SECONDS


def suspect_runs(worker: Worker) -> list[Run]:
    """Return the runs that may be the cause if a worker has crashed now."""
    return [run for run in worker.runs.values() if not has_outlived_start(worker, run)]


def record_crash(pool_state: PoolState, worker: Worker) -> None:
    """Record that a worker has ended, before its runs are dropped, unless that was planned."""
    if worker.cordoned or worker.listed.draining:
        return
    suspects = [".".join(map(str, run.task)) for run in suspect_runs(worker)]
    detail = f"{len(worker.runs)} runs lost, of which just started: {', '.join(suspects) or 'none'}"
    pool_state.on_event(PoolEvent("worker-crashed", worker.worker_id, detail=detail))
