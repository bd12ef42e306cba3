"""Planning of the orders that a pool's owner sends next. No I/O."""

from __future__ import annotations

from ..batch import Job, TaskId
from ..scheduling.placement import choose_worker, is_available
from ..workers import PaceOrder, Run, RunPhase, StartOrder, StopOrder, Worker
from .crashes import fail_crashing_jobs
from .gangs import find_broken_gang_runs
from .late_starts import late_stop_orders
from .ready_jobs import PlanningLimits, start_ready_jobs
from .standstill import report_standstills
from .starts import Shares, count_tasks_per_worker, make_start_order
from .state import PoolState
from .state_changes import changes_state
from .unseen_runs import update_unseen_usage

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


@changes_state
def plan_orders(
    pool_state: PoolState, shares: Shares, now: float, wall_time: float, limits: PlanningLimits
) -> list[Order]:
    """Return the orders to send now; the runs in the pool state are updated as if they were sent.

    :param now: local time
    :param wall_time: wall-clock time, in seconds since 1970
    """
    orders: list[Order] = []
    pool_state.claim_guard.update(now)
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
    orders += start_ready_jobs(pool_state, shares, now, limits)
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
        if other is not worker
        and is_available(other, now, limits.max_reply_age_seconds)
        and pool_state.is_known(other)
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
            elif pool_state.claim_guard.is_valid(now) and not _is_suspected(pool_state, run):
                # The worker may have restarted, and a later owner may have taken the run's end.
                run.sent_at = run.start_sent_at = now
                run.unanswered_starts += 1
                orders.append(make_start_order(job, run))
    return orders


def _is_suspected(pool_state: PoolState, run: Run) -> bool:
    return pool_state.workers[run.worker_id].suspected is not None
