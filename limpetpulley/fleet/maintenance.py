"""Which VMs are maintained next in waves that the platform orders. No I/O.

Every VM of a wave is maintained within the wave's time, and never more of them at once than the
wave allows. VMs of standby pools go first, then those of the least loaded pools; the VMs of a busy
pool are deferred as long as the wave's time allows.
"""

from __future__ import annotations

import math
from collections.abc import Container

import attrs

from .demand import PoolLoad
from .vms import FleetVm, Phase, WaveOrder

__all__ = ["WaveProgress", "choose_vms_to_maintain", "is_finished"]

#: utilization of a pool above which its VMs are deferred while there is time
BUSY_UTILIZATION = 0.45
#: time that draining a VM takes, in seconds
DRAIN_SECONDS = 3.0
#: busy pools are no longer deferred once the time left is below this multiple of the time that the
#: rest of the wave needs
URGENCY_FACTOR = 1.6
#: fraction of a pool's VMs that may be drained or unavailable at once
MAX_POOL_FRACTION = 0.34


@attrs.define
class WaveProgress:
    """A wave and its progress.

    :param started_at: wall-clock time when it was first seen, in seconds since 1970
    :param done: VMs whose maintenance has started
    :param ordered_at: local time of this planner's last order, by VM
    :param completed: whether it was reported as completed
    """

    order: WaveOrder
    started_at: float
    done: set[str] = attrs.field(factory=set)
    ordered_at: dict[str, float] = attrs.field(factory=dict)
    completed: bool = False

    def remaining(self, vms: dict[str, FleetVm]) -> list[str]:
        """Return the VMs that still exist and whose maintenance has not started."""
        return [vm for vm in self.order.vms if vm not in self.done and vm in vms]

    def unavailable(self, vms: dict[str, FleetVm], now: float, seconds: float) -> set[str]:
        """Return the VMs that are, or may be, unavailable because of this wave.

        :param seconds: time that maintenance takes
        """
        return {
            vm
            for vm in self.order.vms
            if (vm in vms and vms[vm].phase is Phase.MAINTENANCE)
            or now - self.ordered_at.get(vm, -math.inf) < seconds
        }


def is_finished(wave: WaveProgress, vms: dict[str, FleetVm]) -> bool:
    """Return whether the maintenance of every VM that still exists has started."""
    return not wave.remaining(vms)


def choose_vms_to_maintain(
    wave: WaveProgress,
    vms: dict[str, FleetVm],
    loads: dict[str, PoolLoad],
    draining: set[str],
    draining_for_wave: set[str],
    now: float,
    wall_time: float,
    seconds: float,
    reserved: Container[str] = frozenset(),
) -> set[str]:
    """Return the VMs of a wave that should be drained and then maintained.

    :param vms: all VMs by name
    :param loads: load of each pool that is not a standby pool
    :param draining: VMs that are being drained, whatever the cause
    :param draining_for_wave: the VMs among them that are being drained for this wave
    :param now: local time
    :param wall_time: wall-clock time, in seconds since 1970
    :param seconds: time that maintenance takes
    :param reserved: VMs of standby pools that are about to join a pool with a shortfall; they are
        deferred while there is time
    """
    unavailable = wave.unavailable(vms, now, seconds)
    candidates = [
        vm for vm in wave.remaining(vms) if vm not in unavailable and vms[vm].phase is Phase.UP
    ]
    chosen: set[str] = set()
    for vm in candidates:
        if vm in draining_for_wave and len(chosen) + len(unavailable) < wave.order.at_once:
            chosen.add(vm)
    rounds = math.ceil(len(candidates) / max(1, wave.order.at_once))
    time_left = wave.started_at + wave.order.seconds - wall_time
    urgent = time_left < URGENCY_FACTOR * rounds * (seconds + DRAIN_SECONDS)
    out_by_pool: dict[str, int] = {}
    for vm in draining | unavailable:
        if vm in vms:
            out_by_pool[vms[vm].pool] = out_by_pool.get(vms[vm].pool, 0) + 1
    for vm in sorted(candidates, key=lambda name: _rank(vms[name], loads)):
        if len(chosen) + len(unavailable) >= wave.order.at_once:
            break
        pool = vms[vm].pool
        load = loads.get(pool)
        if vm in chosen or (vm in reserved and not urgent):
            continue
        if load is not None and load.vms:
            limit = max(1, int(load.vms * MAX_POOL_FRACTION))
            if out_by_pool.get(pool, 0) >= limit or (_is_busy(load) and not urgent):
                continue
        chosen.add(vm)
        out_by_pool[pool] = out_by_pool.get(pool, 0) + 1
    return chosen


def _rank(vm: FleetVm, loads: dict[str, PoolLoad]) -> tuple:
    load = loads.get(vm.pool)
    utilization = load.required_cores / load.capacity_cores if load and load.capacity_cores else 0.0
    return (bool(vm.worker_id), utilization, vm.name)


def _is_busy(load: PoolLoad) -> bool:
    return load.required_cores > BUSY_UTILIZATION * load.capacity_cores
