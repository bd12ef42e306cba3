"""Gang scheduling: tasks that make progress only when all of them run. No I/O.

The tasks of a gang are placed all at once or not at all. A gang that has lost a task is stopped
completely, because its other tasks would only occupy workers.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

import attrs

from ..batch import Amount, Job, Step, TaskId
from ..scheduling.placement import choose_worker
from ..workers import ListedWorker, Run, RunPhase, Worker
from .state import PoolState

__all__ = [
    "TentativeWorker",
    "find_broken_gang_runs",
    "fits_alone",
    "fits_empty_pool",
    "fits_together",
    "gang_tasks",
    "place_gang",
]


@attrs.define(eq=False)
class TentativeWorker:
    """A worker with the capacity that tentative placements leave free."""

    listed: ListedWorker
    room: Amount

    @property
    def worker_id(self) -> str:
        """Return the worker's identifier."""
        return self.listed.worker_id


def place_gang(
    step: Step, tasks: list[TaskId], workers: Iterable[Worker]
) -> dict[TaskId, str] | None:
    """Return a worker for each task of a gang, or None if they do not all fit now.

    For steps that are slow across racks, a single rack that holds all tasks is preferred, the rack
    that holds the data first.
    """
    groups: list[list[Worker]] = []
    available = list(workers)
    if step.same_rack or step.near_rack:
        racks: defaultdict[str, list[Worker]] = defaultdict(list)
        for worker in available:
            racks[worker.listed.rack].append(worker)
        groups = sorted(racks.values(), key=lambda group: _rack_rank(step, group))
    for group in [*groups, available]:
        placement = _place_all(step, tasks, group)
        if placement is not None:
            return placement
    return None


def fits_empty_pool(step: Step, workers: Iterable[ListedWorker]) -> bool:
    """Return whether all tasks of a gang would fit on the workers if these were empty."""
    return fits_together(step, [TentativeWorker(worker, worker.capacity) for worker in workers])


def fits_alone(step: Step, worker: TentativeWorker, tasks_per_worker: Counter[str]) -> bool:
    """Return whether one task of a step fits in the free capacity of a worker.

    :param tasks_per_worker: number of running tasks of this step and occurrence by worker
    """
    return choose_worker(step, [worker], tasks_per_worker) is not None  # type: ignore[list-item]


def fits_together(step: Step, workers: Iterable[TentativeWorker]) -> bool:
    """Return whether all tasks of a gang fit in the free capacity of the workers."""
    tasks = [TaskId("", 0, 0, position) for position in range(step.count)]
    return _place_all(step, tasks, workers) is not None


def _rack_rank(step: Step, group: list[Worker]) -> tuple[bool, int]:
    free = sum(worker.room.cpu_millicores for worker in group)
    return group[0].listed.rack != step.near_rack, -free


def _place_all(
    step: Step, tasks: list[TaskId], workers: Iterable[Worker | TentativeWorker]
) -> dict[TaskId, str] | None:
    tentative = [TentativeWorker(worker.listed, worker.room) for worker in workers]
    tasks_per_worker: Counter[str] = Counter()
    placement: dict[TaskId, str] = {}
    for task in tasks:
        chosen = choose_worker(step, tentative, tasks_per_worker)  # type: ignore[arg-type]
        if chosen is None:
            return None
        chosen.room = chosen.room - step.charge  # type: ignore[misc]
        tasks_per_worker[chosen.worker_id] += 1
        placement[task] = chosen.worker_id
    return placement


def find_broken_gang_runs(pool_state: PoolState) -> list[Run]:
    """Return the runs of gangs that lost a task or whose runs have different run numbers."""
    gangs: defaultdict[tuple[str, int, int], list[Run]] = defaultdict(list)
    for run in pool_state.runs.values():
        job = pool_state.jobs.get(run.task.job_id)
        if job is not None and job.step_of(run.task).gang and job.needs_run(run.task):
            gangs[run.task.job_id, run.task.occurrence, run.task.step].append(run)
    broken = []
    for (job_id, _, number), runs in gangs.items():
        complete = len(runs) == pool_state.jobs[job_id].spec.steps[number].count
        if not complete or len({run.number for run in runs}) > 1:
            broken += [run for run in runs if run.phase is not RunPhase.STOPPING]
    return broken


def gang_tasks(job: Job, task: TaskId) -> list[TaskId]:
    """Return all tasks of the gang that a task belongs to."""
    return [task._replace(position=position) for position in range(job.step_of(task).count)]
