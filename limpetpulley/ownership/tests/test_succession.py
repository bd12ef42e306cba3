"""Successive planners: no VM is ordered by two of them within the lease of VM orders."""

import os
import random

import anyio
import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, BatchConfig, PoolConfig
from ...batch.keys import BatchKeys
from ...exception import PlatformError, StoreUnavailable
from ...fleet.peak_forecast import Peak, PeakForecaster
from ...fleet.planner_record import (
    OrderIntent,
    PlannerRecord,
    decode_planner_record,
    encode_planner_record,
)
from ...fleet.vms import WaveOrder
from ...peer import batch_pb2 as pb
from ...standin.virtual import VirtualClock, run_virtual
from ...standin.vms import MemoryVms
from ...standin.workers import MemoryWorkers
from ...store import Compare, MemoryStore, Put
from ...telemetry import EventLog
from .. import DaemonContext, Member, Timing, WaveRegistry
from ..directory import PLANNER
from ..intents import MAX_TRANSIT_SECONDS, REFRESH_INTERVAL_SECONDS, IntentLog
from ..planner import VmPlanner
from ..session import Session

KEYS = BatchKeys("lp/")
LEASE = Timing().holder_lease
POOLS = {"a": PoolConfig("a"), "b": PoolConfig("b"), "off": PoolConfig("off", True)}
HOMES = {"a": 8, "b": 8, "off": 8}
CAPACITY = Amount(16_000, 64_000)
#: interval between two changes of demand, in seconds, so that VMs are ordered all the time
DEMAND_INTERVAL_SECONDS = 1.7


@attrs.define
class SentOrder:
    """An order that reached the platform."""

    at: float
    holder: str
    token: int
    vm: str


class UnreliableStore:
    """A daemon's connection to the store, which may be cut or lose answers."""

    def __init__(self, store, rng):
        self.store = store
        self.rng = rng
        self.cut = False
        self.lossy = False

    def __getattr__(self, name):
        call = getattr(self.store, name)

        async def call_unreliably(*args):
            await anyio.sleep(0.004)
            if self.cut:
                await anyio.sleep(0.1)
                raise StoreUnavailable("connection cut")
            if self.lossy and self.rng.random() < 0.4:
                if self.rng.random() < 0.5:
                    # The write takes effect late, if its conditions still hold.
                    await anyio.sleep(0.3)
                await call(*args)
                raise StoreUnavailable("the answer was lost")
            return await call(*args)

        return call_unreliably


class UnreliableOrders:
    """A daemon's connection to the platform's VM orders: pauses, is slow, loses answers."""

    def __init__(self, vms, clock, sent_orders, rng):
        self.vms = vms
        self.clock = clock
        self.sent_orders = sent_orders
        self.rng = rng

    async def list_vms(self):
        return await self.vms.list_vms()

    async def move(self, vm, pool, holder):
        return await self._order(self.vms.move, vm, pool, holder)

    async def maintain(self, vm, wave, holder):
        return await self._order(self.vms.maintain, vm, wave, holder)

    async def _order(self, call, vm, target, holder):
        if self.rng.random() < 0.1:
            # The process is paused between its decision and the first byte.
            await anyio.sleep(self.rng.uniform(0.5, 4.0))
        if not holder.holds():
            raise PlatformError("order not sent: the claim has expired")
        await anyio.sleep(self.rng.uniform(0.0, 0.9 * MAX_TRANSIT_SECONDS))
        self.sent_orders.append(SentOrder(self.clock.now(), holder.name, holder.token, vm))
        if self.rng.random() < 0.2:
            raise PlatformError("no answer")
        return await call(vm, target, holder)


