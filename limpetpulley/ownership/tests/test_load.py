"""A load that peaks in turn: what callers get, against plain ways to serve it."""

from statistics import mean

import pytest

from ...pool import planning, queue_forecast
from ...scheduling.batch_admission import Verdict
from .. import intake
from .loadplayer import TEAMS, Load, play_load, served

#: the plays are shared by the tests of one worker
pytestmark = pytest.mark.xdist_group("load")
#: demand of about five times the mean, beyond what a pool holds; with the VMs of the pool that is
#: off it can be served
PEAKS = Load(peak=18.0, quiet=0.5, turn=3.0, vms=2, spare=4)
SEEDS = (1, 2)
#: for a comparison whose plays differ by chance as much as by what is compared
MANY_SEEDS = range(1, 9)
#: a difference below this is chance
NOISE = 0.03
#: what a late end is worth to its caller, against one in time
LATE_WORTH = 0.5


def first_come(job):
    return (not job.spec.lasting, job.accepted_at, job.key)


def useful(told):
    """Return the share of the jobs that ended while that was of use, in time or late."""
    return sum(each.is_useful for each in told) / len(told)


@pytest.fixture(scope="module", params=SEEDS)
def played(request):
    return request.param, play_load(PEAKS, request.param)


def test_most_is_served_in_time_and_every_caller_gets_something(played):
    _, told = played
    assert served(told) > 0.9
    assert useful(told) > 0.95


@pytest.mark.parametrize(
    "chosen",
    [
        *[lambda each, team=team: each.team == team for team in TEAMS],
        lambda each: each.size <= 3,
        lambda each: each.size >= 10,
    ],
    ids=[*TEAMS, "small", "large"],
)
def test_no_team_and_no_size_is_served_less_than_half_as_well(played, chosen):
    _, told = played
    part = [each for each in told if chosen(each)]
    assert served(part) >= served(told) / 2


def test_moves_serve_what_the_pool_alone_cannot(played):
    seed, told = played
    alone = play_load(PEAKS, seed, moves=False)
    assert served(told) > served(alone) + NOISE
    assert useful(told) > useful(alone)


def test_the_earliest_due_first_serves_more_than_first_come(played, monkeypatch):
    seed, told = played
    monkeypatch.setattr(planning, "rank", first_come)
    monkeypatch.setattr(queue_forecast, "rank", first_come)
    monkeypatch.setattr(intake, "judge", lambda prediction: Verdict(True))
    assert served(told) > served(play_load(PEAKS, seed)) + NOISE


@pytest.mark.xdist_group("late")
def test_late_jobs_behind_the_others_bring_more_than_they_cost(monkeypatch):
    """Played without moves: the pool cannot serve all in time."""
    told = [play_load(PEAKS, seed, moves=False) for seed in MANY_SEEDS]
    refuse = Verdict(False, retry_seconds=1, reason="late")
    monkeypatch.setattr(intake, "judge_late", lambda prediction: refuse)
    refused = [play_load(PEAKS, seed, moves=False) for seed in MANY_SEEDS]
    worth, worth_refused = (
        mean(served(each, LATE_WORTH) for each in plays) for plays in (told, refused)
    )
    assert worth > worth_refused - NOISE
    assert mean(map(useful, told)) > mean(map(useful, refused)) + NOISE
