"""Starts of ready tasks: in which order jobs and workers take their turn. No I/O.

Demand may exceed the pool's capacity for seconds. Lasting tasks are restarted first, then jobs by
priority and by the time at which they should end. A task that does not fit does not block smaller
tasks behind it.
"""

from __future__ import annotations

import math
from collections import Counter

import attrs

from ..batch import Amount, Job, TaskId
from ..scheduling.placement import WorkerIndex, choose_worker, is_available, max_free_capacity
from ..workers import RunPhase, StartOrder, Worker
from .crashes import is_suspect, may_start_suspect
from .evidence import is_busy
from .starts import Shares, available_to, count_tasks_per_worker, start_gang, start_job, start_run
from .state import PoolState
from .trials import reserve_trial_worker, trial_workers, update_trials
from .unseen_runs import team_usage

__all__ = ["PlanningLimits", "behind_capacity", "rank", "start_ready_jobs"]

#: fraction of a pool's capacity that jobs running behind all others may use. Their tasks are not
#: preempted, so the rest is kept for later jobs that can still end in time
BEHIND_FRACTION = 0.5


@attrs.frozen
class PlanningLimits:
    """Limits on planning.

    :param max_reply_age_seconds: age of a worker's last reply beyond which nothing starts there
    :param max_unanswered_starts: maximum number of unanswered starts on one worker
    """

    max_reply_age_seconds: float = 2.5
    max_unanswered_starts: int = 16


def start_ready_jobs(
    pool_state: PoolState, shares: Shares, now: float, limits: PlanningLimits
) -> list[StartOrder]:
    """Return the start orders of a planning round.

    :param now: local time
    """
    orders: list[StartOrder] = []
    if not pool_state.ready:
        return orders
    workers = [
        worker
        for worker in pool_state.workers.values()
        if is_available(worker, now, limits.max_reply_age_seconds) and pool_state.is_known(worker)
    ]
    orders += _start_suspects(pool_state, shares, workers, now)
    workers = [worker for worker in workers if worker.worker_id not in pool_state.trials]
    max_free = max_free_capacity(workers)
    waiting = [
        job for job in map(pool_state.jobs.__getitem__, pool_state.ready) if _may_fit(job, max_free)
    ]
    workers = [
        worker
        for worker in workers
        if _count_unanswered_starts(worker) < limits.max_unanswered_starts
    ]
    if not waiting or not workers:
        return orders
    waiting.sort(key=rank)
    is_doubted = pool_state.evidence.is_doubted
    trusted = [worker for worker in workers if not is_doubted(worker.worker_id)] or workers
    orders += _start_jobs(pool_state, waiting, trusted, shares, now)
    if len(trusted) < len(workers):
        waiting = [job for job in waiting if job.key.job_id in pool_state.ready]
        orders += _start_on_doubted(pool_state, waiting, workers, trusted, shares, now)
    return orders


def _start_on_doubted(
    pool_state: PoolState,
    waiting: list[Job],
    workers: list[Worker],
    trusted: list[Worker],
    shares: Shares,
    now: float,
) -> list[StartOrder]:
    """Start what fits on no trusted worker on those whose runs have failed.

    :param workers: available workers, at least one of them not trusted
    """
    if not waiting:
        return []
    if not is_busy(pool_state, trusted):
        return _start_jobs(pool_state, waiting, workers, shares, now)
    # The failed runs of a lasting task are not limited, and no other worker may become free for it.
    lasting = [job for job in waiting if job.spec.lasting]
    orders = _start_jobs(pool_state, lasting, workers, shares, now) if lasting else []
    others = [job for job in waiting if not job.spec.lasting]
    # Jobs of which nothing runs come first.
    others.sort(key=lambda job: job.key.job_id in pool_state.runs_by_job)
    return orders + _start_probes(pool_state, others, workers, trusted, shares, now)


def _start_jobs(
    pool_state: PoolState, waiting: list[Job], workers: list[Worker], shares: Shares, now: float
) -> list[StartOrder]:
    """Start the ready tasks that fit, by the rank of their jobs.

    :param workers: available workers, at least one
    """
    orders: list[StartOrder] = []
    worker_index = WorkerIndex(workers)
    millicores_left = behind_capacity(pool_state) if any(job.behind for job in waiting) else 0
    behind_runs = any(job.behind for job in waiting) and _behind_usage(pool_state) > 0
    for job in waiting:
        if pool_state.may_start(job):
            limit = millicores_left if job.behind else math.inf
            if job.behind and not behind_runs:
                # In a pool that has shrunk, a single task may exceed the fraction.
                limit = max(limit, _widest_ready_task(pool_state, job))
            starts = start_job(pool_state, job, worker_index, shares, now, limit)
            if job.behind:
                behind_runs = behind_runs or bool(starts)
                millicores_left -= sum(
                    pool_state.runs[start.task].charge.cpu_millicores for start in starts
                )
            orders += starts
    return orders