class Daemon:
    """A daemon that claims the planner's role whenever it is free."""

    def __init__(self, simulation, name):
        self.simulation = simulation
        self.name = name
        self.store = UnreliableStore(simulation.store, simulation.rng)
        self.planner = None
        self.scope = anyio.CancelScope()
        self.planner_scope = anyio.CancelScope()
        member = Member(name, 1, f"{name}:1")
        log = EventLog(name, os.open(os.devnull, os.O_WRONLY))
        self.session = Session(self.store, KEYS, member, simulation.clock, log, self.stop_planner)
        self.context = DaemonContext(
            self.store, KEYS, None, simulation.clock, log, Timing(), None, simulation.clock.now
        )
        self.context.config = BatchConfig(1, {}, POOLS)
        self.orders = UnreliableOrders(
            simulation.vms, simulation.clock, simulation.sent_orders, simulation.rng
        )

    def stop_planner(self):
        self.planner_scope.cancel()

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.session.run)
                while True:
                    await self._claim()
                    await anyio.sleep(0.05)

    async def leave(self):
        """Hand over to the next planner as on SIGTERM."""
        planner = self.planner
        self.stop_planner()
        if planner is not None:
            await planner.hand_over()
            await self.session.stop_claiming({PLANNER: planner.token})
        self.scope.cancel()

    async def _claim(self):
        try:
            if await self.simulation.store.get(KEYS.owner(PLANNER)) is not None:
                return
            token = await self.session.claim(PLANNER, 0)
        except Exception:
            return
        if not token:
            return
        self.planner = VmPlanner(
            self.context,
            self.orders,
            self.simulation.wave_registry,
            self.name,
            token,
            self.session.age,
        )
        self.simulation.claims.append((self.simulation.clock.now(), token))
        with anyio.CancelScope() as self.planner_scope:
            await self.planner.run()
        self.planner = None


class Simulation:
    """Daemons that take over the planner's role while demand alternates between two pools."""

    def __init__(self, tasks, seed):
        self.tasks = tasks
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.store = MemoryStore(self.clock)
        self.sent_orders = []
        self.claims = []
        off = frozenset({"off"})
        self.vms = MemoryVms(
            tasks, self.clock, MemoryWorkers(), None, off, CAPACITY, lambda listed: None
        )
        for pool, count in HOMES.items():
            for number in range(count):
                self.vms.add(f"{pool}-{number}", pool, "r1")
        self.wave_registry = WaveRegistry(lambda name: f"state/{name}", lambda name, done: b"")
        self.daemons = {}

    def start(self, name):
        daemon = self.daemons[name] = Daemon(self, name)
        self.tasks.start_soon(daemon.run)

    @property
    def active_daemon(self):
        return next((each for each in self.daemons.values() if each.planner), None)

    async def alternate_demand(self):
        """Report a peak in one pool and in the other by turns."""
        started_at = self.clock.now()
        while True:
            daemon = self.active_daemon
            peak_pool = "ab"[int((self.clock.now() - started_at) / DEMAND_INTERVAL_SECONDS) % 2]
            for pool in "ab":
                if daemon is not None:
                    daemon.planner.handle_report(self._report(pool, pool == peak_pool))
            await anyio.sleep(0.1)

    def _report(self, pool, at_peak):
        rows = [
            pb.WorkerReport(vm=vm.name, worker=vm.worker_id, cordoned=True)
            for vm in self.vms.vms.values()
            if vm.pool == pool and vm.worker_id
        ]
        cores = 16.0 * (20 if at_peak else 1)
        return pb.PoolReport(pool=pool, token=1, workers=rows, arriving_cores=cores)

    async def inject_faults(self, seconds):
        """Kill, stop or disconnect the active daemon at random."""
        ends_at = self.clock.now() + seconds
        number = 0
        while self.clock.now() < ends_at:
            await anyio.sleep(self.rng.uniform(0.3, 5.0))
            daemon = self.active_daemon
            if daemon is None:
                continue
            fault = self.rng.choice(["kill", "leave", "cut", "lossy"])
            if fault == "kill":
                daemon.scope.cancel()
            elif fault == "leave":
                with anyio.move_on_after(1.0):
                    await daemon.leave()
                daemon.scope.cancel()
            else:
                setattr(daemon.store, fault, True)
                await anyio.sleep(self.rng.uniform(0.2, 3.0))
                setattr(daemon.store, fault, False)
                continue
            del self.daemons[daemon.name]
            number += 1
            self.start(f"entry-{number + 10}")


