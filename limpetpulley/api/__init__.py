"""HTTP interfaces for callers and operators: import what is needed from the modules.

A daemon of one kind should not load the interfaces of the other at its start.
"""

__all__: list[str] = []
