"""Which VMs are maintained next in waves that the platform orders. No I/O.

Every VM of a wave is maintained in time, never more at once than the wave allows. VMs of pools
that are off go first, then those of the pools with the most room to spare; a busy pool's VMs wait
as long as the wave's time lasts.
"""

from __future__ import annotations

import math
from collections.abc import Container

import attrs

from .demand import PoolLoad
from .vms import FleetVm, Phase, WaveOrder

__all__ = ["WaveProgress", "choose_upkeep", "is_finished"]

#: part of a pool's room in use above which its VMs are spared while there is time
BUSY_PART = 0.45
#: time that emptying a VM takes, in seconds
EMPTYING_SECONDS = 3.0
#: factor on the time that the rest of a wave needs, below which busy pools are not spared
HURRY_FACTOR = 1.6
#: part of a pool's VMs that may be emptied or away at once
POOL_PART = 0.34


@attrs.define
class WaveProgress:
    """A wave and how far it is.

    :param begun_at: time of day when it was first seen, in seconds since 1970
    :param done: VMs whose maintenance has begun
    :param ordered: local time of the last order by VM, of this planner
    :param completed: whether it was said to be completed
    """

    order: WaveOrder
    begun_at: float
    done: set[str] = attrs.field(factory=set)
    ordered: dict[str, float] = attrs.field(factory=dict)
    completed: bool = False

    def left(self, vms: dict[str, FleetVm]) -> list[str]:
        """Return the VMs that stay and have still to begin."""
        return [vm for vm in self.order.vms if vm not in self.done and vm in vms]

    def away(self, vms: dict[str, FleetVm], now: float, seconds: float) -> set[str]:
        """Return the VMs that are down for this wave, or may be.

        :param seconds: time that maintenance takes
        """
        return {
            vm
            for vm in self.order.vms
            if (vm in vms and vms[vm].phase is Phase.MAINTENANCE)
            or now - self.ordered.get(vm, -math.inf) < seconds
        }


def is_finished(wave: WaveProgress, vms: dict[str, FleetVm]) -> bool:
    """Return whether every VM that stays has begun its maintenance."""
    return not wave.left(vms)


def choose_upkeep(
    wave: WaveProgress,
    vms: dict[str, FleetVm],
    loads: dict[str, PoolLoad],
    emptying: set[str],
    begun: set[str],
    now: float,
    day: float,
    seconds: float,
    needed: Container[str] = frozenset(),
) -> set[str]:
    """Return the VMs of a wave that should be emptied and then maintained.

    :param vms: all VMs by name
    :param loads: load of each pool that is on
    :param emptying: VMs that are being emptied, for whatever reason
    :param begun: the VMs among them that are emptied for this wave
    :param now: local time
    :param day: time of day, in seconds since 1970
    :param seconds: time that maintenance takes
    :param needed: VMs of pools that are off which are about to join a pool that lacks some; they
        wait while there is time
    """
    away = wave.away(vms, now, seconds)
    left = [vm for vm in wave.left(vms) if vm not in away and vms[vm].phase is Phase.UP]
    chosen: set[str] = set()
    for vm in left:
        if vm in begun and len(chosen) + len(away) < wave.order.at_once:
            chosen.add(vm)
    rounds = math.ceil(len(left) / max(1, wave.order.at_once))
    time_left = wave.begun_at + wave.order.seconds - day
    hurry = time_left < HURRY_FACTOR * rounds * (seconds + EMPTYING_SECONDS)
    taken: dict[str, int] = {}
    for vm in emptying | away:
        if vm in vms:
            taken[vms[vm].pool] = taken.get(vms[vm].pool, 0) + 1
    for vm in sorted(left, key=lambda name: _rank(vms[name], loads)):
        if len(chosen) + len(away) >= wave.order.at_once:
            break
        pool = vms[vm].pool
        load = loads.get(pool)
        if vm in chosen or (vm in needed and not hurry):
            continue
        if load is not None and load.vms:
            most = max(1, int(load.vms * POOL_PART))
            if taken.get(pool, 0) >= most or (_busy(load) and not hurry):
                continue
        chosen.add(vm)
        taken[pool] = taken.get(pool, 0) + 1
    return chosen


def _rank(vm: FleetVm, loads: dict[str, PoolLoad]) -> tuple:
    load = loads.get(vm.pool)
    part = load.wanted_cores / load.room_cores if load and load.room_cores else 0.0
    return (bool(vm.worker_id), part, vm.name)


def _busy(load: PoolLoad) -> bool:
    return load.wanted_cores > BUSY_PART * load.room_cores
