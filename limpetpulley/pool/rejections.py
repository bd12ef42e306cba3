"""Start orders that a worker rejects: whether the task or the worker has to wait. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..workers import Run, StartOutcome, Worker
from .events import PoolEvent
from .evidence import weigh_run

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
        # Either the task or the worker may be at fault.
        weigh_run(pool_state, worker, run.task, False, now)
        job = pool_state.jobs.get(run.task.job_id)
        if job is not None and job.needs_run(run.task):
            pool_state.failed_on.setdefault(run.task, set()).add(worker.worker_id)
            pool_state.retries.note_setback(job.attempt_unit(run.task), run.number, now)
    elif outcome is not StartOutcome.LATE and now >= worker.avoid_until:
        pause, life = worker.note_rejection(now), worker.listed.incarnation
        detail = f"{pause:.2f} s: {outcome.name.lower()}"
        pool_state.on_event(
            PoolEvent("worker-avoided", worker.worker_id, run.task, run.number, detail, life)
        )
