"""Binds the outgoing connections of a Python process to the IPv4 address in an environment
variable, so that a server on loopback can tell which process calls it. Loaded by Python at its
start if this directory is on ``PYTHONPATH``.
"""

import os
import socket

__all__: list[str] = []

ADDRESS = os.environ.get("TEST_SOURCE_ADDRESS", "")
UNBOUND = ("0.0.0.0", 0)

connect_unbound = socket.socket.connect


def connect(self: socket.socket, address: tuple) -> None:
    """Connect from the process's own address."""
    if self.family == socket.AF_INET and self.getsockname() == UNBOUND:
        self.bind((ADDRESS, 0))
    connect_unbound(self, address)


if ADDRESS:
    socket.socket.connect = connect
