"""Early refusal of jobs that cannot finish in time."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from ..exception import JobRefused
from .share import due_shares

__all__ = ["Admission", "PoolLoad"]


@attrs.frozen
class PoolLoad:
    """What is known of a pool across all daemons.

    :param slots: slots of all endpoints that take jobs
    :param running: running jobs by team
    :param waiting: waiting jobs by team
    """

    slots: int = 0
    running: Mapping[str, int] = attrs.field(factory=dict)
    waiting: Mapping[str, int] = attrs.field(factory=dict)


@attrs.define
class Admission:
    """Decides whether a job can finish in time.

    :param weights: weight of each team
    :param limits: upper limit of each team
    """

    weights: dict[str, float] = attrs.field(factory=dict)
    limits: dict[str, int] = attrs.field(factory=dict)

    def expected_wait(self, load: PoolLoad, team: str, ahead: int, run_typical: float) -> float:
        """Return how long a job waits before it starts, in seconds.

        :param load: the pool's load
        :param team: the job's team
        :param ahead: jobs of the team that start before it
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
        due = due_shares(load.slots, self.weights, demands).get(team, 0.0)
        if due <= 0:
            return float("inf")
        return max(0, ahead + 1 + load.running.get(team, 0) - due) * run_typical / due

    def check(self, time_left: float, wait: float, run_high: float, team: str, queue: str) -> None:
        """Refuse a job that cannot finish in time.

        :param time_left: seconds that the caller gave
        :param wait: expected wait, in seconds
        :param run_high: run time that few jobs exceed, in seconds
        :raises JobRefused: with the time after which to come back
        """
        if run_high > time_left:
            raise JobRefused(
                422,
                "deadline-too-short",
                f"jobs of team {team} in queue {queue} take up to {run_high:.3g} s; "
                f"{time_left:.3g} s were given",
            )
        if wait + run_high > time_left:
            come_back = min(max(1.0, wait + run_high - time_left), 3600.0)
            raise JobRefused(
                503,
                "cannot-finish-in-time",
                f"the expected wait is {wait:.3g} s and the run time up to {run_high:.3g} s",
                retry_after=come_back,
            )
