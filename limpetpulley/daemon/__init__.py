"""The daemon: everything else put together."""

from .node import Node, Surroundings
from .server import Daemon

__all__ = ["Daemon", "Node", "Surroundings"]
