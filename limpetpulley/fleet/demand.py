"""How many VMs each pool should have, and which moves follow from that. No I/O.

Designed for pools whose demand peaks in turn at about five times its mean for some seconds, in
fleets of tens or hundreds of VMs. The rate of incoming work shows a peak before tasks wait, so
all VMs that the peak needs are requested at once: those of the standby pool, then those that are
leaving another pool anyway, then those that other pools can spare. A VM that was not needed for
some seconds is moved to the standby pool, since keeping it in its pool costs more than moving it
out and back. A pool that has not peaked yet, or that is forecast to peak next, keeps some VMs for
the first seconds of its peak.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

import attrs

from .peak_forecast import PeakForecaster

__all__ = ["DemandHistory", "FleetPlan", "PoolLoad", "plan_drains", "plan_pools"]

#: target time for working off the backlog, in seconds; from the slack of a typical objective
BACKLOG_DRAIN_SECONDS = 1.5
#: most that waiting and refused work adds to the required processors, as a fraction of them
MAX_BACKLOG_FRACTION = 0.3
#: fraction of a pool's processors that demand may use: tasks of unequal size leave the rest
#: fragmented
TARGET_UTILIZATION = 0.85
#: time for which a pool must not have needed a VM before the VM moves to the standby pool, in
#: seconds: about the cost of moving it out and back, expressed as seconds in a pool
STANDBY_AFTER_SECONDS = 2.4
#: the same before the VM moves to a pool with a shortfall; long enough that random variation does
#: not move VMs to and fro
LEND_AFTER_SECONDS = 0.7
#: fraction of its own VMs that an idle pool keeps while it has not peaked yet
PEAK_RESERVE_FRACTION = 0.4
#: fraction of its own VMs above which a pool's need counts as a peak
PEAK_FRACTION = 0.5
#: fewest VMs that a pool keeps, so that the loss of one leaves room for its long-running tasks
MIN_POOL_VMS = 2


@attrs.frozen
class PoolLoad:
    """The load that a pool's owner reports.

    :param vm_cores: processors of one of its VMs
    :param used_cores: processors in use, also by long-running tasks
    :param waiting_core_seconds: work that waits
    :param ready_cores: processors that waiting tasks would use now if there were room
    :param refused_core_seconds: work that was refused in the last second
    :param vms: number of its VMs
    :param min_spread_vms: fewest VMs over which its long-running tasks can be spread, or one less
        than a waiting gang needs
    :param long_running_cores: processors in use by long-running tasks
    :param arriving_cores: processors needed to serve jobs at the rate at which they arrive now
    :param needed_vms: VMs of its own that its tasks need for more than room
    """

    vm_cores: float
    used_cores: float
    waiting_core_seconds: float
    ready_cores: float
    refused_core_seconds: float
    vms: int
    min_spread_vms: int = 0
    long_running_cores: float = 0.0
    arriving_cores: float = 0.0
    needed_vms: int = 0

    @property
    def capacity_cores(self) -> float:
        """Return the total processors of the pool's VMs."""
        return self.vms * self.vm_cores

    @property
    def required_cores(self) -> float:
        """Return the processors that would serve the demand in time.

        Work that waits now is late by the time a requested VM joins, so it weighs little against
        the rate of incoming work.
        """
        waiting = min(self.ready_cores, self.waiting_core_seconds / BACKLOG_DRAIN_SECONDS)
        backlog = waiting + self.refused_core_seconds / BACKLOG_DRAIN_SECONDS
        steady = (self.long_running_cores + self.arriving_cores) / TARGET_UTILIZATION
        baseline = max(self.used_cores, steady)
        return baseline + min(backlog, MAX_BACKLOG_FRACTION * max(baseline, self.vm_cores))

    @property
    def required_vms(self) -> int:
        """Return the VMs that would serve the demand in time."""
        return (
            max(self.min_vms, math.ceil(self.required_cores / self.vm_cores))
            if self.vm_cores
            else 0
        )

    @property
    def min_vms(self) -> int:
        """Return the fewest VMs that the pool keeps."""
        return max(MIN_POOL_VMS, self.min_spread_vms + 1)


@attrs.frozen
class FleetPlan:
    """Shortfalls and spare VMs of the pools.

    VMs on their way to a pool count as its own; VMs that are being drained still count for the
    pool that they are in.

    :param shortfall: VMs that a pool is short of, the largest shortfall first
    :param lendable: VMs that a pool can give to pools with a shortfall, the least loaded first
    :param surplus: VMs of a pool that may move to a standby pool
    """

    shortfall: dict[str, int]
    lendable: dict[str, int]
    surplus: dict[str, int]


