"""The platform's machines: their list, orders for them, and maintenance waves."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import quote

from .. import json_decoding as fields
from ..address import Address
from ..exception import HttpError, PlatformError, RecordError
from ..fleet.vms import FleetVm, Holder, OrderOutcome, Phase, WaveOrder, decode_vms
from ..http_client import HttpClient, HttpResponse
from .config import decode_amount

__all__ = ["WAVE_PREFIX", "PlatformVms", "decode_wave", "encode_wave_state", "wave_state_key"]

WAVE_PREFIX = "op/wave/"
#: timeout of a call, in seconds
CALL_TIMEOUT_SECONDS = 2.0
OK, CONFLICT = 200, 409
ANSWERS = {200: OrderOutcome.DONE, 400: OrderOutcome.REFUSED, 429: OrderOutcome.TOO_MANY}
PHASES = {
    "up": Phase.UP,
    "moving": Phase.MOVING,
    "upkeep": Phase.MAINTENANCE,
    "down": Phase.DOWN,
}
OUTCOMES = {
    "fence": OrderOutcome.STALE_HOLDER,
    "busy": OrderOutcome.BUSY,
    "wave": OrderOutcome.NOT_IN_WAVE,
}


def decode_wave(key: str, value: bytes) -> WaveOrder:
    """Return the maintenance wave in an operator's entry.

    :raises RecordError: if it cannot be read
    """
    source, name = fields.parse_object(value), key.removeprefix(WAVE_PREFIX)
    if not (name.isascii() and name.isdecimal()):
        raise RecordError(f"the name {name[:100]!r} of a wave is not a number")
    return WaveOrder(
        name,
        tuple(fields.get_strings(source, "machines")),
        fields.get_number(source, "durationS"),
        # Here "upperBound" is a number of machines; for a tenant it is an amount.
        fields.get_int(source, "upperBound"),
    )


def wave_state_key(name: str) -> str:
    """Return the key under which the state of a wave is published."""
    return f"status/wave/{name}"


def encode_wave_state(name: str, completed: bool) -> bytes:
    """Return the value that publishes the state of a wave."""
    state = "completed" if completed else "running"
    return json.dumps({"wave": int(name), "state": state}).encode()


class PlatformVms:
    """Lists machines and sends orders for them.

    :param address: address of the service
    """

    def __init__(self, http: HttpClient, address: Address):
        self.http = http
        self.address = address

    async def list_vms(self) -> list[FleetVm]:
        """Return all machines, from all pages of the list."""
        vms: list[FleetVm] = []
        target = "/api/machines"
        while True:
            answer = await self._call("GET", target, {}, b"", Holder())
            if answer.status != OK:
                raise PlatformError(f"cannot list machines: status {answer.status}")
            try:
                page = fields.parse_object(answer.content)
                vms += decode_vms(fields.get_list(page, "machines"), "machine", _decode_vm)
                token = fields.check_str(page.get("nextToken") or "", "nextToken")
            except RecordError as error:
                raise PlatformError(f"cannot read the list of machines: {error}") from None
            if not token:
                return vms
            target = f"/api/machines?pageToken={quote(token, safe='')}"

    async def move(self, vm: str, pool: str, holder: Holder) -> OrderOutcome:
        """Move a machine to a pool."""
        body = {"machine": vm, "pool": pool}
        return await self._order("/api/machine-move", body, holder)

    async def maintain(self, vm: str, wave: str, holder: Holder) -> OrderOutcome:
        """Start the maintenance of a machine."""
        body = {"machine": vm, "wave": int(wave)}
        return await self._order("/api/machine-upkeep", body, holder)

    async def _order(self, path: str, body: dict[str, Any], holder: Holder) -> OrderOutcome:
        headers = {
            "Content-Type": "application/json",
            "Lease-Holder": holder.name,
            "Fencing-Token": str(holder.token),
        }
        answer = await self._call("POST", path, headers, json.dumps(body).encode(), holder)
        if answer.status in ANSWERS:
            return ANSWERS[answer.status]
        if answer.status == CONFLICT:
            try:
                reason = fields.get_str(fields.parse_object(answer.content), "reason")
                return OUTCOMES.get(reason, OrderOutcome.REFUSED)
            except RecordError as error:
                raise PlatformError(f"{path}: status {answer.status}: {error}") from None
        raise PlatformError(f"{path}: unexpected status {answer.status}")

    async def _call(
        self, method: str, target: str, headers: dict[str, str], body: bytes, holder: Holder
    ) -> HttpResponse:
        try:
            return await self.http.request(
                method, self.address, target, headers, body, CALL_TIMEOUT_SECONDS, holder.holds
            )
        except HttpError as error:
            raise PlatformError(str(error)) from None


def _decode_vm(row: dict[str, Any]) -> FleetVm:
    labels = fields.get_strings(row, "labels")
    phase = PHASES.get(fields.get_str(row, "state"))
    if phase is None:
        raise RecordError(f"unknown machine state {row['state']!r}")
    return FleetVm(
        fields.get_str(row, "machine"),
        fields.get_str(row, "pool"),
        phase,
        # "id" identifies the worker that runs on the machine; it is empty if there is none.
        fields.check_str(row.get("id") or "", "id"),
        labels[-1] if len(labels) > 1 else "",
        fields.get_str(row, "zone", ""),
        decode_amount(row.get("capacity") or {}).cpu_millicores / 1000,
        labels=frozenset(labels),
    )
