"""Temporary avoidance of workers that reject starts or on which runs fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..batch import EndKind
from ..workers import Ended, Run, StartOutcome, Worker
from .events import PoolEvent

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["judge_end", "judge_rejection"]

#: time without new starts on a worker that had no free capacity, in seconds
NO_ROOM_SECONDS = 0.3
#: consecutive failed runs after which a worker is avoided
SUSPECT_FAILURES = 3


def judge_end(book: PoolState, worker: Worker, end: Ended) -> None:
    """Avoid a worker after several consecutive failed runs."""
    if end.kind is EndKind.DONE:
        worker.rejections = 0
    elif end.kind is EndKind.FAILED:
        book.failed_on.setdefault(end.task, set()).add(worker.worker_id)
        worker.rejections += 1
        if worker.rejections >= SUSPECT_FAILURES:
            avoid(book, worker, worker.heard_at)


def judge_rejection(
    book: PoolState, worker: Worker, run: Run, outcome: StartOutcome, now: float
) -> None:
    """Avoid a worker that rejected a start, for a time that depends on the reason."""
    if outcome is StartOutcome.NO_TICKET:
        book.tickets.drop(run.task)
    elif outcome is StartOutcome.NO_ROOM:
        worker.avoid_until = now + NO_ROOM_SECONDS
    elif outcome is not StartOutcome.LATE:
        avoid(book, worker, now)


def avoid(book: PoolState, worker: Worker, now: float) -> None:
    """Start nothing on a worker for a while, longer after each further rejection."""
    pause = worker.avoid(now)
    book.report(PoolEvent("worker-avoided", worker.worker_id, detail=f"{pause:.1f} s"))
