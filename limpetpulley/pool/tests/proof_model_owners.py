"""What the owners of the model conclude and decide, on the real proofs and the real claim guard."""

from __future__ import annotations

import functools
import math
from collections.abc import Iterator

from ...workers import StartOutcome
from ..proofs import INHERITED_RUNS, ClaimGuard, Proof, Subject
from .proof_model_state import (
    CONFIRMED_AT,
    LEASE_TICKS,
    LONGEST_LEASE_TICKS,
    NO_LIVES,
    NOW,
    SECOND,
    TASK,
    UNRENEWED_TICKS,
    HoldAnswer,
    HoldCall,
    Owner,
    Rules,
    StartCall,
    State,
    View,
    change_view,
    evolve,
)

__all__ = ["act", "confirmed_subjects", "hold_calls", "note_hold", "note_start", "start_calls"]

#: number of the run that is there at first, and one above the owners' highest numbers
EARLIER_RUN, HIGHEST_RUNS = 1, (10, 20)


def act(
    state: State, owner_number: int, rules: Rules
) -> Iterator[tuple[tuple[str, int, int], Owner]]:
    """Yield what an owner may find out beside the answers of workers, with what it knows then."""
    owner = state.owners[owner_number]
    known_time = _known_time(owner, owner_number, rules)
    if owner.unreconciled and owner.wait <= 0 and -owner.wait <= known_time:
        changed = owner
        for worker in sorted(owner.unreconciled):
            changed = _reconcile(changed, worker, Proof.LEASE_LAPSED, rules)
        yield ("workers given up", owner_number, -1), changed
    for number, view in enumerate(owner.views):
        worker = state.workers[number]
        if worker.up and worker.life > view.life:
            listed = _note_life(owner, number, worker.life, rules)
            yield ("incarnation listed", owner_number, number), listed
        if view.life < 0 or view.has_ended:
            continue
        known_life = view.life
        if number in owner.unreconciled and rules.lists_after_takeover:
            known_life = max(view.life, owner.lives[number])
        if worker.life > known_life or not worker.up:
            ended = _note_vm_ended(owner, number, rules)
            yield ("end of VM listed", owner_number, number), ended
        if view.run and view.lease <= 0 and -view.lease <= known_time:
            lapsed = _drop(owner, number, Proof.LEASE_LAPSED, rules)
            yield ("lease taken as lapsed", owner_number, number), lapsed


def hold_calls(
    owner: Owner, owner_number: int, rules: Rules
) -> Iterator[tuple[int, HoldCall, Owner]]:
    """Yield the holds that an owner may send: worker, call, and what it assumes from then on."""
    may_lease = _allowed_lease(owner, owner_number, rules)
    for number, view in enumerate(owner.views):
        if view.life < 0 or view.has_ended:
            continue
        until = max(0, may_lease) if view.answered else 0
        may_acknowledge = not (owner.is_unstored and rules.acknowledges_after_store)
        acknowledged = view.processed if may_acknowledge else 0
        call = HoldCall(view.life, until, acknowledged)
        yield number, call, _extend(owner, number, until)


def start_calls(
    state: State, owner_number: int, rules: Rules
) -> Iterator[tuple[int, StartCall, Owner]]:
    """Yield the starts that an owner may send: worker, call, and what it assumes from then on."""
    owner = state.owners[owner_number]
    may_lease = _allowed_lease(owner, owner_number, rules)
    if may_lease <= 0 or owner.is_done or owner.has_run() or owner.unreconciled:
        return
    if not owner.starts_left:
        return
    confirmed = confirmed_subjects(_pending(owner), owner_number == SECOND)
    if TASK not in confirmed:
        return
    if rules.inherited_runs_confirmed and INHERITED_RUNS not in confirmed:
        return
    for number, view in enumerate(owner.views):
        if not view.answered or view.has_ended:
            continue
        if rules.incarnations_confirmed and str(number) not in confirmed:
            continue
        if rules.starts_on_roster_only and number not in owner.rostered:
            continue
        run = HIGHEST_RUNS[owner_number] - owner.starts_left
        call = StartCall(run, may_lease, view.life, state.workers[number].life)
        lease = max(LEASE_TICKS, view.earlier_lease)
        started = evolve(view, lease=lease, run=run, is_settled=False, start=call)
        changed = evolve(change_view(owner, number, started), starts_left=owner.starts_left - 1)
        yield number, call, changed


def _allowed_lease(owner: Owner, owner_number: int, rules: Rules) -> int:
    """Return the lease that an owner may request, in ticks."""
    if owner_number == SECOND or not rules.leases_end_with_claim:
        return LEASE_TICKS
    return min(LEASE_TICKS, UNRENEWED_TICKS - owner.age)


def _extend(owner: Owner, number: int, until: int) -> Owner:
    """Return the owner once a call may have extended a lease; only that on a run matters."""
    view = owner.views[number]
    if not view.run or until <= max(0, view.lease):
        return owner
    return change_view(owner, number, evolve(view, lease=until))


def _known_time(owner: Owner, owner_number: int, rules: Rules) -> float:
    if not rules.leases_judged_as_confirmed:
        return NOW
    return ClaimGuard(math.inf if owner_number == SECOND else CONFIRMED_AT).known_time(NOW)


def _pending(owner: Owner) -> tuple[tuple[Subject, int], ...]:
    return tuple(owner.pending().items())


