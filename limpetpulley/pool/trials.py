"""Trials: the workers on which tasks that may crash their worker are started by themselves. No I/O.

Why they are started by themselves is told in :mod:`.crashes`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import TYPE_CHECKING

from ..batch import Step
from ..workers import Worker
from .crashes import is_suspect, suspect_runs

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["reserve_trial_worker", "trial_workers", "update_trials"]

#: fraction of the workers on which suspects may be started at a time
TRIAL_FRACTION = 0.25
#: longest time for which a worker takes no other starts before a suspect is started, in seconds
TRIAL_WAIT_SECONDS = 3.0


def update_trials(pool_state: PoolState, now: float) -> None:
    """End the trials on workers that are gone, and those that no suspect has made use of.

    :param now: local time
    """
    for worker_id, since in list(pool_state.trials.items()):
        worker = pool_state.workers.get(worker_id)
        is_used = worker is not None and any(
            run.task.job_id in pool_state.jobs
            and is_suspect(pool_state, pool_state.jobs[run.task.job_id], run.task)
            for run in suspect_runs(worker)
        )
        is_due = not pool_state.suspects or now - since > TRIAL_WAIT_SECONDS
        if worker is None or (is_due and not is_used):
            del pool_state.trials[worker_id]


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
    pool_state: PoolState, step: Step, workers: Iterable[Worker], now: float
) -> None:
    """Let one more worker take no other starts, so that a suspect can be started there soon.

    :param workers: available workers
    :param now: local time
    """
    suitable = [worker for worker in workers if step.charge.fits(worker.listed.capacity)]
    others = [worker for worker in suitable if worker.worker_id not in pool_state.trials]
    most = max(step.count if step.gang else 1, int(len(suitable) * TRIAL_FRACTION))
    if others and len(pool_state.trials) < most:
        chosen = max(others, key=lambda worker: worker.room.cpu_millicores)
        pool_state.trials[chosen.worker_id] = now
