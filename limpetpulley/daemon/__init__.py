"""The daemon: everything else put together."""

from .node import Node, NodeDependencies
from .server import Daemon

__all__ = ["Daemon", "Node", "NodeDependencies"]
