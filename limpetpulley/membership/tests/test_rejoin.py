"""Tests of excluded members that rejoin: their quarantined permits become usable at once."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...clock import ManualClock
from ...quota.ledger import Ledger
from ..member import Member
from ..transitions import open_view, propose_view, release_quarantine
from ..view import MemberInfo, View, ViewState

TEAM = "team/t"
LIMIT = 9
QUARANTINE_SECONDS = 12.0


class Fleet:
    """Three members that share a limit evenly, and the sequence of their views."""

    def __init__(self, in_use):
        self.view, self.revision = None, 0
        self.clock = ManualClock(100.0)
        self.members = {}
        for name in ("a", "b", "c"):
            info = MemberInfo(name, name, "d", f"{name}:1", f"{name}:2")
            self.members[name] = Member(info, self.clock, Ledger(name), 4.0, 10.0)
        infos = tuple(member.info for member in self.members.values())
        self.apply(View(1, ViewState.OPEN, infos, limits={TEAM: LIMIT}))
        for name, member in self.members.items():
            member.ledger.grant({TEAM: LIMIT // 3})
            for _ in range(in_use.get(name, 0)):
                member.ledger.acquire(TEAM)

    def apply(self, view):
        self.revision += 1
        self.view = view
        for member in self.members.values():
            member.apply_view(view, self.revision)

    def change_view(self, limit=LIMIT, joining=(), lost=()):
        """Change to the next view: collect the reports of all its members and open it."""
        joining_infos = [self.members[name].info for name in joining]
        self.apply(propose_view(self.view, "a", {TEAM: limit}, joining_infos, lost))
        self.clock.advance(6.0)
        reports = {
            name: self.members[name].report(self.view, self.revision) for name in self.view.names
        }
        self.apply(open_view(self.view, reports, QUARANTINE_SECONDS, 60.0))

    def end_jobs(self, name):
        ledger = self.members[name].ledger
        while ledger.holding(TEAM).used:
            ledger.release(TEAM)

    def held_permits(self):
        return sum(member.ledger.holding(TEAM).held for member in self.members.values())


@pytest.mark.parametrize("in_use", [{}, {"b": 1}, {"b": 3}, {"a": 2, "b": 2, "c": 3}])
@pytest.mark.parametrize("lost", [("b",), ("b", "c")])
def test_permits_of_rejoining_members_become_usable_at_once(lost, in_use):
    fleet = Fleet(in_use)
    fleet.change_view(lost=lost)
    assert_that(len(fleet.view.quarantine), Equals(1))
    for name in lost:
        fleet.change_view(joining=[name])
    assert_that(fleet.view.quarantine, Equals(()))
    assert_that(fleet.held_permits(), Equals(LIMIT))
    for name in lost:
        fleet.end_jobs(name)
    assert_that(fleet.held_permits(), Equals(LIMIT))


def test_permits_stay_quarantined_until_all_lost_members_have_rejoined():
    fleet = Fleet({"c": 2})
    fleet.change_view(lost=["b", "c"])
    fleet.change_view(joining=["b"])
    assert_that(len(fleet.view.quarantine), Equals(1))
    held = sum(fleet.members[name].ledger.holding(TEAM).held for name in ("a", "b"))
    assert_that(held, Equals(LIMIT // 3))


def test_jobs_that_end_between_report_and_opening_lose_no_permit():
    fleet = Fleet({"b": 2})
    fleet.change_view(lost=["b"])
    member = fleet.members["b"]
    fleet.apply(propose_view(fleet.view, "a", {TEAM: LIMIT}, [member.info]))
    reports = {
        name: each.report(fleet.view, fleet.revision) for name, each in fleet.members.items()
    }
    fleet.end_jobs("b")
    fleet.apply(open_view(fleet.view, reports, QUARANTINE_SECONDS, 60.0))
    assert_that(fleet.held_permits(), Equals(LIMIT))


def test_permits_of_a_rejoining_member_do_not_exceed_a_lowered_limit():
    fleet = Fleet({"a": 3, "b": 3, "c": 3})
    fleet.change_view(lost=["b"])
    fleet.change_view(limit=3, joining=["b"])
    fleet.apply(release_quarantine(fleet.view, [i.serial for i in fleet.view.quarantine]))
    for name in ("a", "b", "c"):
        fleet.end_jobs(name)
    assert_that(fleet.held_permits() <= 3, Equals(True))


def test_member_that_rejoins_after_the_quarantine_keeps_no_released_permits():
    fleet = Fleet({"b": 3})
    fleet.change_view(lost=["b"])
    fleet.change_view()
    assert_that(len(fleet.view.quarantine), Equals(1))
    released = fleet.view.quarantine[0].serial
    fleet.apply(release_quarantine(fleet.view, [released]))
    assert_that(fleet.held_permits(), Equals(LIMIT + 3))
    fleet.change_view(joining=["b"])
    fleet.end_jobs("b")
    assert_that(fleet.held_permits(), Equals(LIMIT))
