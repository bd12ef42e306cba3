"""Parts of fleet-wide limits, and how they move between daemons: import from the modules."""

__all__: list[str] = []
