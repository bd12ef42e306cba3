"""Permits: the divided parts of fleet-wide limits, and how they move between daemons."""

from .adviser import Adviser, Claim, GroupReport, Order, make_adviser
from .ledger import Holding, Ledger, Transfer
from .resource import pool_group, slot_resource, team_group, team_resource

__all__ = [
    "Adviser",
    "Claim",
    "GroupReport",
    "Holding",
    "Ledger",
    "Order",
    "Transfer",
    "make_adviser",
    "pool_group",
    "slot_resource",
    "team_group",
    "team_resource",
]
