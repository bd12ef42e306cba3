"""Tests of a member's validity, acknowledgements and proposals."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from ...clock import ManualClock
from ...quota.ledger import Ledger
from ..member import Member
from ..proposer import Proposer
from ..transitions import append_grants, divide_permits, initial_view, open_view, propose_view
from ..view import MemberInfo, View, ViewState, decode_view, encode_view

LIMITS = {"team/t": 6}


def make_info(name):
    return MemberInfo(name, name, "d", f"{name}:1", f"{name}:2")


def make_view(*names, epoch=2, **fields):
    members = tuple(make_info(name) for name in names)
    return View(epoch, ViewState.OPEN, members, limits=LIMITS, serial=1, **fields)


def make_member(name="a", *others):
    clock = ManualClock(100.0)
    member = Member(make_info(name), clock, Ledger(name), 4.0, 10.0)
    member.apply_view(make_view(name, *others), 5)
    return member, clock


@pytest.mark.parametrize(("after", "valid"), [(0.0, True), (3.9, True), (4.1, False)])
def test_validity_starts_when_the_renewal_was_sent(after, valid):
    member, clock = make_member("a", "b")
    member.confirm_renewal(clock.now(), 5)
    clock.advance(after)
    assert_that(member.is_valid(), Is(valid))


def test_renewal_against_another_view_is_ignored():
    member, clock = make_member("a", "b")
    member.confirm_renewal(clock.now(), 4)
    assert_that(member.is_valid(), Is(False))


@pytest.mark.parametrize(
    ("peers", "epoch", "valid"),
    [(["b"], 2, False), (["b", "c"], 2, True), (["b", "c"], 1, False)],
)
def test_majority_of_acknowledgements_keeps_a_member_valid_without_the_store(peers, epoch, valid):
    member, clock = make_member("a", "b", "c", "d", "e")
    for peer in peers:
        member.record_ack(peer, clock.now(), epoch)
    assert_that(member.is_valid(), Is(valid))
    clock.advance(4.1)
    assert_that(member.is_valid(), Is(False))


@pytest.mark.parametrize(("seconds", "silent"), [(4.0, False), (4.4, False), (4.7, True)])
def test_member_counts_as_silent_only_after_its_validity_has_expired(seconds, silent):
    member, clock = make_member("a", "b", "c")
    member.record_member_revisions({"a": 1, "b": 1, "c": 1})
    clock.advance(seconds)
    member.record_member_revisions({"a": 2, "b": 1, "c": 2})
    assert_that("b" in member.silent_members(), Is(silent))


@pytest.mark.parametrize(("after", "may_report"), [(1.0, False), (4.0, False), (4.2, True)])
def test_report_without_an_acknowledged_member_must_wait(after, may_report):
    member, clock = make_member("a", "b", "c")
    assert_that(member.acknowledge("b", 2), Is(True))
    clock.advance(after)
    view = propose_view(make_view("a", "b", "c"), "a", LIMITS, lost=["b"])
    assert_that(member.report(view, 6) is not None, Is(may_report))
    assert_that(member.acknowledge("b", 2), Is(False))


def test_minority_excludes_a_member_only_if_its_vm_is_unlisted():
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
    previous = make_view("a", "b", "c")
    view = propose_view(previous, "a", LIMITS, lost=["c"])
    opened = open_view(view, {"a": {"team/t": 2}, "b": {"team/t": 1}}, 30.0, 60.0)
    assert_that(opened.grants, Equals(()))
    assert_that(opened.quarantine[0].permits, Equals({"team/t": 3}))


def test_permits_of_a_member_that_left_are_granted_again():
    view = propose_view(make_view("a", "b", "c"), "a", LIMITS, leaving=["c"])
    opened = open_view(view, {"a": {"team/t": 2}, "b": {"team/t": 1}}, 30.0, 60.0)
    assert_that(sum(sum(g.permits.values()) for g in opened.grants), Equals(3))


@pytest.mark.parametrize(("excess", "added"), [({}, 4), ({"team/t": 3}, 1), ({"team/t": 9}, 0)])
def test_raised_limit_does_not_grant_permits_still_in_use(excess, added):
    view = append_grants(make_view("a", "b", excess=excess), {"team/t": 10})
    assert_that(sum(sum(g.permits.values()) for g in view.grants), Equals(added))


@pytest.mark.parametrize("count", [0, 1, 7, 20])
def test_dividing_permits_loses_none(count):
    parts = divide_permits({"slot/v": count}, ["a", "b", "c"])
    assert_that(sum(part.get("slot/v", 0) for part in parts.values()), Equals(count))


def test_view_is_unchanged_by_encoding_and_decoding():
    view = open_view(
        propose_view(initial_view(make_info("a"), LIMITS), "a", LIMITS), {"a": {}}, 1.0, 1.0
    )
    assert_that(decode_view(encode_view(view)), Equals(view))
