"""VMs that the platform moves between pools and maintains when it is ordered to."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import attrs

from ..json_decoding import get_str

__all__ = [
    "FleetVm",
    "Holder",
    "OrderOutcome",
    "Phase",
    "UnsupportedVmPlatform",
    "VmPlatform",
    "WaveOrder",
    "decode_vms",
]

#: longest reason why a row of the list cannot be read, in characters
MAX_PROBLEM_LENGTH = 200


class Phase(enum.StrEnum):
    """Phase of a VM, as the platform lists it; ``UNKNOWN`` if its row cannot be read."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"
    UNKNOWN = "unknown"


class OrderOutcome(enum.Enum):
    """The platform's answer to an order for a VM.

    ``TOO_MANY`` means that the order exceeded the rate limit of orders.
    """

    DONE = enum.auto()
    BUSY = enum.auto()
    STALE_HOLDER = enum.auto()
    NOT_IN_WAVE = enum.auto()
    REFUSED = enum.auto()
    TOO_MANY = enum.auto()


@attrs.frozen
class FleetVm:
    """A VM as the platform lists it.

    Of a VM whose row cannot be read, only the name is known. An empty name stands for a row without
    a readable one: any VM that the list lacks may be meant by it.

    :param cores: its processors
    :param labels: labels of a worker on it, including its rack
    :param problem: why its row cannot be read, empty if it can
    :param worker_id: worker that runs on it now, empty while its pool is a standby pool or the VM
        is not up
    """

    name: str
    pool: str
    phase: Phase
    worker_id: str = ""
    rack: str = ""
    data_centre: str = ""
    cores: float = 0.0
    problem: str = ""
    labels: frozenset[str] = frozenset()


@attrs.frozen
class WaveOrder:
    """VMs that are due for maintenance.

    :param seconds: time within which the maintenance of all of them must have started
    :param at_once: most of them that may be unavailable for it at once
    """

    name: str
    vms: tuple[str, ...]
    seconds: float
    at_once: int


def _always_true() -> bool:
    return True


@attrs.frozen
class Holder:
    """Holder of the claim under which orders are sent; unnamed for a call that needs no claim.

    :param token: fencing token of the claim
    :param holds: returns whether the claim permits orders right now; called right before an order
        is sent, since the process may have been paused after it decided on the order
    """

    name: str = ""
    token: int = 0
    holds: Callable[[], bool] = _always_true


class VmPlatform(Protocol):
    """The platform's list of VMs and its orders for them.

    Every call raises :class:`~limpetpulley.exception.PlatformError` when no answer was received; an
    order may then have been carried out.
    """

    async def list_vms(self) -> list[FleetVm]:
        """Return all VMs, those whose rows cannot be read as ``UNKNOWN``."""

    async def move(self, vm: str, pool: str, holder: Holder) -> OrderOutcome:
        """Move a VM to a pool; everything that runs on it ends at once."""

    async def maintain(self, vm: str, wave: str, holder: Holder) -> OrderOutcome:
        """Start a VM's maintenance; everything that runs on it ends at once."""


def decode_vms(
    rows: Iterable[Any], name_field: str, decode: Callable[[dict[str, Any]], FleetVm]
) -> list[FleetVm]:
    """Return the VMs of a list; a row that cannot be read concerns its own VM only.

    :param name_field: field of a row with the VM's name
    :param decode: returns the VM of a row; an error of it means that the row cannot be read
    """
    return [_decode_row(row, name_field, decode) for row in rows]


def _decode_row(row: Any, name_field: str, decode: Callable[[dict[str, Any]], FleetVm]) -> FleetVm:
    name = ""
    try:
        name = get_str(row, name_field)
        return decode(row) if name else FleetVm("", "", Phase.UNKNOWN, problem="empty name")
    except Exception as error:
        return FleetVm(name, "", Phase.UNKNOWN, problem=repr(error)[:MAX_PROBLEM_LENGTH])


class UnsupportedVmPlatform:
    """Client for a platform that neither lists VMs nor accepts orders for them."""

    async def list_vms(self) -> list[FleetVm]:
        """Return an empty list."""
        return []

    async def move(self, vm: str, pool: str, holder: Holder) -> OrderOutcome:
        """Refuse the order."""
        return OrderOutcome.REFUSED

    async def maintain(self, vm: str, wave: str, holder: Holder) -> OrderOutcome:
        """Refuse the order."""
        return OrderOutcome.REFUSED
