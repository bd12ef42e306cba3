"""The fleet planner: one daemon at a time moves VMs between pools and orders their maintenance."""

from __future__ import annotations

import json
from collections.abc import Callable

import anyio
import anyio.abc

from ..exception import PlatformError, StoreError, StoreUnavailable
from ..fleet.demand import DemandHistory, FleetPlan, PoolLoad, plan_pools
from ..fleet.maintenance import WaveProgress
from ..fleet.vms import Holder, VmPlatform
from ..json_decoding import parse_json
from ..peer import batch_pb2 as pb
from ..store import Compare, Put
from .context import DaemonContext
from .directory import PLANNER
from .failures import describe_error
from .intents import IntentLog
from .pool_reports import PoolReports
from .session import LEASE_SECONDS
from .vm_inventory import MOVE_REASON, VmInventory
from .vm_selector import VmSelector
from .vmorders import VmOrderDispatcher
from .wave_tracker import WaveTracker
from .waves import WaveRegistry

__all__ = ["VmPlanner"]

#: interval between two planning rounds, in seconds: while VMs are drained or moved, and otherwise
BUSY_INTERVAL_SECONDS = 0.1
IDLE_INTERVAL_SECONDS = 0.2
#: time after the claim in which the planner uses the short interval, in seconds, since the first
#: reports of the pools arrive one by one
STARTUP_SECONDS = 1.0
#: fraction of the claim's lease after whose last renewal no more orders are sent, because another
#: planner may start once the lease has expired
CLAIM_AGE_FRACTION = 0.8
#: interval between two log lines with the pools' loads, in seconds
LOG_INTERVAL_SECONDS = 1.0
#: longest delay after rounds in a row that failed for an error that nobody expects, in seconds
MAX_FAULT_DELAY_SECONDS = 2.0