@attrs.define
class DemandHistory:
    """Recent demand of the pools, kept between planning rounds.

    :param homes: initial number of VMs of each pool
    :param samples: VMs that a pool required recently, each with the local time
    :param forecaster: peaks of the pools and the forecast of the next one
    """

    homes: dict[str, int] = attrs.field(factory=dict)
    samples: dict[str, deque[tuple[float, int]]] = attrs.field(factory=dict)
    forecaster: PeakForecaster = attrs.field(factory=PeakForecaster)

    def record(self, pool: str, required: int, now: float) -> None:
        """Add a sample of the VMs that a pool requires, and discard the outdated ones."""
        samples = self.samples.setdefault(pool, deque())
        samples.append((now, required))
        while samples[0][0] < now - STANDBY_AFTER_SECONDS:
            samples.popleft()

    def max_required(self, pool: str, now: float, seconds: float) -> int:
        """Return the most VMs that a pool required in the last seconds."""
        return max(
            (required for at, required in self.samples[pool] if at >= now - seconds), default=0
        )

    def covers_standby_period(self, pool: str, now: float) -> bool:
        """Return whether a pool was observed long enough to move its VMs to standby."""
        samples = self.samples.get(pool)
        return (
            samples is not None
            and samples[0][0] <= now - STANDBY_AFTER_SECONDS + LEND_AFTER_SECONDS
        )


def plan_pools(
    loads: dict[str, PoolLoad], incoming: dict[str, int], history: DemandHistory, now: float
) -> FleetPlan:
    """Return the VMs that each pool is short of and those that it can spare.

    :param loads: load of each pool that is not a standby pool
    :param incoming: VMs that are on their way to a pool
    :param history: recent demand, to which the loads are added
    :param now: local time
    """
    active = {pool: load for pool, load in loads.items() if load.vm_cores > 0}
    for pool, load in active.items():
        required = load.required_vms
        history.record(pool, required, now)
        peaking = required > max(PEAK_FRACTION * history.homes.get(pool, 0), MIN_POOL_VMS)
        history.forecaster.record(pool, peaking, required, now)
    forecast = history.forecaster.forecast(active, now)
    shortfall: dict[str, int] = {}
    lendable: dict[str, int] = {}
    surplus: dict[str, int] = {}
    for pool, load in active.items():
        total = load.vms + incoming.get(pool, 0)
        reserve = max(_peak_reserve(pool, active, history, now), forecast.get(pool, 0))
        required = max(load.required_vms, forecast.get(pool, 0))
        if required > total:
            shortfall[pool] = required - total
            continue
        # VMs on their way run no tasks yet, so the pool must not release all VMs that it has.
        removable = load.vms - max(load.min_vms, load.needed_vms)
        spare = total - max(
            history.max_required(pool, now, LEND_AFTER_SECONDS), forecast.get(pool, 0)
        )
        if min(removable, spare) > 0:
            lendable[pool] = min(removable, spare)
        idle = total - max(history.max_required(pool, now, STANDBY_AFTER_SECONDS), reserve)
        if min(removable, idle) > 0 and history.covers_standby_period(pool, now):
            surplus[pool] = min(removable, idle)
    return FleetPlan(
        dict(sorted(shortfall.items(), key=lambda row: (-row[1], row[0]))),
        dict(sorted(lendable.items(), key=lambda row: active[row[0]].required_cores)),
        surplus,
    )


def plan_drains(plan: FleetPlan, standby: int, has_standby_pool: bool = True) -> dict[str, int]:
    """Return how many VMs of each pool should be drained so that they can leave it.

    :param standby: VMs in standby pools, which can be moved at once
    :param has_standby_pool: whether there is a pool that receives VMs which no pool lacks
    """
    drains = dict(plan.surplus) if has_standby_pool else {}
    missing = sum(plan.shortfall.values()) - standby - sum(drains.values())
    for pool, limit in (*plan.surplus.items(), *plan.lendable.items()):
        more = min(missing, limit - drains.get(pool, 0))
        if more > 0:
            drains[pool] = drains.get(pool, 0) + more
            missing -= more
    return drains


def _peak_reserve(pool: str, pools: Iterable[str], history: DemandHistory, now: float) -> int:
    """Return the VMs that a pool keeps for the first seconds of a peak."""
    if history.forecaster.another_pool_peaks_first(pool, pools, now):
        return 0
    return math.ceil(PEAK_RESERVE_FRACTION * history.homes.get(pool, 0))
