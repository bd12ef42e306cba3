"""How many VMs each pool should have. No I/O.

Answers pools whose demand peaks in turn at about five times its mean for some seconds: VMs of the
pool that is off join the pool whose demand passes its room, and go back once it has had room to
spare for a while. A pool keeps the VMs that it began with, because a peak begins faster than a VM
moves.
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
#: most moves into one pool at a time
MOVES_AT_ONCE = 6


@attrs.frozen
class PoolLoad:
    """What a pool's owner reports.

    :param room_cores: processors of its workers
    :param used_cores: processors in use, by tasks that last too
    :param waiting_core_seconds: work that waits
    :param refused_core_seconds: work that was refused in the last second
    :param vms: number of its VMs
    """

    room_cores: float
    used_cores: float
    waiting_core_seconds: float
    refused_core_seconds: float
    vms: int

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
    :param spare_since: time since when a pool has had room to spare
    """

    homes: dict[str, int] = attrs.field(factory=dict)
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
    moves: list[VmMove] = []
    left = dict(idle)
    for pool, load in sorted(loads.items(), key=lambda item: -item[1].wanted_cores):
        if not load.vms:
            continue
        size = load.room_cores / load.vms
        room = (load.vms + coming.get(pool, 0)) * size
        if size <= 0:
            continue
        lacking = math.ceil((load.wanted_cores - FULL_PART * room) / size)
        if lacking > 0:
            memory.spare_since.pop(pool, None)
            moves += _bring(pool, min(lacking, MOVES_AT_ONCE), left)
        else:
            stays = load.vms - leaving.get(pool, 0)
            moves += _give_back(pool, load, stays, size, left, memory, now)
    return moves


def _bring(pool: str, count: int, left: dict[str, int]) -> list[VmMove]:
    moves = []
    for source, available in left.items():
        taken = min(count, available)
        if taken > 0:
            moves.append(VmMove(source, pool, taken))
            left[source] -= taken
            count -= taken
    return moves


def _give_back(
    pool: str,
    load: PoolLoad,
    stays: int,
    size: float,
    off: dict[str, int],
    memory: PoolMoves,
    now: float,
) -> list[VmMove]:
    extra = stays - memory.homes.get(pool, stays)
    fitting = int(stays - load.wanted_cores / SPARE_PART / size)
    count = min(extra, fitting)
    if count <= 0 or not off:
        memory.spare_since.pop(pool, None)
        return []
    if now - memory.spare_since.setdefault(pool, now) < SPARE_SECONDS:
        return []
    return [VmMove(pool, next(iter(off)), count)]
