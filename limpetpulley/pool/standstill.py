"""Tasks that are not started although a worker has the capacity, and why, for the log. No I/O."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..batch import Job, TaskId
from ..scheduling.placement import max_free_capacity, unavailability
from .crashes import is_suspect
from .events import PoolEvent

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["report_standstills"]

#: time without a run of a job that could run after which it is reported, in seconds, and again
#: after twice that time, four times, and so on
FIRST_REPORT_SECONDS = 1.0
#: jobs that are reported at once; the others follow
MAX_REPORTS = 10


def report_standstills(pool_state: PoolState, now: float, max_reply_age_seconds: float) -> None:
    """Report the jobs of which nothing has run for some time.

    :param now: local time
    :param max_reply_age_seconds: age of a worker's last reply beyond which nothing starts there
    """
    standing, reports = {}, 0
    max_free = max_free_capacity(pool_state.workers.values())
    for job_id, tasks in pool_state.ready.items():
        if job_id in pool_state.runs_by_job:
            continue
        since, report_at = pool_state.standstills.get(job_id, (now, now + FIRST_REPORT_SECONDS))
        if now >= report_at and reports < MAX_REPORTS:
            report_at = now + (now - since)
            job = pool_state.jobs[job_id]
            if not job.step_of(tasks[0]).charge.fits(max_free):
                standing[job_id] = (since, report_at)
                continue
            reports += 1
            obstacles = _obstacles(pool_state, job, tasks[0], now, max_reply_age_seconds)
            if obstacles:
                detail = f"{now - since:.1f} s without a run: {obstacles}"
                pool_state.on_event(PoolEvent("job-stands-still", "", tasks[0], detail=detail))
        standing[job_id] = (since, report_at)
    pool_state.standstills = standing


def _obstacles(
    pool_state: PoolState, job: Job, task: TaskId, now: float, max_reply_age_seconds: float
) -> str:
    """Return what keeps a task from the workers with capacity for it, empty if there are none."""
    charge = job.step_of(task).charge
    counts = Counter(
        (
            "reserved"
            if worker.worker_id in pool_state.trials
            else unavailability(worker, now, max_reply_age_seconds)
            or ("available" if pool_state.is_known(worker) else "not confirmed")
        )
        for worker in pool_state.workers.values()
        if charge.fits(worker.room) and not worker.ended
    )
    if not counts:
        return ""
    obstacles = [f"{count} workers {reason}" for reason, count in sorted(counts.items())]
    if not pool_state.may_start(job) and pool_state.unreconciled_workers:
        obstacles.append(f"{len(pool_state.unreconciled_workers)} workers of earlier owners")
    elif not (pool_state.may_start(job) and pool_state.may_start_task(job, task)):
        obstacles.append("claim not confirmed")
    if is_suspect(pool_state, job, task):
        obstacles.append("suspect")
    if not pool_state.retries.is_due(job.attempt_unit(task), now):
        obstacles.append("retry delayed")
    return ", ".join(obstacles)
