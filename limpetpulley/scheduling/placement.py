"""Where a task runs. No I/O.

Answers the load of a pool whose queues peak beyond what it holds, with tasks of very unequal size
among tasks that last: timed tasks fill the workers that they leave the least room on, so that wide
tasks find whole workers and what is not needed stands empty; tasks that last share few workers, so
that the other ones are quickly emptied.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import attrs
from sortedcontainers import SortedList

from ..batch import Amount, Step
from ..workers import Worker

__all__ = ["Places", "choose_worker", "fits_empty", "is_open", "is_plain", "most_room"]

#: part of a worker's room that must be free where one more task that lasts is packed
LASTING_ROOM_PART = 0.55


def is_open(worker: Worker, now: float, contact_seconds: float) -> bool:
    """Return whether anything may start on a worker.

    :param contact_seconds: age of its last answer beyond which it may be gone
    """
    return (
        worker.present
        and worker.reconciled
        and worker.rostered
        and not worker.silent
        and not worker.cordoned
        and not worker.listed.draining
        and now >= worker.avoid_until
        and now - worker.heard_at <= contact_seconds
    )


def fits_empty(step: Step, workers: Iterable[Worker]) -> bool:
    """Return whether a task of a step would fit on any worker that were empty."""
    return any(
        step.charge.fits(worker.listed.capacity) and _has_label(step, worker) for worker in workers
    )


def most_room(workers: Iterable[Worker]) -> Amount:
    """Return the most room that is free on any worker, in each dimension."""
    rooms = [worker.room for worker in workers] or [Amount()]
    return Amount(
        max(room.cpu_millicores for room in rooms),
        max(room.memory_mb for room in rooms),
        max(room.accelerators for room in rooms),
    )


def is_plain(step: Step) -> bool:
    """Return whether a step's tasks may run on any worker that has room for them."""
    wishes = step.lasting or step.gang or step.label or step.near_rack or step.max_per_worker
    return not wishes


class Places:
    """Workers that are open, by the processors that are free on them.

    A full pool has a long queue; most of its tasks are passed over by the most room on any worker.

    :param workers: workers that are open, one at least
    """

    def __init__(self, workers: list[Worker]):
        self.workers = workers
        self.free = {worker.worker_id: worker.room.cpu_millicores for worker in workers}
        self.order = SortedList((room, worker_id) for worker_id, room in self.free.items())
        self.by_id = {worker.worker_id: worker for worker in workers}
        self.most = most_room(workers)

    def tightest(self, step: Step) -> Worker | None:
        """Return the worker with the fewest free processors that has room for a task."""
        need = step.charge
        begin = self.order.bisect_left((need.cpu_millicores, ""))
        for _, worker_id in self.order.islice(begin):
            worker = self.by_id[worker_id]
            if need.fits(worker.room):
                return worker
        return None

    def note_start(self, worker: Worker) -> None:
        """Note that a worker's room has changed."""
        worker_id = worker.worker_id
        self.order.remove((self.free[worker_id], worker_id))
        self.free[worker_id] = worker.room.cpu_millicores
        self.order.add((self.free[worker_id], worker_id))
        # Of what is scarce less often, the most at the beginning is bound enough.
        self.most = attrs.evolve(self.most, cpu_millicores=self.order[-1][0])


def choose_worker(
    step: Step,
    workers: Iterable[Worker],
    beside: Counter[str],
    shunned: Iterable[str] = (),
) -> Worker | None:
    """Return the worker for one more task of a step, or None if there is none now.

    :param workers: workers that are open
    :param beside: running tasks of this step and occurrence by worker
    :param shunned: workers on which the task failed; taken only if no other has room
    """
    best: Worker | None = None
    best_rank: tuple = ()
    for worker in workers:
        room = worker.room
        if not step.charge.fits(room) or not _has_label(step, worker):
            continue
        if step.max_per_worker and beside[worker.worker_id] >= step.max_per_worker:
            continue
        near = not step.near_rack or worker.listed.rack == step.near_rack
        rank = (
            worker.worker_id not in shunned,
            near,
            *_tightness(step, worker, room),
        )
        if best is None or rank > best_rank:
            best, best_rank = worker, rank
    return best


def _tightness(step: Step, worker: Worker, room: Amount) -> tuple[bool, float]:
    """Return what tasks are placed by: the highest goes first.

    Tasks are packed onto few workers, so that the others can be emptied at once; those that last as
    long as their workers keep half of their room. Of a gang, each task is lost with any other, so
    that there is no harm in spreading it.
    """
    free = _free_share(room, worker.listed.capacity)
    spread = step.gang or (step.lasting and free <= LASTING_ROOM_PART)
    return (False, free) if spread else (True, -free)


def _has_label(step: Step, worker: Worker) -> bool:
    return not step.label or step.label in worker.listed.labels


def _free_share(room: Amount, capacity: Amount) -> float:
    return min(
        have / of
        for have, of in (
            (room.cpu_millicores, capacity.cpu_millicores),
            (room.memory_mb, capacity.memory_mb),
        )
        if of
    )
