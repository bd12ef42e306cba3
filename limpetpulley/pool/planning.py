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
from ..scheduling.placement import Places, choose_worker, is_open, is_plain, most_room
from ..workers import PaceOrder, Run, RunPhase, StartOrder, StopOrder, Worker
from .state import PoolState
from .gangs import broken_gangs, gang_tasks, place_gang

__all__ = ["Order", "PlanningLimits", "Shares", "plan_orders"]

Order = StartOrder | StopOrder | PaceOrder

#: interval between full scans of all runs and workers for expired timers, in seconds
LOOK_SECONDS = 0.1
#: time after which an unanswered start order is sent again, in seconds
RESEND_START_SECONDS = 0.5
#: time after which an unanswered start is abandoned and the run is stopped, in seconds
GIVE_UP_START_SECONDS = 2.0
#: maximum age of a worker's last reply for its tasks to count as working, in seconds
KNOWN_SECONDS = 1.6
#: time after which a stop order is sent again if the end is not listed, in seconds
RESEND_STOP_SECONDS = 0.5


class Shares(Protocol):
    """Limits on what each team may have running in a pool."""

    def allows(self, team: str, running: Amount, more: Amount) -> bool:
        """Return whether a team with these running resources may use more."""


#: fraction of a pool's capacity that jobs running behind all others may use. Their tasks are not
#: preempted, so the rest is kept for later jobs that can still end in time
BEHIND_PART = 0.5


@attrs.frozen
class PlanningLimits:
    """Limits on planning.

    :param max_reply_age_seconds: age of a worker's last reply beyond which nothing starts there
    :param max_unanswered_starts: maximum number of unanswered starts on one worker
    """

    contact_seconds: float = 2.5
    starts_at_once: int = 16


def plan_orders(
    book: PoolState, shares: Shares, now: float, day: float, limits: PlanningLimits
) -> list[Order]:
    """Return the orders to send now; the runs in the pool state are updated as if they were sent.

    :param now: local time
    :param wall_time: wall-clock time, in seconds since 1970
    """
    orders: list[Order] = []
    if not 0.0 < now - book.looked_at < LOOK_SECONDS:
        book.looked_at = now
        book.expire(now)
        book.refresh_due(day)
        book.suspects.update(book.runs)
        orders += _stops(book, now, limits)
        orders += _resends(book, now)
    orders = _unwanted(book, now) + orders
    orders += _starts(book, shares, now, limits)
    return orders


def _unwanted(book: PoolState, now: float) -> list[Order]:
    """Stop runs that are no longer needed, among orphans and runs marked for a check."""
    orders: list[Order] = []
    for stray, sent in book.strays.items():
        if now - sent >= RESEND_STOP_SECONDS:
            book.strays[stray] = now
            orders.append(stray)
    for task in book.suspects:
        run, job = book.runs.get(task), book.jobs.get(task.job_id)
        unwanted = job is None or not job.wants(task)
        if run is not None and unwanted and run.phase is not RunPhase.STOPPING:
            orders.append(stop_run(run, now))
    book.suspects.clear()
    return orders


def _stops(book: PoolState, now: float, limits: PlanningLimits) -> list[Order]:
    orders: list[Order] = []
    for run in broken_gangs(book):
        orders.append(stop_run(run, now))
    for worker in book.workers.values():
        if worker.cordoned or worker.listed.draining:
            orders += _evacuate(book, worker, now, limits)
    return orders


def stop_run(run: Run, now: float) -> StopOrder:
    """Mark a run as stopping and return the stop order."""
    run.phase = RunPhase.STOPPING
    run.settled_at = None
    run.sent_at = now
    return StopOrder.of(run)


def _evacuate(book: PoolState, worker: Worker, now: float, limits: PlanningLimits) -> list[Order]:
    """Stop lasting tasks on a worker that is being drained.

    A task is stopped only if its step tolerates one more missing task and another worker has
    capacity for it.
    """
    orders: list[Order] = []
    others = [
        other
        for other in book.workers.values()
        if other is not worker and is_open(other, now, limits.contact_seconds)
    ]
    for run in worker.runs.values():
        job = book.jobs.get(run.task.job_id)
        if job is None or run.phase is not RunPhase.RUNNING:
            continue
        step = job.step_of(run.task)
        if not step.lasting or choose_worker(step, others, beside_task(book, run.task)) is None:
            continue
        heard_since = now - KNOWN_SECONDS
        if step.may_miss is None or missing(book, job, run.task, heard_since) < step.may_miss:
            orders.append(stop_run(run, now))
    return orders


def beside_task(book: PoolState, task: TaskId) -> Counter[str]:
    """Return the number of runs of a task's step and occurrence on each worker."""
    return Counter(
        run.worker_id
        for run in book.runs_of(task.job_id)
        if (run.task.occurrence, run.task.step) == (task.occurrence, task.step)
    )


def missing(book: PoolState, job: Job, task: TaskId, heard_since: float) -> int:
    """Return how many tasks of a task's step are not known to work at full speed.

    :param replied_since: local time; runs on a worker whose last reply is older count as missing
    """
    step = job.step_of(task)
    at_work = sum(
        1
        for position in range(step.count)
        if (run := book.runs.get(task._replace(position=position))) is not None
        and run.phase is RunPhase.RUNNING
        and run.at_work
        and book.workers[run.worker_id].heard_at >= heard_since
    )
    return step.count - at_work


