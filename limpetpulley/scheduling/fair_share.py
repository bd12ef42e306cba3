"""Weighted max-min fair sharing."""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["fair_shares"]

TOLERANCE = 1e-9


def fair_shares(
    capacity: float, weights: Mapping[str, float], demands: Mapping[str, float]
) -> dict[str, float]:
    """Return each team's weighted max-min share of a capacity.

    :param capacity: capacity to share, such as slots
    :param weights: weight of each team
    :param demands: most that each team can use: the lower of its number of jobs and its limit
    :returns: share of each team, in the unit of the capacity

    >>> fair_shares(10, {"a": 1, "b": 1}, {"a": 2, "b": 20})
    {'a': 2, 'b': 8.0}
    """
    shares: dict[str, float] = dict.fromkeys(demands, 0.0)
    open_teams = {team for team, demand in demands.items() if demand > 0}
    remaining = float(capacity)
    while open_teams and remaining > TOLERANCE:
        total = sum(weights.get(team, 1.0) for team in open_teams)
        level = remaining / total
        satisfied = {t for t in open_teams if demands[t] <= level * weights.get(t, 1.0) + TOLERANCE}
        if not satisfied:
            for team in open_teams:
                shares[team] = level * weights.get(team, 1.0)
            break
        for team in satisfied:
            shares[team] = demands[team]
            remaining -= demands[team]
        open_teams -= satisfied
    return shares
