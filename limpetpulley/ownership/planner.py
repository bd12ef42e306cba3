"""The fleet's planner: one daemon at a time moves VMs and has them maintained."""

from __future__ import annotations

import json
from collections.abc import Callable

import anyio
import attrs

from ..exception import PlatformError, StoreError, StoreUnavailable
from ..fleet.demand import PoolLoad, PoolMoves, choose_moves
from ..fleet.upkeep import WaveProgress, choose_upkeep, is_finished
from ..fleet.vms import FleetVm, OrderOutcome, Phase, VmOrders, WaveOrder
from ..peer import batch_pb2 as pb
from ..store import Compare, Put
from .around import Around
from .board import WaveBoard
from .session import LEASE_SECONDS

__all__ = ["PLANNER", "FleetPlanning"]

#: name under which the planner's claim stands among the pools' owners
PLANNER = "@planner"
#: time between two looks, in seconds
LOOK_SECONDS = 0.25
#: part of the claim's lease after whose last renewal no more orders are given: another holder may
#: begin when it has lapsed
CLAIM_PART = 0.8
#: age of a pool's report above which the pool is left as it is, in seconds
REPORT_SECONDS = 2.5
#: time for which nothing starts on a worker whose VM was ordered away, in seconds
RETIRE_SECONDS = 3.0
#: longest time by which the platform's list of VMs lags, in seconds
LIST_LAG_SECONDS = 0.8
#: time between two log lines on the pools' loads, in seconds
LOG_SECONDS = 1.0
#: time after an order in which its VM counts as away beyond the maintenance itself
RETURN_SECONDS = 0.6
#: time in which a moved VM joins its pool beyond the move itself
JOIN_SECONDS = 3.0
#: time from the end of a move until the owner has heard the VM's new worker: its entry is seen, its
#: name stored in the roster, a call answered
ARRIVAL_SECONDS = 0.6
#: shortest time until a VM is expected whose worker is overdue
LEAST_ARRIVAL_SECONDS = 0.2


@attrs.define
class _Report:
    message: pb.PoolReport
    at: float


