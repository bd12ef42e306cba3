"""The fleet planner: one daemon at a time moves VMs between pools and orders their maintenance."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable, Container

import anyio
import anyio.abc
import attrs

from ..exception import PlatformError, StoreError, StoreUnavailable
from ..fleet.demand import DemandHistory, FleetPlan, PoolLoad, plan_drains, plan_pools
from ..fleet.maintenance import WaveProgress, choose_vms_to_maintain, is_finished
from ..fleet.vms import FleetVm, Holder, Phase, VmPlatform, WaveOrder
from ..peer import batch_pb2 as pb
from ..store import Compare, Put
from .context import DaemonContext
from .directory import PLANNER
from .intents import IntentLog
from .session import LEASE_SECONDS
from .vmorders import (
    LIST_LAG_SECONDS,
    RETURN_MARGIN_SECONDS,
    Urgency,
    VmOrder,
    VmOrderDispatcher,
)
from .waves import WaveRegistry

__all__ = ["VmPlanner"]

#: interval between two planning rounds, in seconds: while VMs are drained or moved, and otherwise
BUSY_INTERVAL_SECONDS = 0.1
IDLE_INTERVAL_SECONDS = 0.2
#: time after the claim in which the planner uses the short interval, in seconds, since the first
#: reports of the pools arrive one by one
STARTUP_SECONDS = 1.0
#: interval between two writes of the progress of maintenance waves, in seconds
STORE_INTERVAL_SECONDS = 0.2
#: reasons for draining a VM: maintenance in a wave, whose name follows, or a move out of its pool
WAVE_REASON = "wave"
MOVE_REASON = "move"
#: fraction of the claim's lease after whose last renewal no more orders are sent, because another
#: planner may start once the lease has expired
CLAIM_AGE_FRACTION = 0.8
#: age of a pool's report above which the pool's VMs are left as they are, in seconds
MAX_REPORT_AGE_SECONDS = 2.5
#: interval between two log lines with the pools' loads, in seconds
LOG_INTERVAL_SECONDS = 1.0


@attrs.define
class _Report:
    message: pb.PoolReport
    received_at: float
    by_worker: dict[str, pb.WorkerReport]


class VmPlanner:
    """Plans moves and maintenance of VMs while this daemon holds the planner's claim.

    :param platform: client that lists VMs and sends orders for them
    :param wave_registry: the maintenance waves that the operator has ordered
    :param holder: name of this daemon, sent with each order
    :param token: revision of the claim: the fencing token
    :param claim_age: returns the time since the claim was last renewed, in seconds
    """

    def __init__(
        self,
        context: DaemonContext,
        platform: VmPlatform,
        wave_registry: WaveRegistry,
        holder: str,
        token: int,
        claim_age: Callable[[], float],
    ):
        self.claim_age = claim_age
        self.context = context
        self.platform = platform
        self.wave_registry = wave_registry
        self.token = token
        self.holder = Holder(holder, token, self._may_order)
        self.claim = Compare(context.keys.owner(PLANNER), token)
        self.reports: dict[str, _Report] = {}
        self.vms: dict[str, FleetVm] = {}
        self.waves: dict[str, WaveProgress] = {}
        # VMs that are being drained, with the reason.
        self.draining: dict[str, str] = {}
        # When the owner was first asked to cordon a VM's worker, by local time.
        self.cordon_sent_at: dict[str, float] = {}
        self.demand_history = DemandHistory()
        self.intents = IntentLog(context, self.claim, self.demand_history.forecaster)
        self.dispatcher = VmOrderDispatcher(
            context, platform, self.holder, self.waves, self.intents, self._may_remove
        )
        # Whether the dispatcher has restored the previous planner's intents.
        self.restored = False
        self.stopped = anyio.Event()
        # Task group of the orders in flight, so that they are cancelled with the planner.
        self.tasks = context.tasks
        self.logged_at = 0.0
        # When a worker was first reported, and when the list of VMs was requested, by local time.
        self.first_reported_at: dict[str, float] = {}
        self.listed_at = 0.0

    async def run(self) -> None:
        """Plan until cancelled."""
        try:
            async with anyio.create_task_group() as self.tasks:
                self.tasks.start_soon(self.intents.run)
                self.tasks.start_soon(self._store_waves)
                await self._plan_periodically()
        finally:
            self.stopped.set()

    async def hand_over(self) -> None:
        """Store what the next planner needs, after this one was cancelled."""
        await self.stopped.wait()
        await self.intents.hand_over()

    async def _plan_periodically(self) -> None:
        while True:
            try:
                await self._plan_once()
            except PlatformError as error:
                self.context.log.write("vms-unknown", reason=str(error))
            except (StoreUnavailable, StoreError) as error:
                self.context.log.write("wave-not-stored", reason=str(error))
            starting = self.context.clock.now() - self.intents.started_at < STARTUP_SECONDS
            busy = starting or self.draining or self.dispatcher.moving
            await anyio.sleep(BUSY_INTERVAL_SECONDS if busy else IDLE_INTERVAL_SECONDS)

    async def _store_waves(self) -> None:
        """Store the progress of waves; one write covers all orders of an interval."""
        while True:
            await anyio.sleep(STORE_INTERVAL_SECONDS)
            names, self.dispatcher.unsaved_waves = self.dispatcher.unsaved_waves, set()
            for name in names:
                try:
                    await self._store_wave(self.waves[name])
                except (StoreUnavailable, StoreError) as error:
                    self.dispatcher.unsaved_waves.add(name)
                    self.context.log.write("wave-not-stored", wave=name, reason=str(error))

    def handle_report(self, message: pb.PoolReport) -> pb.PoolPlan:
        """Record a pool's report; return which of its workers to cordon and which have ended.

        A report of an owner that was replaced is ignored.
        """
        previous = self.reports.get(message.pool)
        if previous is not None and message.token < previous.message.token:
            return pb.PoolPlan(outcome=pb.NOT_OWNER)
        by_worker = {row.worker: row for row in message.workers}
        self.reports[message.pool] = _Report(message, self.context.clock.now(), by_worker)
        reported = by_worker.keys()
        for row in message.workers:
            self.first_reported_at.setdefault(row.worker, self.context.clock.now())
        ended = {row.worker for row in message.workers if self._has_ended(row.worker, row.vm)}
        for name in self.draining:
            vm = self.vms.get(name)
            if vm is not None and vm.worker_id in reported:
                self.cordon_sent_at.setdefault(name, self.context.clock.now())
        cordoned = {
            self.vms[vm].worker_id for vm in self.draining if vm in self.vms
        } | self.dispatcher.retired_until.keys()
        return pb.PoolPlan(
            outcome=pb.ACCEPTED,
            cordoned_workers=sorted(reported & cordoned),
            ended_workers=sorted(ended),
            coming_seconds=self.dispatcher.arrival_seconds(message.pool),
        )

    def _has_ended(self, worker_id: str, vm_name: str) -> bool:
        """Return whether a worker's VM is down, was moved or maintained, or runs another worker."""
        if not vm_name or self.listed_at <= self.first_reported_at[worker_id] + LIST_LAG_SECONDS:
            # A list that is older than the worker still shows the previous worker of the VM.
            return False
        vm = self.vms.get(vm_name)
        if vm is None:
            return bool(self.vms)
        if vm.phase in (Phase.MOVING, Phase.MAINTENANCE, Phase.DOWN):
            return True
        pool_config = self.context.config.pools.get(vm.pool) if self.context.config else None
        standby = pool_config is not None and pool_config.standby
        return (
            vm.phase is Phase.UP and vm.worker_id != worker_id and (bool(vm.worker_id) or standby)
        )

    async def _plan_once(self) -> None:
        now, restore_due = self.context.clock.now(), self.intents.loaded and not self.restored
        vms = {vm.name: vm for vm in await self.platform.list_vms()}
        self.vms, self.listed_at = vms, now
        if restore_due:
            self.dispatcher.restore(vms, now)
            self.restored = True
        if not self.demand_history.homes:
            await self._load_initial_sizes()
        self.dispatcher.update(vms, now)
        loads = self._pool_loads(now)
        plan = plan_pools(loads, self._incoming_vms(), self.demand_history, now)
        self._log_loads(loads, plan, now)
        await self._update_waves()
        chosen = self._choose_for_maintenance(loads, sum(plan.shortfall.values()), now)
        chosen |= self._choose_for_moves(plan, chosen)
        chosen |= {
            vm: reason for vm, reason in self.draining.items() if vm in self.dispatcher.in_flight
        }
        self._set_draining(chosen)
        self._issue_orders(plan, now)

    def _idle_vms(self) -> list[FleetVm]:
        """Return the VMs that are up and have no order in progress."""
        return [
            vm
            for vm in self.vms.values()
            if vm.phase is Phase.UP and not self.dispatcher.has_order(vm.name)
        ]

    def _may_be_ordered(self, vm: FleetVm) -> bool:
        return not self.intents.is_blocked(vm.name)

    def _pool_loads(self, now: float) -> dict[str, PoolLoad]:
        config = self.context.config
        if config is None:
            return {}
        in_maintenance = {vm for vm, reason in self.draining.items() if reason != MOVE_REASON}
        by_pool: dict[str, list[FleetVm]] = {}
        for vm in self._idle_vms():
            if vm.name not in in_maintenance:
                by_pool.setdefault(vm.pool, []).append(vm)
        loads = {}
        for pool, pool_config in config.pools.items():
            report = self.reports.get(pool)
            if (
                pool_config.standby
                or report is None
                or now - report.received_at > MAX_REPORT_AGE_SECONDS
            ):
                continue
            message, vms = report.message, by_pool.get(pool, [])
            # For a pool without VMs, the mean size of all VMs is assumed.
            sizes = [vm.cores for vm in vms or self.vms.values()]
            loads[pool] = PoolLoad(
                sum(sizes) / max(1, len(sizes)),
                message.running_cores,
                message.waiting_core_seconds,
                message.ready_cores,
                message.refused_core_seconds,
                len(vms),
                message.least_workers,
                message.lasting_cores,
                message.arriving_cores,
            )
        return loads

    def _incoming_vms(self) -> dict[str, int]:
        """Return how many VMs will join each pool after a move or maintenance."""
        in_maintenance = [
            vm.pool
            for vm in self.vms.values()
            if vm.phase is Phase.MAINTENANCE or vm.name in self.dispatcher.maintained_until
        ]
        return dict(
            Counter([target for target, _ in self.dispatcher.moving.values()] + in_maintenance)
        )

    def _choose_for_maintenance(
        self, loads: dict[str, PoolLoad], shortfall: int, now: float
    ) -> dict[str, str]:
        """Return the VMs to drain for maintenance, with the wave as the reason.

        :param shortfall: number of VMs that pools lack now
        """
        selected: dict[str, str] = {}
        idle = {vm.name for vm in self._idle_vms()}
        standby = [vm for vm in self._idle_vms() if self._is_standby(vm.pool)]
        due = {vm for wave in self.waves.values() for vm in wave.remaining(self.vms)}
        needed = {vm.name for vm in sorted(standby, key=lambda vm: vm.name in due)[:shortfall]}
        for wave in self.waves.values():
            if wave.completed:
                continue
            wave_reason = f"{WAVE_REASON} {wave.order.name}"
            already_draining = {vm for vm, reason in self.draining.items() if reason == wave_reason}
            chosen = choose_vms_to_maintain(
                wave,
                self.vms,
                loads,
                set(self.draining),
                already_draining,
                now,
                self.context.wall_time(),
                self.context.timing.maintenance + RETURN_MARGIN_SECONDS,
                needed,
            )
            selected |= dict.fromkeys(chosen & idle, wave_reason)
        return selected

    def _choose_for_moves(self, plan: FleetPlan, maintenance: Container[str]) -> dict[str, str]:
        """Return the VMs to drain because they leave their pool.

        :param maintenance: VMs that are drained for maintenance
        """
        idle = [vm for vm in self._idle_vms() if vm.name not in maintenance]
        standby = sum(1 for vm in idle if self._is_standby(vm.pool) and self._may_be_ordered(vm))
        selected: dict[str, str] = {}
        for pool, count in plan_drains(plan, standby).items():
            vms = [vm for vm in idle if vm.pool == pool]
            # VMs that are being drained stay selected as long as their pool can spare them.
            vms.sort(
                key=lambda vm: (
                    vm.name not in self.draining,
                    self.intents.is_blocked(vm.name),
                    *self._usage_key(vm),
                )
            )
            selected |= dict.fromkeys((vm.name for vm in vms[:count]), MOVE_REASON)
        return selected

    def _is_standby(self, pool: str) -> bool:
        config = self.context.config
        pool_config = config.pools.get(pool) if config else None
        return pool_config is not None and pool_config.standby

    def _usage_key(self, vm: FleetVm) -> tuple:
        row = self._worker_report(vm)
        return (row.lasting_runs, row.timed_runs, vm.name) if row else (0, 0, vm.name)

    def _worker_report(self, vm: FleetVm) -> pb.WorkerReport | None:
        report = self.reports.get(vm.pool)
        return report.by_worker.get(vm.worker_id) if report else None

    def _is_drained(self, vm: FleetVm, now: float) -> bool:
        if not vm.worker_id:
            return True
        report, row = self.reports.get(vm.pool), self._worker_report(vm)
        if report is None or row is None or now - report.received_at > MAX_REPORT_AGE_SECONDS:
            return False
        # A report from before the request to cordon may describe an earlier cordon, since lifted.
        if vm.name not in self.cordon_sent_at or report.received_at <= self.cordon_sent_at[vm.name]:
            return False
        return row.cordoned and not row.timed_runs and not row.lasting_runs

    def _set_draining(self, chosen: dict[str, str]) -> None:
        for vm, reason in chosen.items():
            if vm not in self.draining:
                self.context.log.write("vm-emptying", vm=vm, reason=reason)
        self.draining = chosen
        self.cordon_sent_at = {vm: at for vm, at in self.cordon_sent_at.items() if vm in chosen}

    def _may_order(self) -> bool:
        return self.claim_age() <= LEASE_SECONDS * CLAIM_AGE_FRACTION

    def _issue_orders(self, plan: FleetPlan, now: float) -> None:
        """Issue the orders that are possible now, the most urgent first."""
        if not self.restored:
            return
        if not self._may_order():
            self.context.log.write("orders-withheld", age=round(self.claim_age(), 2))
            return
        orders = self._maintenance_orders(now) + self._move_orders(plan, now)
        self.dispatcher.dispatch(orders, self.tasks, now)

    def _may_remove(self, vm: FleetVm) -> bool:
        """Return whether a VM may be moved or maintained: it is drained, or its worker changed."""
        listed = self.vms.get(vm.name)
        unchanged = listed is not None and listed.worker_id == vm.worker_id
        return not unchanged or self._is_drained(vm, self.context.clock.now())

    def _maintenance_orders(self, now: float) -> list[VmOrder]:
        orders = []
        for name, reason in self.draining.items():
            kind, _, wave = reason.partition(" ")
            vm = self.vms.get(name)
            if kind != WAVE_REASON or vm is None or not self._may_be_ordered(vm):
                continue
            if self._is_drained(vm, now):
                orders.append(VmOrder(vm, Urgency.UPKEEP, wave=wave))
        return orders

    def _move_orders(self, plan: FleetPlan, now: float) -> list[VmOrder]:
        """Return the moves that are possible at once.

        Pools that lack VMs get drained VMs that leave their pool anyway first, then VMs of
        standby pools, of these the ones without due maintenance first.
        """
        idle = [
            vm for vm in self._idle_vms() if self.draining.get(vm.name, MOVE_REASON) == MOVE_REASON
        ]
        due = {vm for wave in self.waves.values() for vm in wave.remaining(self.vms)}
        drained = [vm for vm in idle if vm.name in self.draining and self._is_drained(vm, now)]
        standby = [vm for vm in idle if self._is_standby(vm.pool)]
        standby.sort(key=lambda vm: vm.name in due)
        ready = [vm for vm in drained + standby if self._may_be_ordered(vm)]
        orders = []
        for pool, count in plan.shortfall.items():
            for vm in ready[:count]:
                orders.append(VmOrder(vm, Urgency.LACKING, target=pool))
            del ready[:count]
        pools = self.context.config.pools if self.context.config else ()
        standby_pool = next((pool for pool in pools if self._is_standby(pool)), None)
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

    async def _load_initial_sizes(self) -> None:
        """Load the initial number of VMs of each pool; the first planner stores it."""
        counts: dict[str, int] = {}
        for vm in self.vms.values():
            counts[vm.pool] = counts.get(vm.pool, 0) + 1
        key = self.context.keys.homes
        if counts:
            value = json.dumps(counts).encode()
            await self.context.store.commit([Compare(key, 0), self.claim], [Put(key, value)])
        entry = await self.context.store.get(key)
        if entry is not None:
            self.demand_history.homes = {
                str(pool): int(n) for pool, n in json.loads(entry.value).items()
            }

    async def _update_waves(self) -> None:
        for name, order in self.wave_registry.waves.items():
            wave = self.waves.get(name)
            if wave is None:
                wave = self.waves[name] = await self._load_wave(order)
                self._restore_maintenance(wave)
                if not wave.completed:
                    await self._store_wave(wave)
            if not wave.completed and is_finished(wave, self.vms):
                self.dispatcher.unsaved_waves.discard(name)
                wave.completed = True
                await self._store_wave(wave)
                self.context.log.write("wave-completed", wave=name, vms=len(order.vms))

    def _restore_maintenance(self, wave: WaveProgress) -> None:
        """Count the VMs as down whose maintenance the previous planner may just have ordered."""
        for intent in self.intents.inherited.values():
            if intent.wave == wave.order.name:
                wave.ordered_at[intent.vm] = self.intents.started_at

    async def _load_wave(self, order: WaveOrder) -> WaveProgress:
        entry = await self.context.store.get(self.context.keys.wave(order.name))
        if entry is None:
            return WaveProgress(order, self.context.wall_time())
        record = json.loads(entry.value)
        return WaveProgress(
            order, record["begun"], set(record["done"]), completed=record["completed"]
        )

    async def _store_wave(self, wave: WaveProgress) -> None:
        name = wave.order.name
        value = {"begun": wave.started_at, "done": sorted(wave.done), "completed": wave.completed}
        state = self.wave_registry.encode_state(name, wave.completed)
        await self.context.store.commit(
            [self.claim],
            [
                Put(self.context.keys.wave(name), json.dumps(value).encode()),
                Put(self.wave_registry.state_key(name), state),
            ],
        )

    def _log_loads(self, loads: dict[str, PoolLoad], plan: FleetPlan, now: float) -> None:
        if now - self.logged_at < LOG_INTERVAL_SECONDS:
            return
        self.logged_at = now
        self.context.log.write(
            "fleet-load",
            pools={
                pool: {
                    "vms": load.vms,
                    "room": round(load.capacity_cores),
                    "wanted": load.required_vms,
                    "used": round(load.used_cores),
                    "arriving": round(load.arriving_cores),
                    "lacking": plan.shortfall.get(pool, 0),
                    "needless": plan.surplus.get(pool, 0),
                    "refused": round(load.refused_core_seconds, 1),
                    "age": round(now - self.reports[pool].received_at, 2),
                }
                for pool, load in loads.items()
            },
            emptying=len(self.draining),
            moving=len(self.dispatcher.moving),
            ordering=len(self.dispatcher.in_flight),
        )
