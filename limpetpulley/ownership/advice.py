"""The advice service's interface."""

from __future__ import annotations

from typing import Protocol

import attrs

from ..pool.tickets import TicketRequest

__all__ = ["Advice", "Adviser"]


@attrs.frozen
class Advice:
    """Tickets by worker, and how long they are valid."""

    tickets: dict[str, str]
    valid_seconds: float


class Adviser(Protocol):
    """The advice service."""

    async def advise(self, request: TicketRequest) -> Advice:
        """Return the tickets for a step.

        :raises AdviceError: if there is no answer now
        """
