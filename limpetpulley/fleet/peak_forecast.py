"""Which pool's peak comes next, and when. No I/O.

Answers pools that peak one after the other: VMs that arrive when a peak begins spare it its first
seconds. What is foreseen is learned from the peaks that were seen, by this planner and those before
it. Where peaks do not come in turns, nothing is foreseen.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from statistics import fmean, pstdev

import attrs

__all__ = ["Peak", "TurnWatch"]

#: time before a foreseen peak at which its VMs are asked for, in seconds: what a move takes, and
#: an owner to use what joined
LEAD_SECONDS = 2.2
#: time after which a peak that was foreseen and did not come is no longer waited for, in seconds
GIVE_UP_SECONDS = 1.5
#: spread of the gaps between peaks beyond which they do not come in turns, as a part of their mean
REGULAR_PART = 0.2
#: gaps that must have been seen
LEAST_GAPS = 2
#: gaps that are looked at
GAPS = 4
#: time for which a pool must be quiet for its peak to have ended, in seconds
QUIET_SECONDS = 1.0
#: longest time without a planner over which a peak is taken to have lasted, in seconds
BLIND_SECONDS = 6.0
#: part of the height of earlier peaks that is asked for ahead
HEIGHT_PART = 0.6


@attrs.define
class Peak:
    """A peak of a pool's demand.

    :param begun_at: when it began, in seconds of the clock of whoever holds this
    :param seen_at: when it was last seen
    :param height: most VMs that it wanted
    """

    pool: str
    begun_at: float
    seen_at: float
    height: int

    def shifted(self, seconds: float) -> Peak:
        """Return the peak by a clock that is ahead by some seconds."""
        return attrs.evolve(self, begun_at=self.begun_at + seconds, seen_at=self.seen_at + seconds)


class TurnWatch:
    """Watches peaks come and go."""

    def __init__(self) -> None:
        self.peaks: list[Peak] = []
        # Since when this watch looks itself; what was before it was remembered.
        self.begun_at = -math.inf

    def note(self, pool: str, peaks: bool, wanted: int, now: float) -> None:
        """Note a look at a pool.

        :param peaks: whether its demand is at a peak
        :param wanted: VMs that it wants
        :param now: local time
        """
        if not peaks:
            return
        last = self._last(pool)
        if last is None or self._quiet_seconds(last, now) > QUIET_SECONDS:
            self.peaks = [*self.peaks[-32:], Peak(pool, now, now, wanted)]
        else:
            last.seen_at = now
            last.height = max(last.height, wanted)

    def _quiet_seconds(self, peak: Peak, now: float) -> float:
        """Return how long a peak is known to have been over."""
        unseen = peak.seen_at < self.begun_at <= peak.seen_at + BLIND_SECONDS
        return now - (self.begun_at if unseen else peak.seen_at)

    @property
    def seen_at(self) -> float:
        """Return when a peak was seen last."""
        return max((peak.seen_at for peak in self.peaks), default=-math.inf)

    def remember(self, earlier: Sequence[Peak], now: float) -> None:
        """Take over the peaks that another watch has seen before.

        :param now: local time
        """
        self.peaks = [*earlier, *self.peaks]
        self.begun_at = now

    def may_rest(self, pool: str, pools: Iterable[str], now: float) -> bool:
        """Return whether another pool should peak before this one does again.

        Pools that peak in turn do so in a stable order, so the one whose peak is the longest ago
        is the next. A pool that was not seen at its peak yet may begin at any time.

        :param pools: all pools that may peak
        """
        last = self._last(pool)
        if last is None or now - last.seen_at < QUIET_SECONDS:
            return False
        latest = {peak.pool: peak.begun_at for peak in self.peaks}
        others = (other for other in pools if other != pool)
        return any(latest.get(other, -math.inf) < last.begun_at for other in others)

    def foresee(self, pools: Iterable[str], now: float) -> dict[str, int]:
        """Return the VMs that the pool should have whose peak is foreseen, if one is.

        :param pools: all pools that may peak
        """
        gap = self._gap()
        following = self._following(pools) if gap is not None else None
        if gap is None or following is None:
            return {}
        wait = self.peaks[-1].begun_at + gap - now
        if not -GIVE_UP_SECONDS <= wait <= LEAD_SECONDS:
            return {}
        heights = [peak.height for peak in self.peaks if peak.pool == following]
        heights = heights or [peak.height for peak in self.peaks]
        return {following: math.ceil(HEIGHT_PART * min(heights))}

    def _gap(self) -> float | None:
        """Return the time from one peak to the next, None if it is not regular."""
        begun = [peak.begun_at for peak in self.peaks[-GAPS - 1 :]]
        gaps = [after - before for before, after in zip(begun, begun[1:], strict=False)]
        if len(gaps) < LEAST_GAPS or pstdev(gaps) > REGULAR_PART * fmean(gaps):
            return None
        return fmean(gaps)

    def _following(self, pools: Iterable[str]) -> str | None:
        """Return the pool that followed the last time, or the only one that has not peaked."""
        last = self.peaks[-1].pool
        pairs = zip(self.peaks, self.peaks[1:], strict=False)
        followers = [after.pool for before, after in pairs if before.pool == last]
        if followers:
            return followers[-1] if len(set(followers[-GAPS:])) == 1 else None
        left = set(pools) - {peak.pool for peak in self.peaks}
        return left.pop() if len(left) == 1 else None

    def _last(self, pool: str) -> Peak | None:
        return next((peak for peak in reversed(self.peaks) if peak.pool == pool), None)
