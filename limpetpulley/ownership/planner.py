"""The fleet's planner: one daemon at a time moves VMs and has them maintained."""

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
from .around import Around
from .board import WaveBoard
from .directory import PLANNER
from .intents import IntentLog
from .session import LEASE_SECONDS
from .vmorders import LIST_LAG_SECONDS, RETURN_SECONDS, OrderDesk, Urgency, VmOrder

__all__ = ["FleetPlanning"]

#: time between two looks, in seconds: while VMs should change their place, and otherwise
SOON_SECONDS = 0.1
LOOK_SECONDS = 0.2
#: time after its claim in which a planner looks often, since first reports come one by one
FIRST_SECONDS = 1.0
#: pause between two writes of the waves' progress, in seconds
STORE_GAP_SECONDS = 0.2
#: why a VM is emptied: it is to be maintained in a wave, whose name follows, or leaves its pool
WAVE = "wave"
LEAVING = "move"
#: part of the claim's lease after whose last renewal no more orders are given: another holder may
#: begin when it has lapsed
CLAIM_PART = 0.8
#: age of a pool's report above which the pool is left as it is, in seconds
REPORT_SECONDS = 2.5
#: time between two log lines on the pools' loads, in seconds
LOG_SECONDS = 1.0


@attrs.define
class _Report:
    message: pb.PoolReport
    at: float
    rows: dict[str, pb.WorkerReport]


