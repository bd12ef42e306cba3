"""The list of VMs and orders for them over HTTP, in the product's own protocol."""

from __future__ import annotations

import json
from typing import Any

from ..exception import HttpError, PlatformError, RecordError
from ..http_client import HttpCaller
from ..reading import message_converter, read_message
from .vms import FleetVm, Holder, OrderOutcome

__all__ = ["CONVERTER", "HttpVms", "NoVms"]

#: longest time for a call, in seconds; the list of a thousand VMs takes milliseconds
CALL_SECONDS = 1.0
OK = 200


#: turns messages into plain values for JSON and back
CONVERTER = message_converter(OrderOutcome)


class HttpVms:
    """Lists VMs, and carries orders for them.

    ``GET /vms`` answers with a list; ``POST /vms/{name}/move`` and ``/maintain`` take the holder's
    name and fencing token, and answer with an outcome.

    :param address: ``host:port``
    """

    def __init__(self, http: HttpCaller, address: str):
        self.http = http
        self.address = address

    async def list_vms(self) -> list[FleetVm]:
        """Return all VMs."""
        answer = await self._call("GET", "/vms", None)
        return self._read(answer, list[FleetVm])

    async def move(self, vm: str, pool: str, holder: Holder) -> OrderOutcome:
        """Move a VM to a pool; everything that runs there ends at once."""
        body = {"pool": pool, "holder": holder.name, "token": holder.token}
        return self._read(await self._call("POST", f"/vms/{vm}/move", body, holder), OrderOutcome)

    async def maintain(self, vm: str, wave: str, holder: Holder) -> OrderOutcome:
        """Begin a VM's maintenance; everything that runs there ends at once."""
        body = {"wave": wave, "holder": holder.name, "token": holder.token}
        return self._read(
            await self._call("POST", f"/vms/{vm}/maintain", body, holder), OrderOutcome
        )

    async def _call(
        self, method: str, path: str, body: dict[str, Any] | None, holder: Holder | None = None
    ) -> bytes:
        content = b"" if body is None else json.dumps(body).encode()
        headers = {"Content-Type": "application/json"}
        try:
            answer = await self.http.request(
                method,
                self.address,
                path,
                headers,
                content,
                CALL_SECONDS,
                holder.holds if holder else None,
            )
        except HttpError as error:
            raise PlatformError(f"list of VMs: {error}") from None
        if answer.status != OK:
            raise PlatformError(f"list of VMs: answered {answer.status}")
        return answer.content

    def _read(self, content: bytes, wanted: Any) -> Any:
        try:
            return read_message(CONVERTER, content, wanted)
        except RecordError as error:
            raise PlatformError(f"list of VMs: unreadable answer: {error}") from None


class NoVms:
    """A platform that neither lists VMs nor takes orders for them."""

    async def list_vms(self) -> list[FleetVm]:
        """Return no VMs."""
        return []

    async def move(self, vm: str, pool: str, holder: Holder) -> OrderOutcome:
        """Refuse."""
        return OrderOutcome.REFUSED

    async def maintain(self, vm: str, wave: str, holder: Holder) -> OrderOutcome:
        """Refuse."""
        return OrderOutcome.REFUSED