class VmPlanner:
    """Plans moves and maintenance of VMs while this daemon holds the planner's claim.

    An error that nobody expects in one VM's order, one wave, one pool's report or one round of
    planning concerns that one only; it is logged, and tried again. The planner ends only when its
    task is cancelled: the claim is lost, the lease has ended, or the daemon leaves. No order goes
    while its intent, or what the previous planner may have ordered, is not known to be stored.

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
        self.token = token
        self.holder = Holder(holder, token, self._may_order)
        self.claim = Compare(context.keys.owner(PLANNER), token)
        self.inventory = VmInventory()
        self.reports = PoolReports(context, self.inventory)
        self.demand_history = DemandHistory()
        self.intents = IntentLog(context, self.claim, self.demand_history.forecaster)
        waves: dict[str, WaveProgress] = {}
        self.dispatcher = VmOrderDispatcher(
            context, platform, self.holder, waves, self.intents, self.reports.may_remove
        )
        self.wave_tracker = WaveTracker(
            context, self.claim, wave_registry, waves, self.intents, self.dispatcher
        )
        self.selector = VmSelector(
            context, self.inventory, self.reports, waves, self.intents, self.dispatcher
        )
        # Whether the dispatcher has restored the previous planner's intents.
        self.restored = False
        self.stopped = anyio.Event()
        # Task group of the orders in flight, so that they are cancelled with the planner.
        self.tasks = context.tasks
        self.logged_at = 0.0

    async def run(self) -> None:
        """Plan until cancelled; nothing else ends the planner."""
        try:
            async with anyio.create_task_group() as self.tasks:
                self.tasks.start_soon(self.intents.run)
                self.tasks.start_soon(self.wave_tracker.run)
                await self._plan_periodically()
        finally:
            self.stopped.set()

    async def hand_over(self) -> None:
        """Store what the next planner needs, after this one was cancelled."""
        await self.stopped.wait()
        await self.intents.hand_over()

    async def _plan_periodically(self) -> None:
        delay = IDLE_INTERVAL_SECONDS
        while True:
            try:
                await self._plan_once()
                delay = IDLE_INTERVAL_SECONDS
            except PlatformError as error:
                self.context.log.write("vms-unknown", reason=str(error))
            except (StoreUnavailable, StoreError) as error:
                self.context.log.write("wave-not-stored", reason=str(error))
            except Exception as error:
                self.context.log.write("planning-fault", delay=delay, **describe_error(error))
                await anyio.sleep(delay)
                delay = min(2 * delay, MAX_FAULT_DELAY_SECONDS)
            starting = self.context.clock.now() - self.intents.started_at < STARTUP_SECONDS
            busy = starting or self.inventory.draining or self.dispatcher.moving
            await anyio.sleep(BUSY_INTERVAL_SECONDS if busy else IDLE_INTERVAL_SECONDS)

    def handle_report(self, message: pb.PoolReport) -> pb.PoolPlan:
        """Record a pool's report; return which of its workers to cordon and which have ended.

        A report of an owner that was replaced is ignored. The answer is ``UNKNOWN``, and tells of
        ended workers only, until it is known which workers the previous planner has ordered away;
        it tells nothing after an error that nobody expects.
        """
        try:
            return self._handle_report(message)
        except Exception as error:
            self.reports.note_fault(message.pool, error)
            return pb.PoolPlan(outcome=pb.UNKNOWN)

    def _handle_report(self, message: pb.PoolReport) -> pb.PoolPlan:
        if not self.reports.record(message):
            return pb.PoolPlan(outcome=pb.NOT_OWNER)
        reported = {row.worker for row in message.workers}
        ended = [
            pb.WorkerIncarnation(worker=row.worker, incarnation=row.incarnation)
            for row in self.reports.judge_ended(message, self.token)
        ]
        if not self.restored:
            return pb.PoolPlan(outcome=pb.UNKNOWN, ended_incarnations=ended)
        self._keep_needed_vms(message)
        vms, draining = self.inventory.vms, self.inventory.draining
        for name in draining:
            vm = vms.get(name)
            if vm is not None and vm.worker_id in reported:
                self.inventory.cordon_sent_at.setdefault(name, self.context.clock.now())
        cordoned = {
            vms[vm].worker_id for vm in draining if vm in vms
        } | self.dispatcher.retired_until.keys()
        return pb.PoolPlan(
            outcome=pb.ACCEPTED,
            cordoned_workers=sorted(reported & cordoned),
            ended_incarnations=ended,
            coming_seconds=self.dispatcher.arrival_seconds(message.pool),
        )

    def _keep_needed_vms(self, message: pb.PoolReport) -> None:
        """Drain no VM for a move any more whose worker a report calls needed.

        One whose order is in progress may have left its pool already.
        """
        for row in message.workers:
            draining = row.needed and self.inventory.draining.get(row.vm) == MOVE_REASON
            if draining and not self.dispatcher.has_order(row.vm):
                del self.inventory.draining[row.vm]
                self.inventory.cordon_sent_at.pop(row.vm, None)
                self.context.log.write("vm-kept", vm=row.vm, pool=message.pool)

    async def _plan_once(self) -> None:
        now, restore_due = self.context.clock.now(), self.intents.loaded and not self.restored
        listed, known_problems = await self.platform.list_vms(), self.inventory.unreadable
        self.inventory.update(listed, now)
        vms = self.inventory.vms
        for name, problem in self.inventory.unreadable.items():
            if known_problems.get(name) != problem:
                self.context.log.write("vm-unreadable", vm=name, reason=problem)
        if restore_due:
            self.dispatcher.restore(vms, now)
            self.restored = True
        if not self.demand_history.homes:
            await self._load_initial_sizes()
        self.dispatcher.update(vms, now)
        loads = self.reports.loads(self.selector.idle_vms(), now)
        plan = plan_pools(loads, self.selector.incoming_vms(), self.demand_history, now)
        self._log_loads(loads, plan, now)
        await self.wave_tracker.update(vms)
        chosen = self._choose_for_maintenance(loads, sum(plan.shortfall.values()), now)
        chosen |= self.selector.choose_for_moves(plan, chosen)
        chosen |= {
            vm: reason
            for vm, reason in self.inventory.draining.items()
            if vm in self.dispatcher.in_flight
        }
        self._set_draining(chosen)
        self._issue_orders(plan, now)

    def _choose_for_maintenance(
        self, loads: dict[str, PoolLoad], shortfall: int, now: float
    ) -> dict[str, str]:
        """Return the VMs to drain for maintenance; after an error, those that are drained so."""
        try:
            return self.selector.choose_for_maintenance(loads, shortfall, now)
        except Exception as error:
            self.context.log.write("planning-fault", step="maintenance", **describe_error(error))
            draining = self.inventory.draining.items()
            return {vm: reason for vm, reason in draining if reason != MOVE_REASON}

    def _set_draining(self, chosen: dict[str, str]) -> None:
        for vm, reason in chosen.items():
            if vm not in self.inventory.draining:
                self.context.log.write("vm-emptying", vm=vm, reason=reason)
        self.inventory.draining = chosen
        self.inventory.cordon_sent_at = {
            vm: at for vm, at in self.inventory.cordon_sent_at.items() if vm in chosen
        }

    def _may_order(self) -> bool:
        return self.claim_age() <= LEASE_SECONDS * CLAIM_AGE_FRACTION

    def _issue_orders(self, plan: FleetPlan, now: float) -> None:
        """Issue the orders that are possible now, the most urgent first."""
        if not self.restored:
            return
        if not self._may_order():
            self.context.log.write("orders-withheld", age=round(self.claim_age(), 2))
            return
        orders = self.selector.maintenance_orders(now) + self.selector.move_orders(plan, now)
        self.dispatcher.dispatch(orders, self.tasks, now)

    async def _load_initial_sizes(self) -> None:
        """Load the initial number of VMs of each pool; the first planner stores it."""
        counts: dict[str, int] = {}
        for vm in self.inventory.readable_vms():
            counts[vm.pool] = counts.get(vm.pool, 0) + 1
        key = self.context.keys.homes
        if counts:
            value = json.dumps(counts).encode()
            await self.context.store.commit([Compare(key, 0), self.claim], [Put(key, value)])
        entry = await self.context.store.get(key)
        if entry is not None:
            try:
                self.demand_history.homes = {
                    str(pool): int(n) for pool, n in parse_json(entry.value).items()
                }
            except (ValueError, TypeError, AttributeError, OverflowError) as error:
                self.context.log.write("record-unreadable", key=key, reason=repr(error))

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
                    "age": round(now - self.reports.latest[pool].received_at, 2),
                }
                for pool, load in loads.items()
            },
            emptying=len(self.inventory.draining),
            moving=len(self.dispatcher.moving),
            ordering=len(self.dispatcher.in_flight),
        )
