"""What one planner of VMs leaves to the next: its orders of late, and the peaks it saw. No I/O.

Answers a planner that is lost in the middle of a peak: the next one must not order a VM about which
the former one may just have given an order, but may order any other at once. So a planner stores
which VMs it will order before it does, and its successor leaves only these alone for a while.
"""

from __future__ import annotations

import json
from collections.abc import Mapping

import attrs

from ..reading import message_converter, read_message
from .peak_forecast import Peak

__all__ = ["OrderIntent", "Succession", "decode_succession", "encode_succession"]


@attrs.frozen
class OrderIntent:
    """An order for a VM that may be given, or was given a moment ago.

    :param worker_id: worker that runs on the VM when the order is decided
    :param target: pool that the VM is moved to, empty for maintenance
    :param wave: wave that the VM is maintained in, empty for a move
    :param wait: seconds for which the next planner must leave the VM alone, from its claim on
    """

    vm: str
    worker_id: str
    target: str = ""
    wave: str = ""
    wait: float = 0.0


@attrs.frozen
class Succession:
    """What a planner knows that its successor needs.

    :param token: fencing token of the planner that wrote it
    :param intents: its orders, and those of its predecessors that still count
    :param peaks: peaks of pools that were seen, with times of day
    """

    token: int
    intents: tuple[OrderIntent, ...] = ()
    peaks: tuple[Peak, ...] = ()

    def by_vm(self) -> Mapping[str, OrderIntent]:
        """Return the intents by the name of their VM."""
        return {intent.vm: intent for intent in self.intents}


_converter = message_converter()


def encode_succession(succession: Succession) -> bytes:
    """Return the stored form."""
    return json.dumps(_converter.unstructure(succession), separators=(",", ":")).encode()


def decode_succession(value: bytes) -> Succession:
    """Return what a stored form says.

    :raises RecordError: if it cannot be read
    """
    return read_message(_converter, value, Succession)
