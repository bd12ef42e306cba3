"""Planning of the orders that a pool's owner sends next. No I/O.

Demand may exceed the pool's capacity for seconds. Lasting tasks are restarted first, then jobs by
priority and by the time at which they should end. A task that does not fit does not block smaller
tasks behind it.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import Protocol

import attrs

from ..batch import Amount, Job, TaskId
from ..scheduling.placement import (
    WorkerIndex,
    choose_worker,
    is_available,
    is_unconstrained,
    max_free_capacity,
)
from ..workers import PaceOrder, Run, RunPhase, StartOrder, StopOrder, Worker
from .crashes import fail_crashing_jobs, is_suspect, may_start_suspect
from .evidence import is_busy
from .gangs import find_broken_gang_runs, gang_tasks, place_gang
from .late_starts import late_stop_orders
from .standstill import report_standstills
from .state import PoolState
from .trials import reserve_trial_worker, trial_workers, update_trials
from .unseen_runs import team_usage, update_unseen_usage

__all__ = ["Order", "PlanningLimits", "Shares", "plan_orders"]

Order = StartOrder | StopOrder | PaceOrder

#: interval between full scans of all runs and workers for expired timers, in seconds
SCAN_INTERVAL_SECONDS = 0.1
#: time after which an unanswered start order is sent again, in seconds
RESEND_START_SECONDS = 0.5
#: time after which an unanswered start is abandoned and the run is stopped, in seconds
START_TIMEOUT_SECONDS = 2.0
#: maximum age of a worker's last reply for its tasks to count as working, in seconds
FRESH_REPLY_SECONDS = 1.6
#: time after which a stop order is sent again if the end is not listed, in seconds
RESEND_STOP_SECONDS = 0.5


class Shares(Protocol):
    """Limits on what each team may have running in a pool."""

    def allows(self, team: str, running: Amount, more: Amount) -> bool:
        """Return whether a team with these running resources may use more."""


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


def plan_orders(
    pool_state: PoolState, shares: Shares, now: float, wall_time: float, limits: PlanningLimits
) -> list[Order]:
    """Return the orders to send now; the runs in the pool state are updated as if they were sent.

    :param now: local time
    :param wall_time: wall-clock time, in seconds since 1970
    """
    orders: list[Order] = []
    if not 0.0 < now - pool_state.scanned_at < SCAN_INTERVAL_SECONDS:
        pool_state.scanned_at = now
        pool_state.expire_leases(now)
        pool_state.update_timed_jobs(wall_time)
        update_unseen_usage(pool_state, wall_time)
        pool_state.tasks_to_check.update(pool_state.runs)
        orders += _stop_gangs_and_evacuate(pool_state, now, limits)
        orders += _resend_orders(pool_state, now)
        orders += late_stop_orders(pool_state, now)
    fail_crashing_jobs(pool_state, wall_time)
    orders = _stop_unneeded_runs(pool_state, now) + orders
    orders += _start_ready_jobs(pool_state, shares, now, limits)
    if pool_state.scanned_at == now:
        report_standstills(pool_state, now, limits.max_reply_age_seconds)
    return orders


def _stop_unneeded_runs(pool_state: PoolState, now: float) -> list[Order]:
    """Stop runs that are no longer needed, among orphans and runs marked for a check."""
    orders: list[Order] = []
    for orphan, sent_at in pool_state.orphan_stops.items():
        if now - sent_at >= RESEND_STOP_SECONDS:
            pool_state.orphan_stops[orphan] = now
            orders.append(orphan)
    for task in pool_state.tasks_to_check:
        run, job = pool_state.runs.get(task), pool_state.jobs.get(task.job_id)
        unneeded = job is None or not job.needs_run(task)
        if run is not None and unneeded and run.phase is not RunPhase.STOPPING:
            orders.append(stop_run(run, now))
    pool_state.tasks_to_check.clear()
    return orders


def _stop_gangs_and_evacuate(
    pool_state: PoolState, now: float, limits: PlanningLimits
) -> list[Order]:
    orders: list[Order] = []
    for run in find_broken_gang_runs(pool_state):
        orders.append(stop_run(run, now))
    for worker in pool_state.workers.values():
        if worker.cordoned or worker.listed.draining:
            orders += _evacuate(pool_state, worker, now, limits)
    return orders


def stop_run(run: Run, now: float) -> StopOrder:
    """Mark a run as stopping and return the stop order."""
    run.phase = RunPhase.STOPPING
    run.settled_at = None
    run.sent_at = now
    return StopOrder.of(run)


def _evacuate(
    pool_state: PoolState, worker: Worker, now: float, limits: PlanningLimits
) -> list[Order]:
    """Stop lasting tasks on a worker that is being drained.

    A task is stopped only if its step tolerates one more missing task and another worker has
    capacity for it.
    """
    orders: list[Order] = []
    others = [
        other
        for other in pool_state.workers.values()
        if other is not worker and is_available(other, now, limits.max_reply_age_seconds)
    ]
    for run in worker.runs.values():
        job = pool_state.jobs.get(run.task.job_id)
        if job is None or run.phase is not RunPhase.RUNNING:
            continue
        step = job.step_of(run.task)
        if (
            not step.lasting
            or choose_worker(step, others, count_tasks_per_worker(pool_state, run.task)) is None
        ):
            continue
        replied_since = now - FRESH_REPLY_SECONDS
        if (
            step.may_miss is None
            or count_missing(pool_state, job, run.task, replied_since) < step.may_miss
        ):
            orders.append(stop_run(run, now))
    return orders


def count_tasks_per_worker(pool_state: PoolState, task: TaskId) -> Counter[str]:
    """Return the number of runs of a task's step and occurrence on each worker.

    A superseded run that is not known to have ended counts as well.
    """
    return Counter(
        run.worker_id
        for run in pool_state.all_runs_of(task.job_id)
        if (run.task.occurrence, run.task.step) == (task.occurrence, task.step)
    )


def count_missing(pool_state: PoolState, job: Job, task: TaskId, replied_since: float) -> int:
    """Return how many tasks of a task's step are not known to work at full speed.

    :param replied_since: local time; runs on a worker whose last reply is older count as missing
    """
    step = job.step_of(task)
    at_full_speed = sum(
        1
        for position in range(step.count)
        if (run := pool_state.runs.get(task._replace(position=position))) is not None
        and run.phase is RunPhase.RUNNING
        and run.at_full_speed
        and pool_state.workers[run.worker_id].last_reply_at >= replied_since
    )
    return step.count - at_full_speed


def _resend_orders(pool_state: PoolState, now: float) -> list[Order]:
    orders: list[Order] = []
    for run in pool_state.runs.values():
        if run.settled_at is not None:
            continue
        waited = now - run.sent_at
        if run.phase is RunPhase.STOPPING and waited >= RESEND_STOP_SECONDS:
            run.sent_at = now
            orders.append(StopOrder.of(run))
        elif run.phase is RunPhase.STARTING and waited >= RESEND_START_SECONDS:
            job = pool_state.jobs.get(run.task.job_id)
            timed_out = run.ordered_at is None or now - run.ordered_at >= START_TIMEOUT_SECONDS
            if job is None or timed_out:
                orders.append(stop_run(run, now))
            else:
                run.sent_at = now
                run.unanswered_starts += 1
                orders.append(_start_order(job, run))
    return orders


def _start_ready_jobs(
    pool_state: PoolState, shares: Shares, now: float, limits: PlanningLimits
) -> list[Order]:
    orders: list[Order] = []
    if not pool_state.ready:
        return orders
    workers = [
        worker
        for worker in pool_state.workers.values()
        if is_available(worker, now, limits.max_reply_age_seconds)
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
            starts = _start_job(pool_state, job, worker_index, shares, now, limit)
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
        starts = _start_job(pool_state, job, worker_index, shares, now, math.inf, is_probe=True)
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
    """Return the millicores that jobs running behind all others use."""
    used = 0
    for run in pool_state.runs.values():
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


def _start_job(
    pool_state: PoolState,
    job: Job,
    worker_index: WorkerIndex,
    shares: Shares,
    now: float,
    millicores_left: float,
    is_probe: bool = False,
) -> list[StartOrder]:
    """Start the ready tasks of a job that fit.

    :param millicores_left: millicores that the job may still use
    :param is_probe: whether to start one task or gang at the most
    """
    orders: list[StartOrder] = []
    tasks_per_worker: dict[tuple[int, int], Counter[str]] = {}
    blocked_steps: set[tuple[int, int]] = set()
    for task in list(pool_state.ready.get(job.key.job_id, ())):
        step_key = (task.occurrence, task.step)
        step = job.step_of(task)
        if step_key in blocked_steps or is_suspect(pool_state, job, task):
            continue
        if not pool_state.retries.is_due(job.attempt_unit(task), now):
            continue
        failed_on = pool_state.failed_on.get(task, ())
        if is_probe and orders:
            break
        running = team_usage(pool_state, job.team)
        if (
            not step.charge.fits(worker_index.max_free)
            or step.charge.cpu_millicores > millicores_left
            or not shares.allows(job.team, running, step.charge)
        ):
            blocked_steps.add(step_key)
            continue
        allowed_workers = _allowed_workers(pool_state, job, task, worker_index.workers, now)
        if step.gang:
            blocked_steps.add(step_key)
            orders += _start_gang(pool_state, job, task, allowed_workers, shares, now)
            for order in orders:
                worker_index.update_worker(pool_state.workers[order.worker_id])
            continue
        if step_key not in tasks_per_worker:
            tasks_per_worker[step_key] = (
                count_tasks_per_worker(pool_state, task) if step.max_per_worker else Counter()
            )
        if allowed_workers is worker_index.workers and is_unconstrained(step) and not failed_on:
            worker = worker_index.best_fit(step)
        else:
            worker = choose_worker(step, allowed_workers, tasks_per_worker[step_key], failed_on)
        if worker is None:
            if not _superseded_on(pool_state, task):
                blocked_steps.add(step_key)
            continue
        tasks_per_worker[step_key][worker.worker_id] += 1
        millicores_left -= step.charge.cpu_millicores
        orders.append(_start_run(pool_state, job, task, worker, now))
        worker_index.update_worker(worker)
    return orders


def _allowed_workers(
    pool_state: PoolState, job: Job, task: TaskId, workers: list[Worker], now: float
) -> list[Worker]:
    """Return the workers that a task may start on: those with a ticket and without a run of it."""
    allowed_workers = pool_state.tickets.allowed_workers(job, task, workers, now)
    occupied = _superseded_on(pool_state, task)
    if not occupied:
        return allowed_workers
    return [worker for worker in allowed_workers if worker.worker_id not in occupied]


def _superseded_on(pool_state: PoolState, task: TaskId) -> set[str]:
    """Return the workers with a superseded run of a task."""
    superseded = pool_state.superseded_runs.get(task.job_id, ())
    return {run.worker_id for run in superseded if run.task == task}


def _start_suspects(
    pool_state: PoolState, shares: Shares, workers: list[Worker], now: float
) -> list[Order]:
    """Start tasks that may have crashed a worker, each by itself."""
    orders: list[Order] = []
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
    allowed_workers = _allowed_workers(pool_state, job, task, workers, now)
    candidates = trial_workers(pool_state, allowed_workers)
    counts: Counter[str] = Counter()
    if step.gang:
        starts = _start_gang(pool_state, job, task, candidates, shares, now)
    else:
        counts = count_tasks_per_worker(pool_state, task)
        fitting = (worker for worker in candidates if choose_worker(step, [worker], counts))
        worker = next(fitting, None)
        starts = [] if worker is None else [_start_run(pool_state, job, task, worker, now)]
    if not starts:
        lasting_counts = counts if step.lasting else Counter()
        reserve_trial_worker(pool_state, job, task, allowed_workers, lasting_counts, now)
    for start in starts:
        pool_state.trials[start.worker_id] = now
    return starts


def _start_gang(
    pool_state: PoolState, job: Job, task: TaskId, workers: list[Worker], shares: Shares, now: float
) -> list[StartOrder]:
    """Start all tasks of a gang under one run number, or none."""
    step, tasks = job.step_of(task), gang_tasks(job, task)
    running = team_usage(pool_state, job.team)
    if any(gang_task in pool_state.runs for gang_task in tasks):
        return []
    if not shares.allows(job.team, running, step.charge * step.count):
        return []
    placement = place_gang(step, tasks, workers)
    if placement is None:
        return []
    number = pool_state.allocate_run_number()
    return [
        _start_run(pool_state, job, gang_task, pool_state.workers[worker_id], now, number)
        for gang_task, worker_id in placement.items()
    ]


def _start_run(
    pool_state: PoolState,
    job: Job,
    task: TaskId,
    worker: Worker,
    now: float,
    number: int | None = None,
) -> StartOrder:
    run = pool_state.create_run(task, worker, now, number)
    run.sent_at = now
    return _start_order(job, run)


def _start_order(job: Job, run: Run) -> StartOrder:
    return StartOrder(
        run.worker_id, run.task, run.number, job.spec.payload, run.checkpoint, run.ticket
    )
