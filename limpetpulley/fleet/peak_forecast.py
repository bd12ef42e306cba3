"""Forecast of which pool peaks next, and when. No I/O.

Designed for pools that peak one after the other: if VMs arrive when a peak begins, the pool is
not short of them in its first seconds. The forecast is learned from observed peaks, including those
that earlier planners observed. Where peaks do not recur in a regular order, nothing is forecast.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from statistics import fmean, pstdev

import attrs

__all__ = ["Peak", "PeakForecaster"]

#: time before a forecast peak at which its VMs are requested, in seconds: what a move takes, and
#: what an owner needs to use a VM that joined
LEAD_SECONDS = 2.2
#: time after which a forecast peak that did not occur is no longer expected, in seconds
OVERDUE_SECONDS = 1.5
#: standard deviation of the intervals between peaks above which they are not regular, as a
#: fraction of the mean interval
MAX_RELATIVE_DEVIATION = 0.2
#: fewest intervals that a forecast needs
MIN_INTERVALS = 2
#: most recent intervals that a forecast considers
MAX_INTERVALS = 4
#: time without peak demand after which a peak has ended, in seconds
QUIET_SECONDS = 1.0
#: longest time without a planner over which a peak is assumed to have lasted, in seconds
MAX_UNOBSERVED_SECONDS = 6.0
#: fraction of the height of earlier peaks that is requested ahead
FORECAST_HEIGHT_FRACTION = 0.6


@attrs.define
class Peak:
    """A peak of a pool's demand.

    :param begun_at: when it began, in seconds, on a monotonic local clock or, where it is stored,
        since 1970
    :param seen_at: when it was last observed, on the same clock
    :param height: most VMs that the pool required
    """

    pool: str
    begun_at: float
    seen_at: float
    height: int

    def shifted(self, seconds: float) -> Peak:
        """Return the peak on a clock that is ahead by some seconds."""
        return attrs.evolve(self, begun_at=self.begun_at + seconds, seen_at=self.seen_at + seconds)


class PeakForecaster:
    """Records the peaks of pools, and forecasts the next one from them."""

    def __init__(self) -> None:
        self.peaks: list[Peak] = []
        # Local time since which peaks are recorded here; earlier ones were restored.
        self.started_at = -math.inf

    def record(self, pool: str, peaking: bool, required: int, now: float) -> None:
        """Record an observation of a pool.

        :param peaking: whether its demand is at a peak
        :param required: VMs that it requires
        :param now: local time
        """
        if not peaking:
            return
        last = self._last_peak(pool)
        if last is None or self._seconds_since_end(last, now) > QUIET_SECONDS:
            self.peaks = [*self.peaks[-32:], Peak(pool, now, now, required)]
        else:
            last.seen_at = now
            last.height = max(last.height, required)

    def _seconds_since_end(self, peak: Peak, now: float) -> float:
        """Return the time for which a peak is known to have been over."""
        may_have_lasted = peak.seen_at < self.started_at <= peak.seen_at + MAX_UNOBSERVED_SECONDS
        return now - (self.started_at if may_have_lasted else peak.seen_at)

    @property
    def seen_at(self) -> float:
        """Return when any peak was last observed."""
        return max((peak.seen_at for peak in self.peaks), default=-math.inf)

    def restore(self, earlier: Sequence[Peak], now: float) -> None:
        """Add the peaks that an earlier planner recorded.

        :param now: local time
        """
        self.peaks = [*earlier, *self.peaks]
        self.started_at = now

    def another_pool_peaks_first(self, pool: str, pools: Iterable[str], now: float) -> bool:
        """Return whether another pool is expected to peak before this one does again.

        Pools that peak in turn do so in a stable order, so the one whose last peak is the longest
        ago is the next. A pool whose peak was not observed yet may peak at any time.

        :param pools: all pools that may peak
        """
        last = self._last_peak(pool)
        if last is None or now - last.seen_at < QUIET_SECONDS:
            return False
        latest = {peak.pool: peak.begun_at for peak in self.peaks}
        others = (other for other in pools if other != pool)
        return any(latest.get(other, -math.inf) < last.begun_at for other in others)

    def forecast(self, pools: Iterable[str], now: float) -> dict[str, int]:
        """Return the pool that is about to peak with the VMs that it needs; empty if unknown.

        :param pools: all pools that may peak
        """
        interval = self._mean_interval()
        next_pool = self._next_pool(pools) if interval is not None else None
        if interval is None or next_pool is None:
            return {}
        wait = self.peaks[-1].begun_at + interval - now
        if not -OVERDUE_SECONDS <= wait <= LEAD_SECONDS:
            return {}
        heights = [peak.height for peak in self.peaks if peak.pool == next_pool]
        heights = heights or [peak.height for peak in self.peaks]
        return {next_pool: math.ceil(FORECAST_HEIGHT_FRACTION * min(heights))}

    def _mean_interval(self) -> float | None:
        """Return the mean time from one peak to the next, None if it is not regular."""
        starts = [peak.begun_at for peak in self.peaks[-MAX_INTERVALS - 1 :]]
        intervals = [after - before for before, after in zip(starts, starts[1:], strict=False)]
        if len(intervals) < MIN_INTERVALS or pstdev(intervals) > MAX_RELATIVE_DEVIATION * fmean(
            intervals
        ):
            return None
        return fmean(intervals)

    def _next_pool(self, pools: Iterable[str]) -> str | None:
        """Return the pool that usually follows the last peak's, or the only one without a peak."""
        last = self.peaks[-1].pool
        pairs = zip(self.peaks, self.peaks[1:], strict=False)
        followers = [after.pool for before, after in pairs if before.pool == last]
        if followers:
            return followers[-1] if len(set(followers[-MAX_INTERVALS:])) == 1 else None
        unobserved = set(pools) - {peak.pool for peak in self.peaks}
        return unobserved.pop() if len(unobserved) == 1 else None

    def _last_peak(self, pool: str) -> Peak | None:
        return next((peak for peak in reversed(self.peaks) if peak.pool == pool), None)
