"""Membership state of one daemon: its validity and the acknowledgements that it sent to peers.

The class does no I/O. The daemon passes in what it reads from the store and gets from peers.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs
from absl import logging

from ..clock import Clock
from ..quota.ledger import Ledger
from .view import MemberInfo, Quarantine, RecordLoss, View, ViewState

__all__ = ["Member", "ReportCollection"]

SILENCE_MARGIN_SECONDS = 0.5
ACK_RETENTION_FACTOR = 4.0
CLOCK_DRIFT_FACTOR = 1.02
UNLISTED_MARGIN_SECONDS = 5.0


@attrs.define
class ReportCollection:
    """Reports collected so far for a view.

    :param view: the collecting view
    :param view_revision: store revision of the view
    :param reports: permits held, by member and resource
    """

    view: View
    view_revision: int
    reports: dict[str, Mapping[str, int]] = attrs.field(factory=dict)

    def complete(self) -> bool:
        """Return whether every member of the view has reported."""
        return self.view.names <= self.reports.keys()


@attrs.define
class _ObservedRevision:
    revision: int
    observed_at: float


class Member:
    """Membership state of one daemon.

    :param info: this daemon
    :param clock: the daemon's clock, which also counts the time for which the daemon is paused
    :param ledger: permits that the daemon holds
    :param validity_seconds: how long a confirmed renewal allows the daemon to start jobs
    :param list_lag_seconds: longest lag of the platform's VM list
    """

    def __init__(
        self,
        info: MemberInfo,
        clock: Clock,
        ledger: Ledger,
        validity_seconds: float,
        list_lag_seconds: float,
    ):
        self.info = info
        self.clock = clock
        self.ledger = ledger
        self.validity_seconds = validity_seconds
        self.list_lag_seconds = list_lag_seconds
        self.view: View | None = None
        self.view_revision = 0
        self.view_applied_at = 0.0
        self.applied_serial = 0
        self.reported_epoch = 0
        self.confirmed_at = -float("inf")
        self.acks_received: dict[str, float] = {}
        self.acks_given: dict[str, float] = {}
        self.observed_revisions: dict[str, _ObservedRevision] = {}
        self.unlisted_since: dict[str, float] = {}
        self.quarantine_ends: dict[int, float] = {}
        self.stopped = False
        self.permits_lost = False
        self.started_at = clock.now()

    @property
    def name(self) -> str:
        """Return this member's name."""
        return self.info.member

    @property
    def is_member(self) -> bool:
        """Return whether this daemon is a member of its current view."""
        return self.view is not None and self.name in self.view.names

    @property
    def silence_timeout(self) -> float:
        """Return the seconds without a stored renewal after which a member may be excluded."""
        return self.validity_seconds * CLOCK_DRIFT_FACTOR + SILENCE_MARGIN_SECONDS

    def take_over(
        self, info: MemberInfo, view: View, revision: int, epoch: int, permits: Mapping[str, int]
    ) -> None:
        """Take over the membership that another daemon hands over.

        The acknowledgements that the other daemon sent are not known, so every member counts as
        acknowledged just now.

        :param info: this daemon under the name of the other
        :param view: view that the other daemon had applied
        :param revision: store revision of the view
        :param epoch: epoch of the permits
        :param permits: permits held, by resource
        """
        now = self.clock.now()
        self.info = info
        self.view, self.view_revision, self.view_applied_at = view, revision, now
        self.applied_serial = view.serial
        self.acks_received.clear()
        self.acks_given = dict.fromkeys(view.names, now)
        self.ledger.owner = f"{info.member}.{info.incarnation}"
        self.ledger.open_epoch(epoch, permits)
        self._schedule_quarantine_ends(view)

    def is_valid(self) -> bool:
        """Return whether this member may start jobs now."""
        if not self.is_member or self.stopped or not self.ledger.epoch:
            return False
        now = self.clock.now()
        if now - self.confirmed_at <= self.validity_seconds:
            return True
        return self.acknowledged_by_majority(now)

    def acknowledged_by_majority(self, now: float) -> bool:
        """Return whether a majority of the view recently acknowledged this member's heartbeats.

        :param now: current time on the daemon's clock
        """
        assert self.view is not None
        others = self.view.names - {self.name}
        recent = sum(
            1
            for peer in others
            if now - self.acks_received.get(peer, -1e9) <= self.validity_seconds
        )
        return 2 * (recent + 1) > len(self.view.members)

    # Input from the store

    def apply_view(self, view: View, revision: int) -> bool:
        """Apply a view if it is newer than the current one; return whether it is."""
        if revision <= self.view_revision:
            return False
        if self.view is None or view.epoch != self.view.epoch:
            self.acks_received.clear()
        if self.is_member and self.name not in view.names:
            self.ledger.abandon()
        self.view = view
        self.view_revision = revision
        self.view_applied_at = self.clock.now()
        self.observed_revisions = {
            name: observed
            for name, observed in self.observed_revisions.items()
            if name in view.names
        }
        min_acked_at = self.clock.now() - ACK_RETENTION_FACTOR * self.validity_seconds
        self.acks_given = {name: at for name, at in self.acks_given.items() if at > min_acked_at}
        self._schedule_quarantine_ends(view)
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

    def confirm_renewal(self, sent_at: float, view_revision: int) -> None:
        """Record a renewal in the store that was conditional on the view's revision.

        :param sent_at: when the renewal was sent, on the daemon's clock
        :param view_revision: view revision that the renewal was conditional on
        """
        if view_revision == self.view_revision and self.is_member:
            self.confirmed_at = max(self.confirmed_at, sent_at)

    def record_member_revisions(self, revisions: Mapping[str, int]) -> None:
        """Record the revisions of the members' keys as read from the store."""
        now = self.clock.now()
        for name in self.view.names if self.view else ():
            revision = revisions.get(name, 0)
            observed = self.observed_revisions.get(name)
            if observed is None or observed.revision != revision:
                self.observed_revisions[name] = _ObservedRevision(revision, now)

    def record_listed_vms(self, vms: Iterable[str]) -> None:
        """Record which members' VMs are missing from the platform's list.

        A list that lacks this daemon's own VM is not trusted and resets what was recorded.

        :param vms: names of the VMs on the list
        """
        listed = set(vms)
        now = self.clock.now()
        if self.info.vm not in listed or self.view is None:
            self.unlisted_since.clear()
            return
        for info in self.view.members:
            if info.vm in listed:
                self.unlisted_since.pop(info.member, None)
            else:
                self.unlisted_since.setdefault(info.member, now)

    # Input from peers

    def acknowledge(self, member: str, epoch: int) -> bool:
        """Return whether to acknowledge a member's heartbeat.

        An acknowledgement is a promise: until it expires, this daemon does not report for a view
        that excludes the member.
        """
        if self.view is None or member not in self.view.names or epoch > self.view.epoch:
            return False
        if self.reported_epoch > epoch and self.view.epoch > epoch:
            return False
        self.acks_given[member] = self.clock.now()
        return True

    def record_ack(self, peer: str, sent_at: float, epoch: int) -> None:
        """Record a peer's acknowledgement of a heartbeat.

        :param peer: member that acknowledged the heartbeat
        :param sent_at: when the heartbeat was sent, on the daemon's clock
        :param epoch: epoch in the heartbeat
        """
        if self.view is not None and epoch == self.view.epoch:
            self.acks_received[peer] = max(self.acks_received.get(peer, -1e9), sent_at)

    def report_delay_seconds(self, view: View) -> float:
        """Return for how many seconds this member may not yet report for a view.

        Its acknowledgements of the members that the view excludes must expire first.
        """
        now = self.clock.now()
        delays = [
            self.acks_given.get(name, -1e9) + self.validity_seconds * CLOCK_DRIFT_FACTOR - now
            for name in view.lost
        ]
        return max(0.0, max(delays, default=0.0))

    def report(self, view: View, revision: int) -> dict[str, int] | None:
        """Suspend permit transfers and report the permits held, for a collecting view.

        :returns: permits by resource, or None if this member may not report for the view
        """
        self.apply_view(view, revision)
        if self.view is None or self.view.epoch != view.epoch or not self.is_member:
            return None
        if self.view.state is not ViewState.COLLECTING or self.report_delay_seconds(view) > 0:
            return None
        self.reported_epoch = view.epoch
        self.ledger.suspend_transfers(view.limits, view.old_limits)
        return self.ledger.report()

    # Derived from the input

    def silent_members(self) -> set[str]:
        """Return the members whose keys have not changed for longer than the silence timeout."""
        now = self.clock.now()
        assert self.view is not None
        return {
            name
            for name in self.view.names
            if name != self.name
            and name in self.observed_revisions
            and now - self.observed_revisions[name].observed_at > self.silence_timeout
        }

    def unlisted_members(self) -> set[str]:
        """Return the members whose VMs are missing from the platform's list beyond its lag."""
        now = self.clock.now()
        max_unlisted_seconds = self.list_lag_seconds + UNLISTED_MARGIN_SECONDS
        return {
            name
            for name, since in self.unlisted_since.items()
            if now - since > max_unlisted_seconds
        }

    def new_collection(self) -> ReportCollection | None:
        """Return an empty collection if this member has to collect the reports for its view."""
        view = self.view
        if view is None or view.state is not ViewState.COLLECTING or view.proposer != self.name:
            return None
        return ReportCollection(view, self.view_revision)

    def lowered_limits(self, limits: Mapping[str, int]) -> dict[str, tuple[int, int]]:
        """Return the limits that are lower than in the view, as (new, old) by resource."""
        if self.view is None:
            return {}
        return {
            resource: (limits.get(resource, 0), old)
            for resource, old in self.view.limits.items()
            if limits.get(resource, 0) < old
        }

    def _schedule_quarantine_ends(self, view: View) -> None:
        now = self.clock.now()
        items: list[Quarantine | RecordLoss] = [*view.quarantine, *view.shadows]
        serials = {item.serial for item in items}
        self.quarantine_ends = {
            serial: at for serial, at in self.quarantine_ends.items() if serial in serials
        }
        for item in items:
            self.quarantine_ends.setdefault(item.serial, now + item.seconds * CLOCK_DRIFT_FACTOR)

    def _apply_grants(self, view: View) -> None:
        """Credit the grants of an open view to this member that were not applied before."""
        own_grants = [grant for grant in view.grants if grant.member == self.name]
        if view.epoch > self.ledger.epoch:
            permits: dict[str, int] = {}
            for grant in own_grants:
                for resource, count in grant.permits.items():
                    permits[resource] = permits.get(resource, 0) + count
            self.ledger.open_epoch(view.epoch, permits, view.excess)
            self.permits_lost = False
        else:
            for grant in own_grants:
                if grant.serial > self.applied_serial:
                    self.ledger.grant(grant.permits)
        self.applied_serial = view.serial
