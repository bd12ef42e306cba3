"""Listening sockets."""

from __future__ import annotations

import socket

__all__ = ["listen"]

BACKLOG = 1024


def listen(host: str, port: int) -> socket.socket:
    """Return a listening TCP socket.

    The protocol is given explicitly: the event loop sets TCP_NODELAY only on sockets whose
    protocol is TCP, and accepted sockets inherit it.

    :param host: IP address or host name
    :param port: port, 0 for any free port
    :raises OSError: if the socket cannot be bound to the address
    """
    # Python loads the codec of international domain names for any host that is a string.
    host_name = host.encode() if host.isascii() else host
    family, kind, _, _, address = socket.getaddrinfo(
        host_name, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
    )[0]
    listener = socket.socket(family, kind, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
