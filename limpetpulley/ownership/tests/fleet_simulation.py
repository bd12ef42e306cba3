"""Simulates the planner with a fleet of hundreds of VMs whose pools peak in turn.

The load follows the users' large sheet: four pools of 50 to 66 VMs and a standby pool of 45; each
pool peaks for about eight seconds at some five times its mean, which takes about a hundred VMs.
A simple model of tasks takes the place of the pools' owners: tasks fill the available VMs, wait in
a queue, and end.
"""

from __future__ import annotations

import heapq
import math
import os
import random
from collections import deque

import anyio
import attrs

from ...batch import Amount, BatchConfig, PoolConfig
from ...batch.keys import BatchKeys
from ...fleet.vms import Phase, WaveOrder
from ...peer import batch_pb2 as pb
from ...scheduling.arrivals import ArrivalEstimator
from ...standin.virtual import VirtualClock, run_virtual
from ...standin.vms import MemoryVms
from ...standin.workers import MemoryWorkers
from ...store import Compare, MemoryStore, Put
from ...telemetry import EventLog
from .. import DaemonContext, Timing, WaveRegistry
from ..directory import PLANNER
from ..planner import VmPlanner

__all__ = ["FleetLoad", "FleetResult", "simulate_fleet"]

CAPACITY = Amount(16_000, 64_000)
#: number of tasks that a VM runs at once
SLOTS = 4
TASK_CORES = CAPACITY.cpu_millicores / 1000 / SLOTS
STANDBY = "off"
#: interval between two steps of the simulation and between two reports of a pool, in seconds
TICK_SECONDS = 0.05
REPORT_INTERVAL_SECONDS = 0.1
#: time until an owner uses a worker that has joined, in seconds
JOIN_SECONDS = 0.45
#: longest time that a task may wait and still start in time, in seconds
SLACK_SECONDS = 1.2
#: time for which the planner runs before the load starts, and after it, in seconds
LEAD_SECONDS, FINISH_SECONDS = 8.0, 4.0


@attrs.frozen
class FleetLoad:
    """The pools and their load.

    :param initial_vms: initial number of VMs of each pool
    :param standby_vms: number of VMs of the standby pool
    :param peak: demand of a pool at its peak, in VMs, as a multiple of its initial number of VMs
    :param off_peak: the same outside its peak
    :param order: pools in the order in which they peak
    :param peak_seconds: duration of a peak, in seconds
    :param gap_seconds: time between two peaks, in seconds
    :param rise_seconds: time in which demand rises to the peak, and falls from it, in seconds
    :param run_seconds: run time of a task
    :param orders_per_second: rate limit of the platform for VM orders
    :param order_seconds: time until an order is answered
    :param wave: maintenance wave that is ordered during the load, None for none
    :param wave_at: time from the start of the load to the wave's order, in seconds
    """

    initial_vms: dict[str, int] = attrs.field(factory=lambda: {"a": 50, "b": 55, "c": 60, "d": 66})
    standby_vms: int = 45
    peak: float = 1.7
    off_peak: float = 0.03
    order: str = "abcd"
    peak_seconds: float = 8.0
    gap_seconds: float = 0.8
    rise_seconds: float = 0.01
    run_seconds: float = 0.9
    orders_per_second: float = 310.0
    order_seconds: float = 0.03
    wave: WaveOrder | None = None
    wave_at: float = 3.0


@attrs.define
class FleetResult:
    """The outcome of a simulated load.

    :param submitted: tasks that were submitted
    :param in_time: tasks that started in time
    :param lost: tasks that a move or maintenance ended
    :param moves: moves that were ordered
    :param pool_seconds: VM-seconds in pools other than the standby pool
    :param vms: number of VMs that could run tasks at each step, by pool
    :param required_vms: number of VMs that the demand required at each step, by pool
    :param most_down: largest number of VMs that were down for the wave at once
    :param wave_seconds: time from the wave's order until the maintenance of all its VMs had begun,
        in seconds; infinite if it had not
    """

    submitted: int = 0
    in_time: int = 0
    lost: int = 0
    moves: int = 0
    pool_seconds: float = 0.0
    vms: dict[str, list[int]] = attrs.field(factory=dict)
    required_vms: dict[str, list[float]] = attrs.field(factory=dict)
    most_down: int = 0
    wave_seconds: float = math.inf

    @property
    def served_share(self) -> float:
        """Return the share of the tasks that started in time and were not lost."""
        return (self.in_time - self.lost) / max(1, self.submitted)

    def ramp_seconds(self, pool: str, start: float, share: float = 0.9) -> float:
        """Return the time from the start of a pool's peak until it has a share of the VMs required.

        :param start: start of the peak, in seconds from the start of the load
        :param share: share of the largest number of VMs required
        """
        first_tick = round((LEAD_SECONDS + start) / TICK_SECONDS)
        most_required = max(self.required_vms[pool][first_tick:])
        for tick in range(first_tick, len(self.vms[pool])):
            if self.vms[pool][tick] >= share * most_required:
                return (tick - first_tick) * TICK_SECONDS
        return math.inf


