"""Client for the list of VMs and for orders for them over HTTP, in limpetpulley's protocol."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import quote

from .. import json_decoding as fields
from ..address import Address
from ..exception import HttpError, PlatformError, RecordError
from ..http_client import HttpClient
from ..message_decoding import decode_message, make_message_converter
from .vms import FleetVm, Holder, OrderOutcome, Phase, decode_vms

__all__ = ["CONVERTER", "HttpVmPlatform"]

#: timeout of a call, in seconds; listing a thousand VMs takes milliseconds
CALL_SECONDS = 1.0
OK = 200

#: converts messages to plain values for JSON and back
CONVERTER = make_message_converter(OrderOutcome)


class HttpVmPlatform:
    """Lists VMs and sends orders for them over HTTP.

    ``GET /vms`` returns a list; ``POST /vms/{name}/move`` and ``/maintain`` take the holder's name
    and fencing token in their body, and return an outcome.

    :param address: address of the service
    """

    def __init__(self, http: HttpClient, address: Address):
        self.http = http
        self.address = address

    async def list_vms(self) -> list[FleetVm]:
        """Return all VMs, those whose rows cannot be read as ``UNKNOWN``."""
        content = await self._call("GET", "/vms", None)
        try:
            rows = fields.get_list({"vms": fields.parse_json(content)}, "vms")
        except (ValueError, RecordError) as error:
            raise PlatformError(f"VM platform: invalid response: {error}") from None
        return decode_vms(rows, "name", _decode_vm)

    async def move(self, vm: str, pool: str, holder: Holder) -> OrderOutcome:
        """Move a VM to a pool; everything that runs on it ends at once."""
        body = {"pool": pool, "holder": holder.name, "token": holder.token}
        content = await self._call("POST", f"/vms/{quote(vm, safe='')}/move", body, holder)
        return self._decode(content, OrderOutcome)

    async def maintain(self, vm: str, wave: str, holder: Holder) -> OrderOutcome:
        """Start a VM's maintenance; everything that runs on it ends at once."""
        body = {"wave": wave, "holder": holder.name, "token": holder.token}
        content = await self._call("POST", f"/vms/{quote(vm, safe='')}/maintain", body, holder)
        return self._decode(content, OrderOutcome)

    async def _call(
        self, method: str, path: str, body: dict[str, Any] | None, holder: Holder | None = None
    ) -> bytes:
        content = b"" if body is None else json.dumps(body).encode()
        headers = {"Content-Type": "application/json"}
        try:
            response = await self.http.request(
                method,
                self.address,
                path,
                headers,
                content,
                CALL_SECONDS,
                holder.holds if holder else None,
            )
        except HttpError as error:
            raise PlatformError(f"VM platform: {error}") from None
        if response.status != OK:
            raise PlatformError(f"VM platform: unexpected status {response.status}")
        return response.content

    def _decode(self, content: bytes, expected: Any) -> Any:
        try:
            return decode_message(CONVERTER, content, expected)
        except RecordError as error:
            raise PlatformError(f"VM platform: invalid response: {error}") from None


def _decode_vm(row: dict[str, Any]) -> FleetVm:
    return FleetVm(
        fields.get_str(row, "name"),
        fields.get_str(row, "pool"),
        Phase(fields.get_str(row, "phase")),
        fields.get_str(row, "worker_id", ""),
        fields.get_str(row, "rack", ""),
        fields.get_str(row, "data_centre", ""),
        fields.get_number(row, "cores", 0.0),
    )
