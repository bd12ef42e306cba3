"""Names of the resources that permits are for, and of the groups in which permits are matched."""

from __future__ import annotations

__all__ = [
    "is_team_group",
    "pool_group",
    "slot_resource",
    "team_group",
    "team_resource",
    "vm_of",
]

SLOT_PREFIX = "slot/"
TEAM_PREFIX = "team/"
POOL_PREFIX = "pool/"


def slot_resource(vm: str) -> str:
    """Return the resource for the slots of a VM's endpoint."""
    return SLOT_PREFIX + vm


def team_resource(team: str) -> str:
    """Return the resource for a team's upper limit."""
    return TEAM_PREFIX + team


def pool_group(pool: str) -> str:
    """Return the group for the slots of a pool."""
    return POOL_PREFIX + pool


def team_group(team: str) -> str:
    """Return the group for a team's upper limit."""
    return TEAM_PREFIX + team


def is_team_group(group: str) -> bool:
    """Return whether a group is for a team's upper limit."""
    return group.startswith(TEAM_PREFIX)


def vm_of(resource: str) -> str:
    """Return the VM whose slots a resource represents.

    >>> vm_of("slot/desk-1")
    'desk-1'
    """
    return resource.removeprefix(SLOT_PREFIX)
