"""One daemon's part in the membership: its validity and its promises.

The class does no I/O. The daemon feeds it what the store and the peers say.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs
from absl import logging

from ..clock import Clock
from ..quota.ledger import Ledger
from .view import MemberInfo, Quarantine, Shadow, View, ViewState

__all__ = ["Collecting", "Member"]

SILENCE_MARGIN = 0.5
PROMISE_FACTOR = 4.0
CLOCK_RATE_MARGIN = 1.02
GONE_MARGIN_SECONDS = 5.0


@attrs.define
class Collecting:
    """Reports collected so far for a view."""

    view: View
    view_revision: int
    reports: dict[str, Mapping[str, int]] = attrs.field(factory=dict)

    def complete(self) -> bool:
        """Return whether each member that stays has reported."""
        return self.view.names <= self.reports.keys()


@attrs.define
class _Seen:
    revision: int
    since: float


class Member:
    """What one daemon knows of the membership.

    :param info: this daemon
    :param clock: its clock, which counts pauses
    :param ledger: its permits
    :param validity: seconds for which a confirmation lets it start jobs
    :param list_lag: longest lag of the platform's list, in seconds
    """

    def __init__(
        self, info: MemberInfo, clock: Clock, ledger: Ledger, validity: float, list_lag: float
    ):
        self.info = info
        self.clock = clock
        self.ledger = ledger
        self.validity = validity
        self.list_lag = list_lag
        self.view: View | None = None
        self.view_revision = 0
        self.view_since = 0.0
        self.applied_serial = 0
        self.reported_epoch = 0
        self.confirmed_at = -float("inf")
        self.acks: dict[str, float] = {}
        self.acknowledged: dict[str, float] = {}
        self.seen: dict[str, _Seen] = {}
        self.missing_since: dict[str, float] = {}
        self.timers: dict[int, float] = {}
        self.stopped = False
        self.permits_lost = False
        self.started_at = clock.now()

    @property
    def name(self) -> str:
        """Return this member's name."""
        return self.info.member

    @property
    def is_member(self) -> bool:
        """Return whether this daemon is in the view that it knows."""
        return self.view is not None and self.name in self.view.names

    @property
    def silence(self) -> float:
        """Return the seconds of silence at the store after which a member may be left out."""
        return self.validity * CLOCK_RATE_MARGIN + SILENCE_MARGIN

    def take_over(
        self, info: MemberInfo, view: View, revision: int, epoch: int, permits: Mapping[str, int]
    ) -> None:
        """Become a member that another daemon has stopped to be.

        The other's promises are not known, so every member counts as acknowledged just now.

        :param epoch: epoch of the permits
        :param permits: permits held, by resource
        """
        now = self.clock.now()
        self.info = info
        self.view, self.view_revision, self.view_since = view, revision, now
        self.applied_serial = view.serial
        self.acks.clear()
        self.acknowledged = dict.fromkeys(view.names, now)
        self.ledger.owner = f"{info.member}.{info.incarnation}"
        self.ledger.open_epoch(epoch, permits)
        self._time_quarantine(view)

    def is_valid(self) -> bool:
        """Return whether this member may start jobs now."""
        if not self.is_member or self.stopped or not self.ledger.epoch:
            return False
        now = self.clock.now()
        if now - self.confirmed_at <= self.validity:
            return True
        return self.acknowledged_by_majority(now)

    def acknowledged_by_majority(self, now: float) -> bool:
        """Return whether a majority of the view acknowledged this member in time."""
        assert self.view is not None
        others = self.view.names - {self.name}
        recent = sum(1 for peer in others if now - self.acks.get(peer, -1e9) <= self.validity)
        return 2 * (recent + 1) > len(self.view.members)

    # What the store says

    def take_view(self, view: View, revision: int) -> bool:
        """Take a view if it is newer than the one known; return whether it was."""
        if revision <= self.view_revision:
            return False
        if self.view is None or view.epoch != self.view.epoch:
            self.acks.clear()
        if self.is_member and self.name not in view.names:
            self.ledger.abandon()
        self.view = view
        self.view_revision = revision
        self.view_since = self.clock.now()
        self.seen = {name: seen for name, seen in self.seen.items() if name in view.names}
        oldest = self.clock.now() - PROMISE_FACTOR * self.validity
        self.acknowledged = {name: at for name, at in self.acknowledged.items() if at > oldest}
        self._time_quarantine(view)
        if self.is_member and view.state is ViewState.OPEN:
            self._apply_grants(view)
        logging.info(
            "decision=view epoch=%d state=%s members=%d reason=revision-%d",
            view.epoch,
            view.state,
            len(view.members),
            revision,
        )
        return True

    def confirm(self, sent_at: float, view_revision: int) -> None:
        """Take a renewal at the store that compared the view's revision.

        :param sent_at: when the renewal was sent
        :param view_revision: the revision that it compared
        """
        if view_revision == self.view_revision and self.is_member:
            self.confirmed_at = max(self.confirmed_at, sent_at)

    def see_members(self, revisions: Mapping[str, int]) -> None:
        """Take the revisions of the members' keys as read from the store."""
        now = self.clock.now()
        for name in self.view.names if self.view else ():
            revision = revisions.get(name, 0)
            seen = self.seen.get(name)
            if seen is None or seen.revision != revision:
                self.seen[name] = _Seen(revision, now)

    def see_list(self, vms: Iterable[str]) -> None:
        """Take the names of the VMs on the platform's list."""
        listed = set(vms)
        now = self.clock.now()
        if self.info.vm not in listed or self.view is None:
            self.missing_since.clear()
            return
        for info in self.view.members:
            if info.vm in listed:
                self.missing_since.pop(info.member, None)
            else:
                self.missing_since.setdefault(info.member, now)

    # What peers say

    def acknowledge(self, member: str, epoch: int) -> bool:
        """Return whether a member's heartbeat is acknowledged.

        An acknowledgement is a promise not to report without the member while it may count.
        """
        if self.view is None or member not in self.view.names or epoch > self.view.epoch:
            return False
        if self.reported_epoch > epoch and self.view.epoch > epoch:
            return False
        self.acknowledged[member] = self.clock.now()
        return True

    def take_ack(self, peer: str, sent_at: float, epoch: int) -> None:
        """Take a peer's acknowledgement of a heartbeat.

        :param sent_at: when the heartbeat was sent
        :param epoch: epoch that the heartbeat named
        """
        if self.view is not None and epoch == self.view.epoch:
            self.acks[peer] = max(self.acks.get(peer, -1e9), sent_at)

    def report_wait(self, view: View) -> float:
        """Return how long this member must wait before it may report for a view, in seconds."""
        now = self.clock.now()
        times = [
            self.acknowledged.get(name, -1e9) + self.validity * CLOCK_RATE_MARGIN - now
            for name in view.lost
        ]
        return max(0.0, max(times, default=0.0))

    def report(self, view: View, revision: int) -> dict[str, int] | None:
        """Stop trading and return the permits held, for a collecting view.

        :returns: None if this member may not report for it
        """
        self.take_view(view, revision)
        if self.view is None or self.view.epoch != view.epoch or not self.is_member:
            return None
        if self.view.state is not ViewState.COLLECTING or self.report_wait(view) > 0:
            return None
        self.reported_epoch = view.epoch
        self.ledger.suspend_transfers(view.limits, view.old_limits)
        return self.ledger.report()

    # What follows from it

    def silent_members(self) -> set[str]:
        """Return the members whose keys did not change for longer than any validity."""
        now = self.clock.now()
        assert self.view is not None
        return {
            name
            for name in self.view.names
            if name != self.name
            and name in self.seen
            and now - self.seen[name].since > self.silence
        }

    def gone_members(self) -> set[str]:
        """Return the members whose VMs the platform's list has dropped for good."""
        now = self.clock.now()
        longest = self.list_lag + GONE_MARGIN_SECONDS
        return {name for name, since in self.missing_since.items() if now - since > longest}

    def collects(self) -> Collecting | None:
        """Return an empty collection if it is this member's turn to collect reports."""
        view = self.view
        if view is None or view.state is not ViewState.COLLECTING or view.proposer != self.name:
            return None
        return Collecting(view, self.view_revision)

    def lowered_limits(self, limits: Mapping[str, int]) -> dict[str, tuple[int, int]]:
        """Return the limits that are below the view's, as new and old, by resource."""
        if self.view is None:
            return {}
        return {
            resource: (limits.get(resource, 0), old)
            for resource, old in self.view.limits.items()
            if limits.get(resource, 0) < old
        }

    def _time_quarantine(self, view: View) -> None:
        now = self.clock.now()
        items: list[Quarantine | Shadow] = [*view.quarantine, *view.shadows]
        kept = {item.serial for item in items}
        self.timers = {serial: at for serial, at in self.timers.items() if serial in kept}
        for item in items:
            self.timers.setdefault(item.serial, now + item.seconds * CLOCK_RATE_MARGIN)

    def _apply_grants(self, view: View) -> None:
        """Take what an open view grants to this member and was not taken yet."""
        mine = [grant for grant in view.grants if grant.member == self.name]
        if view.epoch > self.ledger.epoch:
            permits: dict[str, int] = {}
            for grant in mine:
                for resource, count in grant.permits.items():
                    permits[resource] = permits.get(resource, 0) + count
            self.ledger.open_epoch(view.epoch, permits, view.excess)
            self.permits_lost = False
        else:
            for grant in mine:
                if grant.serial > self.applied_serial:
                    self.ledger.grant(grant.permits)
        self.applied_serial = view.serial