def _start_probes(
    pool_state: PoolState,
    waiting: list[Job],
    workers: list[Worker],
    trusted: list[Worker],
    shares: Shares,
    now: float,
) -> list[StartOrder]:
    """Start one task, or the part of a gang, on each doubted worker whose probe is due."""
    orders: list[StartOrder] = []
    evidence, trusted_ids = pool_state.evidence, {worker.worker_id for worker in trusted}
    due = {
        worker.worker_id: worker
        for worker in workers
        if worker.worker_id not in trusted_ids and evidence.is_probe_due(worker.worker_id, now)
    }
    worker_index = None
    for job in waiting:
        if not due:
            break
        # A job that runs behind all others could hold the worker for long.
        if job.behind or not pool_state.may_start(job):
            continue
        if worker_index is None:
            worker_index = WorkerIndex([*trusted, *due.values()])
        if not _may_fit(job, worker_index.max_free):
            continue
        starts = start_job(pool_state, job, worker_index, shares, now, math.inf, is_probe=True)
        for start in starts:
            if due.pop(start.worker_id, None) is not None:
                evidence.probed_at[start.worker_id] = now
                worker_index = None
        orders += starts
    return orders


def _count_unanswered_starts(worker: Worker) -> int:
    return sum(
        1
        for run in worker.runs.values()
        if run.phase is RunPhase.STARTING and run.settled_at is None
    )


def _may_fit(job: Job, max_free: Amount) -> bool:
    """Return whether any step of a job fits on some worker; in a full pool most do not."""
    return any(step.charge.fits(max_free) for step in job.spec.steps)


def behind_capacity(pool_state: PoolState) -> int:
    """Return the millicores that jobs running behind all others may still use."""
    capacity = sum(
        worker.listed.capacity.cpu_millicores
        for worker in pool_state.workers.values()
        if worker.present
    )
    return int(capacity * BEHIND_FRACTION) - _behind_usage(pool_state)


def _behind_usage(pool_state: PoolState) -> int:
    """Return the millicores that jobs running behind all others use, with superseded runs."""
    used = 0
    for worker in pool_state.workers.values():
        for run in worker.runs.values():
            job = pool_state.jobs.get(run.task.job_id)
            if job is not None and job.behind:
                used += run.charge.cpu_millicores
    return used


def _widest_ready_task(pool_state: PoolState, job: Job) -> int:
    """Return the most millicores that a ready task of a job needs."""
    tasks = pool_state.ready.get(job.key.job_id, ())
    return max((job.step_of(task).charge.cpu_millicores for task in tasks), default=0)


def rank(job: Job) -> tuple:
    """Return the sort key by which jobs are started, lowest first."""
    return (not job.spec.lasting, job.priority, job.behind, job.due_by, job.key)


def _start_suspects(
    pool_state: PoolState, shares: Shares, workers: list[Worker], now: float
) -> list[StartOrder]:
    """Start tasks that may have crashed a worker, each by itself."""
    orders: list[StartOrder] = []
    update_trials(pool_state, now)
    if pool_state.ended_trials and _has_other_ready_tasks(pool_state):
        # The tasks that wait for a worker start there between the trials of two suspects.
        workers = [each for each in workers if each.worker_id not in pool_state.ended_trials]
    pool_state.ended_trials.clear()
    job_ids = {unit.job_id for unit in pool_state.suspects} & pool_state.ready.keys()
    for job in sorted((pool_state.jobs[job_id] for job_id in job_ids), key=rank):
        if not pool_state.may_start(job):
            continue
        for task in list(pool_state.ready[job.key.job_id]):
            is_due = pool_state.retries.is_due(job.attempt_unit(task), now)
            is_due = is_due and pool_state.may_start_task(job, task)
            if is_due and is_suspect(pool_state, job, task) and may_start_suspect(pool_state, job):
                orders += _start_suspect(pool_state, job, task, workers, shares, now)
    return orders


def _has_other_ready_tasks(pool_state: PoolState) -> bool:
    """Return whether tasks wait that are not suspects."""
    return any(
        not is_suspect(pool_state, pool_state.jobs[job_id], task)
        for job_id, tasks in pool_state.ready.items()
        for task in tasks
    )


def _start_suspect(
    pool_state: PoolState, job: Job, task: TaskId, workers: list[Worker], shares: Shares, now: float
) -> list[StartOrder]:
    step = job.step_of(task)
    if not shares.allows(job.team, team_usage(pool_state, job.team), step.charge):
        return []
    allowed_workers = available_to(pool_state, job, task, workers, now)
    candidates = trial_workers(pool_state, allowed_workers)
    counts: Counter[str] = Counter()
    if step.gang:
        starts = start_gang(pool_state, job, task, candidates, shares, now)
    else:
        counts = count_tasks_per_worker(pool_state, task)
        fitting = (worker for worker in candidates if choose_worker(step, [worker], counts))
        worker = next(fitting, None)
        starts = [] if worker is None else [start_run(pool_state, job, task, worker, now)]
    if not starts:
        lasting_counts = counts if step.lasting else Counter()
        reserve_trial_worker(pool_state, job, task, allowed_workers, lasting_counts, now)
    for start in starts:
        pool_state.trials[start.worker_id] = now
    return starts
