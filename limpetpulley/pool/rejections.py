"""Start orders that a worker rejects: whether the task or the worker has to wait. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..workers import Run, StartOutcome, Worker
from .events import PoolEvent

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["handle_rejection"]

#: time without new starts on a worker that had no free capacity, in seconds
NO_ROOM_PAUSE_SECONDS = 0.3


def handle_rejection(
    pool_state: PoolState, worker: Worker, run: Run, outcome: StartOutcome, now: float
) -> None:
    """Delay the next start of a task that was rejected, or the next one on its worker.

    :param now: local time
    """
    if outcome is StartOutcome.NO_TICKET:
        pool_state.tickets.drop(run.task)
    elif outcome is StartOutcome.NO_ROOM:
        worker.avoid_until = max(worker.avoid_until, now + NO_ROOM_PAUSE_SECONDS)
    elif outcome is StartOutcome.REFUSED:
        # The worker does not understand this order; that says nothing about others.
        pool_state.failed_on.setdefault(run.task, set()).add(worker.worker_id)
        unit = pool_state.jobs[run.task.job_id].attempt_unit(run.task)
        pool_state.retries.note_setback(unit, now)
    elif outcome is not StartOutcome.LATE and now >= worker.avoid_until:
        pause, life = worker.note_rejection(now), worker.listed.incarnation
        detail = f"{pause:.2f} s: {outcome.name.lower()}"
        pool_state.on_event(
            PoolEvent("worker-avoided", worker.worker_id, run.task, run.number, detail, life)
        )
