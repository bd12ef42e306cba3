"""Sends VM orders to the platform concurrently, and tracks the VMs that they take out of service.

A VM is out of service from its order until it has moved or its maintenance is listed.
"""

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
from .context import DaemonContext
from .failures import describe_error
from .intents import IntentLog

__all__ = [
    "LIST_LAG_SECONDS",
    "RETURN_MARGIN_SECONDS",
    "Urgency",
    "VmOrder",
    "VmOrderDispatcher",
]

#: time for which no run starts on a worker whose VM was moved or maintained, in seconds
RETIRE_SECONDS = 3.0
#: longest time by which the platform's list of VMs lags, in seconds
LIST_LAG_SECONDS = 0.8
#: delay before an order without an answer is sent again, in seconds
RETRY_DELAY_SECONDS = 0.3
#: time for which a VM counts as down after an order beyond the maintenance itself, in seconds
RETURN_MARGIN_SECONDS = 0.6
#: time within which a moved VM joins its pool beyond the move itself, in seconds
JOIN_MARGIN_SECONDS = 3.0
#: time from the end of a move until the owner uses the VM's new worker, in seconds: its entry is
#: read, its name stored in the roster, and a call answered
DISCOVERY_SECONDS = 0.25
#: shortest expected time until a VM arrives whose worker is overdue, in seconds
MIN_ARRIVAL_SECONDS = 0.2


class Urgency(enum.IntEnum):
    """Priority of an order when not all can be sent at once: the lowest value goes first."""

    LACKING = enum.auto()
    UPKEEP = enum.auto()
    NEEDLESS = enum.auto()


@attrs.frozen
class VmOrder:
    """An order to maintain a VM in a wave, or to move it to a target pool."""

    vm: FleetVm
    urgency: Urgency
    target: str = ""
    wave: str = ""


