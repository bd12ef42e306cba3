"""What of each team waits in a pool, and for nothing but the team's limit. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container

from ..batch import Amount, Job, TaskId
from ..quota.share_records import QueuedWork
from ..scheduling.placement import max_free_capacity
from .queue_forecast import available_workers
from .state import PoolState

__all__ = ["lasting_need", "queued_work"]


def queued_work(pool_state: PoolState, teams: Container[str], now: float) -> dict[str, QueuedWork]:
    """Return the ready tasks and gangs of some teams.

    :param now: local time
    """
    max_free = max_free_capacity(available_workers(pool_state))
    units: dict[str, dict[Amount, int]] = {}
    startable: dict[str, dict[Amount, None]] = {}
    for job_id, tasks in pool_state.ready.items():
        job = pool_state.jobs[job_id]
        if job.team not in teams:
            continue
        counts = units.setdefault(job.team, {})
        found = startable.setdefault(job.team, {})
        may_start = pool_state.may_start(job)
        for key, count in Counter((task.occurrence, task.step) for task in tasks).items():
            step = job.spec.steps[key[1]]
            amount = step.start_charge
            counts[amount] = counts.get(amount, 0) + (1 if step.gang else count)
            if may_start and amount not in found and step.charge.fits(max_free):
                same_step = [task for task in tasks if (task.occurrence, task.step) == key]
                if any(_is_due(pool_state, job, task, now) for task in same_step):
                    found[amount] = None
    lasting = _lasting_usage(pool_state)
    return {
        team: QueuedWork(counts, tuple(startable[team]), lasting.get(team, Amount()))
        for team, counts in units.items()
    }


def lasting_need(pool_state: PoolState, team: str) -> Amount:
    """Return what a team's tasks need that run until cancelled; each counts once."""
    charges: dict[TaskId, Amount] = {}
    for run in pool_state.runs.values():
        job = pool_state.jobs.get(run.task.job_id)
        if run.team == team and job is not None and job.step_of(run.task).lasting:
            charges[run.task] = run.charge
    return sum(charges.values(), Amount())


def _lasting_usage(pool_state: PoolState) -> dict[str, Amount]:
    """Return what runs until its jobs are cancelled, by team."""
    usage: dict[str, Amount] = {}
    for run in pool_state.runs.values():
        job = pool_state.jobs.get(run.task.job_id)
        if job is not None and job.step_of(run.task).lasting:
            usage[run.team] = usage.get(run.team, Amount()) + run.charge
    return usage


def _is_due(pool_state: PoolState, job: Job, task: TaskId, now: float) -> bool:
    """Return whether a task is not delayed after a failed run, and its earlier runs are over."""
    is_due = pool_state.retries.is_due(job.attempt_unit(task), now)
    return is_due and pool_state.may_start_task(job, task)
