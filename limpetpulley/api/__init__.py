"""HTTP interfaces for callers, operators and metrics.

Nothing is exported here; import from the modules, so that a daemon of one kind does not load the
interfaces of the other at startup.
"""

__all__: list[str] = []
