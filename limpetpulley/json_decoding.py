"""Reading JSON from outside, whose fields may be missing or of any type."""

from __future__ import annotations

import enum
import json
from typing import Any

import cattrs
from cattrs.preconf.json import JsonConverter, make_converter

from .exception import RecordError

__all__ = [
    "flag",
    "load",
    "message_converter",
    "number",
    "read_message",
    "rows",
    "text",
    "whole",
]


def parse_object(content: bytes | str) -> dict[str, Any]:
    """Return a JSON object.

    :raises RecordError: if the content is none
    """
    try:
        value = json.loads(content)
    except ValueError as error:
        raise RecordError(f"not JSON: {error}") from None
    if not isinstance(value, dict):
        raise RecordError("not a JSON object")
    return value


def get_str(source: dict[str, Any], name: str, default: str | None = None) -> str:
    """Return a field that holds text.

    :raises RecordError: if it holds something else, or is missing and has no default
    """
    value = source.get(name, default)
    if not isinstance(value, str):
        raise RecordError(f"{name} is not text")
    return value


def get_number(source: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a field that holds a number.

    :raises RecordError: if it holds something else, or is missing and has no default
    """
    value = source.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise RecordError(f"{name} is not a number")
    return value


def get_int(source: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return a field that holds a whole number.

    :raises RecordError: if it holds something else, or is missing and has no default
    """
    value = get_number(source, name, default)
    if value != int(value):
        raise RecordError(f"{name} is not a whole number")
    return int(value)


def get_bool(source: dict[str, Any], name: str) -> bool:
    """Return a field that holds true or false; false if it is missing.

    :raises RecordError: if it holds something else
    """
    value = source.get(name, False)
    if not isinstance(value, bool):
        raise RecordError(f"{name} is neither true nor false")
    return value


def get_list(source: dict[str, Any], name: str) -> list[Any]:
    """Return a field that holds a list; an empty one if it is missing.

    :raises RecordError: if it holds something else
    """
    value = source.get(name) or []
    if not isinstance(value, list):
        raise RecordError(f"{name} is not a list")
    return value


def make_message_converter(*named: type[enum.Enum]) -> JsonConverter:
    """Return what turns messages into plain values for JSON and back.

    :param named: enumerations whose members are told by name, in lower case
    """
    converter = make_converter()
    for each in named:
        converter.register_unstructure_hook(each, lambda member: member.name.lower())
        converter.register_structure_hook(each, lambda name, wanted: wanted[name.upper()])
    return converter


def decode_message(converter: JsonConverter, content: bytes, wanted: Any) -> Any:
    """Return the message of a type that JSON holds.

    :raises RecordError: if it holds none
    """
    try:
        return converter.structure(json.loads(content), wanted)
    except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
        raise RecordError(f"not a {getattr(wanted, '__name__', wanted)}: {error!r}") from None
