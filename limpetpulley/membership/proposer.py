"""What one daemon should write of the view next.

The class does no I/O; the daemon writes what it returns by compare-and-swap.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs
from absl import logging

from .member import Member
from .planner import append_grants, propose_view, release_quarantine, start_view
from .view import View, ViewState

__all__ = ["Proposal", "Proposer"]

COLLECT_TIMEOUT_SECONDS = 3.0
RANK_DELAY_SECONDS = 0.7
REPAIR_SECONDS = 5.0


@attrs.frozen
class Proposal:
    """A view to write, and the conditions under which it may be written.

    :param view: the view
    :param view_revision: revision of the view that it follows, 0 for none
    :param member_revisions: last revision of each lost member's key
    :param reason: why, for the log
    """

    view: View
    view_revision: int
    member_revisions: Mapping[str, int]
    reason: str


class Proposer:
    """Decides what a daemon proposes, from what its part in the membership knows.

    Members wait by rank before they propose, so that seldom two do it at once.

    :param member: this daemon's part in the membership
    """

    def __init__(self, member: Member):
        self.member = member

    def propose(self, limits: Mapping[str, int], joinable: bool) -> Proposal | None:
        """Return the view that this daemon should write now, if any.

        :param limits: limits of the configuration, by resource
        :param joinable: whether this daemon wants to be a member
        """
        if self.member.stopped:
            return None
        if self.member.view is None:
            if not joinable:
                return None
            view = start_view(self.member.info, limits)
            return Proposal(view, 0, {}, "first-view")
        if not self.member.is_member:
            return self._propose_join(limits) if joinable else None
        if self.member.view.state is ViewState.COLLECTING:
            return self._propose_instead(limits)
        lost = self.member.silent_members()
        if lost and self._is_due(lost):
            return self._propose_without(lost, limits, "members-silent")
        if self._needs_repair():
            return self._propose_without(set(), limits, "permits-lost")
        if not self._is_due(set()):
            return None
        return self._propose_limits(limits) or self._propose_release()

    def propose_leaving(self, limits: Mapping[str, int]) -> Proposal | None:
        """Return the view without this member, which has finished all its jobs."""
        if not self.member.is_member or self.member.view is None:
            return None
        self.member.stopped = True
        others = sorted(self.member.view.names - {self.member.name})
        proposer = others[0] if others else ""
        view = propose_view(
            self.member.view, proposer, self._limits_to_keep(limits), leaving={self.member.name}
        )
        return Proposal(view, self.member.view_revision, {}, "leaving")

    def _needs_repair(self) -> bool:
        """Return whether permits are missing that a new epoch would bring back."""
        assert self.member.view is not None
        if self.member.clock.now() - self.member.view_since <= REPAIR_SECONDS:
            return False
        over = bool(self.member.view.excess) and not any(self.member.ledger.owed_permits.values())
        return self.member.permits_lost or (over and self._is_due(set()))

    def _propose_join(self, limits: Mapping[str, int]) -> Proposal | None:
        assert self.member.view is not None
        collecting = self.member.view.state is ViewState.COLLECTING and self.member.view.members
        if collecting and not self._collecting_too_long():
            return None
        silent = self.member.silent_members()
        stay = self.member.view.names - silent
        proposer = min(stay) if stay else self.member.name
        if not self._may_leave_out(silent):
            silent = set()
        if silent and not stay:
            logging.warning("decision=restart reason=all-members-lost")
        view = propose_view(
            self.member.view,
            proposer,
            self._limits_to_keep(limits),
            joining=[self.member.info],
            lost=silent,
        )
        return Proposal(view, self.member.view_revision, self._revisions(silent), "join")

    def _propose_instead(self, limits: Mapping[str, int]) -> Proposal | None:
        """Return a new collecting view if the present one does not open."""
        if not self._collecting_too_long():
            return None
        lost = self.member.silent_members()
        if not self._may_leave_out(lost):
            lost = set()
        return self._propose_without(lost, limits, "collecting-too-long")

    def _propose_without(
        self, lost: set[str], limits: Mapping[str, int], reason: str
    ) -> Proposal | None:
        if not self._may_leave_out(lost):
            return None
        assert self.member.view is not None
        view = propose_view(
            self.member.view, self.member.name, self._limits_to_keep(limits), lost=lost
        )
        return Proposal(view, self.member.view_revision, self._revisions(lost), reason)

    def _propose_limits(self, limits: Mapping[str, int]) -> Proposal | None:
        assert self.member.view is not None
        raised = append_grants(self.member.view, limits)
        if raised is not None:
            return Proposal(raised, self.member.view_revision, {}, "limits-raised")
        if self.member.lowered_limits(limits):
            return self._propose_without(set(), limits, "limits-lowered")
        return None

    def _propose_release(self) -> Proposal | None:
        now = self.member.clock.now()
        due = [serial for serial, at in self.member.timers.items() if at <= now]
        if not due:
            return None
        assert self.member.view is not None
        view = release_quarantine(self.member.view, due)
        return Proposal(view, self.member.view_revision, {}, "quarantine-over")

    def _limits_to_keep(self, limits: Mapping[str, int]) -> dict[str, int]:
        """Return the limits for the next epoch; without configuration, those in force."""
        assert self.member.view is not None
        return dict(limits) if limits else dict(self.member.view.limits)

    def _may_leave_out(self, lost: set[str]) -> bool:
        """Return whether enough of the last open view stays to leave members out."""
        assert self.member.view is not None
        if not lost:
            return True
        view = self.member.view
        base = view.members if view.state is ViewState.OPEN else view.previous
        names = {info.member for info in base}
        stay = (names & view.names) - lost
        certain = len(stay) + len(names & lost & self.member.gone_members())
        return 2 * certain > len(names)

    def _revisions(self, lost: set[str]) -> dict[str, int]:
        return {name: self.member.seen[name].revision for name in lost}

    def _collecting_too_long(self) -> bool:
        return (
            self.member.clock.now() - self.member.view_since
            > COLLECT_TIMEOUT_SECONDS + self._rank_delay()
        )

    def _is_due(self, lost: set[str]) -> bool:
        """Return whether it is this member's turn, so that seldom two propose at once."""
        assert self.member.view is not None
        others = sorted(self.member.view.names - lost)
        delay = (
            others.index(self.member.name) * RANK_DELAY_SECONDS
            if self.member.name in others
            else 0.0
        )
        if not lost:
            return self.member.clock.now() - self.member.view_since >= delay
        now = self.member.clock.now()
        longest = min(now - self.member.seen[name].since for name in lost)
        return longest > self.member.silence + delay

    def _rank_delay(self) -> float:
        assert self.member.view is not None
        names = sorted(self.member.view.names | {self.member.name})
        return names.index(self.member.name) * RANK_DELAY_SECONDS
