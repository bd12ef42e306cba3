"""Division of a team's limit among pools."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from ...batch import Amount
from ..shares import ShareRecord, TeamShares

LIMIT = Amount(10_000, 0, 0)


def make_shares(pool="desk", limit=LIMIT, **pools):
    shares = TeamShares(pool)
    shares.set_limits({"agents": limit})
    shares.records["agents"] = ShareRecord(7, {name: (cpu, 0, 0) for name, cpu in pools.items()})
    return shares


@pytest.mark.parametrize(
    ("pools", "running", "more", "allowed"),
    [
        ({"desk": 4000}, 3000, 1000, True),
        ({"desk": 4000}, 3000, 1001, False),
        ({}, 0, 1, False),
        ({"desk": 8000, "tour": 12000}, 3000, 1000, True),
        ({"desk": 8000, "tour": 12000}, 3500, 1000, False),
    ],
)
def test_team_may_run_no_more_than_its_share(pools, running, more, allowed):
    result = make_shares(**pools).allows("agents", Amount(running), Amount(more))
    assert_that(result, Is(allowed))


def test_team_without_a_limit_is_unlimited():
    assert_that(TeamShares("desk").allows("", Amount(), Amount(10**9)), Is(True))


@pytest.mark.parametrize(
    ("pools", "running", "wanted", "expected"),
    [
        ({}, 0, 3000, 3400),
        ({"tour": 9000}, 0, 3000, 1000),
        ({"tour": 10_000}, 0, 3000, None),
        ({"desk": 3400}, 3000, 3000, None),
        ({"desk": 6000}, 1000, 1000, 1400),
        ({"desk": 6000}, 0, 0, 0),
        ({"desk": 6000, "tour": 8000}, 5000, 5000, 5000),
    ],
)
def test_share_follows_the_need_within_the_limit(pools, running, wanted, expected):
    changes = make_shares(**pools).plan({"agents": Amount(running)}, {"agents": Amount(wanted)})
    result = changes[0].pools.get("desk", (0,))[0] if changes else None
    assert_that(result, Equals(expected))


@pytest.mark.parametrize(
    ("running", "unseen", "expected"),
    [(0, 5000, None), (1000, 3000, 4000), (3000, 9000, None), (0, 0, 0), (7000, 0, 7000)],
)
def test_share_in_which_runs_of_an_earlier_owner_may_go_on_is_not_returned(
    running, unseen, expected
):
    """Another pool would take it, and the team would exceed its limit."""
    usage = {"agents": Amount(running)}
    changes = make_shares(desk=6000, tour=3000).plan(usage, usage, {"agents": Amount(unseen)})
    result = changes[0].pools.get("desk", (0,))[0] if changes else None
    assert_that(result, Equals(expected))


@given(
    needs=st.lists(
        st.tuples(st.sampled_from(["desk", "tour", "film"]), st.integers(0, 15_000)), max_size=30
    )
)
def test_sum_of_the_shares_never_exceeds_the_limit(needs):
    record = ShareRecord()
    for pool, wanted in needs:
        shares = TeamShares(pool)
        shares.set_limits({"agents": LIMIT})
        shares.records["agents"] = record
        for change in shares.plan({}, {"agents": Amount(wanted)}):
            record = ShareRecord(record.revision + 1, change.pools)
        assert sum(row[0] for row in record.pools.values()) <= LIMIT.cpu_millicores
