"""How many orders for VMs may be given now. No I/O.

Answers a peak that wants a hundred VMs within a second: as many orders go out at once as the
platform takes. It refuses what passes its rate, which other clients use too; a refusal halves the
pace, which then recovers.
"""

from __future__ import annotations

__all__ = ["OrderPace"]

#: part of the platform's rate that is used, since its clock counts other spans
RATE_PART = 0.9
#: time whose orders may be given at once after a pause, in seconds
BURST_SECONDS = 0.5
#: part of the rate that is left at least after refusals
LEAST_PART = 0.1
#: time in which the pace recovers from the least to the whole rate, in seconds
RECOVERY_SECONDS = 4.0


class OrderPace:
    """Counts orders against a rate.

    >>> pace = OrderPace(10.0)
    >>> pace.take(100, now=0.0)
    4
    >>> pace.take(100, now=1.0)
    4
    """

    def __init__(self, per_second: float):
        self.per_second = per_second
        self.part = 1.0
        self.left = self._most()
        self.counted_at = 0.0

    def take(self, wanted: int, now: float) -> int:
        """Return how many of the wanted orders may be given now, and count them.

        :param now: local time
        """
        gone = max(0.0, now - self.counted_at)
        self.counted_at = now
        self.part = min(1.0, self.part + gone / RECOVERY_SECONDS)
        self.left = min(self._most(), self.left + gone * self._rate())
        taken = min(wanted, int(self.left))
        self.left -= taken
        return taken

    def note_refused(self) -> None:
        """Slow down, since the platform refused an order for its rate."""
        self.part = max(LEAST_PART, self.part / 2)
        self.left = min(self.left, 0.0)

    def _rate(self) -> float:
        return self.per_second * RATE_PART * self.part

    def _most(self) -> float:
        return max(1.0, self._rate() * BURST_SECONDS)