class FleetPlanning:
    """Plans while this daemon holds the planner's claim.

    :param holder: name of this daemon, told with each order
    :param token: revision of the claim: the fencing token
    :param claim_age: returns the time since the claim was last renewed, in seconds
    """

    def __init__(
        self,
        around: Around,
        orders: VmPlatform,
        board: WaveBoard,
        holder: str,
        token: int,
        claim_age: Callable[[], float],
    ):
        self.claim_age = claim_age
        self.around = around
        self.orders = orders
        self.board = board
        self.token = token
        self.holder = Holder(holder, token, self._may_order)
        self.claim = Compare(around.keys.owner(PLANNER), token)
        self.reports: dict[str, _Report] = {}
        self.vms: dict[str, FleetVm] = {}
        self.waves: dict[str, WaveProgress] = {}
        self.emptying: dict[str, str] = {}
        # When the owner was told to empty a VM, by local time.
        self.told: dict[str, float] = {}
        self.memory = DemandHistory()
        self.intents = IntentLog(around, self.claim, self.memory.forecaster)
        self.desk = OrderDesk(around, orders, self.holder, self.waves, self.intents, self._may_go)
        self.inherited = False
        self.ended = anyio.Event()
        # Group of the orders that are being given, so that they end with the planning.
        self.tasks = around.tasks
        self.logged_at = 0.0
        # When a worker was first reported, and when the list of VMs was asked for, by local time.
        self.seen: dict[str, float] = {}
        self.listed_at = 0.0

    async def run(self) -> None:
        """Plan until cancelled."""
        try:
            async with anyio.create_task_group() as self.tasks:
                self.tasks.start_soon(self.intents.run)
                self.tasks.start_soon(self._store_waves)
                await self._keep_looking()
        finally:
            self.ended.set()

    async def hand_over(self) -> None:
        """Leave what the next planner needs, after the planning was cancelled."""
        await self.ended.wait()
        await self.intents.hand_over()

    async def _keep_looking(self) -> None:
        while True:
            try:
                await self._look()
            except PlatformError as error:
                self.around.log.write("vms-unknown", reason=str(error))
            except (StoreUnavailable, StoreError) as error:
                self.around.log.write("wave-not-stored", reason=str(error))
            first = self.around.clock.now() - self.intents.started_at < FIRST_SECONDS
            soon = first or self.emptying or self.desk.moving
            await anyio.sleep(SOON_SECONDS if soon else LOOK_SECONDS)

    async def _store_waves(self) -> None:
        """Store the progress of waves, that of orders which come together at once."""
        while True:
            await anyio.sleep(STORE_GAP_SECONDS)
            names, self.desk.unstored = self.desk.unstored, set()
            for name in names:
                try:
                    await self._store_wave(self.waves[name])
                except (StoreUnavailable, StoreError) as error:
                    self.desk.unstored.add(name)
                    self.around.log.write("wave-not-stored", wave=name, reason=str(error))

    def take_report(self, message: pb.PoolReport) -> pb.PoolPlan:
        """Take a pool's report; return which of its VMs are to be emptied."""
        rows = {row.worker: row for row in message.workers}
        self.reports[message.pool] = _Report(message, self.around.clock.now(), rows)
        mine = rows.keys()
        for row in message.workers:
            self.seen.setdefault(row.worker, self.around.clock.now())
        ended = {row.worker for row in message.workers if self._has_ended(row.worker, row.vm)}
        for name in self.emptying:
            vm = self.vms.get(name)
            if vm is not None and vm.worker_id in mine:
                self.told.setdefault(name, self.around.clock.now())
        emptied = {
            self.vms[vm].worker_id for vm in self.emptying if vm in self.vms
        } | self.desk.ended.keys()
        return pb.PoolPlan(
            outcome=pb.ACCEPTED,
            cordoned_workers=sorted(mine & emptied),
            ended_workers=sorted(ended),
            coming_seconds=self.desk.coming_to(message.pool),
        )

    def _has_ended(self, worker_id: str, vm_name: str) -> bool:
        """Return whether a worker's VM runs another worker now, or was ordered away."""
        if not vm_name or self.listed_at <= self.seen[worker_id] + LIST_LAG_SECONDS:
            # A list that is older than the worker shows the one before it.
            return False
        vm = self.vms.get(vm_name)
        if vm is None:
            return bool(self.vms)
        if vm.phase in (Phase.MOVING, Phase.MAINTENANCE):
            return True
        rule = self.around.config.pools.get(vm.pool) if self.around.config else None
        off = rule is not None and rule.standby
        return vm.phase is Phase.UP and vm.worker_id != worker_id and (bool(vm.worker_id) or off)

    async def _look(self) -> None:
        now, heir = self.around.clock.now(), self.intents.loaded and not self.inherited
        vms = {vm.name: vm for vm in await self.orders.list_vms()}
        self.vms, self.listed_at = vms, now
        if heir:
            self.desk.inherit(vms, now)
            self.inherited = True
        if not self.memory.homes:
            await self._read_homes()
        self.desk.settle(vms, now)
        loads = self._loads(now)
        plan = plan_pools(loads, self._coming(), self.memory, now)
        self._log_loads(loads, plan, now)
        await self._follow_waves()
        wanted = self._choose_upkeep(loads, sum(plan.shortfall.values()), now)
        wanted |= self._choose_leaving(plan, wanted)
        wanted |= {vm: why for vm, why in self.emptying.items() if vm in self.desk.giving}
        self._set_emptying(wanted)
        self._give_orders(plan, now)

    def _free(self) -> list[FleetVm]:
        """Return the VMs that are up and about which no order was given."""
        return [
            vm for vm in self.vms.values() if vm.phase is Phase.UP and not self.desk.has(vm.name)
        ]

    def _may_be_ordered(self, vm: FleetVm) -> bool:
        return not self.intents.is_held(vm.name)

    def _loads(self, now: float) -> dict[str, PoolLoad]:
        config = self.around.config
        if config is None:
            return {}
        upkeep = {vm for vm, why in self.emptying.items() if why != LEAVING}
        here: dict[str, list[FleetVm]] = {}
        for vm in self._free():
            if vm.name not in upkeep:
                here.setdefault(vm.pool, []).append(vm)
        loads = {}
        for pool, rule in config.pools.items():
            report = self.reports.get(pool)
            if rule.standby or report is None or now - report.at > REPORT_SECONDS:
                continue
            told, vms = report.message, here.get(pool, [])
            # A pool without VMs gets some of the size that the others have.
            sizes = [vm.cores for vm in vms or self.vms.values()]
            loads[pool] = PoolLoad(
                sum(sizes) / max(1, len(sizes)),
                told.running_cores,
                told.waiting_core_seconds,
                told.ready_cores,
                told.refused_core_seconds,
                len(vms),
                told.least_workers,
                told.lasting_cores,
                told.arriving_cores,
            )
        return loads

    def _coming(self) -> dict[str, int]:
        """Return how many VMs are on their way to each pool, after a move or maintenance."""
        back = [
            vm.pool
            for vm in self.vms.values()
            if vm.phase is Phase.MAINTENANCE or vm.name in self.desk.begun
        ]
        return dict(Counter([target for target, _ in self.desk.moving.values()] + back))

    def _choose_upkeep(
        self, loads: dict[str, PoolLoad], shortfall: int, now: float
    ) -> dict[str, str]:
        """Return the VMs to be emptied for maintenance, with the wave as the reason.

        :param lacking: VMs that pools lack now
        """
        wanted: dict[str, str] = {}
        free = {vm.name for vm in self._free()}
        off = [vm for vm in self._free() if self._is_off(vm.pool)]
        due = {vm for wave in self.waves.values() for vm in wave.remaining(self.vms)}
        needed = {vm.name for vm in sorted(off, key=lambda vm: vm.name in due)[:shortfall]}
        for wave in self.waves.values():
            if wave.completed:
                continue
            reason = f"{WAVE} {wave.order.name}"
            begun = {vm for vm, why in self.emptying.items() if why == reason}
            chosen = choose_vms_to_maintain(
                wave,
                self.vms,
                loads,
                set(self.emptying),
                begun,
                now,
                self.around.day(),
                self.around.timing.maintenance + RETURN_SECONDS,
                needed,
            )
            wanted |= dict.fromkeys(chosen & free, reason)
        return wanted

    def _choose_leaving(self, plan: FleetPlan, upkeep: Container[str]) -> dict[str, str]:
        """Return the VMs to be emptied because they leave their pool."""
        free = [vm for vm in self._free() if vm.name not in upkeep]
        off = sum(1 for vm in free if self._is_off(vm.pool) and self._may_be_ordered(vm))
        wanted: dict[str, str] = {}
        for pool, count in plan_drains(plan, off).items():
            vms = [vm for vm in free if vm.pool == pool]
            # Those that are being emptied go on, as long as their pool can spare them.
            vms.sort(
                key=lambda vm: (
                    vm.name not in self.emptying,
                    self.intents.is_held(vm.name),
                    *self._use(vm),
                )
            )
            wanted |= dict.fromkeys((vm.name for vm in vms[:count]), LEAVING)
        return wanted

    def _is_off(self, pool: str) -> bool:
        config = self.around.config
        rule = config.pools.get(pool) if config else None
        return rule is not None and rule.standby

    def _use(self, vm: FleetVm) -> tuple:
        told = self._row(vm)
        return (told.lasting_runs, told.timed_runs, vm.name) if told else (0, 0, vm.name)

    def _row(self, vm: FleetVm) -> pb.WorkerReport | None:
        report = self.reports.get(vm.pool)
        return report.rows.get(vm.worker_id) if report else None

    def _is_empty(self, vm: FleetVm, now: float) -> bool:
        if not vm.worker_id:
            return True
        report, told = self.reports.get(vm.pool), self._row(vm)
        if report is None or told is None or now - report.at > REPORT_SECONDS:
            return False
        # A report from before the owner was told may be of an earlier cordon that has ended.
        if vm.name not in self.told or report.at <= self.told[vm.name]:
            return False
        return told.cordoned and not told.timed_runs and not told.lasting_runs

    def _set_emptying(self, wanted: dict[str, str]) -> None:
        for vm, why in wanted.items():
            if vm not in self.emptying:
                self.around.log.write("vm-emptying", vm=vm, reason=why)
        self.emptying = wanted
        self.told = {vm: at for vm, at in self.told.items() if vm in wanted}

    def _may_order(self) -> bool:
        return self.claim_age() <= LEASE_SECONDS * CLAIM_PART

    def _give_orders(self, plan: FleetPlan, now: float) -> None:
        """Order what can be ordered now, what is worth most first."""
        if not self.inherited:
            return
        if not self._may_order():
            self.around.log.write("orders-withheld", age=round(self.claim_age(), 2))
            return
        orders = self._upkeep_orders(now) + self._move_orders(plan, now)
        self.desk.give(orders, self.tasks, now)

    def _may_go(self, vm: FleetVm) -> bool:
        """Return whether a VM may be ordered away: it is empty, or not as it was."""
        listed = self.vms.get(vm.name)
        unchanged = listed is not None and listed.worker_id == vm.worker_id
        return not unchanged or self._is_empty(vm, self.around.clock.now())

    def _upkeep_orders(self, now: float) -> list[VmOrder]:
        orders = []
        for name, why in self.emptying.items():
            what, _, wave = why.partition(" ")
            vm = self.vms.get(name)
            if what != WAVE or vm is None or not self._may_be_ordered(vm):
                continue
            if self._is_empty(vm, now):
                orders.append(VmOrder(vm, Urgency.UPKEEP, wave=wave))
        return orders

    def _move_orders(self, plan: FleetPlan, now: float) -> list[VmOrder]:
        """Return the moves of VMs that can go at once.

        VMs that leave their pool anyway go to the pools that lack some, then those of pools that
        are off, and of these first the ones that need no maintenance soon.
        """
        free = [vm for vm in self._free() if self.emptying.get(vm.name, LEAVING) == LEAVING]
        due = {vm for wave in self.waves.values() for vm in wave.remaining(self.vms)}
        empty = [vm for vm in free if vm.name in self.emptying and self._is_empty(vm, now)]
        off = [vm for vm in free if self._is_off(vm.pool)]
        off.sort(key=lambda vm: vm.name in due)
        ready = [vm for vm in empty + off if self._may_be_ordered(vm)]
        orders = []
        for pool, count in plan.shortfall.items():
            for vm in ready[:count]:
                orders.append(VmOrder(vm, Urgency.LACKING, target=pool))
            del ready[:count]
        pools = self.around.config.pools if self.around.config else ()
        away = next((pool for pool in pools if self._is_off(pool)), None)
        remaining = dict(plan.surplus)
        for vm in ready:
            if away is not None and remaining.get(vm.pool, 0) > 0 and not self._is_off(vm.pool):
                remaining[vm.pool] -= 1
                orders.append(VmOrder(vm, Urgency.NEEDLESS, target=away))
        return orders

    async def _read_homes(self) -> None:
        """Read how many VMs each pool began with; the first planner stores it."""
        counts: dict[str, int] = {}
        for vm in self.vms.values():
            counts[vm.pool] = counts.get(vm.pool, 0) + 1
        key = self.around.keys.homes
        if counts:
            value = json.dumps(counts).encode()
            await self.around.store.commit([Compare(key, 0), self.claim], [Put(key, value)])
        entry = await self.around.store.get(key)
        if entry is not None:
            self.memory.homes = {str(pool): int(n) for pool, n in json.loads(entry.value).items()}

    async def _follow_waves(self) -> None:
        for name, order in self.board.waves.items():
            wave = self.waves.get(name)
            if wave is None:
                wave = self.waves[name] = await self._read_wave(order)
                self._inherit_upkeep(wave)
                if not wave.completed:
                    await self._store_wave(wave)
            if not wave.completed and is_finished(wave, self.vms):
                self.desk.unstored.discard(name)
                wave.completed = True
                await self._store_wave(wave)
                self.around.log.write("wave-completed", wave=name, vms=len(order.vms))

    def _inherit_upkeep(self, wave: WaveProgress) -> None:
        """Count the VMs as down that the planner before may just have had maintained."""
        for intent in self.intents.inherited.values():
            if intent.wave == wave.order.name:
                wave.ordered_at[intent.vm] = self.intents.started_at

    async def _read_wave(self, order: WaveOrder) -> WaveProgress:
        entry = await self.around.store.get(self.around.keys.wave(order.name))
        if entry is None:
            return WaveProgress(order, self.around.day())
        told = json.loads(entry.value)
        return WaveProgress(order, told["begun"], set(told["done"]), completed=told["completed"])

    async def _store_wave(self, wave: WaveProgress) -> None:
        name = wave.order.name
        value = {"begun": wave.started_at, "done": sorted(wave.done), "completed": wave.completed}
        state = self.board.encode_state(name, wave.completed)
        await self.around.store.commit(
            [self.claim],
            [
                Put(self.around.keys.wave(name), json.dumps(value).encode()),
                Put(self.board.state_key(name), state),
            ],
        )

    def _log_loads(self, loads: dict[str, PoolLoad], plan: FleetPlan, now: float) -> None:
        if now - self.logged_at < LOG_SECONDS:
            return
        self.logged_at = now
        self.around.log.write(
            "fleet-load",
            pools={
                pool: {
                    "vms": load.vms,
                    "room": round(load.room_cores),
                    "wanted": load.required_vms,
                    "used": round(load.used_cores),
                    "arriving": round(load.arriving_cores),
                    "lacking": plan.shortfall.get(pool, 0),
                    "needless": plan.surplus.get(pool, 0),
                    "refused": round(load.refused_core_seconds, 1),
                    "age": round(now - self.reports[pool].at, 2),
                }
                for pool, load in loads.items()
            },
            emptying=len(self.emptying),
            moving=len(self.desk.moving),
            ordering=len(self.desk.giving),
        )
