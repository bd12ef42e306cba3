"""Jobs that arrive as the brief describes: queues peak in turn at five times their mean."""

from __future__ import annotations

import random
from collections.abc import Iterator

import attrs

from .deployments import Deployment

__all__ = ["Job", "Pattern", "make_jobs"]

PEAK_FACTOR = 5.0
TROUGH_FACTOR = 0.05
PEAK_SECONDS = 6.0
RUN_SPREAD = 0.4


@attrs.frozen
class Job:
    """A job of a trace; times in seconds."""

    arrival: float
    pool: str
    team: str
    daemon: int
    run_seconds: float
    time_left: float


@attrs.frozen
class Pattern:
    """How jobs arrive.

    :param seconds: length of the trace
    :param mean_load: mean load of a pool, as a part of its slots
    :param run_seconds: mean run time
    :param time_left: time that callers give, in seconds
    :param large_daemons: daemons that the large team enters through, 0 for all
    :param large_part: part of the jobs that are the first team's
    """

    seconds: float = 60.0
    mean_load: float = 0.35
    run_seconds: float = 1.0
    time_left: float = 8.0
    large_daemons: int = 2
    large_part: float = 0.5


def make_jobs(deployment: Deployment, pattern: Pattern, rng: random.Random) -> list[Job]:
    """Return a trace, ordered by arrival."""
    jobs = []
    slots = deployment.vms * deployment.slots
    mean = pattern.mean_load * slots / pattern.run_seconds
    for index, pool in enumerate(deployment.pools):
        for arrival in _arrivals(index, len(deployment.pools), mean, pattern.seconds, rng):
            jobs.append(_make_job(deployment, pattern, pool, arrival, rng))
    return sorted(jobs, key=lambda job: job.arrival)


def _arrivals(
    index: int, pools: int, mean: float, seconds: float, rng: random.Random
) -> Iterator[float]:
    """Yield arrivals of one pool: its peak comes once in each round of all the pools."""
    cycle = PEAK_SECONDS * pools
    now = 0.0
    while True:
        now += rng.expovariate(mean * PEAK_FACTOR)
        if now >= seconds:
            return
        peak = int(now % cycle / PEAK_SECONDS) == index
        if peak or rng.random() < TROUGH_FACTOR / PEAK_FACTOR:
            yield now


def _make_job(
    deployment: Deployment, pattern: Pattern, pool: str, arrival: float, rng: random.Random
) -> Job:
    teams = list(deployment.teams)
    team = teams[0] if rng.random() < pattern.large_part else rng.choice(teams[1:])
    entries = deployment.daemons
    if team == teams[0] and pattern.large_daemons:
        entries = pattern.large_daemons
    run = pattern.run_seconds * rng.lognormvariate(-(RUN_SPREAD**2) / 2, RUN_SPREAD)
    return Job(arrival, pool, team, rng.randrange(entries), run, pattern.time_left)
