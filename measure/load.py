"""Job traces in which the queues peak one after another at five times their mean rate."""

from __future__ import annotations

import random
from collections.abc import Iterator

import attrs

from .deployments import Deployment

__all__ = ["Job", "Pattern", "make_jobs"]

PEAK_FACTOR = 5.0
TROUGH_FACTOR = 0.05
PEAK_SECONDS = 6.0
RUN_TIME_SIGMA = 0.4


@attrs.frozen
class Job:
    """A job of a trace.

    :param arrival: time of its submission since the start of the trace, in seconds
    :param daemon: index of the daemon that it is submitted to
    :param run_seconds: run time
    :param time_left: time left until its deadline at submission, in seconds
    """

    arrival: float
    pool: str
    team: str
    daemon: int
    run_seconds: float
    time_left: float


@attrs.frozen
class Pattern:
    """Parameters of a trace.

    :param seconds: length of the trace
    :param mean_load: mean load of a pool, as a fraction of its slots
    :param run_seconds: mean run time
    :param time_left: time left until the deadline of each job at submission, in seconds
    :param large_daemons: daemons that the first, large team submits through, 0 for all
    :param large_team_fraction: fraction of the jobs that the first team submits
    """

    seconds: float = 60.0
    mean_load: float = 0.35
    run_seconds: float = 1.0
    time_left: float = 8.0
    large_daemons: int = 2
    large_team_fraction: float = 0.5


def make_jobs(deployment: Deployment, pattern: Pattern, rng: random.Random) -> list[Job]:
    """Return a trace ordered by arrival."""
    jobs = []
    slots = deployment.vms * deployment.slots
    mean_rate = pattern.mean_load * slots / pattern.run_seconds
    for index, pool in enumerate(deployment.pools):
        for arrival in _arrivals(index, len(deployment.pools), mean_rate, pattern.seconds, rng):
            jobs.append(_make_job(deployment, pattern, pool, arrival, rng))
    return sorted(jobs, key=lambda job: job.arrival)


def _arrivals(
    index: int, pools: int, mean_rate: float, seconds: float, rng: random.Random
) -> Iterator[float]:
    """Yield the arrival times of one pool, which peaks once in each cycle of all pools."""
    cycle = PEAK_SECONDS * pools
    now = 0.0
    while True:
        now += rng.expovariate(mean_rate * PEAK_FACTOR)
        if now >= seconds:
            return
        peak = int(now % cycle / PEAK_SECONDS) == index
        if peak or rng.random() < TROUGH_FACTOR / PEAK_FACTOR:
            yield now


def _make_job(
    deployment: Deployment, pattern: Pattern, pool: str, arrival: float, rng: random.Random
) -> Job:
    teams = list(deployment.teams)
    team = teams[0] if rng.random() < pattern.large_team_fraction else rng.choice(teams[1:])
    daemons = deployment.daemons
    if team == teams[0] and pattern.large_daemons:
        daemons = pattern.large_daemons
    run_seconds = pattern.run_seconds * rng.lognormvariate(-(RUN_TIME_SIGMA**2) / 2, RUN_TIME_SIGMA)
    return Job(arrival, pool, team, rng.randrange(daemons), run_seconds, pattern.time_left)
