"""How many VMs each pool should have. No I/O.

Answers pools whose demand peaks in turn at about five times its mean for some seconds: VMs of the
pool that is off, or of pools with room to spare, join the pool whose demand passes its room. A
peak begins faster than a VM moves; so a quiet pool keeps a good part of the VMs that it began
with, and more when its demand begins to rise, unless it has just peaked and the others are to
peak before it does again.
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
SPARE_SECONDS = 2.2
#: part of a pool's own room that demand passes at its peak
PEAK_PART = 0.5
#: part of a pool's present room above which demand is rising to a peak
RISING_PART = 0.4
#: part of its own VMs that a quiet pool keeps which has not peaked yet; the rest joins it while
#: its demand rises
READY_PART = 0.4
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
    :param ready_cores: processors that waiting tasks would use now if there were room
    :param refused_core_seconds: work that was refused in the last second
    :param vms: number of its VMs
    :param least_vms: fewest VMs over which its tasks that last can be spread
    """

    size: float
    used_cores: float
    waiting_core_seconds: float
    ready_cores: float
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
        waiting = min(self.ready_cores, self.waiting_core_seconds / DRAIN_SECONDS)
        return self.used_cores + waiting + self.refused_core_seconds / DRAIN_SECONDS


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

    A pool that lacks VMs gets them from the pools that are off, then from those with VMs to
    spare; what is to spare for a while goes to a pool that is off.

    :param loads: load of each pool that is on
    :param idle: VMs that are ready to leave, for each pool that is off
    :param coming: VMs that are on their way to a pool
    :param leaving: VMs of a pool that are being emptied to leave it
    """
    known = {pool: load for pool, load in loads.items() if load.size > 0}
    for pool, load in known.items():
        if load.wanted_cores > PEAK_PART * load.size * memory.homes.get(pool, 0):
            memory.peaked_at[pool] = now
    lacking: dict[str, int] = {}
    spare: dict[str, int] = {}
    for pool, load in known.items():
        here = load.vms - leaving.get(pool, 0)
        has = here + coming.get(pool, 0)
        wanted = _wanted_vms(pool, load, known, memory, now)
        # VMs on their way run nothing yet, so that those which are there must not all go.
        free = min(has - wanted, here - _least_vms(load))
        if wanted > has:
            lacking[pool] = min(wanted - has, MOVES_AT_ONCE)
        elif free > 0:
            spare[pool] = free
    for pool in known:
        if pool in spare:
            memory.spare_since.setdefault(pool, now)
        else:
            memory.spare_since.pop(pool, None)
    moves = _lend(lacking, idle, spare, known)
    if idle:
        moves += [
            VmMove(pool, next(iter(idle)), count)
            for pool, count in spare.items()
            if count and now - memory.spare_since[pool] >= SPARE_SECONDS
        ]
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
    spacious = math.ceil(load.wanted_cores / SPARE_PART / load.size)
    least = _least_vms(load)
    if needed > home:
        return needed
    if may_rest(pool, loads, memory, now):
        return min(home, max(least, spacious))
    if load.wanted_cores > RISING_PART * load.room_cores:
        return max(home, min(load.vms, spacious))
    return min(home, max(least, spacious, math.ceil(READY_PART * home)))


def _least_vms(load: PoolLoad) -> int:
    """Return the fewest VMs that a pool keeps."""
    return max(LEAST_VMS, load.least_vms + 1)


def _lend(
    lacking: dict[str, int],
    idle: dict[str, int],
    spare: dict[str, int],
    loads: dict[str, PoolLoad],
) -> list[VmMove]:
    """Return moves to the pools that lack VMs; what is lent is taken off what is to spare."""
    moves = []
    left = dict(idle)
    quiet_first = sorted(spare, key=lambda pool: loads[pool].wanted_cores / loads[pool].size)
    for target in sorted(lacking, key=lambda pool: -lacking[pool]):
        count = lacking[target]
        for sources, names in ((left, list(left)), (spare, quiet_first)):
            for source in names:
                taken = min(count, sources[source])
                if taken > 0:
                    moves.append(VmMove(source, target, taken))
                    sources[source] -= taken
                    count -= taken
    return moves
