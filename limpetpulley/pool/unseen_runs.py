"""What runs of an earlier owner may use that no worker has listed to this one. No I/O.

A worker that has not answered since the handover may be cut off and run on what the earlier owner
started there. Such a run counts in its team's usage until the worker has answered or is given up.
The earlier owner may have started any unfinished task of the jobs that were stored then, but not
more than fits on these workers.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from ..batch import Amount, Job, JobState, TaskId

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["add_inherited_job", "team_usage", "unseen_usage", "update_unseen_usage"]

#: time after a job's end for which a run of it may live on a worker that its stop orders do not
#: reach, in seconds; no lease is longer
MAX_RUN_AFTER_END_SECONDS = 12.0


def add_inherited_job(pool_state: PoolState, job: Job, wall_time: float) -> None:
    """Note that an earlier owner may have started tasks of a job.

    :param wall_time: wall-clock time, in seconds since 1970
    """
    has_ended = job.state is JobState.COMPLETED or (
        job.state.is_final and wall_time - job.ended_at > MAX_RUN_AFTER_END_SECONDS
    )
    if not has_ended:
        pool_state.started_by_others.add(job.key.job_id)


def update_unseen_usage(pool_state: PoolState, wall_time: float) -> None:
    """Update what may run unseen, by team; between two updates it may only become less.

    :param wall_time: wall-clock time, in seconds since 1970
    """
    pool_state.unseen_usage = {}
    if not pool_state.unreconciled_workers:
        return
    found: dict[str, Amount] = {}
    for job_id in sorted(pool_state.started_by_others):
        job = pool_state.jobs.get(job_id)
        if job is None:
            continue
        counts = Counter(task.step for task in _unseen_tasks(pool_state, job, wall_time))
        # The earlier owner may still see steps end there and start those that wait for them.
        for number, count in job.blocked_steps(wall_time):
            counts[number] += count
        for number, count in counts.items():
            charge = job.spec.steps[number].charge * count
            found[job.team] = found.get(job.team, Amount()) + charge
    if pool_state.workers:
        room = _unseen_room(pool_state)
        found = {team: _smaller(amount, room) for team, amount in found.items()}
    pool_state.unseen_usage = found


def unseen_usage(pool_state: PoolState) -> Mapping[str, Amount]:
    """Return what may run unseen, by team."""
    return pool_state.unseen_usage if pool_state.unreconciled_workers else {}


def team_usage(pool_state: PoolState, team: str) -> Amount:
    """Return what a team has running, with what may run unseen."""
    seen = pool_state.usage.get(team, Amount())
    return seen + unseen_usage(pool_state).get(team, Amount())


def _unseen_tasks(pool_state: PoolState, job: Job, wall_time: float) -> Iterable[TaskId]:
    """Return the tasks of a job that may have a run that no worker has listed."""
    if not job.state.is_final:
        return pool_state.ready.get(job.key.job_id, ())
    listed = {run.task for run in pool_state.all_runs_of(job.key.job_id)}
    return [task for task in job.unfinished_tasks(wall_time) if task not in listed]


def _unseen_room(pool_state: PoolState) -> Amount:
    """Return the capacity for unseen runs on the workers that have not answered.

    One that is not listed counts as large as the largest in each dimension.
    """
    capacities = [worker.listed.capacity for worker in pool_state.workers.values()]
    largest = Amount(
        max(capacity.cpu_millicores for capacity in capacities),
        max(capacity.memory_mb for capacity in capacities),
        max(capacity.accelerators for capacity in capacities),
    )
    room = Amount()
    for name in pool_state.unreconciled_workers:
        worker = pool_state.workers.get(name)
        room = room + (largest if worker is None else worker.room)
    return room


def _smaller(first: Amount, second: Amount) -> Amount:
    """Return the smaller amount in each dimension."""
    return Amount(
        min(first.cpu_millicores, second.cpu_millicores),
        min(first.memory_mb, second.memory_mb),
        min(first.accelerators, second.accelerators),
    )
