"""What happens to the workers of the model: calls, ends, leases and crashes, by the protocol."""

from __future__ import annotations

from collections.abc import Iterator

from ...workers import StartOutcome
from .proof_model_state import (
    FIRST,
    LEASE_TICKS,
    LONGEST_LEASE_TICKS,
    SECOND,
    UNRENEWED_TICKS,
    End,
    HoldAnswer,
    HoldCall,
    Outcome,
    Owner,
    Rules,
    Scope,
    StartCall,
    State,
    View,
    WorkerTruth,
    evolve,
)

__all__ = [
    "ABSENT",
    "REPLACEMENT",
    "Step",
    "change_owner",
    "change_worker",
    "end_runs",
    "execute_hold",
    "execute_start",
    "in_next_life",
    "pass_time",
    "reaches",
    "restart_workers",
    "stop_run",
]

#: the worker as which a crashed one returns under another identifier
REPLACEMENT = 2
#: a worker that has not been there yet
ABSENT = WorkerTruth(up=False, life=-1, returns=False)
#: longest time for the answer to a renewal, in ticks
MAX_RENEWAL_TICKS = 1

#: what happens, to whom: owner and worker, -1 for none; the next state, and how TWICE is broken
Step = tuple[tuple[str, int, int], State, Outcome | None]


def change_worker(state: State, number: int, worker: WorkerTruth) -> State:
    """Return the state with another state of a worker."""
    worker = _without_unneeded_lease(worker)
    workers = (*state.workers[:number], worker, *state.workers[number + 1 :])
    return evolve(state, workers=workers)


def _without_unneeded_lease(worker: WorkerTruth) -> WorkerTruth:
    """Return the worker without a lease that matters to nothing.

    A lease matters to no run and no end if an owner counts at least as much at each start.
    """
    if not worker.lease or worker.lease > LEASE_TICKS or worker.run:
        return worker
    if any(end.is_done and not end.has_lapsed for end in worker.ends):
        return worker
    return evolve(worker, lease=0)


def change_owner(state: State, number: int, owner: Owner) -> State:
    """Return the state with another state of an owner."""
    owners = (owner, state.owners[1]) if number == 0 else (state.owners[0], owner)
    return evolve(state, owners=owners)


def reaches(call: StartCall, worker: WorkerTruth, rules: Rules) -> bool:
    """Return whether a start may be carried out by a worker's present incarnation."""
    if not worker.up:
        return False
    if call.life == worker.life:
        return True
    if call.sent_life == worker.life:
        return rules.unnoticed_next_life
    return rules.late_in_next_life


def in_next_life(call: HoldCall, life: int) -> HoldCall:
    """Return what a hold for an earlier incarnation is to a later one, whose clock is younger."""
    return HoldCall(life, LONGEST_LEASE_TICKS if call.until else 0, 0)


def stop_run(state: State, number: int) -> State:
    """Return the state after a worker's run, if there is one, was stopped."""
    worker = state.workers[number]
    return change_worker(state, number, _end_run(worker, False)) if worker.run else state


def execute_hold(
    state: State, owner: int, number: int, call: HoldCall
) -> tuple[State, HoldAnswer, Outcome | None]:
    """Carry out a hold on a worker that is up; return its answer and how TWICE is broken."""
    worker = state.workers[number]
    if owner == FIRST and worker.is_fenced:
        return state, HoldAnswer(True), None
    violation = None
    noted = [end for end in worker.ends if end.position <= call.acknowledged]
    noted_done = [end for end in noted if end.is_done and not end.has_lapsed]
    if noted_done:
        state = evolve(state, is_noted=True)
        if any(end.is_followed for end in noted_done):
            violation = Outcome.NOTED_AFTER
    lease, ends = max(worker.lease, call.until), worker.ends[len(noted) :]
    worker = evolve(worker, is_fenced=owner == SECOND, lease=lease, ends=ends)
    listed = tuple((end.position, end.number, end.is_done) for end in ends)
    answer = HoldAnswer(False, worker.life, worker.run, max(worker.run, worker.highest), listed)
    return change_worker(state, number, worker), answer, violation


def execute_start(
    state: State, owner: int, number: int, call: StartCall
) -> tuple[State, StartOutcome, Outcome | None]:
    """Carry out a start on a worker that is up; return its answer and how TWICE is broken."""
    worker = state.workers[number]
    if owner == FIRST and worker.is_fenced:
        return state, StartOutcome.STALE_OWNER, None
    worker = evolve(worker, is_fenced=owner == SECOND)
    # The next incarnation's clock starts anew, so that it takes the requested time for later.
    until = call.until if call.life == worker.life else LONGEST_LEASE_TICKS
    if until <= 0:
        return change_worker(state, number, worker), StartOutcome.LATE, None
    worker = evolve(worker, lease=max(worker.lease, until))
    if worker.run or call.number <= worker.highest:
        return change_worker(state, number, worker), StartOutcome.OLD_RUN, None
    violation = _violation(state)
    worker = evolve(worker, run=call.number)
    return _mark_followed(change_worker(state, number, worker)), StartOutcome.STARTED, violation


