"""Temporary avoidance of workers that reject starts or on which runs fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..batch import EndKind
from ..workers import EndedRun, Run, StartOutcome, Worker
from .events import PoolEvent

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["handle_rejection", "track_failures"]

#: time without new starts on a worker that had no free capacity, in seconds
NO_ROOM_PAUSE_SECONDS = 0.3
#: consecutive failed runs after which a worker is avoided
AVOID_AFTER_FAILURES = 3


def track_failures(pool_state: PoolState, worker: Worker, end: EndedRun) -> None:
    """Avoid a worker after several consecutive failed runs."""
    if end.kind is EndKind.DONE:
        worker.consecutive_failures = 0
    elif end.kind is EndKind.FAILED:
        pool_state.failed_on.setdefault(end.task, set()).add(worker.worker_id)
        worker.consecutive_failures += 1
        if worker.consecutive_failures >= AVOID_AFTER_FAILURES:
            avoid(pool_state, worker, worker.last_reply_at)


def handle_rejection(
    pool_state: PoolState, worker: Worker, run: Run, outcome: StartOutcome, now: float
) -> None:
    """Avoid a worker that rejected a start, for a time that depends on the reason."""
    if outcome is StartOutcome.NO_TICKET:
        pool_state.tickets.drop(run.task)
    elif outcome is StartOutcome.NO_ROOM:
        worker.avoid_until = max(worker.avoid_until, now + NO_ROOM_PAUSE_SECONDS)
    elif outcome is not StartOutcome.LATE:
        avoid(pool_state, worker, now)


def avoid(pool_state: PoolState, worker: Worker, now: float) -> None:
    """Start nothing on a worker for a while, longer after each further rejection."""
    pause = worker.avoid(now)
    life = worker.listed.incarnation
    pool_state.on_event(
        PoolEvent("worker-avoided", worker.worker_id, detail=f"{pause:.1f} s", life=life)
    )
