"""A fleet of hundreds of VMs whose pools peak in turn, played with the planner alone.

The load is that of the users' large sheet: four pools of 50 to 66 VMs and 45 in a pool that is off;
each pool peaks for about eight seconds at some five times its mean, which takes about a hundred
VMs. Tasks stand for the pools' owners: they fill the VMs that are there, wait, and end.
"""

from __future__ import annotations

import heapq
import math
import os
import random
from collections import deque

import anyio
import attrs

from ...batch import Amount, BatchConfig, PoolRule
from ...batch.keys import BatchKeys
from ...fleet.vms import Phase, WaveOrder
from ...peer import batch_pb2 as pb
from ...scheduling.arrivals import ArrivalEstimator
from ...standin.virtual import VirtualClock, run_virtual
from ...standin.vms import MemoryVms
from ...standin.workers import MemoryWorkers
from ...store import Compare, MemoryStore, Put
from ...telemetry import EventLog
from .. import Around, Timing, WaveBoard
from ..directory import PLANNER
from ..planner import FleetPlanning

__all__ = ["FleetLoad", "FleetPlay", "play_fleet"]

CAPACITY = Amount(16_000, 64_000)
#: tasks that fill a VM
SLOTS = 4
TASK_CORES = CAPACITY.cpu_millicores / 1000 / SLOTS
OFF = "off"
#: time between two looks of the player and between two reports of a pool, in seconds
TICK_SECONDS = 0.05
REPORT_SECONDS = 0.1
#: time that an owner takes to use a worker that joined, in seconds
JOIN_SECONDS = 0.45
#: time that a task may wait and still be in time, in seconds
SLACK_SECONDS = 1.2
#: time that the planner has before the load begins, and after it, in seconds
LEAD_SECONDS, FINISH_SECONDS = 8.0, 4.0


@attrs.frozen
class FleetLoad:
    """Pools, and what is asked of them.

    :param homes: VMs of each pool
    :param off: VMs of the pool that is off
    :param peak: VMs' worth of tasks that a pool asks for at its peak, by its home
    :param quiet: the same between peaks
    :param order: pools in the order in which they peak
    :param length: length of a peak, in seconds
    :param gap: time between two peaks, in seconds
    :param rise: time in which a peak rises, and falls, in seconds
    :param run_seconds: run time of a task
    :param orders_per_second: orders that the platform takes
    :param order_seconds: time until an order is answered
    """

    homes: dict[str, int] = attrs.field(factory=lambda: {"a": 50, "b": 55, "c": 60, "d": 66})
    off: int = 45
    peak: float = 1.7
    quiet: float = 0.03
    order: str = "abcd"
    length: float = 8.0
    gap: float = 0.8
    rise: float = 0.01
    run_seconds: float = 0.9
    orders_per_second: float = 310.0
    order_seconds: float = 0.03
    wave: WaveOrder | None = None
    wave_at: float = 3.0


@attrs.define
class FleetPlay:
    """What became of a load.

    :param asked: tasks that were handed in
    :param in_time: those that began in time
    :param lost: tasks that a move or maintenance ended
    :param moves: moves that were ordered
    :param pool_seconds: seconds of VMs in pools that are on
    :param vms: VMs that took tasks, by tick, for each pool
    :param wanted: VMs that were worth having, likewise
    :param most_down: most VMs that were down for the wave at once
    :param wave_seconds: time until the wave was through, infinite if it was not
    """

    asked: int = 0
    in_time: int = 0
    lost: int = 0
    moves: int = 0
    pool_seconds: float = 0.0
    vms: dict[str, list[int]] = attrs.field(factory=dict)
    wanted: dict[str, list[float]] = attrs.field(factory=dict)
    most_down: int = 0
    wave_seconds: float = math.inf

    @property
    def served(self) -> float:
        """Return the part of the tasks that began in time and was not lost."""
        return (self.in_time - self.lost) / max(1, self.asked)

    def ramp_seconds(self, pool: str, begin: float, part: float = 0.9) -> float:
        """Return how long after a time a pool had a part of the VMs that it wanted.

        :param begin: begin of its peak, in seconds from the begin of the load
        """
        first = round((LEAD_SECONDS + begin) / TICK_SECONDS)
        most = max(self.wanted[pool][first:])
        for tick in range(first, len(self.vms[pool])):
            if self.vms[pool][tick] >= part * most:
                return (tick - first) * TICK_SECONDS
        return math.inf


class _Pool:
    """Tasks of a pool: those that wait, and those that run on each worker."""

    def __init__(self, name: str):
        self.name = name
        self.waiting: deque[float] = deque()
        self.begun: list[tuple[float, str]] = []
        self.runs: dict[str, int] = {}
        self.ready_at: dict[str, float] = {}
        self.cordoned: set[str] = set()
        self.arriving = ArrivalEstimator()


