"""Members that were left out and come back: what they held is used again at once."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...clock import ManualClock
from ...quota.ledger import Ledger
from ..member import Member
from ..planner import open_view, propose_view, release_quarantine
from ..view import MemberInfo, View, ViewState

TEAM = "team/t"
LIMIT = 9
QUARANTINE_SECONDS = 12.0


class Members:
    """Three members that share a limit evenly, and the views that follow from each other."""

    def __init__(self, using):
        self.view, self.revision = None, 0
        self.clock = ManualClock(100.0)
        self.members = {}
        for name in ("a", "b", "c"):
            info = MemberInfo(name, name, "d", f"{name}:1", f"{name}:2")
            self.members[name] = Member(info, self.clock, Ledger(name), 4.0, 10.0)
        infos = tuple(member.info for member in self.members.values())
        self.spread(View(1, ViewState.OPEN, infos, limits={TEAM: LIMIT}))
        for name, member in self.members.items():
            member.ledger.grant({TEAM: LIMIT // 3})
            for _ in range(using.get(name, 0)):
                member.ledger.acquire(TEAM)

    def spread(self, view):
        self.revision += 1
        self.view = view
        for member in self.members.values():
            member.take_view(view, self.revision)

    def follow(self, limit=LIMIT, joining=(), lost=()):
        """Let a view follow in which all members report."""
        joined = [self.members[name].info for name in joining]
        self.spread(propose_view(self.view, "a", {TEAM: limit}, joined, lost))
        self.clock.advance(6.0)
        reports = {
            name: self.members[name].report(self.view, self.revision) for name in self.view.names
        }
        self.spread(open_view(self.view, reports, QUARANTINE_SECONDS, 60.0))

    def end_jobs(self, name):
        ledger = self.members[name].ledger
        while ledger.holding(TEAM).used:
            ledger.release(TEAM)

    def held(self):
        return sum(member.ledger.holding(TEAM).held for member in self.members.values())


@pytest.mark.parametrize("using", [{}, {"b": 1}, {"b": 3}, {"a": 2, "b": 2, "c": 3}])
@pytest.mark.parametrize("lost", [("b",), ("b", "c")])
def test_permits_of_a_member_that_comes_back_are_used_again_at_once(lost, using):
    members = Members(using)
    members.follow(lost=lost)
    assert_that(len(members.view.quarantine), Equals(1))
    for name in lost:
        members.follow(joining=[name])
    assert_that(members.view.quarantine, Equals(()))
    assert_that(members.held(), Equals(LIMIT))
    for name in lost:
        members.end_jobs(name)
    assert_that(members.held(), Equals(LIMIT))


def test_permits_stay_unused_until_all_lost_members_are_back():
    members = Members({"c": 2})
    members.follow(lost=["b", "c"])
    members.follow(joining=["b"])
    assert_that(len(members.view.quarantine), Equals(1))
    used = sum(members.members[name].ledger.holding(TEAM).held for name in ("a", "b"))
    assert_that(used, Equals(LIMIT // 3))


def test_jobs_that_end_between_report_and_opening_cost_no_permit():
    members = Members({"b": 2})
    members.follow(lost=["b"])
    member = members.members["b"]
    members.spread(propose_view(members.view, "a", {TEAM: LIMIT}, [member.info]))
    reports = {
        name: each.report(members.view, members.revision) for name, each in members.members.items()
    }
    members.end_jobs("b")
    members.spread(open_view(members.view, reports, QUARANTINE_SECONDS, 60.0))
    assert_that(members.held(), Equals(LIMIT))


def test_a_lowered_limit_is_not_passed_by_what_a_member_brings_back():
    members = Members({"a": 3, "b": 3, "c": 3})
    members.follow(lost=["b"])
    members.follow(limit=3, joining=["b"])
    members.spread(release_quarantine(members.view, [i.serial for i in members.view.quarantine]))
    for name in ("a", "b", "c"):
        members.end_jobs(name)
    assert_that(members.held() <= 3, Equals(True))


def test_a_member_that_comes_back_after_the_quarantine_keeps_nothing_of_it():
    members = Members({"b": 3})
    members.follow(lost=["b"])
    members.follow()
    assert_that(len(members.view.quarantine), Equals(1))
    released = members.view.quarantine[0].serial
    members.spread(release_quarantine(members.view, [released]))
    assert_that(members.held(), Equals(LIMIT + 3))
    members.follow(joining=["b"])
    members.end_jobs("b")
    assert_that(members.held(), Equals(LIMIT))
