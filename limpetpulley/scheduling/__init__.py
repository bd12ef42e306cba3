"""Scheduling of jobs and admission control. Import from the modules of this package."""

__all__: list[str] = []
