"""States of the model that need not be told apart, and those from which nothing can go wrong."""

from __future__ import annotations

from .proof_model_state import (
    FIRST,
    SECOND,
    Owner,
    Rules,
    State,
    View,
    WorkerTruth,
    change_view,
    evolve,
)
from .proof_model_workers import change_worker

__all__ = ["is_mirrored", "is_settled", "merge_equal"]


def merge_equal(state: State, rules: Rules) -> State:
    """Return the state without what tells it apart from another one that goes on alike."""
    first, second = map(_simplify, state.owners)
    for number, worker in enumerate(state.workers):
        views = (first.views[number], second.views[number])
        if _is_ineffective(views[FIRST], worker, first, rules):
            views = (evolve(views[FIRST], start=None), views[SECOND])
        merged = worker
        if worker.ends or worker.positions:
            merged, views = _count_ends_anew(worker, views)
        if worker.highest:
            highest = _relevant_highest(worker, views)
            merged = merged if highest == worker.highest else evolve(merged, highest=highest)
        if merged is not worker:
            state = change_worker(state, number, merged)
        if views[FIRST] is not first.views[number]:
            first = change_view(first, number, views[FIRST])
        if views[SECOND] is not second.views[number]:
            second = change_view(second, number, views[SECOND])
    if first is state.owners[FIRST] and second is state.owners[SECOND]:
        return state
    return evolve(state, owners=(first, second))


def _simplify(owner: Owner) -> Owner:
    is_through = owner.is_done or not owner.starts_left
    if not is_through or not (owner.has_run() or owner.awaits_confirmation() or owner.unreconciled):
        return owner
    return owner.simplified()


def _relevant_highest(worker: WorkerTruth, views: tuple[View, View]) -> int:
    """Return the highest number that a worker rejects, among those that may still matter."""
    numbers = [view.run for view in views]
    numbers += [view.start.number for view in views if view.start is not None]
    return max((run for run in numbers if run <= worker.highest), default=0)


def _is_ineffective(view: View, worker: WorkerTruth, first: Owner, rules: Rules) -> bool:
    """Return whether a start of the first owner has no effect any more, and it hears no answer."""
    if view.start is None or first.acts or rules.late_in_next_life or rules.unnoticed_next_life:
        return False
    is_over = worker.life != view.start.life or not worker.up
    return is_over or worker.is_fenced or not view.start.until


def _count_ends_anew(
    worker: WorkerTruth, views: tuple[View, View]
) -> tuple[WorkerTruth, tuple[View, View]]:
    """Leave out the ends that are acknowledged, or that tell no owner anything."""
    if any(view.answer is not None for view in views):
        return worker, views
    runs = {view.run for view in views}
    kept = [end for end in worker.ends if end.is_done or end.number in runs]
    shift = kept[0].position - 1 if kept else worker.positions
    if not shift:
        return worker, views
    ends = tuple(
        evolve(end, position=end.position - shift) for end in worker.ends if end.position > shift
    )
    first, second = (
        (
            evolve(view, processed=max(0, view.processed - shift))
            if view.life == worker.life and view.processed
            else view
        )
        for view in views
    )
    return evolve(worker, positions=worker.positions - shift, ends=ends), (first, second)


def is_settled(state: State) -> bool:
    """Return whether no start can follow, nor an acknowledgement break rule TWICE."""
    first, second = state.owners
    if not state.has_passed and not state.is_stored:
        return False
    may_start = (
        first.acts and not first.is_done and first.starts_left,
        second.acts and not second.is_done and second.starts_left,
    )
    is_under_way = any(view.start is not None for owner in state.owners for view in owner.views)
    is_followed = any(end.is_followed for worker in state.workers for end in worker.ends)
    return not (any(may_start) or is_under_way or is_followed)


def is_mirrored(state: State) -> bool:
    """Return whether the first two workers are alike, so that what happens to one is enough."""
    first, second = state.owners
    workers = {0, 1}
    return (
        state.workers[0] == state.workers[1]
        and first.views[0] == first.views[1]
        and second.views[0] == second.views[1]
        and all(
            not len(known & workers) % 2
            for known in (state.roster, first.unreconciled, second.unreconciled)
        )
    )
