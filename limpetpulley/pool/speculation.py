"""Speculative execution of tasks whose worker does not answer.

Such a worker may keep running until its lease expires, so most tasks wait until then. A task that
allows speculative execution starts on another worker at once, and the first end counts. The
superseded run on the silent worker keeps its capacity there and counts in its team's usage until it
is known to be gone; only the newer run is the current run of the task in the pool state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..workers import Run, RunPhase, StopOrder, Worker
from .events import PoolEvent

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["copy_runs", "is_copied", "stop_copies"]


def requeue_speculative_tasks(book: PoolState, worker: Worker) -> None:
    """Requeue the tasks of a silent worker that allow speculative execution."""
    for run in worker.runs.values():
        if book.runs.get(run.task) is not run or run.phase is RunPhase.STOPPING:
            continue
        job = book.jobs.get(run.task.job_id)
        if job is None or not job.wants(run.task):
            continue
        step = job.step_of(run.task)
        if step.speculative and not step.lasting and not step.gang:
            book.displace_run(run)
            book.report(PoolEvent("run-copied", worker.worker_id, run.task, run.number, "silent"))
            book.wait_again(run.task)
            if run.unanswered:
                stop_copy(book, run)


def is_copied(book: PoolState, run: Run) -> bool:
    """Return whether a run on a worker is no longer the current run of its task."""
    return book.runs.get(run.task) is not run


def stop_copies(book: PoolState, worker: Worker) -> None:
    """Stop the superseded runs on a restarted worker; their start orders may still reach it."""
    for run in worker.runs.values():
        if is_copied(book, run):
            stop_copy(book, run)


def stop_copy(book: PoolState, run: Run) -> None:
    """Queue a stop order for a superseded run, to be sent once its worker answers."""
    book.strays.setdefault(StopOrder.of(run), 0.0)
