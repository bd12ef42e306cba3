"""Copies of tasks whose worker has fallen silent.

Such a worker may run on for as long as its lease, so most tasks wait until that has lapsed. A task
that allows copies need not: it starts elsewhere at once, and what ends first counts. The run on
the silent worker stays in that worker's room and in its team's use until it is known to be gone;
only one of the two is the task's run in the book.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..workers import Run, RunPhase, StopOrder, Worker
from .change import Change

if TYPE_CHECKING:
    from .book import PoolBook

__all__ = ["copy_runs", "is_copied", "stop_copies"]


def copy_runs(book: PoolBook, worker: Worker) -> None:
    """Let the tasks on a silent worker that allow copies start elsewhere."""
    for run in worker.runs.values():
        if book.runs.get(run.task) is not run or run.phase is RunPhase.STOPPING:
            continue
        job = book.jobs.get(run.task.job_id)
        if job is None or not job.wants(run.task):
            continue
        step = job.step_of(run.task)
        if step.speculative and not step.lasting and not step.gang:
            book.displace_run(run)
            book.report(Change("run-copied", worker.worker_id, run.task, run.number, "silent"))
            book.wait_again(run.task)
            if run.unanswered:
                stop_copy(book, run)


def is_copied(book: PoolBook, run: Run) -> bool:
    """Return whether a run in a worker's room is no longer its task's run in the book."""
    return book.runs.get(run.task) is not run


def stop_copies(book: PoolBook, worker: Worker) -> None:
    """Stop the copies on a worker that has started anew; their orders may still reach it."""
    for run in worker.runs.values():
        if is_copied(book, run):
            stop_copy(book, run)


def stop_copy(book: PoolBook, run: Run) -> None:
    """Have a copy stopped as soon as its worker answers."""
    book.strays.setdefault(StopOrder.of(run), 0.0)
