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

__all__ = ["ArrivalEstimator"]

#: shortest and longest window over which submitted work is averaged, in seconds
MIN_WINDOW_SECONDS = 1.0
MAX_WINDOW_SECONDS = 4.0
#: fraction of the window that is used to detect a sudden rise
SUDDEN_FRACTION = 0.35
#: time from requesting a VM until it takes tasks, in seconds: moving one takes 1.5 s
LEAD_SECONDS = 2.0
#: maximum growth of the rate that is expected within the lead time, as a fraction of the rate
MAX_GROWTH = 0.8
#: growth is extrapolated only beyond this many standard deviations: otherwise a few large jobs that
#: happen to arrive after a pause would request VMs that stay idle
GROWTH_DEVIATIONS = 1.75
#: weight of a new job in the moving average of the slack
LEARNING_RATE = 0.1
#: time for which a resubmitted job is recognized, in seconds; callers stop retrying sooner
RESUBMISSION_SECONDS = 15.0


class ArrivalEstimator:
    """Recently submitted work; a resubmitted job counts once.

    :param started_at: local time since which submissions are seen

    >>> estimator = ArrivalEstimator()
    >>> estimator.note(10.0, "a", 5.0)
    >>> estimator.note(10.1, "a", 5.0)
    >>> estimator.cores(10.2)
    5.0
    """

    def __init__(self, started_at: float = -math.inf) -> None:
        self.started_at = started_at
        self.arrivals: deque[tuple[float, float]] = deque()
        self.last_submitted: dict[str, float] = {}
        self.slack = MIN_WINDOW_SECONDS

    def note(self, now: float, job_id: str, core_seconds: float, slack: float = 0.0) -> None:
        """Record a submitted job.

        :param now: local time
        :param slack: time that it can wait and still end in time, in seconds
        """
        if job_id not in self.last_submitted:
            self.arrivals.append((now, core_seconds))
            self.slack += LEARNING_RATE * (slack - self.slack)
        self.last_submitted[job_id] = now

    def cores(self, now: float) -> float:
        """Return the number of processors needed for the submitted work.

        :param now: local time
        """
        window = min(MAX_WINDOW_SECONDS, max(MIN_WINDOW_SECONDS, self.slack))
        self._discard_old(now)
        recent = self._work_between(now - window, now)
        steady = sum(recent) / window
        latest = self._work_between(now - window * SUDDEN_FRACTION, now)
        sudden = (sum(latest) - _standard_deviation(latest)) / (window * SUDDEN_FRACTION)
        return max(steady, sudden) + self._expected_growth(recent, now, window)

    def _expected_growth(self, recent: list[float], now: float, window: float) -> float:
        """Return the expected growth of the rate until VMs requested now have joined.

        It is unknown until two windows have passed since the start.
        """
        if now - 2 * window < self.started_at:
            return 0.0
        previous = self._work_between(now - 2 * window, now - window)
        growth = (
            sum(recent)
            - sum(previous)
            - GROWTH_DEVIATIONS * _standard_deviation([*recent, *previous])
        )
        lead_windows = LEAD_SECONDS / window
        return max(0.0, min(growth * lead_windows, sum(recent) * MAX_GROWTH)) / window

    def _work_between(self, start: float, end: float) -> list[float]:
        return [work for at, work in self.arrivals if start < at <= end]

    def _discard_old(self, now: float) -> None:
        while self.arrivals and self.arrivals[0][0] <= now - 2 * MAX_WINDOW_SECONDS:
            self.arrivals.popleft()
        while self.last_submitted:
            oldest = next(iter(self.last_submitted))
            if self.last_submitted[oldest] > now - RESUBMISSION_SECONDS:
                return
            del self.last_submitted[oldest]


def _standard_deviation(work: list[float]) -> float:
    """Return the standard deviation of the total work if jobs arrive independently."""
    return math.sqrt(sum(each * each for each in work))