def simulate_planners(seed, seconds=30.0, wave=False):
    """Return a simulation after its run, with the orders sent and the claims made."""

    async def run():
        async with anyio.create_task_group() as tasks:
            simulation = Simulation(tasks, seed)
            if wave:
                names = tuple(name for name in simulation.vms.vms)
                simulation.wave_registry.waves["7"] = WaveOrder("7", names, 30.0, 4)
            for number in range(3):
                simulation.start(f"entry-{number}")
            tasks.start_soon(simulation.alternate_demand)
            await simulation.inject_faults(seconds)
            tasks.cancel_scope.cancel()
        return simulation

    return run_virtual(run)


def find_conflicts(orders):
    """Return pairs of orders of two planners that came within the lease or in reverse order."""
    last, conflicts = {}, []
    for order in sorted(orders, key=lambda each: each.at):
        previous = last.get(order.vm)
        if previous is not None and previous.token != order.token:
            too_soon = order.at - previous.at < LEASE
            if too_soon or order.token < previous.token:
                conflicts.append((previous, order))
        last[order.vm] = order
    return conflicts


@pytest.mark.parametrize("seed", range(24))
def test_no_vm_is_ordered_by_two_planners_within_the_lease(seed):
    simulation = simulate_planners(seed, wave=seed % 3 == 0)
    assert len(simulation.claims) > 2
    assert len(simulation.sent_orders) > 20
    assert_that(find_conflicts(simulation.sent_orders), Equals([]))
    if simulation.wave_registry.waves:
        assert simulation.vms.most_down <= 4


@pytest.mark.parametrize("seed", [109, 123, 130, 131, 154])
def test_vm_of_a_wave_is_not_ordered_again_while_its_order_is_in_flight(seed):
    """The first answer closes the intent of all orders, and the next planner does not wait."""
    assert_that(find_conflicts(simulate_planners(seed, wave=True).sent_orders), Equals([]))


