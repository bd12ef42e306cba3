"""Decides which view a daemon should propose next.

The class does no I/O; the daemon writes the proposed view by compare-and-swap.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs
from absl import logging

from .member import Member
from .transitions import append_grants, initial_view, propose_view, release_quarantine
from .view import View, ViewState

__all__ = ["Proposal", "Proposer"]

COLLECT_TIMEOUT_SECONDS = 3.0
RANK_DELAY_SECONDS = 0.7
REPAIR_DELAY_SECONDS = 5.0


@attrs.frozen
class Proposal:
    """A view to write, and the conditions of the compare-and-swap.

    :param view: the proposed view
    :param view_revision: store revision of the view that it replaces, 0 for none
    :param member_revisions: last revision of the member key of each lost member
    :param reason: reason for the log
    """

    view: View
    view_revision: int
    member_revisions: Mapping[str, int]
    reason: str


class Proposer:
    """Decides which view a daemon proposes, from the state of its membership.

    Members wait by rank before they propose, so that two rarely propose at once.

    :param member: membership state of this daemon
    """

    def __init__(self, member: Member):
        self.member = member

    def propose(self, limits: Mapping[str, int], may_join: bool) -> Proposal | None:
        """Return the view that this daemon should write now, if any.

        :param limits: limits of the configuration, by resource
        :param may_join: whether this daemon may become a member; False once it is leaving
        """
        if self.member.stopped:
            return None
        if self.member.view is None:
            if not may_join:
                return None
            view = initial_view(self.member.info, limits)
            return Proposal(view, 0, {}, "first-view")
        if not self.member.is_member:
            return self._propose_join(limits) if may_join else None
        if self.member.view.state is ViewState.COLLECTING:
            return self._propose_replacement(limits)
        lost = self.member.silent_members()
        if lost and self._is_due(lost):
            return self._propose_excluding(lost, limits, "members-silent")
        if self._needs_repair():
            return self._propose_excluding(set(), limits, "permits-lost")
        if not self._is_due(set()):
            return None
        return self._propose_limits(limits) or self._propose_release()

    def propose_leaving(self, limits: Mapping[str, int]) -> Proposal | None:
        """Return the view without this member, which has finished all its jobs and stops."""
        if not self.member.is_member or self.member.view is None:
            return None
        self.member.stopped = True
        others = sorted(self.member.view.names - {self.member.name})
        proposer = others[0] if others else ""
        view = propose_view(
            self.member.view, proposer, self._next_limits(limits), leaving={self.member.name}
        )
        return Proposal(view, self.member.view_revision, {}, "leaving")

    def _needs_repair(self) -> bool:
        """Return whether permits are missing that a new epoch would restore."""
        assert self.member.view is not None
        if self.member.clock.now() - self.member.view_applied_at <= REPAIR_DELAY_SECONDS:
            return False
        stale_excess = bool(self.member.view.excess) and not any(
            self.member.ledger.owed_permits.values()
        )
        return self.member.permits_lost or (stale_excess and self._is_due(set()))

    def _propose_join(self, limits: Mapping[str, int]) -> Proposal | None:
        assert self.member.view is not None
        collecting = self.member.view.state is ViewState.COLLECTING and self.member.view.members
        if collecting and not self._collection_timed_out():
            return None
        silent = self.member.silent_members()
        remaining = self.member.view.names - silent
        proposer = min(remaining) if remaining else self.member.name
        if not self._may_exclude(silent):
            silent = set()
        if silent and not remaining:
            logging.warning("decision=restart reason=all-members-lost")
        view = propose_view(
            self.member.view,
            proposer,
            self._next_limits(limits),
            joining=[self.member.info],
            lost=silent,
        )
        return Proposal(view, self.member.view_revision, self._observed_revisions(silent), "join")

    def _propose_replacement(self, limits: Mapping[str, int]) -> Proposal | None:
        """Return a new collecting view if the current one has not opened in time."""
        if not self._collection_timed_out():
            return None
        lost = self.member.silent_members()
        if not self._may_exclude(lost):
            lost = set()
        return self._propose_excluding(lost, limits, "collecting-too-long")

    def _propose_excluding(
        self, lost: set[str], limits: Mapping[str, int], reason: str
    ) -> Proposal | None:
        if not self._may_exclude(lost):
            return None
        assert self.member.view is not None
        view = propose_view(
            self.member.view, self.member.name, self._next_limits(limits), lost=lost
        )
        return Proposal(view, self.member.view_revision, self._observed_revisions(lost), reason)

    def _propose_limits(self, limits: Mapping[str, int]) -> Proposal | None:
        assert self.member.view is not None
        raised = append_grants(self.member.view, limits)
        if raised is not None:
            return Proposal(raised, self.member.view_revision, {}, "limits-raised")
        if self.member.lowered_limits(limits):
            return self._propose_excluding(set(), limits, "limits-lowered")
        return None

    def _propose_release(self) -> Proposal | None:
        now = self.member.clock.now()
        due = [serial for serial, at in self.member.quarantine_ends.items() if at <= now]
        if not due:
            return None
        assert self.member.view is not None
        view = release_quarantine(self.member.view, due)
        return Proposal(view, self.member.view_revision, {}, "quarantine-over")

    def _next_limits(self, limits: Mapping[str, int]) -> dict[str, int]:
        """Return the limits for the next epoch; before a configuration is known, the view's."""
        assert self.member.view is not None
        return dict(limits) if limits else dict(self.member.view.limits)

    def _may_exclude(self, lost: set[str]) -> bool:
        """Return whether members may be excluded.

        A majority of the last open view must either stay or be gone for certain.
        """
        assert self.member.view is not None
        if not lost:
            return True
        view = self.member.view
        last_open = view.members if view.state is ViewState.OPEN else view.previous
        names = {info.member for info in last_open}
        remaining = (names & view.names) - lost
        certain = len(remaining) + len(names & lost & self.member.unlisted_members())
        return 2 * certain > len(names)

    def _observed_revisions(self, lost: set[str]) -> dict[str, int]:
        return {name: self.member.observed_revisions[name].revision for name in lost}

    def _collection_timed_out(self) -> bool:
        return (
            self.member.clock.now() - self.member.view_applied_at
            > COLLECT_TIMEOUT_SECONDS + self._rank_delay()
        )

    def _is_due(self, lost: set[str]) -> bool:
        """Return whether this member's rank delay has passed.

        Rank delays make it rare that two members propose at once.

        :param lost: silent members to exclude; their silence starts the delay, not the view
        """
        assert self.member.view is not None
        remaining = sorted(self.member.view.names - lost)
        rank_delay = (
            remaining.index(self.member.name) * RANK_DELAY_SECONDS
            if self.member.name in remaining
            else 0.0
        )
        if not lost:
            return self.member.clock.now() - self.member.view_applied_at >= rank_delay
        now = self.member.clock.now()
        shortest_silence = min(
            now - self.member.observed_revisions[name].observed_at for name in lost
        )
        return shortest_silence > self.member.silence_timeout + rank_delay

    def _rank_delay(self) -> float:
        assert self.member.view is not None
        names = sorted(self.member.view.names | {self.member.name})
        return names.index(self.member.name) * RANK_DELAY_SECONDS
