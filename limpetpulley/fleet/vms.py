"""VMs whose pool and maintenance are ordered through the platform."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

import attrs

__all__ = ["FleetVm", "Holder", "OrderOutcome", "Phase", "VmOrders", "WaveOrder"]


class Phase(enum.StrEnum):
    """What a VM is doing."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


class OrderOutcome(enum.Enum):
    """What the platform says to an order for a VM; ``TOO_MANY`` is for the rate of orders."""

    DONE = enum.auto()
    BUSY = enum.auto()
    STALE_HOLDER = enum.auto()
    NOT_IN_WAVE = enum.auto()
    REFUSED = enum.auto()
    TOO_MANY = enum.auto()


@attrs.frozen
class FleetVm:
    """A VM as the platform lists it.

    :param cores: its processors
    :param worker_id: worker that runs on it now, empty while its pool is off or it is not up
    """

    name: str
    pool: str
    phase: Phase
    worker_id: str = ""
    rack: str = ""
    data_centre: str = ""
    cores: float = 0.0


@attrs.frozen
class WaveOrder:
    """VMs that are due for maintenance.

    :param seconds: time in which all of them must have begun it
    :param at_once: most of them that may be down for it at once
    """

    name: str
    vms: tuple[str, ...]
    seconds: float
    at_once: int


def _always() -> bool:
    return True


@attrs.frozen
class Holder:
    """Who gives an order, and with which permission; nobody for a call that needs none.

    :param token: fencing token of its claim
    :param holds: returns whether it may give orders right now; asked right before one is sent,
        since a process may have been paused since it decided
    """

    name: str = ""
    token: int = 0
    holds: Callable[[], bool] = _always


class VmOrders(Protocol):
    """The platform's list of VMs and its orders for them.

    Every call raises :class:`~limpetpulley.exception.PlatformError` when no answer came; an order
    may then have been carried out.
    """

    async def list_vms(self) -> list[FleetVm]:
        """Return all VMs."""

    async def move(self, vm: str, pool: str, holder: Holder) -> OrderOutcome:
        """Move a VM to a pool; everything that runs there ends at once."""

    async def maintain(self, vm: str, wave: str, holder: Holder) -> OrderOutcome:
        """Begin a VM's maintenance; everything that runs there ends at once."""
