"""Model of two owners of a pool that checks the proofs of :mod:`..proofs` exhaustively.

One task, two workers and the one as which a crashed worker may return; a claim that passes from the
first owner to the second at any time, unknown to the first. Every call may be carried out late,
never, or without an answer, so a cut of any pair needs no event of its own.

The second owner has no successor, so its claim counts as confirmed at any time.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterator

import attrs

from .proof_model_merging import is_mirrored, is_settled, merge_equal
from .proof_model_owners import (
    EARLIER_RUN,
    act,
    confirmed_subjects,
    hold_calls,
    note_hold,
    note_start,
    start_calls,
)
from .proof_model_state import (
    FIRST,
    LEASE_TICKS,
    LONGEST_LEASE_TICKS,
    NO_LIVES,
    NOW,
    REQUESTED_AT,
    SECOND,
    UNRENEWED_TICKS,
    Outcome,
    Owner,
    Rules,
    Scope,
    StartCall,
    State,
    View,
    WorkerTruth,
    change_view,
    evolve,
)
from .proof_model_workers import (
    ABSENT,
    Step,
    change_owner,
    end_runs,
    execute_hold,
    execute_start,
    in_next_life,
    pass_time,
    reaches,
    restart_workers,
    stop_run,
)

__all__ = ["Finding", "Rules", "Scope", "explore", "inherited_task", "running_task", "waiting_task"]


@attrs.frozen
class Finding:
    """Result of a search.

    :param states: number of states that were visited
    :param events: how often each kind of event was found to change a state
    :param violation: how rule TWICE is broken, None if it holds in all states
    :param trace: shortest sequence of events to the violation
    """

    states: int
    events: Counter[str]
    violation: Outcome | None = None
    trace: tuple[str, ...] = ()


def waiting_task(scope: Scope) -> State:
    """Return a state in which the first owner has accepted a task and started nothing."""
    view = View(0, answered=True)
    return _initial(scope, Owner((view, view, View()), starts_left=scope.starts), WorkerTruth())


def running_task(scope: Scope) -> State:
    """Return a state in which the first owner has started the task on a worker."""
    view = View(0, answered=True)
    running = evolve(view, run=EARLIER_RUN, is_settled=True, lease=LEASE_TICKS)
    first = Owner((running, view, View()), starts_left=scope.starts)
    return _initial(scope, first, WorkerTruth(run=EARLIER_RUN, lease=LEASE_TICKS))


def inherited_task(scope: Scope) -> State:
    """Return a state in which the first owner takes over a run of an earlier owner.

    It waits for that run's worker; the other one has answered.
    """
    first = Owner(
        (View(0), View(0, answered=True), View()),
        unreconciled=frozenset({0}),
        wait=UNRENEWED_TICKS,
        inherits=True,
        starts_left=scope.starts,
    )
    return _initial(scope, first, WorkerTruth(run=EARLIER_RUN, lease=LONGEST_LEASE_TICKS))


def _initial(scope: Scope, first: Owner, worker: WorkerTruth) -> State:
    second = Owner((View(), View(), View()), acts=False)
    workers = (worker, WorkerTruth(), ABSENT)
    return State(workers, (first, second), frozenset({0, 1}), scope.crashes)


def explore(initial: State, rules: Rules, scope: Scope, most_states: int = 5_000_000) -> Finding:
    """Visit all states that can be reached, breadth first, until rule TWICE is broken.

    :param most_states: number of states at which the search fails
    """
    # A test may have replaced the guard's methods since the last search.
    confirmed_subjects.cache_clear()
    origins: dict[State, tuple[State, tuple[str, int, int]] | None] = {initial: None}
    queue, events = deque([initial]), Counter()
    while queue:
        state = queue.popleft()
        if is_settled(state):
            continue
        mirrored = is_mirrored(state)
        for event, following, violation in successors(state, rules, scope):
            if mirrored and event[2] == 1:
                continue
            events[event[0]] += 1
            if violation is not None:
                trace = (*_trace(origins, state), _describe(event), violation.value)
                return Finding(len(origins), events, violation, trace)
            following = merge_equal(following, rules)
            if following not in origins:
                origins[following] = state, event
                queue.append(following)
        assert len(origins) <= most_states, "the search was not exhaustive"
    return Finding(len(origins), events)


def _trace(
    origins: dict[State, tuple[State, tuple[str, int, int]] | None], state: State
) -> Iterator[str]:
    events = []
    while (origin := origins[state]) is not None:
        state, event = origin
        events.append(_describe(event))
    return reversed(events)


def _describe(event: tuple[str, int, int]) -> str:
    text, owner, worker = event
    who = ["first owner"] if owner == FIRST else ["second owner"] if owner == SECOND else []
    where = [f"worker {worker}"] if worker >= 0 else []
    return ", ".join([text, *who, *where])


def successors(state: State, rules: Rules, scope: Scope) -> Iterator[Step]:
    """Yield each event that may happen in a state, with what follows."""
    yield from _confirm_or_pass(state, rules, scope)
    for number, owner in enumerate(state.owners):
        if owner.acts:
            for event, changed in act(state, number, rules):
                yield event, change_owner(state, number, changed), None
            yield from _write(state, number, owner)
            yield from _send_start(state, number, rules, scope)
            yield from _hold(state, number, rules, scope)
        for worker, view in enumerate(owner.views):
            if view.start is not None:
                yield from _start(state, number, worker, view.start, rules)
    yield from _hear_late(state, rules)
    yield from end_runs(state, scope)
    yield from restart_workers(state, scope)
    yield from pass_time(state, rules)


def _confirm_or_pass(state: State, rules: Rules, scope: Scope) -> Iterator[Step]:
    first = state.owners[FIRST]
    if first.acts and first.renewal_age >= 0:
        age = min(first.age, first.renewal_age)
        confirmed = evolve(first.confirmed(REQUESTED_AT).without_renewal(), age=age)
        yield ("renewal answered", FIRST, -1), change_owner(state, FIRST, confirmed), None
    if state.has_passed:
        return
    if first.acts and first.renewal_age < 0 and (first.age or first.awaits_confirmation()):
        confirmed = evolve(first.confirmed(NOW), age=0)
        yield ("claim confirmed", FIRST, -1), change_owner(state, FIRST, confirmed), None
        if scope.late_renewals:
            requested = evolve(first, renewal_age=0)
            yield ("renewal handled", FIRST, -1), change_owner(state, FIRST, requested), None
    if not scope.passes:
        return
    unreconciled = state.roster if rules.waits_for_workers else frozenset[int]()
    views = tuple(View(0 if number in state.roster else -1) for number in range(len(state.workers)))
    second = Owner(
        views,
        is_done=state.is_stored,
        rostered=state.roster,
        unreconciled=frozenset() if state.is_stored else unreconciled,
        wait=0 if state.is_stored or not unreconciled else rules.wait_ticks,
        inherits=True,
        starts_left=scope.second_starts,
        lives=tuple(worker.life for worker in state.workers) if unreconciled else NO_LIVES,
    )
    passed = evolve(change_owner(state, SECOND, second), has_passed=True)
    yield ("claim passes", SECOND, -1), passed, None


def _write(state: State, number: int, owner: Owner) -> Iterator[Step]:
    """Write to the store, which also confirms the claim; only with a valid claim."""
    if state.has_passed != (number == SECOND):
        return
    confirmed = evolve(owner.confirmed(NOW), age=0) if number == FIRST else owner
    if owner.is_unstored:
        stored = evolve(state, is_stored=True)
        if not state.is_stored:
            yield ("progress stored, answer lost", number, -1), stored, None
        known = evolve(confirmed, is_unstored=False)
        yield ("progress stored", number, -1), change_owner(stored, number, known), None
    known_workers = {worker for worker, view in enumerate(owner.views) if view.life >= 0}
    if not known_workers <= owner.rostered:
        stored = evolve(state, roster=state.roster | known_workers)
        known = evolve(confirmed, rostered=stored.roster)
        yield ("roster stored", number, -1), change_owner(stored, number, known), None


def _send_start(state: State, owner_number: int, rules: Rules, scope: Scope) -> Iterator[Step]:
    """Send a start, which is carried out at once, at any later time, or never."""
    for number, call, started in start_calls(state, owner_number, rules):
        if scope.starts_in_next_life and owner_number == FIRST and not state.has_passed:
            yield from _start_in_next_life(state, number, call, started)
        sent = change_owner(state, owner_number, started)
        if scope.late_starts:
            yield ("start sent", owner_number, number), sent, None
            continue
        yield from _start(sent, owner_number, number, call, rules)
        lost = change_view(started, number, evolve(started.views[number], start=None))
        yield ("start lost", owner_number, number), change_owner(state, owner_number, lost), None


def _start_in_next_life(
    state: State, number: int, call: StartCall, started: Owner
) -> Iterator[Step]:
    """Let an incarnation after the one that is meant carry out a start, and a stop; no answers."""
    if not state.workers[number].up or call.life >= state.workers[number].life:
        return
    sent = change_owner(
        state, FIRST, change_view(started, number, evolve(started.views[number], start=None))
    )
    changed, _, violation = execute_start(sent, FIRST, number, call)
    event = ("start carried out by the next incarnation, stopped", FIRST, number)
    yield event, stop_run(changed, number), violation


def _start(
    state: State, owner_number: int, number: int, call: StartCall, rules: Rules
) -> Iterator[Step]:
    """Carry out a start that was sent; its answer may be lost."""
    if not reaches(call, state.workers[number], rules):
        return
    owner = state.owners[owner_number]
    called = change_view(owner, number, evolve(owner.views[number], start=None))
    changed, outcome, violation = execute_start(
        change_owner(state, owner_number, called), owner_number, number, call
    )
    yield ("start carried out, answer lost", owner_number, number), changed, violation
    if owner.acts:
        answered = note_start(called, number, call, outcome, rules)
        event = (f"start answered {outcome.name.lower()}", owner_number, number)
        yield event, change_owner(changed, owner_number, answered), violation


def _hold(state: State, owner_number: int, rules: Rules, scope: Scope) -> Iterator[Step]:
    """Send a hold that is carried out at once; its answer may be lost.

    One that is carried out late extends no lease beyond what it extends at once, and is rejected
    as any other once a later owner has called the worker. An answer that tells the first owner
    something new may also arrive late, after calls of the second owner.
    """
    owner = state.owners[owner_number]
    for number, call, assumed in hold_calls(owner, owner_number, rules):
        worker = state.workers[number]
        is_for_earlier = scope.holds_in_next_life and call.life < worker.life
        if not worker.up or not (call.life == worker.life or is_for_earlier):
            continue
        call = in_next_life(call, worker.life) if is_for_earlier else call
        changed, answer, violation = execute_hold(state, owner_number, number, call)
        lost = change_owner(changed, owner_number, assumed)
        yield ("hold carried out, answer lost", owner_number, number), lost, violation
        answered = note_hold(assumed, number, answer, rules)
        event = ("hold answered", owner_number, number)
        yield event, change_owner(changed, owner_number, answered), violation
        view = assumed.views[number]
        if scope.late_answers and owner_number == FIRST and not view.answer and answered != assumed:
            delayed = change_view(assumed, number, evolve(view, answer=answer))
            event = ("hold carried out, answer delayed", owner_number, number)
            yield event, change_owner(changed, owner_number, delayed), violation


def _hear_late(state: State, rules: Rules) -> Iterator[Step]:
    """Let a late answer to a hold arrive, or be lost."""
    first = state.owners[FIRST]
    for number, view in enumerate(first.views):
        if view.answer is not None:
            called = change_view(first, number, evolve(view, answer=None))
            answered = note_hold(called, number, view.answer, rules)
            yield ("late answer", FIRST, number), change_owner(state, FIRST, answered), None
            yield ("answer lost", FIRST, number), change_owner(state, FIRST, called), None
