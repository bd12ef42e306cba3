"""How many orders for VMs may be sent now. No I/O.

Designed for a peak that needs a hundred VMs within a second: as many orders are sent at once as the
platform accepts. The platform refuses orders beyond its rate limit, which it also applies to other
clients; a refusal halves the rate, which then recovers.
"""

from __future__ import annotations

__all__ = ["OrderRateLimiter"]

#: fraction of the platform's rate limit that is used, since the platform counts orders over other
#: intervals than this limiter
RATE_FRACTION = 0.9
#: time whose orders may be sent at once after a pause, in seconds
BURST_SECONDS = 0.5
#: fraction of the rate that remains at least after refusals
MIN_RATE_FRACTION = 0.1
#: time in which the rate recovers from its minimum to the whole rate, in seconds
RECOVERY_SECONDS = 4.0


class OrderRateLimiter:
    """Token bucket that limits the rate of orders.

    :param per_second: the platform's limit, in orders per second

    >>> limiter = OrderRateLimiter(10.0)
    >>> limiter.acquire(100, now=0.0)
    4
    >>> limiter.acquire(100, now=1.0)
    4
    """

    def __init__(self, per_second: float):
        self.per_second = per_second
        self.rate_factor = 1.0
        self.tokens = self._burst()
        self.updated_at = 0.0

    def acquire(self, requested: int, now: float) -> int:
        """Return how many of the requested orders may be sent now, and count them as sent.

        :param now: local time
        """
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.rate_factor = min(1.0, self.rate_factor + elapsed / RECOVERY_SECONDS)
        self.tokens = min(self._burst(), self.tokens + elapsed * self._rate())
        granted = min(requested, int(self.tokens))
        self.tokens -= granted
        return granted

    def slow_down(self) -> None:
        """Halve the rate, since the platform refused an order because of its rate limit."""
        self.rate_factor = max(MIN_RATE_FRACTION, self.rate_factor / 2)
        self.tokens = min(self.tokens, 0.0)

    def _rate(self) -> float:
        return self.per_second * RATE_FRACTION * self.rate_factor

    def _burst(self) -> float:
        return max(1.0, self._rate() * BURST_SECONDS)
