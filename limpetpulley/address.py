"""Addresses of the form ``host:port``."""

from __future__ import annotations

import re

__all__ = ["split_address"]

ADDRESS_PATTERN = re.compile(r"([A-Za-z0-9._\-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})")
MAX_PORT = 65535


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    :raises ValueError: if it is not an address on which a server can listen

    >>> split_address("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    match = ADDRESS_PATTERN.fullmatch(address)
    if match is None or not 0 < int(match[2]) <= MAX_PORT:
        raise ValueError(f"{address[:100]!r} is not an address")
    return match[1].strip("[]"), int(match[2])
