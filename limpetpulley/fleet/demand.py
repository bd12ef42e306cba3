"""How many VMs each pool should have, and which moves that asks for. No I/O.

Answers pools whose demand peaks in turn at about five times its mean for some seconds, in fleets
of tens or hundreds of VMs. What is handed in tells of a peak before tasks wait, so that all VMs it
needs are asked for at once: those of the pool that is off, those that leave another pool anyway,
then what other pools can spare. A VM that nothing needed for some seconds goes to the pool that is
off, since it costs more there than its way out and back. A pool that has not peaked yet, or that
is foreseen to peak next, keeps some for its peak's first seconds.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

import attrs

from .peak_forecast import TurnWatch

__all__ = ["FleetPlan", "PoolLoad", "PoolMoves", "choose_leaving", "plan_pools"]

#: time in which waiting work should be done, in seconds; from the slack of a typical objective
DRAIN_SECONDS = 1.5
#: most that waiting and refused work adds to what is wanted, as a part of it
BACKLOG_PART = 0.3
#: part of a pool's room that demand may take: tasks of unequal size leave the rest scattered
FULL_PART = 0.85
#: time for which a pool must not have needed a VM before it goes to the pool that is off, in
#: seconds: about what its way out and back costs, as seconds in a pool
KEEP_SECONDS = 2.4
#: the same before it goes to a pool that lacks VMs, so that chance does not send it to and fro
LEND_SECONDS = 0.7
#: part of its own VMs that a quiet pool keeps which has not peaked yet
READY_PART = 0.4
#: part of its own VMs beyond which a pool's need is its peak
PEAK_PART = 0.5
#: fewest VMs that a pool keeps, so that the loss of one leaves room for its tasks that last
LEAST_VMS = 2


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
    :param lasting_cores: processors in use by tasks that last
    :param arriving_cores: processors that serve what is handed in now
    """

    size: float
    used_cores: float
    waiting_core_seconds: float
    ready_cores: float
    refused_core_seconds: float
    vms: int
    least_vms: int = 0
    lasting_cores: float = 0.0
    arriving_cores: float = 0.0

    @property
    def room_cores(self) -> float:
        """Return the processors of its VMs."""
        return self.vms * self.size

    @property
    def wanted_cores(self) -> float:
        """Return the processors that would serve the demand in time.

        What waits now is late when a VM that is asked for joins, so it counts for little beside
        what is handed in.
        """
        waiting = min(self.ready_cores, self.waiting_core_seconds / DRAIN_SECONDS)
        backlog = waiting + self.refused_core_seconds / DRAIN_SECONDS
        steady = (self.lasting_cores + self.arriving_cores) / FULL_PART
        begun = max(self.used_cores, steady)
        return begun + min(backlog, BACKLOG_PART * max(begun, self.size))

    @property
    def wanted_vms(self) -> int:
        """Return the VMs that would serve the demand in time."""
        return max(self.kept_vms, math.ceil(self.wanted_cores / self.size)) if self.size else 0

    @property
    def kept_vms(self) -> int:
        """Return the fewest VMs that the pool keeps."""
        return max(LEAST_VMS, self.least_vms + 1)


@attrs.frozen
class FleetPlan:
    """What should become of the pools.

    Those on their way to a pool count as its own, those that are being emptied as still there.

    :param lacking: VMs that a pool lacks, the most lacking first
    :param lendable: VMs that a pool can give to pools that lack some, the quietest first
    :param needless: VMs of a pool that may go to a pool that is off
    """

    lacking: dict[str, int]
    lendable: dict[str, int]
    needless: dict[str, int]


@attrs.define
class PoolMoves:
    """What is remembered between two looks.

    :param homes: number of VMs that each pool began with
    :param needs: VMs that a pool wanted lately, with the local time
    """

    homes: dict[str, int] = attrs.field(factory=dict)
    needs: dict[str, deque[tuple[float, int]]] = attrs.field(factory=dict)
    turns: TurnWatch = attrs.field(factory=TurnWatch)

    def note(self, pool: str, wanted: int, now: float) -> None:
        """Note what a pool wants now."""
        rows = self.needs.setdefault(pool, deque())
        rows.append((now, wanted))
        while rows[0][0] < now - KEEP_SECONDS:
            rows.popleft()

    def most(self, pool: str, now: float, seconds: float) -> int:
        """Return the most that a pool wanted in the last seconds."""
        return max((wanted for at, wanted in self.needs[pool] if at >= now - seconds), default=0)

    def knows(self, pool: str, now: float) -> bool:
        """Return whether a pool has been watched long enough to send its VMs off."""
        rows = self.needs.get(pool)
        return rows is not None and rows[0][0] <= now - KEEP_SECONDS + LEND_SECONDS


def plan_pools(
    loads: dict[str, PoolLoad], coming: dict[str, int], memory: PoolMoves, now: float
) -> FleetPlan:
    """Return what each pool lacks and what it can spare.

    :param loads: load of each pool that is on
    :param coming: VMs that are on their way to a pool
    :param now: local time
    """
    known = {pool: load for pool, load in loads.items() if load.size > 0}
    for pool, load in known.items():
        wanted = load.wanted_vms
        memory.note(pool, wanted, now)
        peaks = wanted > max(PEAK_PART * memory.homes.get(pool, 0), LEAST_VMS)
        memory.turns.note(pool, peaks, wanted, now)
    foreseen = memory.turns.foresee(known, now)
    lacking: dict[str, int] = {}
    lendable: dict[str, int] = {}
    needless: dict[str, int] = {}
    for pool, load in known.items():
        has = load.vms + coming.get(pool, 0)
        kept = max(_ready_vms(pool, known, memory, now), foreseen.get(pool, 0))
        wanted = max(load.wanted_vms, foreseen.get(pool, 0))
        if wanted > has:
            lacking[pool] = wanted - has
            continue
        # VMs on their way run nothing yet, so that those which are there must not all go.
        own = load.vms - load.kept_vms
        spare = has - max(memory.most(pool, now, LEND_SECONDS), foreseen.get(pool, 0))
        if min(own, spare) > 0:
            lendable[pool] = min(own, spare)
        idle = has - max(memory.most(pool, now, KEEP_SECONDS), kept)
        if min(own, idle) > 0 and memory.knows(pool, now):
            needless[pool] = min(own, idle)
    return FleetPlan(
        dict(sorted(lacking.items(), key=lambda row: (-row[1], row[0]))),
        dict(sorted(lendable.items(), key=lambda row: known[row[0]].wanted_cores)),
        needless,
    )


def choose_leaving(plan: FleetPlan, off: int) -> dict[str, int]:
    """Return how many VMs of each pool should be emptied to leave it.

    :param off: VMs in pools that are off, which can be moved at once
    """
    leaving = dict(plan.needless)
    rest = sum(plan.lacking.values()) - off - sum(leaving.values())
    for pool, most in plan.lendable.items():
        more = min(rest, most - leaving.get(pool, 0))
        if more > 0:
            leaving[pool] = leaving.get(pool, 0) + more
            rest -= more
    return leaving


def _ready_vms(pool: str, pools: Iterable[str], memory: PoolMoves, now: float) -> int:
    """Return the VMs that a pool keeps for the first seconds of a peak."""
    if memory.turns.may_rest(pool, pools, now):
        return 0
    return math.ceil(READY_PART * memory.homes.get(pool, 0))
