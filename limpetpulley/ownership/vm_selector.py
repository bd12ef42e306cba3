"""Which VMs the fleet planner drains, and which orders for VMs it gives."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container

from ..fleet.demand import FleetPlan, PoolLoad, plan_drains
from ..fleet.maintenance import WaveProgress, choose_vms_to_maintain
from ..fleet.vms import FleetVm, Phase
from .context import DaemonContext
from .intents import IntentLog
from .pool_reports import PoolReports
from .vm_inventory import MOVE_REASON, WAVE_REASON, VmInventory
from .vmorders import RETURN_MARGIN_SECONDS, Urgency, VmOrder, VmOrderDispatcher

__all__ = ["VmSelector"]


class VmSelector:
    """Chooses VMs for maintenance and moves; changes nothing itself.

    :param inventory: the planner's VMs
    :param reports: latest reports of the pools
    :param waves: progress of the waves by name
    :param intents: blocks the VMs that the previous planner may just have ordered
    :param dispatcher: holds the orders in progress
    """

    def __init__(
        self,
        context: DaemonContext,
        inventory: VmInventory,
        reports: PoolReports,
        waves: dict[str, WaveProgress],
        intents: IntentLog,
        dispatcher: VmOrderDispatcher,
    ):
        self.context = context
        self.inventory = inventory
        self.reports = reports
        self.waves = waves
        self.intents = intents
        self.dispatcher = dispatcher

    def idle_vms(self) -> list[FleetVm]:
        """Return the VMs that are up and have no order in progress."""
        return [
            vm
            for vm in self.inventory.vms.values()
            if vm.phase is Phase.UP and not self.dispatcher.has_order(vm.name)
        ]

    def incoming_vms(self) -> dict[str, int]:
        """Return how many VMs will join each pool after a move or maintenance."""
        in_maintenance = [
            vm.pool
            for vm in self.inventory.vms.values()
            if vm.phase is Phase.MAINTENANCE or vm.name in self.dispatcher.maintained_until
        ]
        return dict(
            Counter([target for target, _ in self.dispatcher.moving.values()] + in_maintenance)
        )

    def choose_for_maintenance(
        self, loads: dict[str, PoolLoad], shortfall: int, now: float
    ) -> dict[str, str]:
        """Return the VMs to drain for maintenance, with the wave as the reason.

        :param loads: load of each pool that is not a standby pool
        :param shortfall: number of VMs that pools lack now
        :param now: local time, in seconds
        """
        selected: dict[str, str] = {}
        idle = {vm.name for vm in self.idle_vms()}
        standby = [vm for vm in self.idle_vms() if self._is_standby(vm.pool)]
        vms, draining = self.inventory.vms, self.inventory.draining
        due = {vm for wave in self.waves.values() for vm in wave.remaining(vms)}
        needed = {vm.name for vm in sorted(standby, key=lambda vm: vm.name in due)[:shortfall]}
        for wave in self.waves.values():
            if wave.completed:
                continue
            wave_reason = f"{WAVE_REASON} {wave.order.name}"
            already_draining = {vm for vm, reason in draining.items() if reason == wave_reason}
            chosen = choose_vms_to_maintain(
                wave,
                vms,
                loads,
                set(draining),
                already_draining,
                now,
                self.context.wall_time(),
                self.context.timing.maintenance + RETURN_MARGIN_SECONDS,
                needed,
            )
            selected |= dict.fromkeys(chosen & idle, wave_reason)
        return selected

    def choose_for_moves(self, plan: FleetPlan, maintenance: Container[str]) -> dict[str, str]:
        """Return the VMs to drain because they leave their pool.

        :param plan: what pools lack and can spare
        :param maintenance: VMs that are drained for maintenance
        """
        idle = [vm for vm in self.idle_vms() if vm.name not in maintenance]
        standby = sum(1 for vm in idle if self._is_standby(vm.pool) and self._may_be_ordered(vm))
        selected: dict[str, str] = {}
        has_standby_pool = self._standby_pool() is not None
        for pool, count in plan_drains(plan, standby, has_standby_pool).items():
            vms = [vm for vm in idle if vm.pool == pool and not self.reports.is_needed(vm)]
            # VMs that are being drained stay selected as long as their pool can spare them.
            vms.sort(
                key=lambda vm: (
                    vm.name not in self.inventory.draining,
                    self.intents.is_blocked(vm.name),
                    *self._usage_key(vm),
                )
            )
            pool_vms = [vm for vm in idle if vm.pool == pool]
            leaving = _choose_leaving(vms, count, pool_vms)
            selected |= dict.fromkeys((vm.name for vm in leaving), MOVE_REASON)
        return selected

    def maintenance_orders(self, now: float) -> list[VmOrder]:
        """Return the orders for the VMs that are drained for maintenance.

        :param now: local time, in seconds
        """
        orders = []
        for name, reason in self.inventory.draining.items():
            kind, _, wave = reason.partition(" ")
            vm = self.inventory.vms.get(name)
            if kind != WAVE_REASON or vm is None or not self._may_be_ordered(vm):
                continue
            if name in self.dispatcher.in_flight:
                continue
            if self.reports.is_drained(vm, now):
                orders.append(VmOrder(vm, Urgency.UPKEEP, wave=wave))
        return orders

    def move_orders(self, plan: FleetPlan, now: float) -> list[VmOrder]:
        """Return the moves that are possible at once.

        Pools that lack VMs get drained VMs that leave their pool anyway first, then VMs of
        standby pools, of these the ones without due maintenance first.

        :param plan: what pools lack and can spare
        :param now: local time, in seconds
        """
        draining = self.inventory.draining
        idle = [vm for vm in self.idle_vms() if draining.get(vm.name, MOVE_REASON) == MOVE_REASON]
        due = {vm for wave in self.waves.values() for vm in wave.remaining(self.inventory.vms)}
        drained = [vm for vm in idle if vm.name in draining and self.reports.is_drained(vm, now)]
        standby = [vm for vm in idle if self._is_standby(vm.pool)]
        standby.sort(key=lambda vm: vm.name in due)
        ready = [vm for vm in drained + standby if self._may_be_ordered(vm)]
        orders = []
        for pool, count in plan.shortfall.items():
            for vm in ready[:count]:
                orders.append(VmOrder(vm, Urgency.LACKING, target=pool))
            del ready[:count]
        standby_pool = self._standby_pool()
        surplus = dict(plan.surplus)
        for vm in ready:
            if (
                standby_pool is not None
                and surplus.get(vm.pool, 0) > 0
                and not self._is_standby(vm.pool)
            ):
                surplus[vm.pool] -= 1
                orders.append(VmOrder(vm, Urgency.NEEDLESS, target=standby_pool))
        return orders

    def _may_be_ordered(self, vm: FleetVm) -> bool:
        return not self.intents.is_blocked(vm.name)

    def _standby_pool(self) -> str | None:
        """Return the pool that receives VMs which no pool lacks, None if there is none."""
        pools = self.context.config.pools if self.context.config else ()
        return next((pool for pool in pools if self._is_standby(pool)), None)

    def _is_standby(self, pool: str) -> bool:
        config = self.context.config
        pool_config = config.pools.get(pool) if config else None
        return pool_config is not None and pool_config.standby

    def _usage_key(self, vm: FleetVm) -> tuple:
        row = self.reports.worker_report(vm)
        return (row.lasting_runs, row.timed_runs, vm.name) if row else (0, 0, vm.name)


def _choose_leaving(vms: list[FleetVm], count: int, pool_vms: list[FleetVm]) -> list[FleetVm]:
    """Return the VMs that leave a pool: if possible, a VM with each label of the pool stays.

    A job that needs a label which no worker has is refused, since VMs return by their number.

    :param vms: VMs that may leave, in order of preference
    :param count: number of VMs that leave
    :param pool_vms: all VMs of the pool
    """
    left = Counter(label for vm in pool_vms for label in vm.labels - {vm.rack})
    leaving: list[FleetVm] = []
    last_of_label: list[FleetVm] = []
    for vm in vms:
        labels = vm.labels - {vm.rack}
        if len(leaving) == count:
            break
        if all(left[label] > 1 for label in labels):
            leaving.append(vm)
            left.subtract(labels)
        else:
            last_of_label.append(vm)
    return leaving + last_of_label[: count - len(leaving)]
