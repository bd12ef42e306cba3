"""State of the model of the proofs: workers, what two owners know of them, and calls under way.

Times are in ticks, relative to the present. What an owner has found is
dated by its order to the confirmations of its claim.
"""

from __future__ import annotations

import enum
import operator
from collections.abc import Callable
from typing import Any, TypeVar

import attrs

from ..proofs import INHERITED_RUNS, ClaimGuard, Proof, Subject

__all__ = [
    "CONFIRMED_AT",
    "FIRST",
    "LEASE_TICKS",
    "LONGEST_LEASE_TICKS",
    "NOW",
    "NO_LIVES",
    "REQUESTED_AT",
    "SECOND",
    "TASK",
    "UNRENEWED_TICKS",
    "End",
    "HoldCall",
    "HoldAnswer",
    "Outcome",
    "Owner",
    "Rules",
    "Scope",
    "StartCall",
    "State",
    "View",
    "WorkerTruth",
    "change_view",
    "evolve",
]

#: the owners: the claim passes from the first to the second
FIRST, SECOND = 0, 1
#: lease that an owner requests, in ticks
LEASE_TICKS = 2
#: longest lease that a worker grants, in ticks
LONGEST_LEASE_TICKS = 3
#: incarnations at a takeover, where these matter to nothing
NO_LIVES = (0, 0, -1)
#: longest time after the last confirmation of its claim that an owner's leases may run, in ticks
UNRENEWED_TICKS = 3
#: subject of the claim guard for the model's only task; workers are named by their number
TASK = "task"
#: an owner's local times, of which only the order matters: its latest confirmation, what it has
#: found since, the request of a renewal that is under way, later finds, the present
CONFIRMED_AT, BEFORE_REQUEST, REQUESTED_AT, AFTER_REQUEST, NOW = 0, 1, 2, 3, 4

Record = TypeVar("Record")

#: names of the fields of each class of records, and a function that returns their values
_fields: dict[type, tuple[tuple[str, ...], Callable[[Any], tuple[Any, ...]]]] = {}


def evolve(record: Record, **changes: Any) -> Record:
    """Return a copy of a record with changes, faster than :func:`attrs.evolve`."""
    kind = type(record)
    if kind not in _fields:
        names = tuple(field.name for field in attrs.fields(kind))
        _fields[kind] = names, operator.attrgetter(*names)
    names, values = _fields[kind]
    return kind(**(dict(zip(names, values(record), strict=True)) | changes))


@attrs.frozen
class Rules:
    """Rules of the owners, each of which may be left out.

    :param at_once: proofs that count without a further confirmation, beside the conclusive ones
    :param leases_judged_as_confirmed: leases have lapsed only as of the latest confirmation
    :param inherited_runs_confirmed: inherited tasks wait for a confirmation after the last worker
        is accounted for
    :param incarnations_confirmed: a new incarnation gets no start before a confirmation
    :param acknowledges_after_store: ends are acknowledged only once progress is stored
    :param waits_for_workers: a successor waits for the workers of the roster
    :param wait_ticks: how long it waits for one that does not answer, in ticks
    :param leases_end_with_claim: no lease runs for longer than the longest unrenewed time after
        the latest confirmation
    :param starts_on_roster_only: starts are sent only to workers that the stored roster names
    :param lists_after_takeover: a list of VMs accounts for an inherited worker only if it is newer
        than the takeover (``PoolReports``): an earlier owner may have started runs on a later
        incarnation than its successor knows
    :param first_lists_as_longest: the first list of each incarnation counts as the longest lease
        for a successor: calls of the owner before may have given one that is longer than requested
    :param earlier_calls_as_longest: the next incarnation of a worker counts as having the longest
        lease, which calls of the same owner to the one before may have given it
    :param late_in_next_life: whether a start may be carried out by the incarnation after the one
        that was there when it was sent (a known hole, KNOWN-RED.txt)
    :param unnoticed_next_life: whether a start may be carried out by an incarnation that was there
        when it was sent, and that its sender takes for the one before
    """

    at_once: frozenset[Proof] = frozenset()
    leases_judged_as_confirmed: bool = True
    inherited_runs_confirmed: bool = True
    incarnations_confirmed: bool = True
    acknowledges_after_store: bool = True
    waits_for_workers: bool = True
    wait_ticks: int = UNRENEWED_TICKS
    leases_end_with_claim: bool = True
    starts_on_roster_only: bool = True
    lists_after_takeover: bool = True
    first_lists_as_longest: bool = True
    earlier_calls_as_longest: bool = True
    late_in_next_life: bool = False
    unnoticed_next_life: bool = False

    def counts_at_once(self, proof: Proof) -> bool:
        """Return whether a proof counts without a further confirmation of the claim."""
        return proof.is_conclusive or proof in self.at_once


