"""Daemons on slow links follow those on fast ones, and all of these have a share."""

from collections import Counter

import pytest

from ...batch.keys import BatchKeys
from ..directory import Directory, Member
from ..relays import MAX_RELAYS, choose_relays, estimate_read_seconds

LARGE_BYTES = 305_000


def make_directory(strengths, leaving=()):
    directory = Directory(BatchKeys("lp/"))
    directory.members = {
        name: Member(name, 1, f"{name}:1", strength=strength, leaving=name in leaving)
        for name, strength in strengths.items()
    }
    return directory


def names(members):
    return {member.name for member in members}


FAST = {f"fast-{number}": 2.15 for number in range(3)}
SLOW = {f"slow-{number}": 0.125 for number in range(27)}


@pytest.mark.parametrize(
    ("strengths", "leaving", "local", "expected"),
    [
        (FAST | SLOW, (), "slow-1", set(FAST)),
        (FAST | SLOW, (), "fast-1", set()),
        (FAST | SLOW, ("fast-0",), "slow-1", {"fast-1", "fast-2"}),
        # Those on links of the same kind read the store themselves, as long as they are few.
        (dict(list(SLOW.items())[:MAX_RELAYS]), (), "slow-1", set()),
        ({"slow-1": 0.125}, (), "slow-1", set()),
        # A daemon that is not listed yet.
        (FAST, (), "new", set(FAST)),
    ],
)
def test_relays_are_the_daemons_with_fast_links(strengths, leaving, local, expected):
    directory = make_directory(strengths, leaving)
    member = directory.members.get(local) or Member(local, 1, f"{local}:1", strength=0.125)
    assert names(choose_relays(directory, member)) == expected


@pytest.mark.parametrize(("strengths", "leaving"), [(SLOW, ()), (FAST | SLOW, tuple(FAST))])
def test_of_many_equal_daemons_a_few_read_the_store(strengths, leaving):
    directory = make_directory(strengths, leaving)
    relays = [choose_relays(directory, directory.members[name]) for name in SLOW]
    assert sum(not each for each in relays) == MAX_RELAYS
    assert len({frozenset(names(each)) for each in relays if each}) == 1


def test_relays_share_the_followers():
    directory = make_directory({f"fast-{number}": 2.15 for number in range(8)} | SLOW)
    first = Counter(choose_relays(directory, directory.members[name])[0].name for name in SLOW)
    assert max(first.values()) <= 8
    assert len(first) >= 6


@pytest.mark.parametrize(
    ("strength", "value_bytes", "seconds"),
    [(0.125, LARGE_BYTES, 0.65), (2.15, LARGE_BYTES, 0.038), (0.125, 10_000, 0.021)],
)
def test_time_of_a_whole_read_follows_from_the_link(strength, value_bytes, seconds):
    member = Member("entry-1", 1, "entry-1:1", strength=strength)
    assert estimate_read_seconds(member, value_bytes) == pytest.approx(seconds, rel=0.02)
