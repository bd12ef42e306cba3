"""How much work is handed in. No I/O.

Answers a peak that begins faster than VMs move: what is handed in now tells what will be needed
before the first tasks wait. Single large jobs must not look like a peak, so the rate over a short
time counts less what chance may explain; and jobs that have time to wait are counted over that
time, since what comes at once need not run at once. While demand rises, it is taken to rise on
until the VMs that it asks for have joined.
"""

from __future__ import annotations

import math
from collections import deque

__all__ = ["ArrivingWork"]

#: shortest and longest time over which work is counted, in seconds
SHORTEST_SECONDS = 1.0
LONGEST_SECONDS = 4.0
#: part of that time over which a quick rise is looked for
QUICK_PART = 0.35
#: time from the order for a VM until it takes tasks, in seconds: a move takes 1.5
LEAD_SECONDS = 2.0
#: most that the rate is expected to grow in that time, as a part of it
MOST_RISE = 0.8
#: standard deviations by which demand must have grown to be taken to rise on: a few large jobs that
#: come by chance after a pause would ask for VMs that nothing uses
RISE_DEVIATIONS = 1.75
#: weight of one more job in the mean time that jobs have to wait
LEARNING_RATE = 0.1
#: time for which a job that comes back is known, in seconds; callers give up sooner
KNOWN_SECONDS = 15.0


class ArrivingWork:
    """Work that was handed in lately; a job that comes back counts once.

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
        """Note a job that was handed in.

        :param now: local time
        :param slack: time that it may wait and still end in time, in seconds
        """
        if job_id not in self.seen:
            self.rows.append((now, core_seconds))
            self.slack += LEARNING_RATE * (slack - self.slack)
        self.seen[job_id] = now

    def cores(self, now: float) -> float:
        """Return the processors that serve what is handed in.

        :param now: local time
        """
        span = min(LONGEST_SECONDS, max(SHORTEST_SECONDS, self.slack))
        self._forget(now)
        recent = self._between(now - span, now)
        steady = sum(recent) / span
        lately = self._between(now - span * QUICK_PART, now)
        quick = (sum(lately) - _chance(lately)) / (span * QUICK_PART)
        return max(steady, quick) + self._rise(recent, now, span)

    def _rise(self, recent: list[float], now: float, span: float) -> float:
        """Return by how much the rate should grow until VMs that are asked for now have joined."""
        before = self._between(now - 2 * span, now - span)
        growth = sum(recent) - sum(before) - RISE_DEVIATIONS * _chance([*recent, *before])
        ahead = LEAD_SECONDS / span
        return max(0.0, min(growth * ahead, sum(recent) * MOST_RISE)) / span

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


def _chance(work: list[float]) -> float:
    """Return by how much a sum may be off by chance: its standard deviation if jobs come freely."""
    return math.sqrt(sum(each * each for each in work))