def test_the_next_planner_orders_other_vms_without_delay():
    """A successor that waited for the whole lease of 3 s would miss most of a peak."""
    delays = []
    for seed in range(8):
        simulation = simulate_planners(seed)
        for at, token in simulation.claims[1:]:
            first = min(
                (each.at for each in simulation.sent_orders if each.token == token), default=None
            )
            if first is not None:
                delays.append(first - at)
    delays.sort()
    assert delays[len(delays) // 2] < 1.0, delays


def make_intent_log(store, clock, token=None):
    async def claim_planner():
        claimed = await store.commit([], [Put(KEYS.owner(PLANNER), b"")])
        return claimed.revision

    async def build():
        log = EventLog("entry-1", os.open(os.devnull, os.O_WRONLY))
        context = DaemonContext(store, KEYS, None, clock, log, Timing(), None, clock.now)
        revision = await claim_planner() if token is None else token
        return IntentLog(context, Compare(KEYS.owner(PLANNER), revision), PeakForecaster())

    return build()


def run_scenario(scenario):
    async def run():
        clock = VirtualClock()
        async with anyio.create_task_group() as tasks:
            result = await scenario(MemoryStore(clock), clock, tasks)
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(run)


@pytest.mark.parametrize(
    ("pause", "graceful", "wait"),
    [
        (0.0, False, LEASE),
        (0.0, True, LEASE),
        (2.0, True, LEASE - 2.0),
        (2.1, False, LEASE - 2.0),
        (LEASE, True, 0.0),
        (LEASE + 2.0, False, 0.0),
    ],
)
def test_a_vm_is_blocked_for_the_rest_of_the_lease(pause, graceful, wait):
    async def scenario(store, clock, tasks):
        first = await make_intent_log(store, clock)
        tasks.start_soon(first.run)
        assert await first.record(OrderIntent("m-1", "w-1", target="a"))
        first.close("m-1")
        await anyio.sleep(pause)
        if graceful:
            await first.hand_over()
        second = await make_intent_log(store, clock)
        tasks.start_soon(second.run)
        await anyio.sleep(0.01)
        started_at = clock.now()
        while second.is_blocked("m-1"):
            await anyio.sleep(0.01)
        return clock.now() - started_at, second.is_blocked("m-2")

    blocked_seconds, other_blocked = run_scenario(scenario)
    expected = wait + MAX_TRANSIT_SECONDS if wait else 0.0
    assert (
        expected - 0.01
        <= blocked_seconds
        < expected + (0.05 if graceful else REFRESH_INTERVAL_SECONDS)
    ), blocked_seconds
    assert not other_blocked


def test_the_third_planner_within_the_lease_inherits_the_first_ones_intents():
    async def scenario(store, clock, tasks):
        first = await make_intent_log(store, clock)
        tasks.start_soon(first.run)
        assert await first.record(OrderIntent("m-1", "w-1", target="a"))
        second = await make_intent_log(store, clock)
        tasks.start_soon(second.run)
        await anyio.sleep(0.5)
        assert await second.record(OrderIntent("m-2", "w-2", target="a"))
        third = await make_intent_log(store, clock)
        tasks.start_soon(third.run)
        await anyio.sleep(0.01)
        return (
            third.is_blocked("m-1"),
            third.is_blocked("m-2"),
            await first.record(OrderIntent("m-3", "w-3", target="a")),
        )

    assert_that(run_scenario(scenario), Equals((True, True, False)))


class DelayedStore:
    """A store that applies the first write only after it has been reported as failed."""

    def __init__(self, store, tasks):
        self.store = store
        self.tasks = tasks
        self.delay_next = True

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def commit(self, compares, writes):
        if self.delay_next:
            self.delay_next = False
            self.tasks.start_soon(self._commit_delayed, compares, writes)
            raise StoreUnavailable("no answer")
        return await self.store.commit(compares, writes)

    async def _commit_delayed(self, compares, writes):
        await anyio.sleep(0.5)
        await self.store.commit(compares, writes)


def test_a_delayed_write_removes_no_intent():
    async def scenario(store, clock, tasks):
        log = await make_intent_log(store, clock)
        log.context.store = DelayedStore(store, tasks)
        tasks.start_soon(log.run)
        recorded = [await log.record(OrderIntent(vm, "", target="a")) for vm in ("m-1", "m-2")]
        await anyio.sleep(0.8)
        record = decode_planner_record((await store.get(KEYS.succession)).value)
        return recorded, sorted(record.intents_by_vm())

    assert_that(run_scenario(scenario), Equals(([True, True], ["m-1", "m-2"])))


@pytest.mark.parametrize("value", [b"", b"[]", b'{"token": 1}x', b'{"intents": 7}', b"\xff"])
def test_an_unreadable_record_blocks_every_vm_for_the_lease(value):
    async def scenario(store, clock, tasks):
        await store.commit([], [Put(KEYS.succession, value)])
        log = await make_intent_log(store, clock)
        tasks.start_soon(log.run)
        await anyio.sleep(LEASE)
        blocked = log.is_blocked("m-1")
        await anyio.sleep(2 * MAX_TRANSIT_SECONDS)
        return blocked, log.is_blocked("m-1"), await log.record(OrderIntent("m-1", "", target="a"))

    assert_that(run_scenario(scenario), Equals((True, False, True)))


def test_peaks_are_handed_over_to_the_next_planner():
    async def scenario(store, clock, tasks):
        first = await make_intent_log(store, clock)
        tasks.start_soon(first.run)
        await anyio.sleep(0.01)
        first.forecaster.record("a", True, 9, clock.now())
        await first.hand_over()
        await anyio.sleep(3.0)
        second = await make_intent_log(store, clock)
        second.context.wall_time = lambda: clock.now() + 1000.0
        first.context.wall_time = second.context.wall_time
        tasks.start_soon(second.run)
        await anyio.sleep(0.01)
        return [(peak.pool, peak.height) for peak in second.forecaster.peaks]

    assert_that(run_scenario(scenario), Equals([("a", 9)]))


def test_a_planner_record_round_trips():
    record = PlannerRecord(7, (OrderIntent("m-1", "w-1", "a", "", 1.5),), (Peak("a", 1.0, 2.0, 9),))
    assert_that(decode_planner_record(encode_planner_record(record)), Equals(record))
