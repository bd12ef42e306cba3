"""Calls of a store over HTTP, with the bytes that arrive by purpose."""

from __future__ import annotations

import json
from functools import partial
from typing import Any

from ..exception import HttpError, StoreUnavailable
from ..http_client import HttpClient, HttpResponse
from .contact import StoreContact

__all__ = ["Transfers"]

JSON_HEADERS = {"Content-Type": "application/json"}


class Transfers:
    """Sends calls to a store and records what arrives.

    :param address: ``host:port`` of the store
    :param contact: records the bytes of the answers
    """

    def __init__(self, http: HttpClient, address: str, contact: StoreContact):
        self.http = http
        self.address = address
        self.contact = contact

    async def request(
        self, purpose: str, method: str, target: str, body: Any, seconds: float
    ) -> HttpResponse:
        """Send a call and return its response.

        :param purpose: the kind of call and what it is about, such as ``read op/``
        :param body: document to send as JSON, None for none
        :param seconds: timeout of the call, in seconds
        :raises StoreUnavailable: if no complete response was received
        """
        content = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        try:
            return await self.http.request(
                method,
                self.address,
                target,
                JSON_HEADERS if content else {},
                content,
                seconds,
                on_bytes=partial(self.contact.note_bytes, purpose),
            )
        except HttpError as error:
            raise StoreUnavailable(str(error)) from None
