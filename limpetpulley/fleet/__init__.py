"""Pools, moves, maintenance waves and the spare buffer."""

from .report import FleetReport

__all__ = ["FleetReport"]
