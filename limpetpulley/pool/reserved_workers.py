"""Workers that unfinished jobs need for more than room, so that their VMs are not moved. No I/O.

VMs are moved between pools by their number. On the workers that stay, a step may lack a label,
enough workers for its limit of tasks on each, or room for all tasks of a gang at once.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from itertools import islice
from typing import TYPE_CHECKING

import attrs

from ..batch import Amount
from ..workers import Worker
from .placement_needs import PlacementNeed
from .trials import lasting_usage

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["Reservation", "reserve_workers"]

#: most different needs for which a report reserves workers, of jobs that wait and of all
MAX_NEEDS = 32


@attrs.frozen
class Reservation:
    """Workers that are to stay in the pool.

    :param workers: their identifiers
    :param least_workers: one less than the workers that the pool needs so that each gang that
        waits fits, 0 if they fit
    """

    workers: frozenset[str] = frozenset()
    least_workers: int = 0


@attrs.frozen
class _Choice:
    """Workers for the tasks of a step.

    :param missing: number of tasks that fit on none of them
    """

    workers: list[Worker]
    missing: int

    @property
    def is_complete(self) -> bool:
        return self.missing <= 0


def reserve_workers(pool_state: PoolState, now: float) -> Reservation:
    """Return the workers that unfinished jobs need for more than room.

    All tasks of a step must fit on workers without other tasks that end. A step of which nothing
    runs must also fit beside the tasks that run now, if workers with enough room exist at all:
    those that stay may be busy for long.

    :param now: local time
    """
    needs = pool_state.placement_needs
    waiting = set(islice(needs.submitted_needs(now), MAX_NEEDS)) | _waiting_needs(pool_state)
    everything = waiting | set(islice(needs.counts, MAX_NEEDS))
    if not everything:
        return Reservation()
    workers = [
        worker
        for worker in pool_state.workers.values()
        if worker.present and not worker.ended and not worker.listed.draining
    ]
    # Those that leave anyway, or may not be there any more, only if the others do not suffice.
    workers.sort(
        key=lambda worker: (worker.cordoned or worker.silent, -len(worker.runs), worker.worker_id)
    )
    kept: set[str] = set()
    for need in sorted(waiting, key=_order):
        choice = _choose(need, need.tasks if need.gang else 1, workers, kept, _free_room)
        if choice.is_complete:
            kept.update(worker.worker_id for worker in choice.workers)
    missing_workers = 0

    def room_in_time(worker: Worker) -> Amount:
        return worker.listed.capacity - lasting_usage(pool_state, worker)

    for need in sorted(everything, key=_order):
        room_of = _capacity if need.lasting else room_in_time
        choice = _choose(need, need.tasks, workers, kept, room_of)
        kept.update(worker.worker_id for worker in choice.workers)
        if need in waiting and need.gang and not need.label and not choice.is_complete:
            most = max((need.most_tasks(each, _capacity(each)) for each in workers), default=0)
            missing_workers = max(missing_workers, math.ceil(choice.missing / most) if most else 0)
    least_workers = len(workers) + missing_workers - 1 if missing_workers else 0
    return Reservation(frozenset(kept), least_workers)


def _waiting_needs(pool_state: PoolState) -> set[PlacementNeed]:
    """Return the needs of the first ready steps of jobs of which nothing runs."""
    found: set[PlacementNeed] = set()
    by_job = pool_state.placement_needs.by_job
    for job_id, tasks in pool_state.ready.items():
        if job_id in by_job and job_id not in pool_state.runs_by_job:
            need = by_job[job_id].get(tasks[0].step)
            if need is not None:
                found.add(need)
                if len(found) >= MAX_NEEDS:
                    break
    return found


def _choose(
    need: PlacementNeed,
    tasks: int,
    workers: list[Worker],
    kept: set[str],
    room_of: Callable[[Worker], Amount],
) -> _Choice:
    """Return workers for a number of tasks, those that are kept anyway first.

    :param workers: workers in order of preference
    """
    ordered = [worker for worker in workers if worker.worker_id in kept]
    ordered += [worker for worker in workers if worker.worker_id not in kept]
    if need.prefers_rack:
        racks: defaultdict[str, list[Worker]] = defaultdict(list)
        for worker in ordered:
            racks[worker.listed.rack].append(worker)
        choices = [_fill(need, tasks, rack, room_of) for rack in racks.values()]
        complete = [choice for choice in choices if choice.is_complete]
        if complete:
            return min(complete, key=lambda choice: _rack_cost(need, choice, kept))
    return _fill(need, tasks, ordered, room_of)


def _fill(
    need: PlacementNeed, tasks: int, workers: Iterable[Worker], room_of: Callable[[Worker], Amount]
) -> _Choice:
    """Return the first workers on which the tasks fit, or all on which any of them does."""
    chosen: list[Worker] = []
    for worker in workers:
        if tasks <= 0:
            break
        most = need.most_tasks(worker, room_of(worker))
        if most:
            chosen.append(worker)
            tasks -= most
    return _Choice(chosen, tasks)


def _rack_cost(need: PlacementNeed, choice: _Choice, kept: set[str]) -> tuple[bool, int, int, str]:
    rack = choice.workers[0].listed.rack
    leaving = sum(worker.cordoned for worker in choice.workers)
    more = sum(worker.worker_id not in kept for worker in choice.workers)
    return rack != need.near_rack and bool(need.near_rack), leaving, more, rack


def _order(need: PlacementNeed) -> tuple:
    """Return a sort key that does not depend on the order in which jobs have come."""
    return (not need.label, *attrs.astuple(need))


def _free_room(worker: Worker) -> Amount:
    return worker.room


def _capacity(worker: Worker) -> Amount:
    return worker.listed.capacity
