"""Interface of the advice service, which issues the tickets that some steps need to start."""

from __future__ import annotations

from typing import Protocol

import attrs

from ..pool.tickets import TicketRequest

__all__ = ["Advice", "Adviser"]


@attrs.frozen
class Advice:
    """Tickets for one step.

    :param tickets: tickets by worker
    :param valid_seconds: time for which they are valid
    """

    tickets: dict[str, str]
    valid_seconds: float


class Adviser(Protocol):
    """Client of the advice service."""

    async def advise(self, request: TicketRequest) -> Advice:
        """Return the tickets for a step.

        :raises AdviceError: if the service does not answer
        """
