"""Tests of key records, their placement and the response cache."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from ...clock import ManualClock
from ..holders import choose_holders, quorum_size, record_may_be_lost
from ..records import KeyRecordTable, KeyState
from ..response_cache import CachedResponse, ResponseCache

MEMBERS = [(f"m{n}", f"d{n % 3}") for n in range(7)]


@pytest.mark.parametrize("key", ["a", "b", "c", "invoice-7"])
def test_holders_are_in_different_data_centres(key):
    holders = choose_holders(key, MEMBERS)
    data_centres = {dict(MEMBERS)[holder] for holder in holders}
    assert_that((len(holders), len(data_centres)), Equals((3, 3)))


@pytest.mark.parametrize("lost", [0, 1, 2, 3])
def test_record_may_be_lost_with_two_holders(lost):
    holders = choose_holders("k", MEMBERS)
    assert_that(record_may_be_lost("k", MEMBERS, holders[:lost]), Is(lost >= 2))


@pytest.mark.parametrize(("holders", "count"), [(1, 1), (2, 2), (3, 2)])
def test_any_two_quorums_overlap(holders, count):
    assert_that(quorum_size(holders), Equals(count))
    assert_that(2 * quorum_size(holders) > holders, Is(True))


def test_second_claim_returns_the_record_of_the_first():
    table = KeyRecordTable(ManualClock())
    first = table.claim("k", b"x", "a", "j1", 60.0)
    assert_that(table.claim("k", b"x", "b", "j2", 60.0), Is(first))
    table.settle("k", "j2", KeyState.RELEASED)
    assert_that(table.claim("k", b"x", "b", "j2", 60.0), Is(first))
    table.settle("k", "j1", KeyState.RELEASED)
    assert_that(table.claim("k", b"x", "b", "j2", 60.0).job, Equals("j2"))


def test_records_expire_and_outcomes_replace_claims():
    clock = ManualClock()
    table, other = KeyRecordTable(clock), KeyRecordTable(clock)
    table.claim("k", b"x", "a", "j1", 60.0)
    other.put(table.all())
    other.settle("k", "j1", KeyState.ANSWERED)
    table.put(other.all())
    assert_that(table.all()[0].state, Equals(KeyState.ANSWERED))
    clock.advance(61.0)
    assert_that((len(table.all()), len(table)), Equals((0, 0)))


def test_cached_responses_stay_within_the_memory_limit():
    cache = ResponseCache(max_bytes=100)
    for number in range(10):
        cache.put(f"k{number}", CachedResponse(200, (), b"x" * 30))
    assert_that(cache.total_bytes <= 100, Is(True))
    assert_that((cache.get("k0"), cache.get("k9") is not None), Equals((None, True)))
