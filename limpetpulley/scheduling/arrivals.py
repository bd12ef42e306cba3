"""Estimate of the processors that submitted work needs. No I/O.

A peak may begin faster than VMs can be moved, so demand is estimated from submissions, before the
first tasks wait. A single large job must not look like a peak: the expected random deviation is
subtracted from the rate over the short window. Jobs that can wait are averaged over the time that
they can wait, because jobs that arrive together need not run together. Growing demand is
extrapolated to the time when VMs requested now will have joined.
"""

from __future__ import annotations

import math
from collections import deque

__all__ = ["ArrivingWork"]

#: shortest and longest window over which submitted work is averaged, in seconds
SHORTEST_SECONDS = 1.0
LONGEST_SECONDS = 4.0
#: fraction of the window that is used to detect a sudden rise
QUICK_PART = 0.35
#: time from requesting a VM until it takes tasks, in seconds: moving one takes 1.5 s
LEAD_SECONDS = 2.0
#: maximum growth of the rate that is expected within the lead time, as a fraction of the rate
MOST_RISE = 0.8
#: growth is extrapolated only beyond this many standard deviations: otherwise a few large jobs that
#: happen to arrive after a pause would request VMs that stay idle
RISE_DEVIATIONS = 1.75
#: weight of a new job in the moving average of the slack
LEARNING_RATE = 0.1
#: time for which a resubmitted job is recognized, in seconds; callers stop retrying sooner
KNOWN_SECONDS = 15.0


class ArrivalEstimator:
    """Recently submitted work; a resubmitted job counts once.

    >>> work = ArrivingWork()
    >>> work.note(10.0, "a", 5.0)
    >>> work.note(10.1, "a", 5.0)
    >>> work.cores(10.2)
    5.0
    """

    def __init__(self) -> None:
        self.rows: deque[tuple[float, float]] = deque()
        self.seen: dict[str, float] = {}
        self.slack = SHORTEST_SECONDS

    def note(self, now: float, job_id: str, core_seconds: float, slack: float = 0.0) -> None:
        """Record a submitted job.

        :param now: local time
        :param slack: time that it can wait and still end in time, in seconds
        """
        if job_id not in self.seen:
            self.rows.append((now, core_seconds))
            self.slack += LEARNING_RATE * (slack - self.slack)
        self.seen[job_id] = now

    def cores(self, now: float) -> float:
        """Return the number of processors needed for the submitted work.

        :param now: local time
        """
        window = min(LONGEST_SECONDS, max(SHORTEST_SECONDS, self.slack))
        self._forget(now)
        recent = self._between(now - window, now)
        steady = sum(recent) / window
        latest = self._between(now - window * QUICK_PART, now)
        sudden = (sum(latest) - _standard_deviation(latest)) / (window * QUICK_PART)
        return max(steady, sudden) + self._expected_growth(recent, now, window)

    def _expected_growth(self, recent: list[float], now: float, window: float) -> float:
        """Return the expected growth of the rate until VMs requested now have joined."""
        before = self._between(now - 2 * window, now - window)
        growth = (
            sum(recent) - sum(before) - RISE_DEVIATIONS * _standard_deviation([*recent, *before])
        )
        ahead = LEAD_SECONDS / window
        return max(0.0, min(growth * ahead, sum(recent) * MOST_RISE)) / window

    def _between(self, begin: float, end: float) -> list[float]:
        return [work for at, work in self.rows if begin < at <= end]

    def _forget(self, now: float) -> None:
        while self.rows and self.rows[0][0] <= now - 2 * LONGEST_SECONDS:
            self.rows.popleft()
        while self.seen:
            oldest = next(iter(self.seen))
            if self.seen[oldest] > now - KNOWN_SECONDS:
                return
            del self.seen[oldest]


def _standard_deviation(work: list[float]) -> float:
    """Return the standard deviation of the total work if jobs arrive independently."""
    return math.sqrt(sum(each * each for each in work))
