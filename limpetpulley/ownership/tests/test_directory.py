"""Which daemon claims a pool, and which one hands one over."""

import anyio
import pytest

from ...batch import JobState
from ...batch.keys import BatchKeys
from ..directory import Directory, Member, Ownership, choose_release
from .test_calm_day import NAMES, play, two_steps

KEYS = BatchKeys("lp/")


def directory_of(claims, members):
    directory = Directory(KEYS)
    directory.members = {name: Member(name, 1, f"{name}:1") for name in members}
    directory.owners = {pool: Ownership(name, 1, 5) for pool, name in claims.items()}
    return directory


@pytest.mark.parametrize(
    ("claims", "members", "jobs", "expected"),
    [
        ({}, "ab", {}, None),
        ({"p": "a"}, "ab", {"p": 3}, None),
        ({"p": "a", "q": "a"}, "a", {"p": 3, "q": 4}, None),
        ({"p": "a", "q": "a"}, "ab", {"p": 3, "q": 4}, "p"),
        ({"p": "a", "q": "a"}, "ab", {"p": 4, "q": 4}, "p"),
        ({"p": "a", "q": "a"}, "ab", {"q": 4}, "q"),
        ({"p": "a", "q": "a"}, "ab", {}, None),
        ({"p": "a", "q": "a", "r": "b"}, "ab", {"p": 3, "q": 4}, None),
        ({"p": "a", "q": "a", "r": "b"}, "abc", {"p": 3, "q": 4}, "p"),
        ({"@planner": "a", "q": "a"}, "ab", {"q": 4}, "q"),
        ({"p": "b", "q": "b"}, "ab", {}, None),
    ],
)
def test_a_daemon_with_more_pools_than_another_hands_over_the_quietest(
    claims, members, jobs, expected
):
    me = Member("a", 1, "a:1")
    assert choose_release(directory_of(claims, members), me, jobs) == expected


def test_pools_spread_over_daemons_that_come_later_and_no_job_is_lost():
    async def story(day):
        fleet = day.fleet
        for name in NAMES[1:]:
            fleet.kill(name)
        await anyio.sleep(4.0)
        alone = {fleet.owner_of(pool) for pool in ("desk", "tour")}
        for name in NAMES[1:]:
            fleet.start_daemon(name)
        for number in range(40):
            await day.submit(("desk", "tour")[number % 2], two_steps(), at=NAMES[0])
            await anyio.sleep(0.2)
        await anyio.sleep(4.0)
        owners = [fleet.owner_of("desk"), fleet.owner_of("tour")]
        return alone, owners, await day.states(), day.refused, day.overlaps()

    alone, owners, states, refused, overlaps = play(story)
    assert alone == {NAMES[0]}
    assert len(set(owners)) == 2
    assert set(states.values()) == {JobState.COMPLETED}
    assert refused == []
    assert overlaps == []
