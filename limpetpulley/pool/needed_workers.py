"""Workers that lasting tasks with a label cannot do without. No I/O.

VMs are moved by their number, whatever their labels. A lasting task must be restarted however it
ends, so the pool keeps enough workers with its label.
"""

from __future__ import annotations

from collections.abc import Container
from typing import TYPE_CHECKING

from ..batch import Step
from ..scheduling.placement import fits_empty_worker
from ..workers import Worker

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["needed_workers"]


def needed_workers(pool_state: PoolState, leaving: Container[str]) -> set[str]:
    """Return those of the leaving workers that have to stay.

    Those with most lasting tasks of a step are kept for it, which then need not be moved.

    :param leaving: identifiers of the workers that are to be drained
    """
    kept: set[str] = set()
    for job in pool_state.jobs.values():
        if not job.spec.lasting or job.state.is_final:
            continue
        for number, step in enumerate(job.spec.steps):
            if not (step.lasting and step.label):
                continue
            fitting = [
                worker
                for worker in pool_state.workers.values()
                if _may_stay(worker) and fits_empty_worker(step, [worker])
            ]
            staying = [
                worker
                for worker in fitting
                if worker.worker_id not in leaving or worker.worker_id in kept
            ]
            missing = step.count - sum(_most_tasks(step, worker) for worker in staying)
            others = [worker for worker in fitting if worker not in staying]
            own = (job.key.job_id, number)
            others.sort(key=lambda worker: (-_count_runs(worker, *own), worker.worker_id))
            for worker in others:
                if missing <= 0:
                    break
                kept.add(worker.worker_id)
                missing -= _most_tasks(step, worker)
    return kept


def _may_stay(worker: Worker) -> bool:
    """Return whether a worker is there and not on its way out already."""
    return not worker.ended and not worker.is_going


def _most_tasks(step: Step, worker: Worker) -> int:
    """Return how many tasks of a step fit on an empty worker."""
    most, used = 0, step.charge
    while used.fits(worker.listed.capacity) and most < (step.max_per_worker or step.count):
        most, used = most + 1, used + step.charge
    return most


def _count_runs(worker: Worker, job_id: str, number: int) -> int:
    return sum((run.task.job_id, run.task.step) == (job_id, number) for run in worker.runs.values())
