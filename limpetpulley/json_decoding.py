"""Decoding of untrusted JSON, whose fields may be missing or have a wrong type."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any

from .exception import RecordError

__all__ = [
    "FieldConverters",
    "decode_fields",
    "get_bool",
    "get_int",
    "get_list",
    "get_number",
    "get_str",
    "parse_object",
]

#: functions that convert the values of an object's fields, by field
FieldConverters = Mapping[str, Callable[[Any], Any]]


def parse_object(content: bytes | str) -> dict[str, Any]:
    """Parse a JSON object.

    :raises RecordError: if the content is not a JSON object
    """
    try:
        value = json.loads(content)
    except ValueError as error:
        raise RecordError(f"not JSON: {error}") from None
    if not isinstance(value, dict):
        raise RecordError("not a JSON object")
    return value


def get_str(source: dict[str, Any], name: str, default: str | None = None) -> str:
    """Return a string field.

    :raises RecordError: if it has another type, or is missing and there is no default
    """
    value = source.get(name, default)
    if not isinstance(value, str):
        raise RecordError(f"{name} is not a string")
    return value


def get_number(source: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a numeric field.

    :raises RecordError: if it has another type, or is missing and there is no default
    """
    value = source.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise RecordError(f"{name} is not a number")
    return value


def get_int(source: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return a numeric field whose value is an integer.

    :raises RecordError: if it is not an integer, or is missing and there is no default
    """
    value = get_number(source, name, default)
    if value != int(value):
        raise RecordError(f"{name} is not an integer")
    return int(value)


def get_bool(source: dict[str, Any], name: str) -> bool:
    """Return a boolean field, false if it is missing.

    :raises RecordError: if it has another type
    """
    value = source.get(name, False)
    if not isinstance(value, bool):
        raise RecordError(f"{name} is not a boolean")
    return value


def get_list(source: dict[str, Any], name: str) -> list[Any]:
    """Return an array field, empty if it is missing.

    :raises RecordError: if it has another type
    """
    value = source.get(name) or []
    if not isinstance(value, list):
        raise RecordError(f"{name} is not a list")
    return value


def decode_fields(source: dict[str, Any], converters: FieldConverters) -> dict[str, Any]:
    """Return the converted fields that an object has; fields without a converter are ignored.

    :raises ValueError, TypeError, OverflowError: if a field cannot be converted
    """
    return {name: convert(source[name]) for name, convert in converters.items() if name in source}