def _violation(state: State) -> Outcome | None:
    """Return how a start that is carried out now breaks TWICE."""
    if any(worker.up and worker.run for worker in state.workers):
        return Outcome.TWO_RUNS
    return Outcome.AFTER_NOTED if state.is_noted else None


def _mark_followed(state: State) -> State:
    """Mark the ends `done` that no owner has taken note of: the task has started again."""
    workers = tuple(
        evolve(worker, ends=tuple(map(_followed, worker.ends))) if worker.ends else worker
        for worker in state.workers
    )
    return evolve(state, workers=workers)


def _followed(end: End) -> End:
    return evolve(end, is_followed=end.is_done and not end.has_lapsed)


def _end_run(worker: WorkerTruth, is_done: bool) -> WorkerTruth:
    position = worker.positions + 1
    return evolve(
        worker,
        run=0,
        highest=max(worker.highest, worker.run),
        positions=position,
        ends=(*worker.ends, End(position, worker.run, is_done)),
    )


def end_runs(state: State, scope: Scope) -> Iterator[Step]:
    """Let a run end by itself, done or failed."""
    for number, worker in enumerate(state.workers):
        if worker.run:
            event = ("run ends done", -1, number)
            yield event, change_worker(state, number, _end_run(worker, True)), None
            if scope.failures:
                event = ("run ends failed", -1, number)
                yield event, change_worker(state, number, _end_run(worker, False)), None


def restart_workers(state: State, scope: Scope) -> Iterator[Step]:
    """Let a worker crash, or one that has crashed return."""
    for number, worker in enumerate(state.workers):
        if worker.up and state.crashes:
            crashed = WorkerTruth(False, worker.life, returns=number != REPLACEMENT)
            changed = evolve(change_worker(state, number, crashed), crashes=state.crashes - 1)
            yield ("worker crashes", -1, number), changed, None
        elif worker.returns and not worker.up and not scope.replaces:
            returned = WorkerTruth(life=worker.life + 1)
            event = ("worker returns", -1, number)
            yield event, change_worker(state, number, returned), None
        elif worker.returns and not worker.up and state.workers[REPLACEMENT] == ABSENT:
            changed = change_worker(state, REPLACEMENT, WorkerTruth())
            event = ("worker returns under another identifier", -1, number)
            yield event, change_worker(changed, number, evolve(worker, returns=False)), None


def pass_time(state: State, rules: Rules) -> Iterator[Step]:
    """Let one tick pass."""
    workers = tuple(map(_age_worker, state.workers))
    first, second = state.owners
    owners = (_age_owner(first, has_successor=True), _age_owner(second, has_successor=False))
    if state.has_passed and rules.leases_end_with_claim and owners[0].is_powerless():
        # It starts nothing and extends no lease any more.
        owners = (owners[0].stopped(), owners[1])
    aged = evolve(state, workers=workers, owners=owners)
    if aged != state:
        yield ("a tick passes", -1, -1), aged, None


def _age_worker(worker: WorkerTruth) -> WorkerTruth:
    if not worker.lease:
        return worker
    if worker.lease > 1:
        return _without_unneeded_lease(evolve(worker, lease=worker.lease - 1))
    if worker.run:
        worker = _end_run(worker, False)
    ends = tuple(evolve(end, has_lapsed=True) if end.is_done else end for end in worker.ends)
    return evolve(worker, lease=0, ends=ends)


def _age_owner(owner: Owner, has_successor: bool) -> Owner:
    lapsed_at = -owner.found_now
    views = tuple(_age_view(view, lapsed_at) for view in owner.views)
    wait = owner.wait
    if wait > 0:
        wait = wait - 1 or lapsed_at
    owner = evolve(owner, views=views, wait=wait)
    if not owner.acts or not has_successor:
        return owner
    owner = evolve(owner, age=min(owner.age + 1, UNRENEWED_TICKS))
    if owner.renewal_age >= MAX_RENEWAL_TICKS:
        return owner.without_renewal()
    if owner.renewal_age >= 0:
        return evolve(owner, renewal_age=owner.renewal_age + 1)
    return owner


def _age_view(view: View, lapsed_at: int) -> View:
    changes: dict[str, object] = {}
    if view.lease > 0:
        changes["lease"] = view.lease - 1 or lapsed_at
    if view.earlier_lease:
        left = view.earlier_lease - 1
        changes["earlier_lease"] = left if left > LEASE_TICKS else 0
    if view.start is not None and view.start.until:
        changes["start"] = evolve(view.start, until=view.start.until - 1)
    return evolve(view, **changes) if changes else view
