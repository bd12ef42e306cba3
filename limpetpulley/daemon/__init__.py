"""The daemon: builds the components and serves callers, operators and other daemons."""

from .node import Node, NodeDependencies
from .server import Daemon

__all__ = ["Daemon", "Node", "NodeDependencies"]
