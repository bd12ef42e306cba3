"""Trials: the workers on which tasks that may crash their worker are started by themselves. No I/O.

Why they are started by themselves is told in :mod:`.crashes`.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING

from ..batch import Amount, Job, Step, TaskId
from ..workers import RunPhase, Worker
from .crashes import is_suspect, suspect_runs
from .events import PoolEvent
from .gangs import TentativeWorker, fits_alone, fits_together

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["lasting_usage", "reserve_trial_worker", "trial_workers", "update_trials"]

#: fraction of the workers on which suspects may be started at a time
TRIAL_FRACTION = 0.25
#: longest time for which a worker takes no other starts before a suspect is started, in seconds
TRIAL_WAIT_SECONDS = 2.0
#: time after such a wait without a start of a suspect in which the worker takes all starts, in
#: seconds
TRIAL_PAUSE_SECONDS = 2.0


def update_trials(pool_state: PoolState, now: float) -> None:
    """End the trials on workers that are gone, and those that no suspect has made use of.

    :param now: local time
    """
    pool_state.trial_pauses = {
        worker_id: until for worker_id, until in pool_state.trial_pauses.items() if until > now
    }
    for worker_id, since in list(pool_state.trials.items()):
        worker = pool_state.workers.get(worker_id)
        is_used = worker is not None and any(
            run.task.job_id in pool_state.jobs
            and is_suspect(pool_state, pool_state.jobs[run.task.job_id], run.task)
            for run in suspect_runs(worker)
        )
        is_due = not pool_state.suspects or now - since > TRIAL_WAIT_SECONDS
        if worker is not None and (is_used or not is_due):
            continue
        del pool_state.trials[worker_id]
        if worker is not None and pool_state.suspects:
            pool_state.trial_pauses[worker_id] = now + TRIAL_PAUSE_SECONDS
            life = worker.listed.incarnation
            pool_state.on_event(PoolEvent("trial-unused", worker_id, life=life))


def trial_workers(pool_state: PoolState, workers: Iterable[Worker]) -> list[Worker]:
    """Return the workers on which a suspect may be started now, in order of preference.

    Those whose VMs have not crashed and least used ones come first, because a crash for another
    reason would be held against the suspect, and because a crash ends the other runs.

    :param workers: available workers
    """

    def preference(worker: Worker) -> tuple[float, int, str]:
        crashed_at = pool_state.crashed_vms.get(worker.listed.vm, -math.inf)
        return crashed_at, worker.used.cpu_millicores, worker.worker_id

    return sorted((worker for worker in workers if not suspect_runs(worker)), key=preference)


def reserve_trial_worker(
    pool_state: PoolState,
    job: Job,
    task: TaskId,
    workers: Iterable[Worker],
    lasting_per_worker: Counter[str],
    now: float,
) -> None:
    """Let one more worker take no starts but those of suspects, so that one can start there soon.

    A worker on which the suspect does not fit even without all tasks that end by themselves is left
    to others, because waiting for these would not help.

    :param workers: available workers
    :param lasting_per_worker: number of lasting tasks of the suspect's step and occurrence
    :param now: local time
    """
    step = job.step_of(task)
    suitable = _find_suitable_workers(pool_state, step, list(workers), lasting_per_worker)
    others = [
        worker
        for worker in suitable
        if worker.worker_id not in pool_state.trials
        and worker.worker_id not in pool_state.trial_pauses
    ]
    most = max(step.count if step.gang else 1, int(len(suitable) * TRIAL_FRACTION))
    if others and len(pool_state.trials) < most:
        chosen = max(others, key=lambda worker: worker.room.cpu_millicores)
        pool_state.trials[chosen.worker_id] = now
        life = chosen.listed.incarnation
        pool_state.on_event(PoolEvent("worker-reserved", chosen.worker_id, task, life=life))


def _find_suitable_workers(
    pool_state: PoolState, step: Step, workers: list[Worker], lasting_per_worker: Counter[str]
) -> list[Worker]:
    """Return the workers on which a task fits once the tasks there that end have ended."""
    tentative = [
        TentativeWorker(worker.listed, worker.listed.capacity - lasting_usage(pool_state, worker))
        for worker in workers
    ]
    if step.gang and not fits_together(step, tentative):
        return []
    return [
        worker
        for worker, emptied in zip(workers, tentative, strict=True)
        if fits_alone(step, emptied, lasting_per_worker)
    ]


def lasting_usage(pool_state: PoolState, worker: Worker) -> Amount:
    """Return the capacity that the lasting tasks on a worker reserve."""
    usage = Amount()
    for run in worker.runs.values():
        job = pool_state.jobs.get(run.task.job_id)
        if job is not None and job.step_of(run.task).lasting and run.phase is not RunPhase.STOPPING:
            usage = usage + run.charge
    return usage
