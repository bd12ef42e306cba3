"""Addresses that can be connected to: what an address does not allow is found when it is made."""

from __future__ import annotations

import re
import socket

__all__ = ["Address", "HostAddress", "is_never_reachable"]

ADDRESS_PATTERN = re.compile(r"([A-Za-z0-9._\-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})")
MAX_PORT = 65535
#: longest host name and longest label of one, in characters; a longer one cannot be looked up
MAX_HOST_LENGTH = 253
MAX_LABEL_LENGTH = 63


class HostAddress(str):
    """``host:port`` with an IP address, or with a host name that can be looked up.

    :raises ValueError: if it is not an address on which a server can listen

    >>> HostAddress("store.example:80").host
    'store.example'
    """

    __slots__ = ("host", "port")
    host: str
    port: int

    def __new__(cls, text: str) -> HostAddress:
        """Return the text as an address."""
        match = ADDRESS_PATTERN.fullmatch(text)
        if match is None or not 0 < int(match[2]) <= MAX_PORT:
            raise ValueError(f"{text[:100]!r} is not an address")
        address = super().__new__(cls, text)
        address.host, address.port = match[1].strip("[]"), int(match[2])
        if not address.is_numeric and not _is_host_name(address.host):
            raise ValueError(f"{text[:100]!r} has no host name that can be looked up")
        return address

    @property
    def is_numeric(self) -> bool:
        """Return whether a connection needs no name lookup."""
        family = socket.AF_INET6 if self.startswith("[") else socket.AF_INET
        try:
            socket.inet_pton(family, self.host)
        except OSError:
            return False
        return True


class Address(HostAddress):
    """``host:port`` with an IP address, so that a connection to it needs no name lookup.

    A lookup would occupy a thread for as long as the resolver takes.

    :raises ValueError: if it is not such an address

    >>> Address("10.0.0.1:80").port
    80
    """

    __slots__ = ()

    def __new__(cls, text: str) -> Address:
        """Return the text as an address."""
        address = super().__new__(cls, text)
        if not address.is_numeric:
            raise ValueError(f"{text[:100]!r} has no IP address")
        assert isinstance(address, Address)
        return address


def is_never_reachable(text: str) -> bool:
    """Return whether no client can ever have connected to an address.

    A port is missing or out of range, or the host name has a label that cannot be looked up.
    """
    host, _, port = text.rpartition(":")
    try:
        if not 0 < int(port) <= MAX_PORT:
            return True
    except ValueError:
        return True
    return host.isascii() and not host.startswith("[") and bool(host) and not _is_host_name(host)


def _is_host_name(host: str) -> bool:
    labels = host.removesuffix(".").split(".")
    return len(host) <= MAX_HOST_LENGTH and all(
        0 < len(label) <= MAX_LABEL_LENGTH for label in labels
    )
