"""Permits for fleet-wide limits and their transfer between daemons: import from the modules."""

__all__: list[str] = []