class FleetPlanning:
    """Plans while this daemon holds the planner's claim.

    :param holder: name of this daemon, told with each order
    :param token: revision of the claim: the fencing token
    :param claim_age: returns the time since the claim was last renewed, in seconds
    """

    def __init__(
        self,
        around: Around,
        orders: VmOrders,
        board: WaveBoard,
        holder: str,
        token: int,
        claim_age: Callable[[], float],
    ):
        self.claim_age = claim_age
        self.around = around
        self.orders = orders
        self.board = board
        self.holder = holder
        self.token = token
        self.claim = Compare(around.keys.owner(PLANNER), token)
        self.reports: dict[str, _Report] = {}
        self.vms: dict[str, FleetVm] = {}
        self.waves: dict[str, WaveProgress] = {}
        self.emptying: dict[str, str] = {}
        # When the owner was told to empty a VM, by local time.
        self.told: dict[str, float] = {}
        self.moving: dict[str, tuple[str, float]] = {}
        self.memory = PoolMoves()
        # Workers whose VM was ordered away, and until when they take no runs for that, by local
        # time. An order that was carried out before is confirmed though the worker stays.
        self.ended: dict[str, float] = {}
        self.logged_at = 0.0
        # When a worker was first reported, and when the list of VMs was asked for, by local time.
        self.seen: dict[str, float] = {}
        self.listed_at = 0.0

    async def run(self) -> None:
        """Plan until cancelled."""
        # An earlier holder may have ordered a moment ago; holders do not take turns.
        await anyio.sleep(self.around.timing.holder_lease)
        while True:
            try:
                await self._look()
            except PlatformError as error:
                self.around.log.write("vms-unknown", reason=str(error))
            except (StoreUnavailable, StoreError) as error:
                self.around.log.write("wave-not-stored", reason=str(error))
            await anyio.sleep(LOOK_SECONDS)

    def take_report(self, message: pb.PoolReport) -> pb.PoolPlan:
        """Take a pool's report; return which of its VMs are to be emptied."""
        self.reports[message.pool] = _Report(message, self.around.clock.now())
        mine = {row.worker for row in message.workers}
        for row in message.workers:
            self.seen.setdefault(row.worker, self.around.clock.now())
        ended = {row.worker for row in message.workers if self._has_ended(row.worker, row.vm)}
        for name in self.emptying:
            vm = self.vms.get(name)
            if vm is not None and vm.worker_id in mine:
                self.told.setdefault(name, self.around.clock.now())
        emptied = {
            self.vms[vm].worker_id for vm in self.emptying if vm in self.vms
        } | self.ended.keys()
        return pb.PoolPlan(
            outcome=pb.ACCEPTED,
            cordoned_workers=sorted(mine & emptied),
            ended_workers=sorted(ended),
            coming_seconds=self._coming_to(message.pool),
        )

    def _coming_to(self, pool: str) -> list[float]:
        """Return the seconds until VMs that were moved to a pool take tasks."""
        now = self.around.clock.now()
        arrivals = (
            until - JOIN_SECONDS + ARRIVAL_SECONDS
            for target, until in self.moving.values()
            if target == pool
        )
        return sorted(max(LEAST_ARRIVAL_SECONDS, when - now) for when in arrivals)

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
        now = self.around.clock.now()
        self.vms = {vm.name: vm for vm in await self.orders.list_vms()}
        self.listed_at = now
        if not self.memory.homes:
            await self._read_homes()
        self._settle_moves(now)
        loads = self._loads(now)
        self._log_loads(loads, now)
        await self._follow_waves()
        wanted: dict[str, str] = {}
        seconds = self.around.timing.maintenance + RETURN_SECONDS
        for wave in self.waves.values():
            if not wave.completed:
                reason = f"wave {wave.order.name}"
                begun = {vm for vm, why in self.emptying.items() if why == reason}
                day = self.around.day()
                chosen = choose_upkeep(
                    wave, self.vms, loads, set(self.emptying), begun, now, day, seconds
                )
                wanted |= dict.fromkeys(chosen, reason)
        for vm, target in self._choose_moves(loads, now).items():
            wanted.setdefault(vm, f"move {target}")
        self._set_emptying(wanted)
        await self._give_orders(now)

    def _loads(self, now: float) -> dict[str, PoolLoad]:
        config = self.around.config
        if config is None:
            return {}
        loads = {}
        for pool, rule in config.pools.items():
            report = self.reports.get(pool)
            if rule.standby or report is None or now - report.at > REPORT_SECONDS:
                continue
            told = report.message
            vms = [vm for vm in self.vms.values() if vm.pool == pool and vm.phase is Phase.UP]
            loads[pool] = PoolLoad(
                sum(vm.cores for vm in vms) / max(1, len(vms)),
                told.running_cores,
                told.waiting_core_seconds,
                told.ready_cores,
                told.refused_core_seconds,
                len(vms),
                told.least_workers,
            )
        return loads

    def _choose_moves(self, loads: dict[str, PoolLoad], now: float) -> dict[str, str]:
        """Return target pool by VM, those that are on their way to be moved included."""
        config = self.around.config
        assert config is not None
        due = {vm for wave in self.waves.values() for vm in wave.left(self.vms)}
        kept = {
            vm: why.removeprefix("move ")
            for vm, why in self.emptying.items()
            if why.startswith("move ") and vm in self.vms and self.vms[vm].phase is Phase.UP
        }
        free = [
            vm for vm in self.vms.values() if vm.phase is Phase.UP and vm.name not in self.emptying
        ]
        idle = {
            pool: sum(1 for vm in free if vm.pool == pool and vm.name not in due)
            for pool, rule in config.pools.items()
            if rule.standby
        }
        coming: dict[str, int] = {}
        back = [vm.pool for vm in self.vms.values() if vm.phase is Phase.MAINTENANCE]
        under_way = [target for target, _ in self.moving.values()]
        for target in [*kept.values(), *under_way, *back]:
            coming[target] = coming.get(target, 0) + 1
        leaving: dict[str, int] = {}
        for name in self.emptying:
            if name in self.vms:
                leaving[self.vms[name].pool] = leaving.get(self.vms[name].pool, 0) + 1
        for move in choose_moves(loads, idle, coming, leaving, self.memory, now):
            leaves_off = config.pools[move.source].standby
            candidates = [
                vm for vm in free if vm.pool == move.source and not (leaves_off and vm.name in due)
            ]
            candidates.sort(key=self._use)
            for vm in candidates[: move.count]:
                kept[vm.name] = move.target
                self.around.log.write(
                    "move-planned", vm=vm.name, source=move.source, target=move.target
                )
        return kept

    def _use(self, vm: FleetVm) -> tuple:
        told = self._row(vm)
        return (told.lasting_runs, told.timed_runs, vm.name) if told else (0, 0, vm.name)

    def _row(self, vm: FleetVm) -> pb.WorkerReport | None:
        report = self.reports.get(vm.pool)
        rows = report.message.workers if report else ()
        return next((row for row in rows if row.worker == vm.worker_id), None)

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

    async def _give_orders(self, now: float) -> None:
        if self.claim_age() > LEASE_SECONDS * CLAIM_PART:
            self.around.log.write("orders-withheld", age=round(self.claim_age(), 2))
            return
        for name, why in list(self.emptying.items()):
            vm = self.vms.get(name)
            if vm is None or vm.phase is not Phase.UP or not self._is_empty(vm, now):
                continue
            what, _, target = why.partition(" ")
            if what == "wave":
                await self._maintain(vm, self.waves[target])
            else:
                await self._move(vm, target)

    async def _maintain(self, vm: FleetVm, wave: WaveProgress) -> None:
        now = self.around.clock.now()
        away = wave.away(self.vms, now, self.around.timing.maintenance + RETURN_SECONDS)
        if len(away - {vm.name}) >= wave.order.at_once:
            return
        wave.ordered[vm.name] = self.around.clock.now()
        self.ended[vm.worker_id] = self.around.clock.now() + RETIRE_SECONDS
        outcome = await self.orders.maintain(vm.name, wave.order.name, self.holder, self.token)
        self._log_order("vm-maintained", vm, wave.order.name, outcome)
        if outcome in (OrderOutcome.DONE, OrderOutcome.NOT_IN_WAVE):
            self.emptying.pop(vm.name, None)
            wave.done.add(vm.name)
            await self._store_wave(wave)
        else:
            wave.ordered.pop(vm.name)
            self.ended.pop(vm.worker_id, None)

    async def _move(self, vm: FleetVm, target: str) -> None:
        self.ended[vm.worker_id] = self.around.clock.now() + RETIRE_SECONDS
        outcome = await self.orders.move(vm.name, target, self.holder, self.token)
        self._log_order("vm-moved", vm, target, outcome)
        if outcome is not OrderOutcome.DONE:
            self.ended.pop(vm.worker_id, None)
        if outcome is not OrderOutcome.BUSY:
            self.emptying.pop(vm.name, None)
        if outcome is OrderOutcome.DONE:
            until = self.around.clock.now() + self.around.timing.move + JOIN_SECONDS
            self.moving[vm.name] = (target, until)

    def _settle_moves(self, now: float) -> None:
        self.ended = {worker: until for worker, until in self.ended.items() if until > now}
        for name, (target, until) in list(self.moving.items()):
            vm = self.vms.get(name)
            joined = vm is not None and vm.pool == target and vm.phase is Phase.UP
            if joined or until <= now:
                del self.moving[name]

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
                if not wave.completed:
                    await self._store_wave(wave)
            if not wave.completed and is_finished(wave, self.vms):
                wave.completed = True
                await self._store_wave(wave)
                self.around.log.write("wave-completed", wave=name, vms=len(order.vms))

    async def _read_wave(self, order: WaveOrder) -> WaveProgress:
        entry = await self.around.store.get(self.around.keys.wave(order.name))
        if entry is None:
            return WaveProgress(order, self.around.day())
        told = json.loads(entry.value)
        return WaveProgress(order, told["begun"], set(told["done"]), completed=told["completed"])

    async def _store_wave(self, wave: WaveProgress) -> None:
        name = wave.order.name
        value = {"begun": wave.begun_at, "done": sorted(wave.done), "completed": wave.completed}
        state = self.board.encode_state(name, wave.completed)
        await self.around.store.commit(
            [self.claim],
            [
                Put(self.around.keys.wave(name), json.dumps(value).encode()),
                Put(self.board.state_key(name), state),
            ],
        )

    def _log_loads(self, loads: dict[str, PoolLoad], now: float) -> None:
        if now - self.logged_at < LOG_SECONDS:
            return
        self.logged_at = now
        self.around.log.write(
            "fleet-load",
            pools={
                pool: {
                    "vms": load.vms,
                    "room": round(load.room_cores),
                    "wanted": round(load.wanted_cores, 1),
                    "refused": round(load.refused_core_seconds, 1),
                    "age": round(now - self.reports[pool].at, 2),
                }
                for pool, load in loads.items()
            },
            emptying=len(self.emptying),
            moving=len(self.moving),
        )

    def _log_order(self, event: str, vm: FleetVm, target: str, outcome: OrderOutcome) -> None:
        self.around.log.write(
            event,
            vm=vm.name,
            pool=vm.pool,
            target=target,
            token=self.token,
            outcome=outcome.name.lower(),
        )