@functools.lru_cache
def confirmed_subjects(
    pending: tuple[tuple[Subject, int], ...], is_last: bool
) -> frozenset[Subject]:
    """Return the subjects that may be relied on.

    :param pending: what needs a confirmation, and when it was found
    :param is_last: whether the owner has no successor, so that its claim is always confirmed
    """
    guard = ClaimGuard(math.inf if is_last else CONFIRMED_AT, dict(pending))
    return frozenset(
        subject for subject in (TASK, INHERITED_RUNS, "0", "1", "2") if guard.is_confirmed(subject)
    )


def _require(owner: Owner, subject: Subject) -> Owner:
    """Rely on a subject only after the next confirmation of the claim."""
    guard = ClaimGuard(CONFIRMED_AT, owner.pending())
    guard.require(subject)
    guard.update(owner.found_now)
    return owner.redated(lambda subject, at: int(guard.pending.get(subject, 0)))


def _drop(owner: Owner, number: int, proof: Proof, rules: Rules) -> Owner:
    """Remove a run that is known to be over by a proof."""
    view = evolve(owner.views[number], run=0, is_settled=False, lease=0)
    owner = change_view(owner, number, view)
    return owner if rules.counts_at_once(proof) else _require(owner, TASK)


def _reconcile(owner: Owner, number: int, proof: Proof | None, rules: Rules) -> Owner:
    """Note that no run of an earlier owner is unseen on a worker."""
    if number not in owner.unreconciled:
        return owner
    unreconciled = owner.unreconciled - {number}
    owner = evolve(owner, unreconciled=unreconciled)
    if not unreconciled:
        owner = evolve(owner, wait=0, lives=NO_LIVES)
    if proof is None or not rules.counts_at_once(proof):
        return _require(owner, INHERITED_RUNS)
    return owner


def _note_life(owner: Owner, number: int, life: int, rules: Rules) -> Owner:
    """Take note of a new incarnation of a worker."""
    if owner.views[number].run:
        owner = _drop(owner, number, Proof.NEXT_INCARNATION, rules)
    view = owner.views[number]
    known = View(life, answer=view.answer, start=view.start)
    if view.answered and rules.earlier_calls_as_longest:
        known = evolve(known, earlier_lease=LONGEST_LEASE_TICKS)
    owner = change_view(owner, number, known)
    return _require(owner, str(number))


def _note_vm_ended(owner: Owner, number: int, rules: Rules) -> Owner:
    """Take note of a list of VMs that shows the end of a worker's known incarnation."""
    owner = _reconcile(owner, number, Proof.VM_ENDED, rules)
    if owner.views[number].run:
        owner = _drop(owner, number, Proof.VM_ENDED, rules)
    view = owner.views[number]
    ended = View(
        view.life, has_ended=True, answered=view.answered, answer=view.answer, start=view.start
    )
    return change_view(owner, number, ended)


def note_start(
    owner: Owner, number: int, call: StartCall, outcome: StartOutcome, rules: Rules
) -> Owner:
    """Take in the answer to a start."""
    if outcome is StartOutcome.STALE_OWNER:
        return owner.stopped()
    view = owner.views[number]
    if view.run != call.number or view.has_ended:
        return owner
    if outcome is StartOutcome.LATE:
        return _drop(owner, number, Proof.REJECTED, rules)
    return change_view(owner, number, evolve(view, is_settled=True))


def note_hold(owner: Owner, number: int, answer: HoldAnswer, rules: Rules) -> Owner:
    """Take in a worker's list of runs and ends."""
    if answer.is_stale:
        return owner.stopped()
    view = owner.views[number]
    if view.has_ended or answer.life < view.life:
        return owner
    if answer.life > view.life:
        owner = _note_life(owner, number, answer.life, rules)
    owner = _note_first_list(owner, number, rules)
    for position, run, is_done in answer.ends:
        if position > owner.views[number].processed:
            owner = _note_end(owner, number, position, run, is_done, rules)
    if answer.run and not owner.is_done and not owner.has_run():
        owner = _adopt(owner, number, answer.run)
    view = owner.views[number]
    if view.run != answer.run and view.is_settled and view.run <= answer.highest:
        owner = _drop(owner, number, Proof.NOT_LISTED, rules)
    return _reconcile(owner, number, None, rules)


def _note_first_list(owner: Owner, number: int, rules: Rules) -> Owner:
    """Take note that a worker's incarnation has answered a hold."""
    view = owner.views[number]
    if view.answered:
        return owner
    view = evolve(view, answered=True)
    if owner.inherits and rules.first_lists_as_longest:
        lease = max(view.lease, LONGEST_LEASE_TICKS) if view.run else view.lease
        view = evolve(view, lease=lease, earlier_lease=LONGEST_LEASE_TICKS)
    return change_view(owner, number, view)


def _adopt(owner: Owner, number: int, run: int) -> Owner:
    """Adopt a run that an earlier owner started."""
    view = evolve(owner.views[number], run=run, lease=LONGEST_LEASE_TICKS)
    return change_view(owner, number, view)


def _note_end(
    owner: Owner, number: int, position: int, run: int, is_done: bool, rules: Rules
) -> Owner:
    view = evolve(owner.views[number], processed=position)
    owner = change_view(owner, number, view)
    if view.run == run:
        owner = _drop(owner, number, Proof.LISTED_END, rules)
    if is_done and not owner.is_done:
        owner = evolve(owner, is_done=True, is_unstored=True)
    return owner
