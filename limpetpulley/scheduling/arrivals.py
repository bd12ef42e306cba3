"""How much work is handed in. No I/O.

Answers a peak that begins faster than VMs move: what is handed in now tells what will be needed
before the first tasks wait. Single large jobs must not look like a peak, so the rate over a short
time counts less what chance may explain; and jobs that have time to wait are counted over that
time, since what comes at once need not run at once.
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
        steady = sum(work for at, work in self.rows if at > now - span) / span
        lately = [work for at, work in self.rows if at > now - span * QUICK_PART]
        chance = math.sqrt(sum(work * work for work in lately))
        return max(steady, (sum(lately) - chance) / (span * QUICK_PART))

    def _forget(self, now: float) -> None:
        while self.rows and self.rows[0][0] <= now - LONGEST_SECONDS:
            self.rows.popleft()
        while self.seen:
            oldest = next(iter(self.seen))
            if self.seen[oldest] > now - KNOWN_SECONDS:
                return
            del self.seen[oldest]