@attrs.frozen
class Scope:
    """What may happen.

    :param starts: number of runs that the first owner may start
    :param second_starts: number of runs that the second owner may start
    :param crashes: number of crashes
    :param passes: whether the claim may pass to the second owner
    :param replaces: whether a worker that has crashed returns under another identifier, and not
        under its own
    :param failures: whether a run may end `failed`
    :param late_starts: whether a start may be carried out at any time after it was sent, and not
        only at once or never
    :param late_answers: whether an answer to a hold may reach the first owner late, after calls of
        the second
    :param late_renewals: whether an answer to a renewal may reach the first owner late, up to a
        tick after the store has handled it
    :param holds_in_next_life: whether a hold for the incarnation before may be carried out by a
        worker's next one, on whose clock it gives the longest lease
    :param starts_in_next_life: the same for a start of the first owner while it has the claim; its
        run is stopped at once
    """

    starts: int = 1
    second_starts: int = 1
    crashes: int = 0
    passes: bool = True
    replaces: bool = False
    failures: bool = False
    late_starts: bool = False
    late_answers: bool = False
    late_renewals: bool = False
    holds_in_next_life: bool = False
    starts_in_next_life: bool = False


class Outcome(enum.Enum):
    """How rule TWICE is broken."""

    TWO_RUNS = "two runs at a time"
    AFTER_NOTED = "a start after an end that was taken note of"
    NOTED_AFTER = "an end is taken note of after a later start"


@attrs.frozen(cache_hash=True)
class End:
    """An end that a worker lists until it is acknowledged.

    :param has_lapsed: whether the worker's lease has lapsed since
    :param is_followed: whether the task was started again since
    """

    position: int
    number: int
    is_done: bool
    has_lapsed: bool = False
    is_followed: bool = False


@attrs.frozen(cache_hash=True)
class WorkerTruth:
    """A worker as it is.

    :param life: number of its incarnation
    :param returns: whether it may return under its identifier
    :param is_fenced: whether this incarnation has seen the token of the second owner
    :param run: number of its run, 0 for none
    :param lease: remaining lease, in ticks
    :param highest: highest number of a run that has ended or was stopped here
    :param positions: number of ends that it has counted
    """

    up: bool = True
    life: int = 0
    returns: bool = True
    is_fenced: bool = False
    run: int = 0
    lease: int = 0
    highest: int = 0
    positions: int = 0
    ends: tuple[End, ...] = ()


@attrs.frozen(cache_hash=True)
class HoldCall:
    """A hold under way. ``until`` is the requested lease in ticks from now, 0 for none."""

    life: int
    until: int
    acknowledged: int


@attrs.frozen(cache_hash=True)
class HoldAnswer:
    """The answer to a hold; ``highest`` tells up to which run orders were carried out."""

    is_stale: bool
    life: int = 0
    run: int = 0
    highest: int = 0
    ends: tuple[tuple[int, int, bool], ...] = ()


@attrs.frozen(cache_hash=True)
class StartCall:
    """A start under way.

    :param life: incarnation for which its sender meant it
    :param sent_life: incarnation that was there when it was sent
    """

    number: int
    until: int
    life: int
    sent_life: int


@attrs.frozen(cache_hash=True)
class View:
    """What an owner knows of a worker, and what is under way between them.

    :param life: its latest known incarnation, -1 while it is not known
    :param has_ended: whether a list of VMs has shown that this incarnation has ended
    :param answered: whether this incarnation has answered a hold of this owner
    :param unconfirmed_at: when the incarnation was found, 0 once that is confirmed
    :param lease: ticks until the longest lease ends that a call may have given; where it has ended,
        minus the local time of that
    :param earlier_lease: the same for the calls of others, and for those to earlier incarnations,
        while that is longer than a start requests, otherwise 0
    :param run: number of the run that is taken to be there, 0 for none
    :param is_settled: whether its start was answered
    :param processed: position of the last end that was processed
    :param answer: answer to a hold that arrives late
    :param start: start that was sent, and not carried out so far
    """

    life: int = -1
    has_ended: bool = False
    answered: bool = False
    unconfirmed_at: int = 0
    lease: int = 0
    earlier_lease: int = 0
    run: int = 0
    is_settled: bool = False
    processed: int = 0
    answer: HoldAnswer | None = None
    start: StartCall | None = None


