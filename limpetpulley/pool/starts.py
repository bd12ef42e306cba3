"""Start orders of one job: which of its ready tasks start on which workers. No I/O."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from ..batch import Amount, Job, TaskId
from ..scheduling.placement import WorkerIndex, choose_worker, is_unconstrained
from ..workers import Run, StartOrder, Worker
from .crashes import is_suspect
from .gangs import gang_tasks, place_gang
from .state import PoolState
from .unseen_runs import team_usage

__all__ = [
    "Shares",
    "available_to",
    "count_tasks_per_worker",
    "make_start_order",
    "start_gang",
    "start_job",
    "start_run",
]


class Shares(Protocol):
    """Limits on what each team may have running in a pool."""

    def allows(self, team: str, running: Amount, more: Amount) -> bool:
        """Return whether a team with these running resources may use more."""


def start_job(
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
        if not pool_state.may_start_task(job, task):
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
        allowed_workers = available_to(pool_state, job, task, worker_index.workers, now)
        if step.gang:
            blocked_steps.add(step_key)
            orders += start_gang(pool_state, job, task, allowed_workers, shares, now)
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
        orders.append(start_run(pool_state, job, task, worker, now))
        worker_index.update_worker(worker)
    return orders


def available_to(
    pool_state: PoolState, job: Job, task: TaskId, workers: list[Worker], now: float
) -> list[Worker]:
    """Return the workers that a task may start on: those with a ticket and without a run of it.

    While a superseded run of it is not known to have ended, only a copy may start.
    """
    allowed_workers = pool_state.tickets.allowed_workers(job, task, workers, now)
    occupied = _superseded_on(pool_state, task)
    if not occupied:
        return allowed_workers
    if not job.step_of(task).speculative:
        return []
    return [worker for worker in allowed_workers if worker.worker_id not in occupied]


def _superseded_on(pool_state: PoolState, task: TaskId) -> set[str]:
    """Return the workers with a superseded run of a task."""
    superseded = pool_state.superseded_runs.get(task.job_id, ())
    return {run.worker_id for run in superseded if run.task == task}


def start_gang(
    pool_state: PoolState, job: Job, task: TaskId, workers: list[Worker], shares: Shares, now: float
) -> list[StartOrder]:
    """Start all tasks of a gang under one run number, or none."""
    step, tasks = job.step_of(task), gang_tasks(job, task)
    running = team_usage(pool_state, job.team)
    if any(each in pool_state.runs or _superseded_on(pool_state, each) for each in tasks):
        return []
    if not shares.allows(job.team, running, step.start_charge):
        return []
    placement = place_gang(step, tasks, workers)
    if placement is None:
        return []
    number = pool_state.allocate_run_number()
    return [
        start_run(pool_state, job, gang_task, pool_state.workers[worker_id], now, number)
        for gang_task, worker_id in placement.items()
    ]


def start_run(
    pool_state: PoolState,
    job: Job,
    task: TaskId,
    worker: Worker,
    now: float,
    number: int | None = None,
) -> StartOrder:
    """Create a run of a task on a worker; return its start order.

    :param number: run number, None to allocate a new one
    """
    run = pool_state.create_run(task, worker, now, number)
    run.sent_at = run.start_sent_at = now
    return make_start_order(job, run)


def make_start_order(job: Job, run: Run) -> StartOrder:
    """Return the start order of a run."""
    return StartOrder(
        run.worker_id, run.task, run.number, job.spec.payload, run.checkpoint, run.ticket
    )


def count_tasks_per_worker(pool_state: PoolState, task: TaskId) -> Counter[str]:
    """Return the number of runs of a task's step and occurrence on each worker.

    A superseded run that is not known to have ended counts as well.
    """
    return Counter(
        run.worker_id
        for run in pool_state.all_runs_of(task.job_id)
        if (run.task.occurrence, run.task.step) == (task.occurrence, task.step)
    )
