"""JSON values of job specifications, without the fields that have their default."""

from __future__ import annotations

from typing import Any

import attrs

from ..json_decoding import FieldConverters, decode_fields
from .model import Amount, JobSpec, Step

__all__ = ["decode_spec_fields", "encode_spec_fields"]


def decode_spec_fields(source: dict[str, Any]) -> JobSpec:
    """Return the specification with the given fields.

    :raises ValueError, TypeError, OverflowError: if a field is missing or cannot be converted
    """
    return JobSpec(**decode_fields(source, SPEC_FIELDS))


def encode_spec_fields(spec: JobSpec) -> dict[str, Any]:
    """Return the fields of a specification that differ from their default."""
    return _encode(spec, SPEC_DEFAULTS) | {
        "steps": [_encode_step(step) for step in spec.steps],
    }


def _decode_amount(source: dict[str, Any]) -> Amount:
    return Amount(**decode_fields(source, AMOUNT_FIELDS))


def _decode_step(source: dict[str, Any]) -> Step:
    return Step(**decode_fields(source, STEP_FIELDS))


def _encode_step(step: Step) -> dict[str, Any]:
    fields = _encode(step, STEP_DEFAULTS)
    if "need" in fields:
        fields["need"] = _encode(step.need, AMOUNT_DEFAULTS)
    return fields


def _encode(instance: Any, defaults: dict[str, Any]) -> dict[str, Any]:
    return {
        name: value
        for name, default in defaults.items()
        if (value := getattr(instance, name)) != default
    }


def _get_defaults(model: type) -> dict[str, Any]:
    return {field.name: field.default for field in attrs.fields(model)}


AMOUNT_FIELDS: FieldConverters = {"cpu_millicores": int, "memory_mb": int, "accelerators": int}
STEP_FIELDS: FieldConverters = {
    "count": int,
    "need": _decode_amount,
    "estimate_seconds": float,
    "after": lambda numbers: tuple(int(number) for number in numbers),
    "checkpoints": bool,
    "gang": bool,
    "same_rack": bool,
    "label": str,
    "near_rack": str,
    "max_per_worker": int,
    "speculative": bool,
    "lasting": bool,
    "image": str,
    "latency_target_seconds": float,
    "filler": bool,
    "may_miss": lambda number: None if number is None else int(number),
}
SPEC_FIELDS: FieldConverters = {
    "payload": str,
    "steps": lambda steps: tuple(_decode_step(step) for step in steps),
    "occurrences": int,
    "first_due": float,
    "interval_seconds": float,
}
AMOUNT_DEFAULTS = _get_defaults(Amount)
STEP_DEFAULTS = _get_defaults(Step)
SPEC_DEFAULTS = _get_defaults(JobSpec)
