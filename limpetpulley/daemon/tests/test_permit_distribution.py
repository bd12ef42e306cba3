"""Tests that a daemon sends permits only on orders of possible advisers, and only to members."""

import random
from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...membership import Member, MemberInfo, View, ViewState
from ...peer import peer_pb2 as pb
from ...quota.ledger import Ledger
from ...scheduling.starter import Starter
from ..peers import PeerTable
from ..permit_distribution import PermitDistributor

VALIDITY_SECONDS = 5.0
LIST_LAG_SECONDS = 60.0
HELD_PERMITS = 4


def make_info(name):
    return MemberInfo(name, f"vm-{name}", "dc1", f"{name}:2", f"{name}:1")


def make_distributor(state, started):
    """Return a distributor of daemon `own`, which appends the transfers it sends to a list.

    Its view has the members `own` and `other`; `former` belonged to the last open epoch only,
    and `joining` is a daemon that the view does not name.
    """
    clock = SimpleNamespace(now=lambda: 100.0)
    ledger = Ledger("own")
    member = Member(make_info("own"), clock, ledger, VALIDITY_SECONDS, LIST_LAG_SECONDS)
    members, previous = (
        tuple(make_info(name) for name in names) for names in (("other", "own"), ("former", "own"))
    )
    member.view = View(8, state, members, previous)
    ledger.open_epoch(8, {"team/desk": HELD_PERMITS})
    peers = PeerTable(clock, member)
    for name in ("other", "former", "joining"):
        peers.record_contact(make_info(name), is_member=True)
    starter = Starter("own", "dc1", clock, ledger, SimpleNamespace(), random.Random(1))
    tasks = SimpleNamespace(start_soon=lambda guard, function, *args: started.append(args))
    return PermitDistributor(
        clock, member, ledger, starter, peers, SimpleNamespace(), tasks, random.Random(1)
    )


@pytest.mark.parametrize(
    ("sender", "target", "targets_sent_to"),
    [
        ("ghost", "team/desk", []),
        ("ghost", "other", []),
        ("", "other", []),
        ("joining", "other", []),
        ("other", "ghost", []),
        ("other", "former", []),
        ("other", "joining", []),
        ("other", "other", ["other"]),
        ("own", "other", ["other"]),
        ("former", "other", ["other"]),
    ],
)
@pytest.mark.parametrize("state", list(ViewState))
def test_order_transfers_permits_only_from_possible_adviser_to_member(
    state, sender, target, targets_sent_to
):
    started = []
    distributor = make_distributor(state, started)
    order = pb.Order(
        order_id="o", group="team/desk", resource="team/desk", source="own", target=target, count=1
    )
    distributor.receive_advice(pb.AdviceBatch(adviser=sender, orders=[order]))
    assert_that([to for to, _, _ in started], Equals(targets_sent_to))
    assert_that(distributor.ledger.free("team/desk"), Equals(HELD_PERMITS - len(targets_sent_to)))


def test_order_to_a_non_member_is_reported_as_handled():
    distributor = make_distributor(ViewState.OPEN, [])
    order = pb.Order(order_id="o", group="team/desk", resource="team/desk", target="ghost", count=1)
    distributor.receive_advice(pb.AdviceBatch(adviser="other", orders=[order]))
    assert_that(distributor.starter.report("team/desk").done, Equals(("o",)))