@attrs.frozen(cache_hash=True)
class Owner:
    """What an owner knows.

    :param is_done: whether it has processed an end ``done``
    :param is_unstored: whether the progress of that is not stored yet
    :param age: ticks since the latest confirmation of the claim
    :param renewal_age: ticks since the request of a renewal that is under way, -1 for none
    :param task_unconfirmed_at: when the task's run was found to be over by a proof that needs a
        confirmation, 0 for none
    :param inherited_unconfirmed_at: the same for the runs of earlier owners
    :param unreconciled: workers that may have unseen runs of earlier owners
    :param wait: ticks until these can have no runs any more; see :attr:`View.lease`
    :param inherits: whether calls of the owner before it may still extend leases
    :param starts_left: number of runs that it may still start
    :param rostered: workers that it knows the stored roster to name
    :param lives: incarnations of the workers at the takeover
    """

    views: tuple[View, ...]
    acts: bool = True
    is_done: bool = False
    is_unstored: bool = False
    age: int = 0
    renewal_age: int = -1
    task_unconfirmed_at: int = 0
    inherited_unconfirmed_at: int = 0
    unreconciled: frozenset[int] = frozenset()
    wait: int = 0
    inherits: bool = False
    starts_left: int = 1
    rostered: frozenset[int] = frozenset({0, 1})
    lives: tuple[int, ...] = NO_LIVES

    @property
    def found_now(self) -> int:
        """Return the local time of what is found now, by its order to the renewals."""
        return BEFORE_REQUEST if self.renewal_age < 0 else AFTER_REQUEST

    def has_run(self) -> bool:
        """Return whether a run of the task is taken to be on a worker."""
        return any(view.run for view in self.views)

    def awaits_confirmation(self) -> bool:
        """Return whether a confirmation of the claim would change what may be relied on."""
        return self.wait < 0 or any(view.lease < 0 for view in self.views) or bool(self.pending())

    def pending(self) -> dict[Subject, float]:
        """Return what needs a confirmation, and when it was found."""
        found = {TASK: self.task_unconfirmed_at, INHERITED_RUNS: self.inherited_unconfirmed_at}
        found |= {str(number): view.unconfirmed_at for number, view in enumerate(self.views)}
        return {subject: at for subject, at in found.items() if at}

    def confirmed(self, at: float) -> Owner:
        """Return the owner after its claim was confirmed.

        :param at: local time as of which the claim was valid
        """
        guard = ClaimGuard(at, self.pending())
        guard.update(NOW)
        owner = self.redated(lambda subject, at: int(guard.pending.get(subject, 0)))
        # What has lapsed by that time counts as lapsed at the latest confirmation from now on.
        return owner.with_lapses(lambda lapsed_at: CONFIRMED_AT if lapsed_at <= at else lapsed_at)

    def without_renewal(self) -> Owner:
        """Return the owner without a renewal under way: it dates what it finds by the next one."""
        owner = evolve(self, renewal_age=-1)
        owner = owner.redated(lambda subject, at: min(at, BEFORE_REQUEST))
        return owner.with_lapses(lambda lapsed_at: min(lapsed_at, BEFORE_REQUEST))

    def redated(self, date: Callable[[Subject, int], int]) -> Owner:
        """Return the owner with other dates of what it has found."""
        task_at, inherited_at = self.task_unconfirmed_at, self.inherited_unconfirmed_at
        views = (
            (view, date(str(number), view.unconfirmed_at)) for number, view in enumerate(self.views)
        )
        return evolve(
            self,
            task_unconfirmed_at=date(TASK, task_at),
            inherited_unconfirmed_at=date(INHERITED_RUNS, inherited_at),
            views=tuple(
                view if view.unconfirmed_at == at else evolve(view, unconfirmed_at=at)
                for view, at in views
            ),
        )

    def with_lapses(self, date: Callable[[int], int]) -> Owner:
        """Return the owner with other dates of what has lapsed."""
        return evolve(
            self,
            wait=self.wait if self.wait > 0 else -date(-self.wait),
            views=tuple(
                view if view.lease >= 0 else evolve(view, lease=-date(-view.lease))
                for view in self.views
            ),
        )

    def simplified(self) -> Owner:
        """Return an owner that starts nothing any more without what only matters to starts."""
        views = tuple(
            (
                evolve(view, unconfirmed_at=0, lease=0, earlier_lease=0, run=0, is_settled=False)
                if view.run or view.lease or view.earlier_lease or view.unconfirmed_at
                else view
            )
            for view in self.views
        )
        return evolve(
            self,
            views=views,
            task_unconfirmed_at=0,
            inherited_unconfirmed_at=0,
            unreconciled=frozenset(),
            wait=0,
            lives=NO_LIVES,
        )

    def is_powerless(self) -> bool:
        """Return whether its claim was not confirmed for so long that it may request no lease."""
        return self.age >= UNRENEWED_TICKS and self.renewal_age < 0

    def stopped(self) -> Owner:
        """Return the owner once it was told of a later one; its calls may still be under way."""
        views = tuple(View(start=view.start) for view in self.views)
        return Owner(views, acts=False)


def change_view(owner: Owner, number: int, view: View) -> Owner:
    """Return the owner with another view of a worker."""
    views = (*owner.views[:number], view, *owner.views[number + 1 :])
    return evolve(owner, views=views)


@attrs.frozen(cache_hash=True)
class State:
    """State of the model.

    :param has_passed: whether the claim has passed to the second owner
    :param is_stored: whether the store has the task as done
    :param is_noted: whether an end ``done`` was taken note of within the lease
    :param roster: workers that the stored roster names
    :param crashes: number of crashes that may still happen
    """

    workers: tuple[WorkerTruth, ...]
    owners: tuple[Owner, Owner]
    roster: frozenset[int]
    crashes: int
    has_passed: bool = False
    is_stored: bool = False
    is_noted: bool = False
