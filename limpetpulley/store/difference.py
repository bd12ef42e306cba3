"""Differences between two versions of a value, by the parts that they have in common."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

__all__ = ["Piece", "apply_difference", "find_difference"]

#: values are JSON documents: versions differ in a few objects, and what follows them moves
SEPARATOR = b"}"


@attrs.frozen
class Piece:
    """A part of a new value: a range of the base value, followed by new bytes.

    :param offset: start of the range in the base value, in bytes
    :param length: length of the range, in bytes
    """

    offset: int
    length: int
    literal: bytes


def find_difference(base: bytes, value: bytes) -> list[Piece]:
    """Return the pieces that make a value from a base value.

    The time is proportional to the length of both.
    """
    offsets: dict[bytes, int] = {}
    position = 0
    for part in _split(base):
        offsets.setdefault(part, position)
        position += len(part)
    pieces: list[Piece] = []
    offset, length, literal = 0, 0, bytearray()
    for part in _split(value):
        if not literal and base.startswith(part, offset + length):
            length += len(part)
            continue
        found = offsets.get(part)
        if found is None:
            literal += part
            continue
        pieces.append(Piece(offset, length, bytes(literal)))
        offset, length, literal = found, len(part), bytearray()
    pieces.append(Piece(offset, length, bytes(literal)))
    return pieces


def apply_difference(base: bytes, pieces: Iterable[Piece]) -> bytes:
    """Return the value that pieces make from a base value.

    :raises ValueError: if a piece is not a range of the base value
    """
    value = bytearray()
    for piece in pieces:
        if not 0 <= piece.offset <= piece.offset + piece.length <= len(base):
            raise ValueError(
                f"no range of {piece.length} bytes from {piece.offset} in {len(base)} bytes"
            )
        value += base[piece.offset : piece.offset + piece.length] + piece.literal
    return bytes(value)


def _split(value: bytes) -> list[bytes]:
    """Return the parts of a value, each but the last with its separator."""
    parts = value.split(SEPARATOR)
    return [part + SEPARATOR for part in parts[:-1]] + ([parts[-1]] if parts[-1] else [])
