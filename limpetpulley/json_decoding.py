"""Decoding of untrusted JSON, whose fields may be missing or have a wrong type."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Mapping
from typing import Any

from .address import Address
from .exception import RecordError

__all__ = [
    "FieldConverters",
    "check_bool",
    "check_count",
    "check_int",
    "check_number",
    "check_str",
    "check_token",
    "decode_fields",
    "get_address",
    "get_bool",
    "get_count",
    "get_int",
    "get_list",
    "get_number",
    "get_object",
    "get_optional_address",
    "get_objects",
    "get_str",
    "get_strings",
    "parse_json",
    "parse_object",
]

#: largest absolute value of a number; those of protocol messages and of the stores fit
MAX_NUMBER = 2**63 - 1
VISIBLE_ASCII = re.compile(r"[!-~]+")

#: functions that convert the values of an object's fields, by field
FieldConverters = Mapping[str, Callable[[Any], Any]]


def parse_json(content: bytes | str) -> Any:
    """Parse a JSON value.

    :raises ValueError: if the content is not JSON, or is nested too deeply
    """
    try:
        return json.loads(content)
    except RecursionError:
        raise ValueError("nested too deeply") from None


def parse_object(content: bytes | str) -> dict[str, Any]:
    """Parse a JSON object.

    :raises RecordError: if the content is not a JSON object
    """
    try:
        value = parse_json(content)
    except ValueError as error:
        raise RecordError(f"not JSON: {error}") from None
    if not isinstance(value, dict):
        raise RecordError("not a JSON object")
    return value


def get_str(source: dict[str, Any], name: str, default: str | None = None) -> str:
    """Return a string field.

    :raises RecordError: if it has another type, or is missing and there is no default
    """
    return check_str(source.get(name, default), name)


def check_str(value: Any, name: str) -> str:
    """Return a value that must be a string which can be encoded.

    :raises RecordError: if it is not
    """
    if not isinstance(value, str):
        raise RecordError(f"{name} is not a string")
    if not value.isascii():
        try:
            value.encode()
        except UnicodeEncodeError:
            raise RecordError(f"{name} has a character that cannot be encoded") from None
    return value


def check_token(value: str, name: str) -> str:
    """Return a value that must be of visible ASCII characters, as in a header.

    :raises RecordError: if it is not
    """
    if not VISIBLE_ASCII.fullmatch(value):
        raise RecordError(f"{name} {value[:100]!r} is not of visible ASCII characters")
    return value


def get_address(source: dict[str, Any], name: str) -> Address:
    """Return a field of the form ``host:port`` with an IP address.

    :raises RecordError: if it has another form, or is missing
    """
    text = get_str(source, name)
    try:
        return Address(text)
    except ValueError as error:
        raise RecordError(str(error)) from None


def get_optional_address(source: dict[str, Any], name: str) -> Address | None:
    """Return a field of the form ``host:port`` with an IP address, None if it is missing or empty.

    :raises RecordError: if it has another form
    """
    return get_address(source, name) if source.get(name) else None


def get_number(source: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a numeric field.

    :raises RecordError: if it has another type, or is missing and there is no default
    """
    return check_number(source.get(name, default), name)


def check_number(value: Any, name: str) -> float:
    """Return a value that must be a finite number within the range of stored ones.

    :raises RecordError: if it is not
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise RecordError(f"{name} is not a number")
    # This is false for NaN as well.
    if not abs(value) <= MAX_NUMBER:
        raise RecordError(f"{name} is out of range")
    return value


def get_int(source: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return a numeric field whose value is an integer.

    :raises RecordError: if it is not an integer, or is missing and there is no default
    """
    return check_int(source.get(name, default), name)


def check_int(value: Any, name: str) -> int:
    """Return a value that must be an integer.

    :raises RecordError: if it is not
    """
    number = check_number(value, name)
    if number != int(number):
        raise RecordError(f"{name} is not an integer")
    return int(number)


def get_count(source: dict[str, Any], name: str) -> int:
    """Return an integer field that is not negative, 0 if it is missing.

    :raises RecordError: if it has another value
    """
    return check_count(source.get(name, 0), name)


def check_count(value: Any, name: str) -> int:
    """Return a value that must be an integer that is not negative.

    :raises RecordError: if it is not
    """
    count = check_int(value, name)
    if count < 0:
        raise RecordError(f"{name} is negative")
    return count


def get_bool(source: dict[str, Any], name: str) -> bool:
    """Return a boolean field, false if it is missing.

    :raises RecordError: if it has another type
    """
    return check_bool(source.get(name, False), name)


def check_bool(value: Any, name: str) -> bool:
    """Return a value that must be a boolean.

    :raises RecordError: if it is not
    """
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


def get_strings(source: dict[str, Any], name: str) -> list[str]:
    """Return the strings in an array field, empty if it is missing.

    :raises RecordError: if it has another type, or a string cannot be encoded
    """
    return [get_str({name: item}, name) for item in get_list(source, name) if isinstance(item, str)]


def get_object(source: dict[str, Any], name: str) -> dict[str, Any]:
    """Return an object field, empty if it is missing.

    :raises RecordError: if it has another type
    """
    value = source.get(name) or {}
    if not isinstance(value, dict):
        raise RecordError(f"{name} is not a JSON object")
    return value


def get_objects(source: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return an array field whose items are objects, empty if it is missing.

    :raises RecordError: if it has another type
    """
    items = get_list(source, name)
    if not all(isinstance(item, dict) for item in items):
        raise RecordError(f"an item of {name} is not a JSON object")
    return items


def decode_fields(source: dict[str, Any], converters: FieldConverters) -> dict[str, Any]:
    """Return the converted fields that an object has; fields without a converter are ignored.

    :raises ValueError, TypeError, OverflowError: if a field cannot be converted
    """
    return {name: convert(source[name]) for name, convert in converters.items() if name in source}
