"""Amounts of processors, memory and accelerators on the platform."""

from __future__ import annotations

from typing import Any

from ..batch import Amount
from ..exception import RecordError
from ..reading import whole

__all__ = ["amount"]


def amount(source: Any) -> Amount:
    """Return an amount.

    :raises RecordError: if it cannot be read
    """
    if not isinstance(source, dict):
        raise RecordError("an amount is not an object")
    return Amount(whole(source, "cpu", 0), whole(source, "memMb", 0), whole(source, "gpu", 0))
