"""The platform's advice service."""

from __future__ import annotations

import json

from ..exception import AdviceError, HttpError, RecordError
from ..http_client import HttpClient
from ..json_decoding import get_list, get_number, parse_object
from ..ownership import Advice
from ..pool.tickets import TicketRequest
from .config import MILLISECONDS

__all__ = ["PlatformAdviser"]

#: longest time for a call, in seconds; the service takes its time for each worker that is named
CALL_SECONDS = 3.0
OK = 200


class PlatformAdviser:
    """Asks the advice service.

    :param address: ``host:port`` of the service
    """

    def __init__(self, http: HttpClient, address: str):
        self.http = http
        self.address = address

    async def advise(self, request: TicketRequest) -> Advice:
        """Return the tickets for a step."""
        step = ".".join(str(part) for part in request.step)
        content = json.dumps({"step": step, "workers": request.workers}).encode()
        headers = {"Content-Type": "application/json"}
        try:
            answer = await self.http.request(
                "POST", self.address, "/api/advise", headers, content, CALL_SECONDS
            )
            if answer.status != OK:
                raise AdviceError(f"the advice service answered {answer.status}")
            reply = parse_object(answer.content)
            # "healthy" lists the workers that may run the step, each with its ticket.
            tickets = {str(row[0]): str(row[1]) for row in get_list(reply, "healthy")}
            return Advice(tickets, get_number(reply, "validMs") / MILLISECONDS)
        except (HttpError, RecordError, IndexError, TypeError) as error:
            raise AdviceError(str(error)) from None
