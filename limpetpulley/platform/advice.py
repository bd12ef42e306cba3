"""Client of the platform's advice service."""

from __future__ import annotations

import json

from ..address import Address
from ..exception import AdviceError, HttpError, RecordError
from ..http_client import HttpClient
from ..json_decoding import get_list, get_number, parse_object
from ..ownership import Advice
from ..pool.tickets import TicketRequest
from .config import MILLISECONDS

__all__ = ["PlatformAdviser"]

#: timeout of a call, in seconds; the service needs some time for each worker in the request
CALL_TIMEOUT_SECONDS = 3.0
OK = 200


class PlatformAdviser:
    """Requests tickets from the advice service.

    :param address: address of the service
    """

    def __init__(self, http: HttpClient, address: Address):
        self.http = http
        self.address = address

    async def advise(self, request: TicketRequest) -> Advice:
        """Return the tickets for a step."""
        step = ".".join(str(part) for part in request.step)
        content = json.dumps({"step": step, "workers": request.workers}).encode()
        headers = {"Content-Type": "application/json"}
        try:
            answer = await self.http.request(
                "POST", self.address, "/api/advise", headers, content, CALL_TIMEOUT_SECONDS
            )
            if answer.status != OK:
                raise AdviceError(f"the advice service responded with status {answer.status}")
            reply = parse_object(answer.content)
            # "healthy" contains a row of worker and ticket for each worker that may run the step.
            tickets = {str(row[0]): str(row[1]) for row in get_list(reply, "healthy")}
            return Advice(tickets, get_number(reply, "validMs") / MILLISECONDS)
        except (HttpError, RecordError, LookupError, TypeError) as error:
            raise AdviceError(str(error)) from None
