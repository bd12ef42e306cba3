"""Run time estimates by team and queue, learned from completed jobs."""

from __future__ import annotations

import attrs
from ddsketch import DDSketch

__all__ = ["RunTimes"]

RELATIVE_ACCURACY = 0.05
WINDOW_JOBS = 200
MIN_JOBS = 10
HIGH_QUANTILE = 0.95
MARGIN_FACTOR = 1.0 + 2 * RELATIVE_ACCURACY
MARGIN_SECONDS = 0.02
FEW_JOBS_FACTOR = 1.2
PROBE_INTERVAL_SECONDS = 5.0
MIN_RUN_SECONDS = 1e-4


@attrs.define
class _Window:
    """Two alternating sketches, so that old run times are discarded."""

    current: DDSketch = attrs.field(factory=lambda: DDSketch(RELATIVE_ACCURACY))
    previous: DDSketch | None = None
    probe_at: float = 0.0

    def add(self, seconds: float) -> None:
        if self.current.count >= WINDOW_JOBS:
            self.previous = self.current
            self.current = DDSketch(RELATIVE_ACCURACY)
        self.current.add(seconds)

    def high(self) -> float:
        """Return a high quantile with a margin, in seconds."""
        quantile = float(self.most_complete().get_quantile_value(HIGH_QUANTILE) or 0.0)
        return quantile * MARGIN_FACTOR + MARGIN_SECONDS

    def longest(self) -> float:
        """Return the longest run time, in seconds."""
        return float(self.most_complete().get_quantile_value(1.0) or 0.0)

    def most_complete(self) -> DDSketch:
        if self.previous is not None and self.current.count < WINDOW_JOBS // 2:
            return self.previous
        return self.current


class RunTimes:
    """Quantiles of the observed run times; the declared run time applies without observations.

    >>> times = RunTimes()
    >>> times.typical("t", "q", declared=2.0)
    2.0
    """

    def __init__(self) -> None:
        self.windows: dict[tuple[str, str], _Window] = {}

    def learn(self, team: str, queue: str, seconds: float, now: float) -> None:
        """Add the run time of a job that finished now, on the daemon's clock."""
        window = self.windows.setdefault((team, queue), _Window())
        window.add(max(seconds, MIN_RUN_SECONDS))
        window.probe_at = now + PROBE_INTERVAL_SECONDS

    def may_probe(self, team: str, queue: str, now: float) -> bool:
        """Return whether to admit one job although the estimate would refuse it.

        Otherwise an estimate that refuses every job would never be corrected.
        """
        window = self.windows.get((team, queue))
        if window is None or window.probe_at > now:
            return False
        window.probe_at = now + PROBE_INTERVAL_SECONDS
        return True

    def high(self, team: str, queue: str, declared: float) -> float:
        """Return an upper estimate of the run time with a margin, in seconds.

        With few observations, the longest one replaces the quantile.
        """
        window = self.windows.get((team, queue))
        if window is None:
            return declared * MARGIN_FACTOR + MARGIN_SECONDS
        if window.most_complete().count < MIN_JOBS:
            return window.longest() * FEW_JOBS_FACTOR
        return window.high()

    def typical(self, team: str, queue: str, declared: float) -> float:
        """Return the mean run time, in seconds."""
        window = self.windows.get((team, queue))
        if window is None:
            return declared
        sketch = window.most_complete()
        return float(sketch.sum / sketch.count) if sketch.count else declared
