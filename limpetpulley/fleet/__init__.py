"""Pools, moves, maintenance waves and the spare buffer: import from the modules.

A daemon that owns pools should not load the configuration objects of direct jobs at its start.
"""

__all__: list[str] = []
