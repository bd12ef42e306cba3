"""Placement of tasks on workers. No I/O.

Queues peak beyond the capacity of their pool, and tasks of very unequal size run beside lasting
tasks. Finite tasks are placed by best fit, so that wide tasks find empty workers and unneeded
workers stay empty. Lasting tasks share few workers, so that the others can be drained quickly.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import attrs
from sortedcontainers import SortedList

from ..batch import Amount, Step
from ..workers import Worker

__all__ = [
    "WorkerIndex",
    "choose_worker",
    "fits_empty_worker",
    "is_available",
    "is_unconstrained",
    "max_free_capacity",
    "unavailability",
]

#: fraction of a worker that must be free for one more lasting task to be packed there
LASTING_FREE_FRACTION = 0.55


def is_available(worker: Worker, now: float, max_reply_age_seconds: float) -> bool:
    """Return whether tasks may start on a worker.

    :param max_reply_age_seconds: age of its last reply beyond which it may be gone
    """
    return not unavailability(worker, now, max_reply_age_seconds)


def unavailability(worker: Worker, now: float, max_reply_age_seconds: float) -> str:
    """Return why no tasks may start on a worker, empty if they may.

    :param max_reply_age_seconds: age of its last reply beyond which it may be gone
    """
    if not worker.present:
        return "unlisted"
    if worker.silent or now - worker.last_reply_at > max_reply_age_seconds:
        return "silent"
    if worker.cordoned or worker.listed.draining:
        return "draining"
    if not worker.reconciled or not worker.in_roster or worker.suspected is not None:
        return "joining"
    return "avoided" if now < worker.avoid_until else ""


def fits_empty_worker(step: Step, workers: Iterable[Worker]) -> bool:
    """Return whether a task of a step would fit on any of the workers if it were empty."""
    return any(
        step.charge.fits(worker.listed.capacity) and _has_label(step, worker) for worker in workers
    )


def max_free_capacity(workers: Iterable[Worker]) -> Amount:
    """Return the largest free capacity of any worker in each dimension."""
    rooms = [worker.room for worker in workers] or [Amount()]
    return Amount(
        max(room.cpu_millicores for room in rooms),
        max(room.memory_mb for room in rooms),
        max(room.accelerators for room in rooms),
    )


def is_unconstrained(step: Step) -> bool:
    """Return whether a step's tasks may run on any worker with enough free capacity."""
    constraints = step.lasting or step.gang or step.label or step.near_rack or step.max_per_worker
    return not constraints


class WorkerIndex:
    """Index of the available workers by free processors.

    A full pool has a long queue; most of its tasks are skipped by a comparison with the largest
    free capacity of any worker.

    :param workers: available workers, at least one
    """

    def __init__(self, workers: list[Worker]):
        self.workers = workers
        self.free_cores = {worker.worker_id: worker.room.cpu_millicores for worker in workers}
        self.by_free_cores = SortedList(
            (room, worker_id) for worker_id, room in self.free_cores.items()
        )
        self.by_id = {worker.worker_id: worker for worker in workers}
        self.max_free = max_free_capacity(workers)

    def best_fit(self, step: Step) -> Worker | None:
        """Return the worker with the fewest free processors that a task of the step fits on."""
        need = step.charge
        start = self.by_free_cores.bisect_left((need.cpu_millicores, ""))
        for _, worker_id in self.by_free_cores.islice(start):
            worker = self.by_id[worker_id]
            if need.fits(worker.room):
                return worker
        return None

    def update_worker(self, worker: Worker) -> None:
        """Update the index after a start on a worker."""
        worker_id = worker.worker_id
        self.by_free_cores.remove((self.free_cores[worker_id], worker_id))
        self.free_cores[worker_id] = worker.room.cpu_millicores
        self.by_free_cores.add((self.free_cores[worker_id], worker_id))
        # The other dimensions are scarce less often; their initial maximum is a sufficient bound.
        self.max_free = attrs.evolve(self.max_free, cpu_millicores=self.by_free_cores[-1][0])


def choose_worker(
    step: Step,
    workers: Iterable[Worker],
    tasks_per_worker: Counter[str],
    avoided: Iterable[str] = (),
) -> Worker | None:
    """Return the worker for one more task of a step, or None if there is none now.

    :param workers: available workers
    :param tasks_per_worker: number of running tasks of this step and occurrence by worker
    :param avoided: workers on which the task failed; used only if it fits on no other
    """
    best: Worker | None = None
    best_rank: tuple = ()
    for worker in workers:
        room = worker.room
        if not step.charge.fits(room) or not _has_label(step, worker):
            continue
        if step.max_per_worker and tasks_per_worker[worker.worker_id] >= step.max_per_worker:
            continue
        near = not step.near_rack or worker.listed.rack == step.near_rack
        rank = (
            worker.worker_id not in avoided,
            near,
            *_packing_preference(step, worker, room),
        )
        if best is None or rank > best_rank:
            best, best_rank = worker, rank
    return best


def _packing_preference(step: Step, worker: Worker, room: Amount) -> tuple[bool, float]:
    """Return the packing preference of a worker; the highest is chosen.

    Tasks are packed onto few workers, so that the others can be drained at once. Lasting tasks are
    packed only while the worker keeps about half of its capacity free. A gang loses all its tasks
    with any one of them, so spreading it does no harm.
    """
    free = _free_fraction(room, worker.listed.capacity)
    spread = step.gang or (step.lasting and free <= LASTING_FREE_FRACTION)
    return (False, free) if spread else (True, -free)


def _has_label(step: Step, worker: Worker) -> bool:
    return not step.label or step.label in worker.listed.labels


def _free_fraction(room: Amount, capacity: Amount) -> float:
    return min(
        free / total
        for free, total in (
            (room.cpu_millicores, capacity.cpu_millicores),
            (room.memory_mb, capacity.memory_mb),
        )
        if total
    )
