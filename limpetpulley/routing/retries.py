"""Budget of retries as a fraction of the traffic."""

from __future__ import annotations

__all__ = ["RetryBudget"]

RETRY_FRACTION = 0.2
MAX_SAVED_RETRIES = 20.0
ROUNDING = 1e-9


class RetryBudget:
    """Allows retries as long as they are a small fraction of the first attempts.

    >>> budget = RetryBudget(saved=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    def __init__(self, saved: float = MAX_SAVED_RETRIES):
        self.saved = saved

    def earn(self) -> None:
        """Note a first attempt."""
        self.saved = min(self.saved + RETRY_FRACTION, MAX_SAVED_RETRIES)

    def spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self.saved < 1 - ROUNDING:
            return False
        self.saved -= 1
        return True
