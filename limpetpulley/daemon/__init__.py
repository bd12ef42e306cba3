"""The daemon: everything else put together."""

from .node import Node

__all__ = ["Node"]
