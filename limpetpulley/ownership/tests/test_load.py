"""Results of a load that peaks in one pool after the other, compared with simpler policies."""

from statistics import mean

import pytest

from ...pool import queue_forecast, ready_jobs
from ...scheduling.batch_admission import Verdict
from .. import admission
from .load_simulation import TEAMS, Load, served_share, simulate_load

#: tests in one xdist worker share the simulations
pytestmark = pytest.mark.xdist_group("load")
#: peak demand of about five times the mean, beyond one pool's capacity; it can be served with the
#: VMs of the standby pool
PEAK_LOAD = Load(peak_rate=18.0, off_peak_rate=0.5, peak_seconds=3.0, vms=2, spare=4)
SEEDS = (1, 2)
#: seeds for a comparison in which random variation is as large as the effect
COMPARISON_SEEDS = range(1, 9)
#: differences below this are random variation
MARGIN = 0.03
#: value of a late end to the caller, relative to one in time
LATE_JOB_VALUE = 0.5


def rank_first_come(job):
    return (not job.spec.lasting, job.accepted_at, job.key)


def useful_share(results):
    """Return the fraction of the jobs that ended in time or late but still useful."""
    return sum(each.was_useful for each in results) / len(results)


@pytest.fixture(scope="module", params=SEEDS)
def simulated(request):
    return request.param, simulate_load(PEAK_LOAD, request.param)


def test_most_jobs_end_in_time_and_almost_all_are_useful(simulated):
    _, results = simulated
    assert served_share(results) > 0.9
    assert useful_share(results) > 0.95


@pytest.mark.parametrize(
    "selects",
    [
        *[lambda each, team=team: each.team == team for team in TEAMS],
        lambda each: each.size <= 3,
        lambda each: each.size >= 10,
    ],
    ids=[*TEAMS, "small", "large"],
)
def test_no_team_or_job_size_gets_less_than_half_the_overall_service(simulated, selects):
    _, results = simulated
    selected = [each for each in results if selects(each)]
    assert served_share(selected) >= served_share(results) / 2


def test_vm_moves_serve_more_than_each_pool_alone(simulated):
    seed, results = simulated
    without_moves = simulate_load(PEAK_LOAD, seed, moves=False)
    assert served_share(results) > served_share(without_moves) + MARGIN
    assert useful_share(results) > useful_share(without_moves)


def test_earliest_due_first_serves_more_than_first_come_first_served(simulated, monkeypatch):
    seed, results = simulated
    monkeypatch.setattr(ready_jobs, "rank", rank_first_come)
    monkeypatch.setattr(queue_forecast, "rank", rank_first_come)
    monkeypatch.setattr(admission, "judge", lambda prediction: Verdict(True))
    assert served_share(results) > served_share(simulate_load(PEAK_LOAD, seed)) + MARGIN


@pytest.mark.xdist_group("late")
def test_accepting_late_jobs_behind_the_others_is_worthwhile(monkeypatch):
    """Simulated without VM moves, so that the pool cannot serve all jobs in time."""
    results = [simulate_load(PEAK_LOAD, seed, moves=False) for seed in COMPARISON_SEEDS]
    refusal = Verdict(False, retry_seconds=1, reason="late")
    monkeypatch.setattr(admission, "judge_late", lambda prediction: refusal)
    results_refusing = [simulate_load(PEAK_LOAD, seed, moves=False) for seed in COMPARISON_SEEDS]
    value, value_refusing = (
        mean(served_share(each, LATE_JOB_VALUE) for each in simulations)
        for simulations in (results, results_refusing)
    )
    assert value > value_refusing - MARGIN
    assert mean(map(useful_share, results)) > mean(map(useful_share, results_refusing)) + MARGIN
