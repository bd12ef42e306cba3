"""Pools, moves, maintenance waves and the spare buffer: import from the modules.

Nothing is re-exported here, so that a daemon that owns pools does not load the configuration
objects of direct jobs when it starts.
"""

__all__: list[str] = []
