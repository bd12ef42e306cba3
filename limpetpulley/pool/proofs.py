"""Proofs that a run is over: it cannot be alive, and all that is known of its end is known here.

A task that must run once starts again only on one of these proofs, and a worker of an earlier owner
no longer holds the pool's tasks back only on one of them. No I/O.

A worker that carries out this owner's call has not been called by a later one, since it rejects the
lower token from then on. An end that it lists is therefore known here first. All other proofs tell
only that the run is gone: a later owner may have kept it alive meanwhile, or may have taken and
acknowledged its end, also while a hold of this owner waited for its answer. They count once the
claim was confirmed after they were found, because there was no later owner until then. A lease is
judged as of the latest confirmation, so it has lapsed before that.

The same holds for a new incarnation of a worker, which has seen no token yet: a later owner may
know only the one before and may have started the tasks elsewhere. It holds for a job of which this
owner has read that it is stored: a later owner may have stored it.
"""

from __future__ import annotations

import enum
import math

import attrs

from ..batch import JobKey, TaskId

__all__ = ["CLAIM_SECONDS", "INHERITED_RUNS", "ClaimGuard", "Proof", "Subject"]

#: time for which a claim is valid without a renewal, in seconds; it bounds the time until the pool
#: of a failed owner is claimed, which must be below 1.5 s
CLAIM_SECONDS = 1.4


class Proof(enum.Enum):
    """How a run is known to be over.

    ``LISTED_END``: its worker has listed its end. ``NOT_LISTED``: the last order for it has taken
    effect, and a later list of its worker contains neither the run nor its end. ``REJECTED``: its
    worker has rejected all its start orders. ``LEASE_LAPSED``: the latest lease that any call may
    have given its worker has expired. ``NEXT_INCARNATION``: another incarnation of its worker
    has answered a call that was sent while this one was known.
    ``VM_ENDED``: a list of VMs that is newer than this owner's first report of the incarnation
    shows its VM as down, ordered away, or with another worker, and its host has closed a
    connection since its last reply to this owner, if there was one.
    """

    LISTED_END = "listed-end"
    NOT_LISTED = "not-listed"
    REJECTED = "rejected"
    LEASE_LAPSED = "lease-lapsed"
    NEXT_INCARNATION = "next-incarnation"
    VM_ENDED = "vm-ended"

    @property
    def is_conclusive(self) -> bool:
        """Return whether it counts without a further confirmation of the claim."""
        return self in (Proof.LISTED_END, Proof.REJECTED, Proof.LEASE_LAPSED)


@attrs.frozen
class _InheritedRuns:
    """The runs of earlier owners on workers that are accounted for."""


INHERITED_RUNS = _InheritedRuns()

#: what must be confirmed: that a task's run is over, that a worker's incarnation is its latest,
#: that the runs of earlier owners are accounted for, or that this owner has stored a job's record
Subject = TaskId | str | _InheritedRuns | JobKey


@attrs.define
class ClaimGuard:
    """What may be relied on once the owner's claim has been confirmed.

    :param confirmed_at: latest local time at which the claim is known to have been valid, infinite
        where there is no other owner
    :param pending: local time at which each subject was found, infinite until the next planning
        round
    """

    confirmed_at: float = math.inf
    pending: dict[Subject, float] = attrs.field(factory=dict)

    def require(self, subject: Subject) -> None:
        """Rely on a subject only after the next confirmation of the claim."""
        self.pending[subject] = math.inf

    def update(self, now: float) -> None:
        """Date the subjects that are new, and forget those that are confirmed.

        :param now: local time
        """
        dated = {subject: min(found_at, now) for subject, found_at in self.pending.items()}
        self.pending = {
            subject: found_at for subject, found_at in dated.items() if found_at > self.confirmed_at
        }

    def is_confirmed(self, subject: Subject) -> bool:
        """Return whether a subject may be relied on."""
        return self.pending.get(subject, -math.inf) <= self.confirmed_at

    def is_valid(self, now: float) -> bool:
        """Return whether the claim is certainly valid now.

        :param now: local time
        """
        return now - self.confirmed_at < CLAIM_SECONDS

    def known_time(self, now: float) -> float:
        """Return the latest local time until which no other owner can have acted.

        :param now: local time
        """
        return min(now, self.confirmed_at)
