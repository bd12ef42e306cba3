"""Speculative execution of tasks whose worker does not answer.

Such a worker may keep running until its lease expires, so most tasks wait until then. A task that
allows speculative execution starts on another worker at once, and the first end counts. The
superseded run on the silent worker keeps its capacity there, and counts in its team's usage and for
its step's maximum on one worker, until it is known to be gone; only the newer run is the current
run of the task in the pool state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..workers import Run, RunPhase, StopOrder, Worker
from .crashes import has_outlived_start
from .events import PoolEvent
from .state_changes import changes_state

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["is_superseded", "requeue_speculative_tasks", "stop_superseded_runs"]


@changes_state
def requeue_speculative_tasks(pool_state: PoolState, worker: Worker) -> None:
    """Requeue the tasks of a silent worker that allow speculative execution.

    A task whose start the worker is not known to have outlived may have crashed it. Its only copy
    is started by itself; see :mod:`.crashes`.
    """
    for run in worker.runs.values():
        if pool_state.runs.get(run.task) is not run or run.phase is RunPhase.STOPPING:
            continue
        job = pool_state.jobs.get(run.task.job_id)
        if job is None or not job.needs_run(run.task):
            continue
        step = job.step_of(run.task)
        if step.speculative and not step.lasting and not step.gang:
            if not has_outlived_start(worker, run):
                if run.task in pool_state.suspects:
                    continue
                pool_state.suspects.add(run.task)
            pool_state.supersede_run(run)
            pool_state.on_event(
                PoolEvent(
                    "run-copied",
                    worker.worker_id,
                    run.task,
                    run.number,
                    "silent",
                    worker.listed.incarnation,
                )
            )
            pool_state.requeue_task(run.task)
            if run.unanswered_starts:
                stop_superseded_run(pool_state, run)


def is_superseded(pool_state: PoolState, run: Run) -> bool:
    """Return whether a run on a worker is no longer the current run of its task."""
    return pool_state.runs.get(run.task) is not run


def stop_superseded_runs(pool_state: PoolState, worker: Worker) -> None:
    """Stop the superseded runs on a restarted worker; their start orders may still reach it."""
    for run in worker.runs.values():
        if is_superseded(pool_state, run):
            stop_superseded_run(pool_state, run)


def stop_superseded_run(pool_state: PoolState, run: Run) -> None:
    """Queue a stop order for a superseded run, to be sent once its worker answers."""
    pool_state.orphan_stops.setdefault(StopOrder.of(run), 0.0)
