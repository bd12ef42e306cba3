"""Retry budget: limits retries to a fraction of the traffic."""

from __future__ import annotations

__all__ = ["RetryBudget"]

RETRY_FRACTION = 0.2
MAX_RETRY_BALANCE = 20.0
ROUNDING_TOLERANCE = 1e-9


class RetryBudget:
    """Allows retries as long as they remain a small fraction of the first attempts.

    >>> budget = RetryBudget(balance=1.0)
    >>> budget.try_withdraw(), budget.try_withdraw()
    (True, False)
    """

    def __init__(self, balance: float = MAX_RETRY_BALANCE):
        self.balance = balance

    def deposit(self) -> None:
        """Credit a fraction of a retry for a first attempt."""
        self.balance = min(self.balance + RETRY_FRACTION, MAX_RETRY_BALANCE)

    def try_withdraw(self) -> bool:
        """Withdraw one retry; return False if the balance does not cover it."""
        if self.balance < 1 - ROUNDING_TOLERANCE:
            return False
        self.balance -= 1
        return True
