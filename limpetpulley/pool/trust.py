"""Which workers are left alone for a while, because they reject or fail what starts there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..batch import EndKind
from ..workers import Ended, Run, StartOutcome, Worker
from .change import Change

if TYPE_CHECKING:
    from .book import PoolBook

__all__ = ["judge_end", "judge_rejection"]

#: time without new starts on a worker that had no room, in seconds
NO_ROOM_SECONDS = 0.3
#: failed runs in a row after which a worker is avoided
SUSPECT_FAILURES = 3


def judge_end(book: PoolBook, worker: Worker, end: Ended) -> None:
    """Avoid a worker on which runs fail one after the other."""
    if end.kind is EndKind.DONE:
        worker.rejections = 0
    elif end.kind is EndKind.FAILED:
        book.failed_on.setdefault(end.task, set()).add(worker.worker_id)
        worker.rejections += 1
        if worker.rejections >= SUSPECT_FAILURES:
            avoid(book, worker, worker.heard_at)


def judge_rejection(
    book: PoolBook, worker: Worker, run: Run, outcome: StartOutcome, now: float
) -> None:
    """Avoid a worker that rejects starts, for as long as the reason lets expect."""
    if outcome is StartOutcome.NO_TICKET:
        book.tickets.drop(run.task)
    elif outcome is StartOutcome.NO_ROOM:
        worker.avoid_until = now + NO_ROOM_SECONDS
    elif outcome is not StartOutcome.LATE:
        avoid(book, worker, now)


def avoid(book: PoolBook, worker: Worker, now: float) -> None:
    """Let nothing start on a worker for a while."""
    pause = worker.avoid(now)
    book.report(Change("worker-avoided", worker.worker_id, detail=f"{pause:.1f} s"))