def _resends(book: PoolState, now: float) -> list[Order]:
    orders: list[Order] = []
    for run in book.runs.values():
        if run.settled_at is not None:
            continue
        waited = now - run.sent_at
        if run.phase is RunPhase.STOPPING and waited >= RESEND_STOP_SECONDS:
            run.sent_at = now
            orders.append(StopOrder.of(run))
        elif run.phase is RunPhase.STARTING and waited >= RESEND_START_SECONDS:
            if run.begun_at is None or now - run.begun_at >= GIVE_UP_START_SECONDS:
                orders.append(stop_run(run, now))
            else:
                run.sent_at = now
                run.unanswered += 1
                orders.append(_start_order(book.jobs[run.task.job_id], run))
    return orders


def _starts(book: PoolState, shares: Shares, now: float, limits: PlanningLimits) -> list[Order]:
    orders: list[Order] = []
    if not book.ready:
        return orders
    workers = [
        worker for worker in book.workers.values() if is_open(worker, now, limits.contact_seconds)
    ]
    most = most_room(workers)
    waiting = [job for job in map(book.jobs.__getitem__, book.ready) if _may_fit(job, most)]
    workers = [worker for worker in workers if _unanswered(worker) < limits.starts_at_once]
    if not waiting or not workers:
        return orders
    places = Places(workers)
    waiting.sort(key=rank)
    left = behind_room(book) if any(job.behind for job in waiting) else 0
    for job in waiting:
        if book.may_start(job):
            starts = _start_job(book, job, places, shares, now, left if job.behind else math.inf)
            if job.behind:
                left -= sum(book.runs[start.task].charge.cpu_millicores for start in starts)
            orders += starts
    return orders


def _unanswered(worker: Worker) -> int:
    return sum(
        1
        for run in worker.runs.values()
        if run.phase is RunPhase.STARTING and run.settled_at is None
    )


def _may_fit(job: Job, most: Amount) -> bool:
    """Return whether any step of a job fits on some worker; in a full pool most do not."""
    return any(step.charge.fits(most) for step in job.spec.steps)


def behind_room(book: PoolState) -> int:
    """Return the millicores that jobs running behind all others may still use."""
    room = sum(
        worker.listed.capacity.cpu_millicores for worker in book.workers.values() if worker.present
    )
    taken = 0
    for run in book.runs.values():
        job = book.jobs.get(run.task.job_id)
        if job is not None and job.behind:
            taken += run.charge.cpu_millicores
    return int(room * BEHIND_PART) - taken


def rank(job: Job) -> tuple:
    """Return the sort key by which jobs are started, lowest first."""
    return (not job.spec.lasting, job.priority, job.behind, job.due_by, job.key)


def _start_job(
    book: PoolState, job: Job, places: Places, shares: Shares, now: float, left: float
) -> list[StartOrder]:
    """Start the ready tasks of a job that fit.

    :param millicores_left: millicores that the job may still use
    """
    orders: list[StartOrder] = []
    beside: dict[tuple[int, int], Counter[str]] = {}
    full: set[tuple[int, int]] = set()
    for task in list(book.ready.get(job.key.job_id, ())):
        place = (task.occurrence, task.step)
        step = job.step_of(task)
        if place in full:
            continue
        running = book.usage.get(job.team, Amount())
        if (
            not step.charge.fits(places.most)
            or step.charge.cpu_millicores > left
            or not shares.allows(job.team, running, step.charge)
        ):
            full.add(place)
            continue
        allowed = book.tickets.allowed(job, task, places.workers, now)
        if step.gang:
            full.add(place)
            orders += _start_gang(book, job, task, allowed, shares, now)
            for order in orders:
                places.update_worker(book.workers[order.worker_id])
            continue
        if place not in beside:
            beside[place] = beside_task(book, task) if step.max_per_worker else Counter()
        if allowed is places.workers and is_plain(step) and task not in book.failed_on:
            worker = places.tightest(step)
        else:
            shunned = book.failed_on.get(task, ())
            worker = choose_worker(step, allowed, beside[place], shunned)
        if worker is None:
            full.add(place)
            continue
        beside[place][worker.worker_id] += 1
        left -= step.charge.cpu_millicores
        orders.append(_start_run(book, job, task, worker, now))
        places.update_worker(worker)
    return orders


def _start_gang(
    book: PoolState, job: Job, task: TaskId, workers: list[Worker], shares: Shares, now: float
) -> list[StartOrder]:
    """Start all tasks of a gang under one run number, or none."""
    step, tasks = job.step_of(task), gang_tasks(job, task)
    running = book.usage.get(job.team, Amount())
    if any(each in book.runs for each in tasks):
        return []
    if not shares.allows(job.team, running, step.charge * step.count):
        return []
    places = place_gang(step, tasks, workers)
    if places is None:
        return []
    number = book.take_number()
    return [
        _start_run(book, job, each, book.workers[worker_id], now, number)
        for each, worker_id in places.items()
    ]


def _start_run(
    book: PoolState,
    job: Job,
    task: TaskId,
    worker: Worker,
    now: float,
    number: int | None = None,
) -> StartOrder:
    run = book.begin(task, worker, now, number)
    run.sent_at = now
    return _start_order(job, run)


def _start_order(job: Job, run: Run) -> StartOrder:
    return StartOrder(
        run.worker_id, run.task, run.number, job.spec.payload, run.checkpoint, run.ticket
    )
