"""Gives orders for VMs, many at once, and knows which VMs are away because of them."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable

import anyio
import anyio.abc
import attrs

from ..exception import PlatformError
from ..fleet.maintenance import WaveProgress
from ..fleet.planner_record import OrderIntent
from ..fleet.rate_limit import OrderRateLimiter
from ..fleet.vms import FleetVm, Holder, OrderOutcome, Phase, VmPlatform
from .around import Around
from .intents import IntentLog

__all__ = ["LIST_LAG_SECONDS", "RETURN_SECONDS", "OrderDesk", "Urgency", "VmOrder"]

#: time for which nothing starts on a worker whose VM was ordered away, in seconds
RETIRE_SECONDS = 3.0
#: longest time by which the platform's list of VMs lags, in seconds
LIST_LAG_SECONDS = 0.8
#: pause before an order without an answer is given again, in seconds
REPEAT_SECONDS = 0.3
#: time after an order in which its VM counts as away beyond the maintenance itself
RETURN_SECONDS = 0.6
#: time in which a moved VM joins its pool beyond the move itself
JOIN_SECONDS = 3.0
#: time from the end of a move until the owner has heard the VM's new worker: its entry is seen, its
#: name stored in the roster, a call answered
ARRIVAL_SECONDS = 0.6
#: shortest time until a VM is expected whose worker is overdue
LEAST_ARRIVAL_SECONDS = 0.2


class Urgency(enum.IntEnum):
    """Which orders go first when not all can be given at once."""

    LACKING = enum.auto()
    UPKEEP = enum.auto()
    NEEDLESS = enum.auto()


@attrs.frozen
class VmOrder:
    """A VM that is to be maintained in a wave, or to be moved to a target pool."""

    vm: FleetVm
    urgency: Urgency
    target: str = ""
    wave: str = ""


class OrderDesk:
    """Gives the orders of one planner.

    :param orders: carries orders to the platform
    :param holder: the planner; its permission is asked for right before each order
    :param waves: waves by name; what an order means for one is noted there
    :param intents: stores each order's intent before it is given
    :param may_go: returns whether a VM, as it was listed when its order was decided, may still be
        ordered away: it is empty, or not as it was
    """

    def __init__(
        self,
        around: Around,
        orders: VmPlatform,
        holder: Holder,
        waves: dict[str, WaveProgress],
        intents: IntentLog,
        may_go: Callable[[FleetVm], bool],
    ):
        self.around = around
        self.orders = orders
        self.holder = holder
        self.waves = waves
        self.intents = intents
        self.may_go = may_go
        self.pace = OrderRateLimiter(around.timing.vm_orders_per_second)
        # VMs about which an order is being given.
        self.giving: set[str] = set()
        # Target and latest arrival of VMs that were moved, by local time.
        self.moving: dict[str, tuple[str, float]] = {}
        # VMs whose maintenance was ordered, until the list must show it, by local time.
        self.begun: dict[str, float] = {}
        # Workers whose VM was ordered away, and until when they take no runs for that, by local
        # time. An order that was carried out before is confirmed though the worker stays.
        self.ended: dict[str, float] = {}
        # Waves whose progress is not stored yet.
        self.unstored: set[str] = set()
        # VMs as they were listed last.
        self.listed: dict[str, FleetVm] = {}

    def inherit(self, vms: dict[str, FleetVm], now: float) -> None:
        """Take over what the planner before has ordered, or may have.

        :param vms: VMs by a list that is younger than its last order
        """
        for intent in self.intents.inherited.values():
            vm = vms.get(intent.vm)
            if intent.target and vm is not None and vm.phase is Phase.MOVING:
                joined = now + self.around.timing.move + JOIN_SECONDS
                self.moving[intent.vm] = (intent.target, joined)
            if intent.worker_id:
                # The order may still be on its way.
                self.ended[intent.worker_id] = self.intents.held_until(intent)

    def settle(self, vms: dict[str, FleetVm], now: float) -> None:
        """Take a new list of VMs into account."""
        self.listed = vms
        self.ended = {worker: until for worker, until in self.ended.items() if until > now}
        for name, (target, until) in list(self.moving.items()):
            vm = vms.get(name)
            joined = vm is not None and vm.pool == target and vm.phase is Phase.UP
            if joined or until <= now:
                del self.moving[name]
        self.begun = {name: until for name, until in self.begun.items() if until > now}

    def has(self, name: str) -> bool:
        """Return whether a VM is away because of an order, or about to be."""
        return name in self.moving or name in self.begun or name in self.giving

    def coming_to(self, pool: str) -> list[float]:
        """Return the seconds until VMs that were moved to a pool take tasks."""
        now = self.around.clock.now()
        arrivals = (
            until - JOIN_SECONDS + ARRIVAL_SECONDS
            for target, until in self.moving.values()
            if target == pool
        )
        return sorted(max(LEAST_ARRIVAL_SECONDS, when - now) for when in arrivals)

    def give(self, orders: Iterable[VmOrder], tasks: anyio.abc.TaskGroup, now: float) -> None:
        """Give as many orders as the platform takes now, the most urgent ones first."""
        waiting = sorted(orders, key=lambda order: order.urgency)
        given = self.pace.acquire(len(waiting), now)
        for order in waiting[:given]:
            self.giving.add(order.vm.name)
            tasks.start_soon(self._carry_out, order)
        if given < len(waiting):
            self.around.log.write("orders-put-off", orders=len(waiting) - given)

    async def _carry_out(self, order: VmOrder) -> None:
        """Give an order until it is answered; its VM counts as away until then."""
        vm = order.vm
        try:
            intent = OrderIntent(vm.name, vm.worker_id, order.target, order.wave)
            if await self.intents.cover(intent) and self._is_as_decided(vm):
                await self._repeat(order)
            else:
                self.around.log.write("vm-order-given-up", vm=vm.name, target=order.target)
        finally:
            self.intents.close(vm.name)
            self.giving.discard(vm.name)

    def _is_as_decided(self, vm: FleetVm) -> bool:
        """Return whether a VM still is what it was when its order was decided."""
        return self.listed.get(vm.name, vm) == vm

    async def _repeat(self, order: VmOrder) -> None:
        vm = order.vm
        while self._is_due(order):
            self.ended[vm.worker_id] = self.around.clock.now() + RETIRE_SECONDS
            try:
                outcome = await self._send(order)
            except PlatformError as error:
                # It may have been carried out, or may be later: the same one is given again.
                self.around.log.write("vm-order-unanswered", vm=vm.name, reason=str(error))
                await anyio.sleep(REPEAT_SECONDS)
                continue
            self._note_outcome(order, outcome)
            return
        self.around.log.write("vm-order-given-up", vm=vm.name, target=order.target)

    def _is_due(self, order: VmOrder) -> bool:
        """Return whether an order may be sent right now; of a wave, count its VM as down."""
        if not self.holder.holds():
            return False
        if order.wave:
            now, wave = self.around.clock.now(), self.waves[order.wave]
            seconds = self.around.timing.maintenance + RETURN_SECONDS
            unavailable = wave.unavailable(self.listed, now, seconds)
            if len(unavailable - {order.vm.name}) >= wave.order.at_once:
                return False
            wave.ordered_at[order.vm.name] = now
        return self.may_go(order.vm)

    async def _send(self, order: VmOrder) -> OrderOutcome:
        if order.wave:
            return await self.orders.maintain(order.vm.name, order.wave, self.holder)
        return await self.orders.move(order.vm.name, order.target, self.holder)

    def _note_outcome(self, order: VmOrder, outcome: OrderOutcome) -> None:
        vm, now = order.vm, self.around.clock.now()
        done = outcome is OrderOutcome.DONE
        self.around.log.write(
            "vm-maintained" if order.wave else "vm-moved",
            vm=vm.name,
            pool=vm.pool,
            target=order.wave or order.target,
            token=self.holder.token,
            outcome=outcome.name.lower(),
        )
        if outcome is OrderOutcome.TOO_MANY:
            self.pace.slow_down()
        if not done:
            self.ended.pop(vm.worker_id, None)
        if order.wave:
            wave = self.waves[order.wave]
            if done or outcome is OrderOutcome.NOT_IN_WAVE:
                wave.done.add(vm.name)
                self.unstored.add(order.wave)
            else:
                wave.ordered_at.pop(vm.name, None)
            if done:
                self.begun[vm.name] = now + LIST_LAG_SECONDS
        elif done:
            self.moving[vm.name] = (order.target, now + self.around.timing.move + JOIN_SECONDS)
