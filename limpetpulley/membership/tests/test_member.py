"""Tests of one member's validity, promises and proposals."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from ...clock import ManualClock
from ...quota.ledger import Ledger
from ..member import Member
from ..proposer import Proposer
from ..transitions import append_grants, divide, initial_view, open_view, propose_view
from ..view import MemberInfo, View, ViewState, decode_view, encode_view

LIMITS = {"team/t": 6}


def info(name):
    return MemberInfo(name, name, "d", f"{name}:1", f"{name}:2")


def view_of(*names, epoch=2, **fields):
    members = tuple(info(name) for name in names)
    return View(epoch, ViewState.OPEN, members, limits=LIMITS, serial=1, **fields)


def make_member(name="a", *others):
    clock = ManualClock(100.0)
    member = Member(info(name), clock, Ledger(name), 4.0, 10.0)
    member.apply_view(view_of(name, *others), 5)
    return member, clock


@pytest.mark.parametrize(("after", "valid"), [(0.0, True), (3.9, True), (4.1, False)])
def test_renewal_counts_from_when_it_was_sent(after, valid):
    member, clock = make_member("a", "b")
    member.confirm_renewal(clock.now(), 5)
    clock.advance(after)
    assert_that(member.is_valid(), Is(valid))


def test_renewal_against_another_view_does_not_count():
    member, clock = make_member("a", "b")
    member.confirm_renewal(clock.now(), 4)
    assert_that(member.is_valid(), Is(False))


@pytest.mark.parametrize(
    ("peers", "epoch", "valid"),
    [(["b"], 2, False), (["b", "c"], 2, True), (["b", "c"], 1, False)],
)
def test_majority_of_acknowledgements_stands_in_for_the_store(peers, epoch, valid):
    member, clock = make_member("a", "b", "c", "d", "e")
    for peer in peers:
        member.record_ack(peer, clock.now(), epoch)
    assert_that(member.is_valid(), Is(valid))
    clock.advance(4.1)
    assert_that(member.is_valid(), Is(False))


@pytest.mark.parametrize(("seconds", "silent"), [(4.0, False), (4.4, False), (4.7, True)])
def test_member_is_silent_only_after_its_longest_validity(seconds, silent):
    member, clock = make_member("a", "b", "c")
    member.record_member_revisions({"a": 1, "b": 1, "c": 1})
    clock.advance(seconds)
    member.record_member_revisions({"a": 2, "b": 1, "c": 2})
    assert_that("b" in member.silent_members(), Is(silent))


@pytest.mark.parametrize(("after", "reports"), [(1.0, False), (4.0, False), (4.2, True)])
def test_acknowledged_member_is_not_reported_without(after, reports):
    member, clock = make_member("a", "b", "c")
    assert_that(member.acknowledge("b", 2), Is(True))
    clock.advance(after)
    view = propose_view(view_of("a", "b", "c"), "a", LIMITS, lost=["b"])
    assert_that(member.report(view, 6) is not None, Is(reports))
    assert_that(member.acknowledge("b", 2), Is(False))


def test_minority_leaves_nobody_out():
    member, clock = make_member("a", "b", "c", "d", "e")
    member.record_member_revisions({"a": 1, "b": 1})
    clock.advance(20.0)
    member.record_member_revisions({"a": 2, "b": 2})
    assert_that(Proposer(member).propose(LIMITS, True), Is(None))
    member.record_listed_vms(["a", "b"])
    clock.advance(16.0)
    member.record_member_revisions({"a": 3, "b": 3})
    proposal = Proposer(member).propose(LIMITS, True)
    assert_that(proposal.view.names, Equals({"a", "b"}))


def test_permits_of_a_lost_member_are_quarantined():
    before = view_of("a", "b", "c")
    view = propose_view(before, "a", LIMITS, lost=["c"])
    opened = open_view(view, {"a": {"team/t": 2}, "b": {"team/t": 1}}, 30.0, 60.0)
    assert_that(opened.grants, Equals(()))
    assert_that(opened.quarantine[0].permits, Equals({"team/t": 3}))


def test_permits_of_a_member_that_left_are_granted_again():
    view = propose_view(view_of("a", "b", "c"), "a", LIMITS, leaving=["c"])
    opened = open_view(view, {"a": {"team/t": 2}, "b": {"team/t": 1}}, 30.0, 60.0)
    assert_that(sum(sum(g.permits.values()) for g in opened.grants), Equals(3))


@pytest.mark.parametrize(("excess", "added"), [({}, 4), ({"team/t": 3}, 1), ({"team/t": 9}, 0)])
def test_raised_limit_does_not_add_what_is_still_in_use(excess, added):
    view = append_grants(view_of("a", "b", excess=excess), {"team/t": 10})
    assert_that(sum(sum(g.permits.values()) for g in view.grants), Equals(added))


@pytest.mark.parametrize("count", [0, 1, 7, 20])
def test_division_loses_nothing(count):
    parts = divide({"slot/v": count}, ["a", "b", "c"])
    assert_that(sum(part.get("slot/v", 0) for part in parts.values()), Equals(count))


def test_view_survives_the_store():
    view = open_view(
        propose_view(initial_view(info("a"), LIMITS), "a", LIMITS), {"a": {}}, 1.0, 1.0
    )
    assert_that(decode_view(encode_view(view)), Equals(view))
