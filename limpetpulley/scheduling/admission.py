"""Admission control: early refusal of jobs that cannot meet their deadline."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from ..exception import JobRefused
from .fair_share import fair_shares

__all__ = ["Admission", "PoolLoad"]


@attrs.frozen
class PoolLoad:
    """Load of a pool across all daemons.

    :param slots: total slots of the endpoints that accept jobs
    :param running: running jobs by team
    :param waiting: waiting jobs by team
    """

    slots: int = 0
    running: Mapping[str, int] = attrs.field(factory=dict)
    waiting: Mapping[str, int] = attrs.field(factory=dict)


@attrs.define
class Admission:
    """Decides whether a job can meet its deadline.

    :param weights: weight of each team
    :param limits: upper limit of each team
    """

    weights: dict[str, float] = attrs.field(factory=dict)
    limits: dict[str, int] = attrs.field(factory=dict)

    def expected_wait(self, load: PoolLoad, team: str, ahead: int, run_typical: float) -> float:
        """Return the expected time until a job starts, in seconds.

        :param load: load of the pool
        :param team: team of the job
        :param ahead: number of the team's jobs that start before it
        :param run_typical: mean run time of the team's jobs, in seconds
        """
        if ahead <= 0 and sum(load.running.values()) < load.slots:
            return 0.0
        demands = {
            name: min(
                load.running.get(name, 0) + load.waiting.get(name, 0),
                self.limits.get(name, load.slots),
            )
            for name in {*load.running, *load.waiting}
        }
        demands[team] = min(demands.get(team, 0) + 1, self.limits.get(team, load.slots))
        share = fair_shares(load.slots, self.weights, demands).get(team, 0.0)
        if share <= 0:
            return float("inf")
        return max(0, ahead + 1 + load.running.get(team, 0) - share) * run_typical / share

    def check(self, time_left: float, wait: float, run_high: float, team: str, queue: str) -> None:
        """Refuse a job that cannot meet its deadline.

        :param time_left: time until the caller's deadline, in seconds
        :param wait: expected wait, in seconds
        :param run_high: upper estimate of the run time, in seconds
        :raises JobRefused: with the time after which the caller may retry, where that helps
        """
        if run_high > time_left:
            raise JobRefused(
                422,
                "deadline-too-short",
                f"jobs of team {team} in queue {queue} take up to {run_high:.3g} s; "
                f"the deadline leaves {time_left:.3g} s",
            )
        if wait + run_high > time_left:
            retry_after = min(max(1.0, wait + run_high - time_left), 3600.0)
            raise JobRefused(
                503,
                "cannot-finish-in-time",
                f"the expected wait is {wait:.3g} s and the run time up to {run_high:.3g} s",
                retry_after=retry_after,
            )
