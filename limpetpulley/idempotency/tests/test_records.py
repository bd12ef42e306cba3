"""Tests of records of keys and of who holds them."""

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
    centres = {dict(MEMBERS)[holder] for holder in holders}
    assert_that((len(holders), len(centres)), Equals((3, 3)))


@pytest.mark.parametrize("lost", [0, 1, 2, 3])
def test_two_lost_holders_make_a_key_uncertain(lost):
    holders = choose_holders("k", MEMBERS)
    assert_that(record_may_be_lost("k", MEMBERS, holders[:lost]), Is(lost >= 2))


@pytest.mark.parametrize(("holders", "count"), [(1, 1), (2, 2), (3, 2)])
def test_any_two_claims_meet_at_a_holder(holders, count):
    assert_that(quorum_size(holders), Equals(count))
    assert_that(2 * quorum_size(holders) > holders, Is(True))


def test_second_claim_gets_the_first():
    book = KeyRecordTable(ManualClock())
    first = book.claim("k", b"x", "a", "j1", 60.0)
    assert_that(book.claim("k", b"x", "b", "j2", 60.0), Is(first))
    book.settle("k", "j2", KeyState.RELEASED)
    assert_that(book.claim("k", b"x", "b", "j2", 60.0), Is(first))
    book.settle("k", "j1", KeyState.RELEASED)
    assert_that(book.claim("k", b"x", "b", "j2", 60.0).job, Equals("j2"))


def test_records_expire_and_outcomes_replace_claims():
    clock = ManualClock()
    book, other = KeyRecordTable(clock), KeyRecordTable(clock)
    book.claim("k", b"x", "a", "j1", 60.0)
    other.put(book.all())
    other.settle("k", "j1", KeyState.ANSWERED)
    book.put(other.all())
    assert_that(book.all()[0].state, Equals(KeyState.ANSWERED))
    clock.advance(61.0)
    assert_that((len(book.all()), len(book)), Equals((0, 0)))


def test_kept_answers_stay_within_their_bound():
    cache = ResponseCache(max_bytes=100)
    for number in range(10):
        cache.put(f"k{number}", CachedResponse(200, (), b"x" * 30))
    assert_that(cache.total <= 100, Is(True))
    assert_that((cache.get("k0"), cache.get("k9") is not None), Equals((None, True)))
