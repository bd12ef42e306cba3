"""Conversion between JSON messages and classes, for programs that load ``cattrs`` anyway."""

from __future__ import annotations

import enum
from collections.abc import Callable
from functools import partial
from typing import Any

import cattrs
from cattrs.preconf.json import JsonConverter, make_converter

from .exception import RecordError
from .json_decoding import check_bool, check_int, check_number, check_str, parse_json

__all__ = ["decode_message", "make_message_converter"]

#: checks of the values of fields, by the fields' types
CHECKS: dict[type, Callable[[Any, str], Any]] = {
    bool: check_bool,
    int: check_int,
    float: check_number,
    str: check_str,
}


def make_message_converter(*enum_types: type[enum.Enum]) -> JsonConverter:
    """Return a converter between message objects and JSON values.

    :param enum_types: enumerations whose members are encoded by name, in lower case
    """
    converter = make_converter()
    for value_type, check in CHECKS.items():
        converter.register_structure_hook(value_type, partial(_structure, check))
    for enum_type in enum_types:
        converter.register_unstructure_hook(enum_type, lambda member: member.name.lower())
        converter.register_structure_hook(enum_type, lambda name, target: target[name.upper()])
    return converter


def _structure(check: Callable[[Any, str], Any], value: Any, target: type) -> Any:
    return target(check(value, "a value"))


def decode_message(converter: JsonConverter, content: bytes, message_type: Any) -> Any:
    """Decode a JSON message of a given type.

    :raises RecordError: if the content is not such a message
    """
    try:
        return converter.structure(parse_json(content), message_type)
    except (
        RecordError,
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        OverflowError,
        cattrs.BaseValidationError,
    ) as error:
        raise RecordError(
            f"not a {getattr(message_type, '__name__', message_type)}: {error!r}"
        ) from None
