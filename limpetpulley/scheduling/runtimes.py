"""Run times learnt per team and queue."""

from __future__ import annotations

import attrs
from ddsketch import DDSketch

__all__ = ["RunTimes"]

RELATIVE_ACCURACY = 0.05
WINDOW_JOBS = 200
MIN_JOBS = 10
HIGH_QUANTILE = 0.95


@attrs.define
class _Window:
    """Two sketches in turn, so that old run times are forgotten."""

    current: DDSketch = attrs.field(factory=lambda: DDSketch(RELATIVE_ACCURACY))
    previous: DDSketch | None = None

    def add(self, seconds: float) -> None:
        if self.current.count >= WINDOW_JOBS:
            self.previous = self.current
            self.current = DDSketch(RELATIVE_ACCURACY)
        self.current.add(seconds)

    def fullest(self) -> DDSketch:
        if self.previous is not None and self.current.count < WINDOW_JOBS // 2:
            return self.previous
        return self.current


class RunTimes:
    """Quantiles of the run times seen, with the declared one until enough were seen.

    >>> times = RunTimes()
    >>> times.high("t", "q", declared=2.0)
    2.0
    """

    def __init__(self) -> None:
        self.windows: dict[tuple[str, str], _Window] = {}

    def learn(self, team: str, queue: str, seconds: float) -> None:
        """Add the run time of a finished job."""
        window = self.windows.setdefault((team, queue), _Window())
        window.add(max(seconds, 1e-4))

    def high(self, team: str, queue: str, declared: float) -> float:
        """Return a run time that few jobs exceed, in seconds."""
        return self._quantile(team, queue, HIGH_QUANTILE, declared)

    def typical(self, team: str, queue: str, declared: float) -> float:
        """Return the mean run time, in seconds."""
        window = self.windows.get((team, queue))
        if window is None:
            return declared
        sketch = window.fullest()
        return sketch.sum / sketch.count if sketch.count >= MIN_JOBS else declared

    def _quantile(self, team: str, queue: str, quantile: float, declared: float) -> float:
        window = self.windows.get((team, queue))
        if window is None:
            return declared
        sketch = window.fullest()
        if sketch.count < MIN_JOBS:
            return declared
        return float(sketch.get_quantile_value(quantile) or declared)