class _Player:
    def __init__(self, tasks, load: FleetLoad, seed: int):
        self.tasks = tasks
        self.load = load
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.result = FleetPlay()
        self.pools = {name: _Pool(name) for name in load.homes}
        self.result.vms = {name: [] for name in load.homes}
        self.result.wanted = {name: [] for name in load.homes}
        self.vms = MemoryVms(
            tasks,
            self.clock,
            MemoryWorkers(),
            lambda order: None,
            frozenset({OFF}),
            CAPACITY,
            lambda listed: None,
            order_seconds=load.order_seconds,
        )
        for name, count in load.homes.items():
            for number in range(count):
                self.vms.add(f"{name}-{number}", name, f"r{number % 5}")
        for number in range(load.off):
            self.vms.add(f"{OFF}-{number}", OFF, "r9")
        self.board = WaveBoard(lambda name: f"state/{name}", lambda name, done: b"")
        self.planning = FleetPlanning(
            self._around(), self.vms, self.board, "entry-1", 1, lambda: 0.0
        )

    def _around(self) -> Around:
        pools = {name: PoolRule(name) for name in self.load.homes} | {OFF: PoolRule(OFF, True)}
        around = Around(
            MemoryStore(self.clock),
            BatchKeys("lp/"),
            None,
            self.clock,
            EventLog("entry-1", os.open(os.devnull, os.O_WRONLY)),
            Timing(holder_lease=0.0, vm_orders_per_second=self.load.orders_per_second),
            self.tasks,
            self.clock.now,
        )
        around.config = BatchConfig(1, {}, pools)
        return around

    async def play(self) -> FleetPlay:
        self.planning.memory.homes = dict(self.load.homes)
        await self._claim()
        self.tasks.start_soon(self.planning.run)
        begun, reported = self.clock.now(), 0.0
        rounds = len(self.load.order) * (self.load.length + self.load.gap)
        while (now := self.clock.now()) < begun + LEAD_SECONDS + rounds + FINISH_SECONDS:
            since = now - begun - LEAD_SECONDS
            self._follow_wave(since)
            for pool in self.pools.values():
                self._tick(pool, since, now)
            if now - reported >= REPORT_SECONDS:
                reported = now
                for pool in self.pools.values():
                    plan = self.planning.take_report(self._report(pool, now))
                    pool.cordoned = set(plan.cordoned_workers)
            await anyio.sleep(TICK_SECONDS)
        self.result.moves = self.vms.moves
        self.result.most_down = self.vms.most_down
        return self.result

    async def _claim(self) -> None:
        around = self.planning.around
        claimed = await around.store.commit([], [Put(around.keys.owner(PLANNER), b"")])
        self.planning.intents.claim = Compare(around.keys.owner(PLANNER), claimed.revision)

    def _follow_wave(self, since: float) -> None:
        wave = self.load.wave
        if wave is None or since < self.load.wave_at:
            return
        self.board.waves.setdefault(wave.name, wave)
        begun = self.vms.maintained.get(wave.name, set())
        if self.result.wave_seconds == math.inf and begun.issuperset(wave.vms):
            self.result.wave_seconds = since - self.load.wave_at

    def _rate(self, pool: _Pool, since: float) -> float:
        """Return the tasks a second that are handed in."""
        home, load = self.load.homes[pool.name], self.load
        turn, into = divmod(since, load.length + load.gap)
        peaks = (
            0 <= turn < len(load.order)
            and load.order[int(turn)] == pool.name
            and into < load.length
        )
        share = 0.0 if since < 0 else load.quiet
        if peaks:
            slope = min(1.0, into / load.rise, (load.length - into) / load.rise)
            share = max(share, load.peak * slope)
        return share * home * SLOTS / load.run_seconds

    def _tick(self, pool: _Pool, since: float, now: float) -> None:
        on = {
            vm.worker_id
            for vm in self.vms.vms.values()
            if vm.pool == pool.name and vm.phase is Phase.UP
        }
        for worker in [worker for worker in pool.runs if worker not in on]:
            self.result.lost += pool.runs.pop(worker)
            del pool.ready_at[worker]
        for worker in on:
            if worker not in pool.runs:
                pool.runs[worker] = 0
                pool.ready_at[worker] = now + (JOIN_SECONDS if since > -LEAD_SECONDS + 1 else 0.0)
        while pool.begun and pool.begun[0][0] <= now:
            _, worker = heapq.heappop(pool.begun)
            if worker in pool.runs:
                pool.runs[worker] -= 1
        rate = self._rate(pool, since)
        for _ in range(self._draw(rate * TICK_SECONDS)):
            pool.waiting.append(now)
            self.result.asked += 1
            work = self.load.run_seconds * TASK_CORES
            pool.arriving.note(now, str(self.result.asked), work, SLACK_SECONDS)
        self._start(pool, now)
        self.result.pool_seconds += len(on) * TICK_SECONDS
        self.result.vms[pool.name].append(sum(1 for worker in on if pool.ready_at[worker] <= now))
        self.result.wanted[pool.name].append(rate * self.load.run_seconds / SLOTS)

    def _draw(self, mean: float) -> int:
        count, left = 0, self.rng.expovariate(1.0)
        while left < mean:
            count += 1
            left += self.rng.expovariate(1.0)
        return count

    def _start(self, pool: _Pool, now: float) -> None:
        open_workers = sorted(
            (
                worker
                for worker, runs in pool.runs.items()
                if runs < SLOTS and worker not in pool.cordoned and pool.ready_at[worker] <= now
            ),
            key=lambda worker: (-pool.runs[worker], worker),
        )
        for worker in open_workers:
            while pool.waiting and pool.runs[worker] < SLOTS:
                asked_at = pool.waiting.popleft()
                pool.runs[worker] += 1
                seconds = self.load.run_seconds * self.rng.uniform(0.6, 1.4)
                heapq.heappush(pool.begun, (now + seconds, worker))
                self.result.in_time += now - asked_at <= SLACK_SECONDS

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


def play_fleet(load: FleetLoad, seed: int = 1) -> FleetPlay:
    """Return what became of a load."""

    async def run():
        async with anyio.create_task_group() as tasks:
            result = await _Player(tasks, load, seed).play()
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(run)
