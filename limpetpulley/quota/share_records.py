"""What the store keeps about a team's limit that pools share, and changes of it."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from ..batch import Amount

__all__ = [
    "NOTHING",
    "QueueChange",
    "QueuedWork",
    "ResourceTriple",
    "ShareChange",
    "ShareRecord",
    "fits_limited",
    "larger",
    "smaller",
    "triple",
]

#: processors in thousandths of a core, memory in megabytes and number of accelerators
ResourceTriple = tuple[int, int, int]

NOTHING: ResourceTriple = (0, 0, 0)


@attrs.frozen
class ShareRecord:
    """Division of a team's limit among pools, and the queue of pools that wait for a larger part.

    :param revision: revision of the division, 0 if there is none
    :param pools: processors, memory and accelerators by pool
    :param unknown: pools whose share cannot be read; each may run what the others don't, until its
        owner has written what it uses
    :param waiting: share that each waiting pool needs, in the order of their turns; nothing for a
        pool that only takes what others do not use, since its own tasks will make room
    :param waiting_revision: revision of the queue, 0 if there is none
    """

    revision: int = 0
    pools: Mapping[str, ResourceTriple] = attrs.field(factory=dict)
    unknown: frozenset[str] = frozenset()
    waiting: Mapping[str, ResourceTriple] = attrs.field(factory=dict)
    waiting_revision: int = 0

    @property
    def first(self) -> str | None:
        """Return the pool whose turn it is, None if none needs one."""
        return next((pool for pool, needed in self.waiting.items() if any(needed)), None)


@attrs.frozen
class ShareChange:
    """A new division of one team's limit.

    :param revision: revision that the division must still have for the change to apply
    :param pools: processors, memory and accelerators by pool
    :param unknown: other pools whose share is not known
    """

    team: str
    revision: int
    pools: dict[str, ResourceTriple]
    unknown: frozenset[str] = frozenset()


@attrs.frozen
class QueueChange:
    """A new queue of the pools that wait for a larger part of one team's limit.

    :param revision: revision that the queue must still have for the change to apply
    :param waiting: share that each waiting pool needs, in the order of their turns
    """

    team: str
    revision: int
    waiting: dict[str, ResourceTriple]


@attrs.frozen
class QueuedWork:
    """Ready tasks and gangs of one team in one pool.

    :param units: their number, by what each needs to start; in order of arrival
    :param startable: what those need that wait for nothing but their team's limit
    :param lasting: what runs until its jobs are cancelled
    """

    units: Mapping[Amount, int] = attrs.field(factory=dict)
    startable: tuple[Amount, ...] = ()
    lasting: Amount = Amount()


def triple(amount: Amount) -> ResourceTriple:
    """Return an amount as it is stored."""
    return amount.cpu_millicores, amount.memory_mb, amount.accelerators


def smaller(first: ResourceTriple, second: ResourceTriple) -> ResourceTriple:
    """Return the smaller value in each dimension."""
    return min(first[0], second[0]), min(first[1], second[1]), min(first[2], second[2])


def larger(first: ResourceTriple, second: ResourceTriple) -> ResourceTriple:
    """Return the larger value in each dimension."""
    return max(first[0], second[0]), max(first[1], second[1]), max(first[2], second[2])


def fits_limited(needed: ResourceTriple, allowed: ResourceTriple, limit: ResourceTriple) -> bool:
    """Return whether a need is allowed in each dimension that is limited."""
    return all(
        not maximum or amount <= most
        for maximum, amount, most in zip(limit, needed, allowed, strict=True)
    )
