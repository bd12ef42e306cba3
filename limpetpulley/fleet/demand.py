"""How many VMs each pool should have. No I/O.

Answers pools whose demand peaks in turn at about five times its mean for some seconds: VMs of the
pool that is off join the pool whose demand passes its room, and go back once it has had room to
spare for a while. A peak begins faster than a VM moves; so a pool keeps the VMs that it began
with, unless it has just peaked and the others are to peak before it does again.
"""

from __future__ import annotations

import math

import attrs

__all__ = ["PoolLoad", "PoolMoves", "VmMove", "choose_moves"]

#: time in which waiting work should be done, in seconds; from the slack of a typical objective
DRAIN_SECONDS = 1.5
#: part of a pool's room that demand may take before VMs are added
FULL_PART = 0.9
#: part of the room left without a VM that demand must stay below for the VM to go
SPARE_PART = 0.5
#: time for which there must be room to spare, so that VMs do not go to and fro
SPARE_SECONDS = 1.5
#: part of a pool's own room that demand passes at its peak
PEAK_PART = 0.5
#: time after a peak before VMs are given away, in seconds
REST_AFTER_SECONDS = 1.0
#: fewest VMs that a pool keeps, so that the loss of one leaves room for its tasks that last
LEAST_VMS = 2
#: most moves into one pool at a time
MOVES_AT_ONCE = 6


@attrs.frozen
class PoolLoad:
    """What a pool's owner reports.

    :param size: processors of one of its VMs
    :param used_cores: processors in use, by tasks that last too
    :param waiting_core_seconds: work that waits
    :param refused_core_seconds: work that was refused in the last second
    :param vms: number of its VMs
    :param least_vms: fewest VMs over which its tasks that last can be spread
    """

    size: float
    used_cores: float
    waiting_core_seconds: float
    refused_core_seconds: float
    vms: int
    least_vms: int = 0

    @property
    def room_cores(self) -> float:
        """Return the processors of its VMs."""
        return self.vms * self.size

    @property
    def wanted_cores(self) -> float:
        """Return the processors that would serve the demand in time."""
        return (
            self.used_cores
            + (self.waiting_core_seconds + self.refused_core_seconds) / DRAIN_SECONDS
        )


@attrs.frozen
class VmMove:
    """A number of VMs that should change their pool."""

    source: str
    target: str
    count: int


@attrs.define
class PoolMoves:
    """What is remembered between two looks.

    :param homes: number of VMs that each pool began with
    :param peaked_at: when a pool was last at its peak, by local time
    :param spare_since: time since when a pool has had room to spare
    """

    homes: dict[str, int] = attrs.field(factory=dict)
    peaked_at: dict[str, float] = attrs.field(factory=dict)
    spare_since: dict[str, float] = attrs.field(factory=dict)


def choose_moves(
    loads: dict[str, PoolLoad],
    idle: dict[str, int],
    coming: dict[str, int],
    leaving: dict[str, int],
    memory: PoolMoves,
    now: float,
) -> list[VmMove]:
    """Return the moves that the demand asks for.

    :param loads: load of each pool that is on
    :param idle: VMs that are ready to leave, for each pool that is off
    :param coming: VMs that are on their way to a pool
    :param leaving: VMs of a pool that are being emptied to leave it
    """
    if not idle:
        return []
    for pool, load in loads.items():
        if load.vms and load.wanted_cores > PEAK_PART * load.size * memory.homes.get(pool, 0):
            memory.peaked_at[pool] = now
    moves: list[VmMove] = []
    left = dict(idle)
    for pool, load in sorted(loads.items(), key=lambda item: -item[1].wanted_cores):
        if load.size <= 0:
            continue
        has = load.vms + coming.get(pool, 0) - leaving.get(pool, 0)
        wanted = _wanted_vms(pool, load, loads, memory, now)
        if wanted > has:
            memory.spare_since.pop(pool, None)
            moves += _bring(pool, min(wanted - has, MOVES_AT_ONCE), left)
        elif wanted == has:
            memory.spare_since.pop(pool, None)
        elif now - memory.spare_since.setdefault(pool, now) >= SPARE_SECONDS:
            moves.append(VmMove(pool, next(iter(idle)), has - wanted))
    return moves


def may_rest(pool: str, loads: dict[str, PoolLoad], memory: PoolMoves, now: float) -> bool:
    """Return whether another pool is to peak before this one does again.

    Pools that peak in turn do so in a stable order, so the one whose peak is the longest ago is
    the next. A pool that was not seen at its peak yet may begin at any time.
    """
    mine = memory.peaked_at.get(pool)
    if mine is None or now - mine < REST_AFTER_SECONDS:
        return False
    return any(memory.peaked_at.get(other, -math.inf) < mine for other in loads if other != pool)


def _wanted_vms(
    pool: str, load: PoolLoad, loads: dict[str, PoolLoad], memory: PoolMoves, now: float
) -> int:
    home = memory.homes.get(pool, load.vms)
    needed = math.ceil(load.wanted_cores / FULL_PART / load.size)
    if needed > home:
        return needed
    if may_rest(pool, loads, memory, now):
        spacious = math.ceil(load.wanted_cores / SPARE_PART / load.size)
        return min(home, max(LEAST_VMS, load.least_vms + 1, spacious))
    # VMs beyond the pool's own stay until the demand leaves room to spare.
    return max(home, min(load.vms, math.ceil(load.wanted_cores / SPARE_PART / load.size)))


def _bring(pool: str, count: int, left: dict[str, int]) -> list[VmMove]:
    moves = []
    for source, available in left.items():
        taken = min(count, available)
        if taken > 0:
            moves.append(VmMove(source, pool, taken))
            left[source] -= taken
            count -= taken
    return moves
