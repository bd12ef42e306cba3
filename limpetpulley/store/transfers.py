"""Calls of a store over HTTP; what arrives is recorded by purpose."""

from __future__ import annotations

import json
from typing import Any

from ..address import Address
from ..clock import Clock, SystemClock
from ..exception import HttpError, StoreUnavailable
from ..http_client import HttpClient, HttpResponse
from .contact import StoreContact

__all__ = ["Transfers"]

#: longest time for an answer whose bytes are arriving, in seconds: a page of entries has up to
#: 1.4 MB, which takes a link of 1 Mbit/s eleven seconds
LONGEST_TRANSFER_SECONDS = 15.0
#: size up to which an answer arrives at once or not at all, in bytes; a refusal is shorter
SHORT_ANSWER_BYTES = 4096
JSON_HEADERS = {"Content-Type": "application/json"}


class Transfers:
    """Sends calls to a store and records what arrives.

    :param address: address of the store
    :param contact: records the bytes of the answers
    :param clock: the clock by which the contact is judged
    """

    def __init__(
        self, http: HttpClient, address: Address, contact: StoreContact, clock: Clock | None = None
    ):
        self.clock = clock or SystemClock()
        self.http = http
        self.address = address
        self.contact = contact

    async def request(
        self, purpose: str, method: str, target: str, body: Any, seconds: float
    ) -> HttpResponse:
        """Send a call and return its response.

        :param purpose: the kind of call and what it is about, such as ``read op/``
        :param body: document to send as JSON, None for none
        :param seconds: timeout of the call, in seconds, unless its answer is arriving
        :raises StoreUnavailable: if no complete response was received
        """
        content = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        arrived = 0

        def note_bytes(count: int) -> None:
            nonlocal arrived
            arrived += count
            self.contact.note_bytes(purpose, count)
            if arrived > SHORT_ANSWER_BYTES:
                self.contact.note_arrival(purpose, self.clock.now())

        try:
            return await self.http.request(
                method,
                self.address,
                target,
                JSON_HEADERS if content else {},
                content,
                seconds,
                on_bytes=note_bytes,
                longest=LONGEST_TRANSFER_SECONDS,
            )
        except HttpError as error:
            raise StoreUnavailable(str(error)) from None
