"""Stored record that one planner of VMs leaves to the next: recent orders and peaks. No I/O.

Designed for a planner that fails in the middle of a peak: its successor must not order a VM for
which the failed planner may just have sent an order, but may order any other VM at once. So a
planner stores which VMs it is going to order before it does, and its successor leaves only these
VMs alone for a while.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from typing import Any

import attrs

from ..exception import RecordError
from ..json_decoding import (
    FieldConverters,
    check_count,
    check_number,
    check_str,
    decode_fields,
    parse_object,
)
from .peak_forecast import Peak

__all__ = ["OrderIntent", "PlannerRecord", "decode_planner_record", "encode_planner_record"]

#: longest wait of an intent, in seconds: no lease of VM orders is longer
MAX_WAIT_SECONDS = 3600.0
#: most VMs in a pool
MAX_HEIGHT = 1_000_000


@attrs.frozen
class OrderIntent:
    """An order for a VM that may be sent, or may have been sent recently.

    :param worker_id: worker that runs on the VM when the order is decided
    :param target: pool that the VM is moved to, empty for maintenance
    :param wave: wave that the VM is maintained in, empty for a move
    :param wait: seconds for which the next planner must not order the VM, from its claim on
    """

    vm: str
    worker_id: str
    target: str = ""
    wave: str = ""
    wait: float = 0.0


@attrs.frozen
class PlannerRecord:
    """State of a planner that its successor needs.

    :param token: fencing token of the planner that wrote it
    :param intents: its orders, and those of earlier planners that are still in force
    :param peaks: observed peaks of pools, with times in seconds since 1970
    """

    token: int
    intents: tuple[OrderIntent, ...] = ()
    peaks: tuple[Peak, ...] = ()

    def intents_by_vm(self) -> Mapping[str, OrderIntent]:
        """Return the intents by the name of their VM."""
        return {intent.vm: intent for intent in self.intents}


def _decode_text(value: Any) -> str:
    return check_str(str(value), "a name")


def _decode_time(value: Any) -> float:
    return check_number(float(value), "a time")


def _decode_wait(value: Any) -> float:
    """Return a wait in seconds, infinite for one that is no time: it is not known then."""
    wait = float(value)
    return wait if 0 <= wait <= MAX_WAIT_SECONDS else math.inf


def _decode_height(value: Any) -> int:
    height = check_count(int(value), "height")
    if height > MAX_HEIGHT:
        raise RecordError(f"a peak of {height} VMs")
    return height


INTENT_FIELDS: FieldConverters = {
    "vm": _decode_text,
    "worker_id": _decode_text,
    "target": _decode_text,
    "wave": _decode_text,
    "wait": _decode_wait,
}
PEAK_FIELDS: FieldConverters = {
    "pool": _decode_text,
    "begun_at": _decode_time,
    "seen_at": _decode_time,
    "height": _decode_height,
}


def encode_planner_record(record: PlannerRecord) -> bytes:
    """Return the stored form of a record."""
    return json.dumps(attrs.asdict(record), separators=(",", ":")).encode()


def decode_planner_record(value: bytes) -> PlannerRecord:
    """Return the record in its stored form.

    :raises RecordError: if it cannot be decoded
    """
    source = parse_object(value)
    try:
        return PlannerRecord(**decode_fields(source, RECORD_FIELDS))
    except (
        RecordError,
        ValueError,
        TypeError,
        LookupError,
        AttributeError,
        OverflowError,
    ) as error:
        raise RecordError(f"not a {PlannerRecord.__name__}: {error!r}") from None


def _decode_intents(rows: list[dict[str, Any]]) -> tuple[OrderIntent, ...]:
    return tuple(OrderIntent(**decode_fields(row, INTENT_FIELDS)) for row in rows)


def _decode_peaks(rows: list[dict[str, Any]]) -> tuple[Peak, ...]:
    return tuple(Peak(**decode_fields(row, PEAK_FIELDS)) for row in rows)


RECORD_FIELDS: FieldConverters = {
    "token": lambda value: check_count(int(value), "token"),
    "intents": _decode_intents,
    "peaks": _decode_peaks,
}