class _Pool:
    """A pool's tasks: the waiting ones, and the running ones of each worker."""

    def __init__(self, name: str):
        self.name = name
        self.waiting: deque[float] = deque()
        self.running: list[tuple[float, str]] = []
        self.runs: dict[str, int] = {}
        self.ready_at: dict[str, float] = {}
        self.cordoned: set[str] = set()
        self.arriving = ArrivalEstimator()


class _Simulation:
    def __init__(self, tasks, load: FleetLoad, seed: int):
        self.tasks = tasks
        self.load = load
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.result = FleetResult()
        self.pools = {name: _Pool(name) for name in load.initial_vms}
        self.result.vms = {name: [] for name in load.initial_vms}
        self.result.required_vms = {name: [] for name in load.initial_vms}
        self.vms = MemoryVms(
            tasks,
            self.clock,
            MemoryWorkers(),
            lambda order: None,
            frozenset({STANDBY}),
            CAPACITY,
            lambda listed: None,
            order_seconds=load.order_seconds,
        )
        for name, count in load.initial_vms.items():
            for number in range(count):
                self.vms.add(f"{name}-{number}", name, f"r{number % 5}")
        for number in range(load.standby_vms):
            self.vms.add(f"{STANDBY}-{number}", STANDBY, "r9")
        self.wave_registry = WaveRegistry(lambda name: f"state/{name}", lambda name, done: b"")
        self.planner = VmPlanner(
            self._make_context(), self.vms, self.wave_registry, "entry-1", 1, lambda: 0.0
        )

    def _make_context(self) -> DaemonContext:
        pools = {name: PoolConfig(name) for name in self.load.initial_vms} | {
            STANDBY: PoolConfig(STANDBY, True)
        }
        context = DaemonContext(
            MemoryStore(self.clock),
            BatchKeys("lp/"),
            None,
            self.clock,
            EventLog("entry-1", os.open(os.devnull, os.O_WRONLY)),
            Timing(holder_lease=0.0, vm_orders_per_second=self.load.orders_per_second),
            self.tasks,
            self.clock.now,
        )
        context.config = BatchConfig(1, {}, pools)
        return context

    async def run(self) -> FleetResult:
        self.planner.demand_history.homes = dict(self.load.initial_vms)
        await self._claim()
        self.tasks.start_soon(self.planner.run)
        started_at, reported_at = self.clock.now(), 0.0
        load_seconds = len(self.load.order) * (self.load.peak_seconds + self.load.gap_seconds)
        while (now := self.clock.now()) < started_at + LEAD_SECONDS + load_seconds + FINISH_SECONDS:
            elapsed = now - started_at - LEAD_SECONDS
            self._update_wave(elapsed)
            for pool in self.pools.values():
                self._tick(pool, elapsed, now)
            if now - reported_at >= REPORT_INTERVAL_SECONDS:
                reported_at = now
                for pool in self.pools.values():
                    plan = self.planner.handle_report(self._report(pool, now))
                    pool.cordoned = set(plan.cordoned_workers)
            await anyio.sleep(TICK_SECONDS)
        self.result.moves = self.vms.moves
        self.result.most_down = self.vms.most_down
        return self.result

    async def _claim(self) -> None:
        context = self.planner.context
        claim = await context.store.commit([], [Put(context.keys.owner(PLANNER), b"")])
        self.planner.intents.claim = Compare(context.keys.owner(PLANNER), claim.revision)

    def _update_wave(self, elapsed: float) -> None:
        wave = self.load.wave
        if wave is None or elapsed < self.load.wave_at:
            return
        self.wave_registry.waves.setdefault(wave.name, wave)
        maintained_vms = self.vms.maintained_vms.get(wave.name, set())
        if self.result.wave_seconds == math.inf and maintained_vms.issuperset(wave.vms):
            self.result.wave_seconds = elapsed - self.load.wave_at

    def _rate(self, pool: _Pool, elapsed: float) -> float:
        """Return the number of tasks submitted per second."""
        initial_vms, load = self.load.initial_vms[pool.name], self.load
        turn, offset = divmod(elapsed, load.peak_seconds + load.gap_seconds)
        at_peak = (
            0 <= turn < len(load.order)
            and load.order[int(turn)] == pool.name
            and offset < load.peak_seconds
        )
        demand = 0.0 if elapsed < 0 else load.off_peak
        if at_peak:
            ramp = min(
                1.0, offset / load.rise_seconds, (load.peak_seconds - offset) / load.rise_seconds
            )
            demand = max(demand, load.peak * ramp)
        return demand * initial_vms * SLOTS / load.run_seconds

    def _tick(self, pool: _Pool, elapsed: float, now: float) -> None:
        up = {
            vm.worker_id
            for vm in self.vms.vms.values()
            if vm.pool == pool.name and vm.phase is Phase.UP
        }
        for worker in [worker for worker in pool.runs if worker not in up]:
            self.result.lost += pool.runs.pop(worker)
            del pool.ready_at[worker]
        for worker in up:
            if worker not in pool.runs:
                pool.runs[worker] = 0
                pool.ready_at[worker] = now + (JOIN_SECONDS if elapsed > -LEAD_SECONDS + 1 else 0.0)
        while pool.running and pool.running[0][0] <= now:
            _, worker = heapq.heappop(pool.running)
            if worker in pool.runs:
                pool.runs[worker] -= 1
        rate = self._rate(pool, elapsed)
        for _ in range(self._draw_poisson(rate * TICK_SECONDS)):
            pool.waiting.append(now)
            self.result.submitted += 1
            work = self.load.run_seconds * TASK_CORES
            pool.arriving.note(now, str(self.result.submitted), work, SLACK_SECONDS)
        self._start_tasks(pool, now)
        self.result.pool_seconds += len(up) * TICK_SECONDS
        self.result.vms[pool.name].append(sum(1 for worker in up if pool.ready_at[worker] <= now))
        self.result.required_vms[pool.name].append(rate * self.load.run_seconds / SLOTS)

    def _draw_poisson(self, mean: float) -> int:
        count, total = 0, self.rng.expovariate(1.0)
        while total < mean:
            count += 1
            total += self.rng.expovariate(1.0)
        return count

    def _start_tasks(self, pool: _Pool, now: float) -> None:
        free_workers = sorted(
            (
                worker
                for worker, runs in pool.runs.items()
                if runs < SLOTS and worker not in pool.cordoned and pool.ready_at[worker] <= now
            ),
            key=lambda worker: (-pool.runs[worker], worker),
        )
        for worker in free_workers:
            while pool.waiting and pool.runs[worker] < SLOTS:
                submitted_at = pool.waiting.popleft()
                pool.runs[worker] += 1
                seconds = self.load.run_seconds * self.rng.uniform(0.6, 1.4)
                heapq.heappush(pool.running, (now + seconds, worker))
                self.result.in_time += now - submitted_at <= SLACK_SECONDS

    def _report(self, pool: _Pool, now: float) -> pb.PoolReport:
        return pb.PoolReport(
            pool=pool.name,
            token=1,
            workers=[
                pb.WorkerReport(
                    vm=worker.rpartition("-")[0],
                    worker=worker,
                    timed_runs=runs,
                    cordoned=worker in pool.cordoned,
                )
                for worker, runs in pool.runs.items()
            ],
            waiting_core_seconds=len(pool.waiting) * TASK_CORES * self.load.run_seconds,
            ready_cores=len(pool.waiting) * TASK_CORES,
            running_cores=sum(pool.runs.values()) * TASK_CORES,
            arriving_cores=pool.arriving.cores(now),
        )


def simulate_fleet(load: FleetLoad, seed: int = 1) -> FleetResult:
    """Simulate a load; return its outcome."""

    async def run():
        async with anyio.create_task_group() as tasks:
            result = await _Simulation(tasks, load, seed).run()
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(run)