class VmOrderDispatcher:
    """Sends the orders of one planner.

    An error that nobody expects concerns its own order only. One of the call is as no answer: the
    order may have been carried out. After an answer that could not be applied, the VM gets no
    other order until the list must show what has become of it.

    :param platform: client that sends orders for VMs
    :param holder: the planner; its permission is checked right before each order
    :param waves: progress of the waves by name, updated with the outcome of each order
    :param intents: stores each order's intent before the order is sent
    :param may_remove: returns whether a VM, as listed when its order was planned, may still be
        moved or maintained: it is drained, or its worker has changed
    """

    def __init__(
        self,
        context: DaemonContext,
        platform: VmPlatform,
        holder: Holder,
        waves: dict[str, WaveProgress],
        intents: IntentLog,
        may_remove: Callable[[FleetVm], bool],
    ):
        self.context = context
        self.platform = platform
        self.holder = holder
        self.waves = waves
        self.intents = intents
        self.may_remove = may_remove
        self.rate_limit = OrderRateLimiter(context.timing.vm_orders_per_second)
        # VMs whose order is in progress.
        self.in_flight: set[str] = set()
        # Target pool and latest arrival of VMs that were moved, by local time.
        self.moving: dict[str, tuple[str, float]] = {}
        # VMs whose maintenance was ordered, until the list must show it, by local time.
        self.maintained_until: dict[str, float] = {}
        # Workers whose VM was ordered to move or be maintained, and until when they get no runs
        # for that reason, by local time. The time is limited because the platform also confirms
        # the repetition of an order that was carried out before, and then the worker stays.
        self.retired_until: dict[str, float] = {}
        # Waves whose progress is not stored yet.
        self.unsaved_waves: set[str] = set()
        # VMs of the latest list.
        self.listed: dict[str, FleetVm] = {}

    def restore(self, vms: dict[str, FleetVm], now: float) -> None:
        """Restore the orders that the previous planner has sent, or may have.

        :param vms: VMs by name, from a list that is newer than its last order
        """
        for intent in self.intents.inherited.values():
            vm = vms.get(intent.vm)
            if intent.target and vm is not None and vm.phase is Phase.MOVING:
                joined = now + self.context.timing.move + JOIN_MARGIN_SECONDS
                self.moving[intent.vm] = (intent.target, joined)
            if intent.worker_id:
                # The order may still be in transit.
                self.retired_until[intent.worker_id] = self.intents.blocked_until(intent)

    def update(self, vms: dict[str, FleetVm], now: float) -> None:
        """Update the state of orders from a new list of VMs."""
        self.listed = vms
        self.retired_until = {
            worker: until for worker, until in self.retired_until.items() if until > now
        }
        for name, (target, until) in list(self.moving.items()):
            vm = vms.get(name)
            joined = vm is not None and vm.pool == target and vm.phase is Phase.UP
            if joined or until <= now:
                del self.moving[name]
        self.maintained_until = {
            name: until for name, until in self.maintained_until.items() if until > now
        }

    def has_order(self, name: str) -> bool:
        """Return whether a VM is out of service because of an order, or about to be."""
        return name in self.moving or name in self.maintained_until or name in self.in_flight

    def arrival_seconds(self, pool: str) -> list[float]:
        """Return the seconds until each VM that was moved to a pool takes tasks."""
        now = self.context.clock.now()
        arrivals = (
            until - JOIN_MARGIN_SECONDS + DISCOVERY_SECONDS
            for target, until in self.moving.values()
            if target == pool
        )
        return sorted(max(MIN_ARRIVAL_SECONDS, when - now) for when in arrivals)

    def dispatch(self, orders: Iterable[VmOrder], tasks: anyio.abc.TaskGroup, now: float) -> None:
        """Start as many orders as the platform's rate limit allows, the most urgent first."""
        pending = sorted(orders, key=lambda order: order.urgency)
        allowed = self.rate_limit.acquire(len(pending), now)
        for order in pending[:allowed]:
            self.in_flight.add(order.vm.name)
            tasks.start_soon(self._execute, order)
        if allowed < len(pending):
            self.context.log.write("orders-put-off", orders=len(pending) - allowed)

    async def _execute(self, order: VmOrder) -> None:
        """Record an order's intent and send the order; its VM is in flight until answered."""
        vm = order.vm
        try:
            intent = OrderIntent(vm.name, vm.worker_id, order.target, order.wave)
            if await self.intents.record(intent) and self._is_unchanged(vm):
                await self._send_until_answered(order)
            else:
                self.context.log.write("vm-order-given-up", vm=vm.name, target=order.target)
        except Exception as error:
            self._log_fault(order, error)
        finally:
            self.intents.close(vm.name)
            self.in_flight.discard(vm.name)

    def _is_unchanged(self, vm: FleetVm) -> bool:
        """Return whether a VM is listed as it was when its order was planned."""
        return self.listed.get(vm.name, vm) == vm

    async def _send_until_answered(self, order: VmOrder) -> None:
        vm = order.vm
        while self._may_send(order):
            self.retired_until[vm.worker_id] = self.context.clock.now() + RETIRE_SECONDS
            try:
                outcome = await self._send(order)
            except Exception as error:
                # It may have been carried out, or may be later: the same order is sent again.
                if not isinstance(error, PlatformError):
                    self._log_fault(order, error)
                self.context.log.write("vm-order-unanswered", vm=vm.name, reason=str(error))
                await anyio.sleep(RETRY_DELAY_SECONDS)
                continue
            try:
                self._record_outcome(order, outcome)
            except Exception as error:
                self._log_fault(order, error)
                timing = self.context.timing
                self.maintained_until[vm.name] = (
                    self.context.clock.now()
                    + max(timing.move, timing.maintenance)
                    + LIST_LAG_SECONDS
                )
            return
        self.context.log.write("vm-order-given-up", vm=vm.name, target=order.target)

    def _log_fault(self, order: VmOrder, error: Exception) -> None:
        self.context.log.write(
            "vm-order-fault",
            vm=order.vm.name,
            target=order.wave or order.target,
            **describe_error(error),
        )

    def _may_send(self, order: VmOrder) -> bool:
        """Return whether an order may be sent now; if it is of a wave, count its VM as down."""
        if not self.holder.holds():
            return False
        if order.wave:
            now, wave = self.context.clock.now(), self.waves[order.wave]
            seconds = self.context.timing.maintenance + RETURN_MARGIN_SECONDS
            down = wave.unavailable(self.listed, now, seconds)
            if len(down - {order.vm.name}) >= wave.order.at_once:
                return False
            wave.ordered_at[order.vm.name] = now
        return self.may_remove(order.vm)

    async def _send(self, order: VmOrder) -> OrderOutcome:
        if order.wave:
            return await self.platform.maintain(order.vm.name, order.wave, self.holder)
        return await self.platform.move(order.vm.name, order.target, self.holder)

    def _record_outcome(self, order: VmOrder, outcome: OrderOutcome) -> None:
        vm, now = order.vm, self.context.clock.now()
        done = outcome is OrderOutcome.DONE
        self.context.log.write(
            "vm-maintained" if order.wave else "vm-moved",
            vm=vm.name,
            worker=vm.worker_id,
            pool=vm.pool,
            target=order.wave or order.target,
            token=self.holder.token,
            outcome=outcome.name.lower(),
        )
        if outcome is OrderOutcome.TOO_MANY:
            self.rate_limit.slow_down()
        if not done:
            self.retired_until.pop(vm.worker_id, None)
        if order.wave:
            wave = self.waves[order.wave]
            if done or outcome is OrderOutcome.NOT_IN_WAVE:
                wave.done.add(vm.name)
                self.unsaved_waves.add(order.wave)
            else:
                wave.ordered_at.pop(vm.name, None)
            if done:
                self.maintained_until[vm.name] = now + LIST_LAG_SECONDS
        elif done:
            self.moving[vm.name] = (
                order.target,
                now + self.context.timing.move + JOIN_MARGIN_SECONDS,
            )
