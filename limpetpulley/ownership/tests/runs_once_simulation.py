"""Random simulation of daemons, workers and faults that judges whether a task ran twice.

Run ``python -m limpetpulley.ownership.tests.runs_once_simulation --help`` for long hunts.
"""

from __future__ import annotations

import argparse
import os
import random
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import attrs

from ...batch import (
    Amount,
    BatchConfig,
    EndKind,
    JobSpec,
    JobState,
    PoolConfig,
    QueueConfig,
    Step,
    TaskId,
    TeamConfig,
)
from ...exception import StoreError, StoreUnavailable
from ...fleet.vms import WaveOrder
from ...standin.batchfleet import BatchFleet
from ...standin.run_monitor import Finding, RunMonitor
from ...standin.store import STORE_HOST
from ...standin.virtual import VirtualClock, run_virtual
from ...standin.workers import OrderFaults, RunPlan
from ...telemetry import EventLog
from ...workers import ListedWorker
from .. import Outcome, Submission

__all__ = ["FAULTS", "Result", "RunsOnceSimulation", "simulate"]

POOLS = ("desk", "tour", "film")
DAEMONS = ("entry-0", "entry-1", "entry-2", "entry-3")
VMS_PER_POOL = 4
SPARE_VMS = 3
CAPACITY = Amount(4000, 8000)
TASK = Amount(1000, 1000)
MAX_ATTEMPTS = 4
#: share of the runs that fail
FAILING_SHARE = 0.03
CALLER_DEADLINE_SECONDS = 4.0
#: length of a pool's peak, and the mean interval between two jobs at the peak and beside it
PEAK_SECONDS = 6.0
PEAK_INTERVAL_SECONDS = 0.25
OFF_PEAK_INTERVAL_SECONDS = 1.5
#: time without faults at the start and after the last fault, in seconds
CALM_SECONDS = 2.0
#: time for which late orders and acknowledgements are still watched at the end, in seconds
SETTLE_SECONDS = 14.0
LIST_LAG_SECONDS = 0.8
#: time after which the entry of a worker that the store does not hear of expires, in seconds
ENTRY_SECONDS = 1.2
MIN_CLOCK_RATE = 0.98
#: longest time for a step of the fault `restarts-before-handovers`, in seconds
HANDOVER_STEP_SECONDS = 4.0
#: tasks that outlast a requested lease, and their run time, in seconds
LONG_TASKS, LONG_SECONDS = 8, 9.0
#: time for which a worker that is cut off after a handover stays so, in seconds
CUT_SECONDS = 9.0
#: time around a disturbance within which anything is near it, in seconds
NEAR_SECONDS = 2.0
NULL_DESCRIPTOR = os.open(os.devnull, os.O_WRONLY)


def make_config() -> BatchConfig:
    """Return a configuration of one queue for each pool."""
    queues = {
        pool: QueueConfig(
            pool,
            "host",
            f"/{pool}/",
            pool,
            max_attempts=MAX_ATTEMPTS,
            stretch=6.0,
            latency_target_seconds=8.0,
            timeout_seconds=CALLER_DEADLINE_SECONDS,
        )
        for pool in POOLS
    }
    pools = {pool: PoolConfig(pool) for pool in POOLS} | {"off": PoolConfig("off", standby=True)}
    return BatchConfig(1, queues, pools, {"agents": TeamConfig("agents")})


def make_job(rng: random.Random) -> JobSpec:
    """Return a random job; its payload lists the run times of its steps, in seconds."""
    if rng.random() < 0.05:
        return JobSpec("lasts", (Step(rng.choice((1, 2)), TASK, lasting=True, may_miss=1),))
    seconds = [round(rng.uniform(0.3, 2.0), 2) for _ in range(rng.choice((1, 1, 2, 2)))]
    speculative = rng.random() < 0.1
    steps = tuple(
        Step(
            rng.choice((1, 2, 3, 5)),
            TASK,
            duration,
            after=(number - 1,) if number else (),
            speculative=speculative,
        )
        for number, duration in enumerate(seconds)
    )
    return JobSpec(",".join(map(str, seconds)), steps)


class _VirtualLog(EventLog):
    """A log of all lines, with the virtual time."""

    def __init__(self, source: str, descriptor: int, clock: VirtualClock):
        super().__init__(source, descriptor)
        self.clock = clock

    def write(self, event: str, **fields: Any) -> None:
        """Buffer one line."""
        time = round(self.clock.now(), 3)
        self._append({"time": time, "event": event, "at": self.source, **fields})


@attrs.frozen
class Result:
    """Result of one simulation.

    :param starts: number of runs that workers started
    :param states: number of accepted jobs by their last known state
    """

    findings: tuple[Finding, ...]
    starts: int
    states: Counter[str]
    faults: Counter[str]


class RunsOnceSimulation:
    """Daemons, workers, callers and faults of one simulation.

    :param seconds: time for which jobs are submitted and faults injected, in seconds
    :param faults: names of the kinds of faults, see :data:`FAULTS`
    :param pause_factor: factor of the times between two faults of a kind
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        seed: int,
        seconds: float,
        faults: tuple[str, ...],
        log_descriptor: int | None = None,
        pause_factor: float = 1.0,
    ):
        self.tasks = tasks
        self.pause_factor = pause_factor
        self.seed = seed
        self.seconds = seconds
        self.kinds = faults
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.fleet = BatchFleet(tasks, self.clock, make_config(), CAPACITY, seed, log_descriptor)
        self.fleet.make_log = self._make_log
        self.specs: dict[str, JobSpec] = {}
        self.accepted: dict[str, QueueConfig] = {}
        self.states: dict[str, JobState | None] = {}
        self.fault_counts: Counter[str] = Counter()
        # Start and end of each disturbance, without an end while it lasts.
        self.disturbances: list[list[float]] = []
        self.monitor = RunMonitor(self.clock, self._is_judged, self._may_have_copies, self._is_calm)
        self.order_faults = OrderFaults(tasks, random.Random(seed + 1))
        vms = self.fleet.vms
        self.fleet.workers.observer = self.monitor
        self.fleet.workers.faults = self.order_faults
        vms.plan_run = self._plan_run
        vms.make_worker_clock = self._make_worker_clock
        for number in range(VMS_PER_POOL):
            for pool in POOLS:
                vms.add(f"{pool}-{number}", pool, f"r{number % 2}")
        for number in range(SPARE_VMS):
            vms.add(f"off-{number}", "off", "r0")

    async def run(self) -> Result:
        """Run the simulation; return its result."""
        for name in DAEMONS:
            self.fleet.start_daemon(name)
        while not all(self.fleet.owner_of(pool) for pool in POOLS):
            await anyio.sleep(0.1)
        self.tasks.start_soon(self._poll_states)
        async with anyio.create_task_group() as tasks:
            for number, pool in enumerate(POOLS):
                tasks.start_soon(self._submit_jobs, pool, number)
            for kind in self.kinds:
                rng = random.Random(f"{self.seed} {kind}")
                tasks.start_soon(self._inject, kind, FAULTS[kind], rng)
        await anyio.sleep(SETTLE_SECONDS)
        # Ends that have not been asked for since are taken in for the last judgement.
        return Result(
            tuple(self.monitor.findings),
            self.monitor.starts,
            Counter(str(state) for state in self.states.values()),
            self.fault_counts,
        )

    async def _submit_jobs(self, pool: str, number: int) -> None:
        rng = random.Random(f"{self.seed}{pool}")
        started_at = self.clock.now()
        while (elapsed := self.clock.now() - started_at) < self.seconds:
            peak = int(elapsed / PEAK_SECONDS) % len(POOLS) == number
            mean = PEAK_INTERVAL_SECONDS if peak else OFF_PEAK_INTERVAL_SECONDS
            await anyio.sleep(rng.expovariate(1 / mean))
            job_id = f"{len(self.specs) + 1:016x}"
            self.specs[job_id] = make_job(rng)
            self.tasks.start_soon(self._submit, pool, job_id, rng)

    async def _submit(self, pool: str, job_id: str, rng: random.Random) -> None:
        queue, submitted_at = self.fleet.config.queues[pool], self.clock.now()
        while (elapsed := self.clock.now() - submitted_at) < CALLER_DEADLINE_SECONDS:
            name = self._choose_daemon(rng)
            if name is None:
                await anyio.sleep(0.2)
                continue
            service = self.fleet.daemons[name].node.service
            submission = Submission(queue, job_id, self.specs[job_id], "agents", elapsed)
            reply = await service.submit(submission, CALLER_DEADLINE_SECONDS - elapsed)
            if reply.outcome is Outcome.ACCEPTED:
                self.accepted[job_id] = queue
                return
            await anyio.sleep(0.5)

    async def _poll_states(self) -> None:
        rng = random.Random(self.seed + 2)
        while True:
            await anyio.sleep(0.5)
            for job_id, queue in list(self.accepted.items()):
                name = self._choose_daemon(rng)
                if name is not None and self.states.get(job_id) is not JobState.COMPLETED:
                    self.tasks.start_soon(self._poll_state, name, job_id, queue)

    async def _poll_state(self, name: str, job_id: str, queue: QueueConfig) -> None:
        try:
            state = await self.fleet.daemons[name].node.service.find(queue, job_id, 1.0)
        except (StoreUnavailable, StoreError, KeyError):
            return
        self.states[job_id] = state
        if state is JobState.COMPLETED:
            self.monitor.show_completed(job_id)

    async def _inject(
        self,
        kind: str,
        fault: Callable[[RunsOnceSimulation, random.Random], Awaitable[None]],
        rng: random.Random,
    ) -> None:
        until = self.clock.now() + self.seconds - CALM_SECONDS
        await anyio.sleep(CALM_SECONDS)
        while True:
            pause_seconds = rng.choice((0.3, 1.0, 2.0, 4.0, 8.0)) * rng.uniform(0.5, 1.5)
            await anyio.sleep(pause_seconds * self.pause_factor)
            if self.clock.now() >= until:
                return
            self.fault_counts[kind] += 1
            span = [self.clock.now(), float("inf")]
            if kind not in PLANNED_FAULTS:
                self.disturbances.append(span)
            await fault(self, rng)
            span[1] = self.clock.now()

    def _is_calm(self, at: float) -> bool:
        return not any(
            started_at - NEAR_SECONDS <= at <= ended_at + NEAR_SECONDS
            for started_at, ended_at in self.disturbances
        )

    def _choose_daemon(self, rng: random.Random) -> str | None:
        """Return a daemon that runs, or None."""
        names = [name for name in self.fleet.daemons if name not in self.fleet.paused]
        return rng.choice(names) if names else None

    def submit_long_job(self, pool: str, rng: random.Random) -> None:
        """Submit a job to a pool whose tasks outlast a requested lease."""
        job_id = f"{len(self.specs) + 1:016x}"
        steps = (Step(LONG_TASKS, TASK, LONG_SECONDS),)
        self.specs[job_id] = JobSpec(str(LONG_SECONDS), steps)
        self.tasks.start_soon(self._submit, pool, job_id, rng)

    async def wait_for_call(self, kind: str, is_awaited: Callable[[str], bool]) -> str | None:
        """Return the worker of the next call of a kind before it is sent, None if none follows.

        :param kind: `start` or `hold`
        :param is_awaited: returns whether to wait for a call to a worker
        """
        workers, found = self.fleet.workers, anyio.Event()
        names: list[str] = []
        send = getattr(workers, kind)

        async def observe(listed: ListedWorker, *args: Any) -> Any:
            if not names and is_awaited(listed.worker_id):
                names.append(listed.worker_id)
                found.set()
                await anyio.sleep(0.0)
            return await send(listed, *args)

        setattr(workers, kind, observe)
        with anyio.move_on_after(HANDOVER_STEP_SECONDS):
            await found.wait()
        setattr(workers, kind, send)
        return names[0] if names else None

    def choose_workers(self, rng: random.Random, share: float = 0.2) -> list[str]:
        """Return some of the workers that are up."""
        return [name for name in sorted(self.fleet.workers.workers) if rng.random() < share]

    def _step(self, task: TaskId) -> Step:
        return self.specs[task.job_id].steps[task.step]

    def _is_judged(self, task: TaskId) -> bool:
        return not self._step(task).lasting

    def _may_have_copies(self, task: TaskId) -> bool:
        return self._step(task).speculative

    def _plan_run(self, order) -> RunPlan:
        if order.payload == "lasts":
            return RunPlan(float("inf"), need=TASK)
        seconds = float(order.payload.split(",")[order.task.step])
        rng = random.Random(f"{self.seed}{order.task}{order.number}")
        failing = rng.random() < FAILING_SHARE
        return RunPlan(
            seconds * rng.uniform(0.7, 1.6), EndKind.FAILED if failing else EndKind.DONE, TASK
        )

    def _make_log(self, name: str) -> EventLog:
        return _VirtualLog(name, self.fleet.log_descriptor or NULL_DESCRIPTOR, self.clock)

    def _make_worker_clock(self) -> VirtualClock:
        return VirtualClock(self.rng.choice((1.0, 1.0, MIN_CLOCK_RATE)))


# Faults: each function injects one and returns when it is over.


async def _lose_daemon(play: RunsOnceSimulation, rng: random.Random) -> None:
    """Kill or stop a daemon, at times all of them, and start it again."""
    fleet = play.fleet
    names = [name for name in fleet.daemons if name not in fleet.paused]
    if not names:
        return
    if rng.random() < 0.15:
        for name in names:
            fleet.kill(name)
        await anyio.sleep(rng.choice((0.2, 1.0, 2.5)))
        for name in names:
            fleet.start_daemon(name)
            await anyio.sleep(rng.uniform(0.0, 0.1))
        return
    owners = sorted({name for name in map(fleet.owner_of, POOLS) if name in names})
    name = rng.choice(owners or names)
    if rng.random() < 0.5:
        fleet.kill(name)
    else:
        await fleet.leave(name)
    await anyio.sleep(rng.choice((0.1, 0.5, 2.0, 4.0)))
    fleet.start_daemon(name)


async def _silence_store(play: RunsOnceSimulation, rng: random.Random) -> None:
    """Let the store be silent for all daemons or for some of them."""
    fleet = play.fleet
    seconds = rng.choice((0.4, 1.0, 2.0, 4.5, 8.0))
    if rng.random() < 0.5:
        fleet.faults.outage = True
        fleet.faults.dead_watches = rng.random() < 0.5
        await anyio.sleep(seconds)
        fleet.faults.outage = fleet.faults.dead_watches = False
        return
    pairs = {frozenset((name, STORE_HOST)) for name in rng.sample(DAEMONS, rng.choice((1, 2)))}
    fleet.network.cut_pairs |= pairs
    await anyio.sleep(seconds)
    fleet.network.cut_pairs -= pairs


async def _slow_store(play: RunsOnceSimulation, rng: random.Random) -> None:
    """Slow the store down."""
    play.fleet.faults.slow_seconds = rng.choice((0.05, 0.15, 0.4))
    await anyio.sleep(rng.uniform(1.0, 4.0))
    play.fleet.faults.slow_seconds = 0.0


async def _lose_answers(play: RunsOnceSimulation, rng: random.Random) -> None:
    """Carry some writes out at once without an answer."""
    play.fleet.faults.lose_answers = rng.choice((1, 2, 5, 10))
    await anyio.sleep(rng.uniform(0.5, 3.0))
    play.fleet.faults.lose_answers = 0


async def _delay_writes(play: RunsOnceSimulation, rng: random.Random) -> None:
    """Carry some writes out late, without an answer."""
    play.fleet.faults.late_write_share = rng.choice((0.2, 0.5, 1.0))
    await anyio.sleep(rng.choice((0.3, 1.0, 3.0)))
    play.fleet.faults.late_write_share = 0.0


async def _delay_orders(play: RunsOnceSimulation, rng: random.Random) -> None:
    """Carry some orders to workers out late, without an answer."""
    play.order_faults.late_share = rng.choice((0.1, 0.3, 0.6))
    await anyio.sleep(rng.choice((0.3, 1.0, 3.0)))
    play.order_faults.late_share = 0.0


async def _lose_replies(play: RunsOnceSimulation, rng: random.Random) -> None:
    """Lose some replies of workers."""
    play.order_faults.lost_reply_share = rng.choice((0.1, 0.3, 0.6))
    await anyio.sleep(rng.choice((0.3, 1.0, 3.0)))
    play.order_faults.lost_reply_share = 0.0


async def _silence_workers(play: RunsOnceSimulation, rng: random.Random) -> None:
    """Cut some workers off, both ways or only their replies; their entries may expire."""
    names = play.choose_workers(rng, rng.choice((0.1, 0.3, 1.0)))
    faults = play.order_faults
    silenced = faults.mute if rng.random() < 0.5 else faults.unreachable
    silenced.update(names)
    seconds, expire = rng.choice((0.5, 1.5, 3.0, 6.0)), rng.random() < 0.5
    if expire and seconds > ENTRY_SECONDS:
        await anyio.sleep(ENTRY_SECONDS)
        for name in names:
            play.fleet.vms.hide(name)
        seconds -= ENTRY_SECONDS
    await anyio.sleep(seconds)
    silenced.difference_update(names)
    for name in names:
        play.fleet.vms.show(name)


async def _partition(play: RunsOnceSimulation, rng: random.Random) -> None:
    """Cut some daemons and workers off from the others and from the store."""
    daemons = rng.sample(DAEMONS, rng.choice((1, 1, 2)))
    workers = play.choose_workers(rng, rng.choice((0.3, 0.5)))
    restore = play.fleet.partition(daemons, workers, play.order_faults)
    await anyio.sleep(rng.choice((1.0, 3.0, 6.0, 9.0, 14.0)) * rng.uniform(0.8, 1.2))
    restore()


async def _crash_workers(play: RunsOnceSimulation, rng: random.Random) -> None:
    """Crash some workers, which come back with another identifier."""
    for name in play.choose_workers(rng, rng.choice((0.1, 0.3))):
        play.fleet.vms.crash(name, rng.uniform(0.3, 3.0), rng.choice((0.0, 1.0, 2.0)))
    await anyio.sleep(rng.uniform(0.5, 2.0))


async def _restart_workers(play: RunsOnceSimulation, rng: random.Random) -> None:
    """Crash some workers, which come back under their identifier."""
    for name in play.choose_workers(rng, rng.choice((0.1, 0.3))):
        down_seconds = rng.choice((0.02, 0.2, 0.6, 1.2, 2.5))
        play.fleet.vms.crash(name, down_seconds, rng.choice((0.0, 1.0, 3.0)), True)
    await anyio.sleep(rng.uniform(0.5, 2.0))


async def _restart_before_handover(play: RunsOnceSimulation, rng: random.Random) -> None:
    """Restart a worker right before a call to it, end its owner, and cut it off from the next one.

    Its connections go silent, and its entry tells of the restart a moment later.
    """
    fleet, workers = play.fleet, play.fleet.workers
    pool = rng.choice(POOLS)
    owner = fleet.owner_of(pool)
    if owner is None or owner in fleet.paused:
        return

    def is_in_pool(name: str) -> bool:
        return name in workers.workers and workers.workers[name].listed.pool == pool

    play.submit_long_job(pool, rng)
    name = await play.wait_for_call(rng.choice(("start", "start", "hold")), is_in_pool)
    if name is None:
        return
    is_audible = name not in play.order_faults.mute
    play.order_faults.mute.add(name)
    fleet.vms.restart(name, rng.choice((0.02, 0.1, 0.4)))
    await anyio.sleep(rng.choice((0.0, 0.002, 0.01)))
    if is_audible:
        play.order_faults.mute.discard(name)
    await anyio.sleep(rng.choice((0.1, 0.3, 0.6, 1.5)))
    if owner in fleet.daemons and owner not in fleet.paused:
        if rng.random() < 0.5:
            fleet.kill(owner)
        else:
            await fleet.leave(owner)
        play.submit_long_job(pool, rng)
        if await play.wait_for_call("start", lambda each: each == name) is not None:
            await anyio.sleep(rng.choice((0.02, 0.1, 0.3)))
            play.order_faults.unreachable.add(name)
            await anyio.sleep(CUT_SECONDS)
            play.order_faults.unreachable.discard(name)
        fleet.start_daemon(owner)


async def _expire_entries(play: RunsOnceSimulation, rng: random.Random) -> None:
    """Let entries of live workers expire for a while."""
    names = play.choose_workers(rng, rng.choice((0.2, 0.5, 1.0)))
    for name in names:
        play.fleet.vms.hide(name)
    await anyio.sleep(rng.choice((0.3, 1.0, 3.0, 6.0)))
    for name in names:
        play.fleet.vms.show(name)


async def _lag_lists(play: RunsOnceSimulation, rng: random.Random) -> None:
    """Let the list of VMs lag."""
    play.fleet.vms.choose_list_age = lambda: rng.uniform(0.0, LIST_LAG_SECONDS)
    await anyio.sleep(rng.uniform(2.0, 8.0))
    play.fleet.vms.choose_list_age = lambda: 0.0


async def _order_wave(play: RunsOnceSimulation, rng: random.Random) -> None:
    """Order the maintenance of some VMs."""
    vms = tuple(name for name in sorted(play.fleet.vms.vms) if rng.random() < 0.5)
    if vms:
        play.fleet.order_wave(WaveOrder(f"{play.clock.now():.3f}", vms, 20.0, 3))
    await anyio.sleep(rng.uniform(4.0, 10.0))


async def _drain_workers(play: RunsOnceSimulation, rng: random.Random) -> None:
    """Drain some workers on the platform's own account."""
    for name in play.choose_workers(rng, 0.15):
        if name in play.fleet.vms.listed_workers:
            play.fleet.vms.drain(name, rng.choice((1.0, 2.5, 4.0)), rng.uniform(0.5, 2.0))
    await anyio.sleep(rng.uniform(1.0, 3.0))


async def _pause_daemon(play: RunsOnceSimulation, rng: random.Random) -> None:
    """Pause a daemon, which goes on later as if nothing had happened."""
    names = [name for name in play.fleet.daemons if name not in play.fleet.paused]
    if not names:
        return
    name = rng.choice(names)
    play.fleet.pause(name)
    await anyio.sleep(rng.choice((0.3, 1.0, 2.0, 3.0)))
    play.fleet.resume(name)


FAULTS: dict[str, Callable[[RunsOnceSimulation, random.Random], Awaitable[None]]] = {
    "daemons": _lose_daemon,
    "store-silent": _silence_store,
    "store-slow": _slow_store,
    "answers-lost": _lose_answers,
    "late-writes": _delay_writes,
    "late-orders": _delay_orders,
    "replies-lost": _lose_replies,
    "workers-silent": _silence_workers,
    "partitions": _partition,
    "crashes": _crash_workers,
    "restarts": _restart_workers,
    "restarts-before-handovers": _restart_before_handover,
    "entries": _expire_entries,
    "list-lag": _lag_lists,
    "waves": _order_wave,
    "drains": _drain_workers,
    "pauses": _pause_daemon,
}


#: faults that are no disturbance: an end that is listed beside them must not be lost
PLANNED_FAULTS = ("list-lag", "waves", "drains")


def choose_faults(seed: int) -> tuple[str, ...]:
    """Return the kinds of faults of a seed: a few, many, or now and then none."""
    rng = random.Random(f"faults {seed}")
    count = rng.choice((0, 2, 3, 3, 4, 4, 5, 6, 8, len(FAULTS)))
    return tuple(sorted(rng.sample(sorted(FAULTS), count)))


def simulate(
    seed: int,
    seconds: float = 30.0,
    faults: tuple[str, ...] | None = None,
    log_descriptor: int | None = None,
    pause_factor: float = 1.0,
) -> Result:
    """Run one simulation on virtual time; the same arguments give the same result.

    :param seconds: time for which jobs are submitted and faults injected, in seconds
    :param faults: kinds of faults, None for those of the seed
    :param pause_factor: factor of the times between two faults of a kind
    """
    kinds = choose_faults(seed) if faults is None else tuple(sorted(faults))

    async def run() -> Result:
        async with anyio.create_task_group() as tasks:
            simulation = RunsOnceSimulation(
                tasks, seed, seconds, kinds, log_descriptor, pause_factor
            )
            result = await simulation.run()
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(run)


def main() -> None:
    """Run many seeds; print a line for each finding and a summary."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20, help="number of seeds")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seconds", type=float, default=30.0, help="time with load and faults")
    parser.add_argument("--faults", help=f"kinds of faults: {','.join(FAULTS)}, or none")
    parser.add_argument("--without", default="", help="kinds of faults to leave out")
    parser.add_argument("--pause-factor", type=float, default=1.0, help="of times between faults")
    parser.add_argument("--log", help="file for the daemons' log, for one seed")
    parser.add_argument("--verbose", action="store_true", help="print a line for each seed")
    args = parser.parse_args()
    faults = None
    if args.faults is not None:
        faults = tuple(kind for kind in args.faults.split(",") if kind not in ("", "none"))
    if os.environ.get("PYTHONHASHSEED") != "0":
        print("set PYTHONHASHSEED=0 for results that can be repeated", file=sys.stderr)
    descriptor = os.open(args.log, os.O_WRONLY | os.O_CREAT | os.O_TRUNC) if args.log else None
    failed: Counter[str] = Counter()
    for seed in range(args.first, args.first + args.seeds):
        chosen = choose_faults(seed) if faults is None else faults
        chosen = tuple(kind for kind in chosen if kind not in args.without.split(","))
        result = simulate(seed, args.seconds, chosen, descriptor, args.pause_factor)
        kinds = ",".join(chosen)
        for finding in result.findings:
            print(f"seed {seed} [{kinds}] {finding}", flush=True)
        failed.update({finding.verdict.value for finding in result.findings})
        failed["any"] += bool(result.findings)
        if args.verbose:
            print(
                f"seed {seed} [{kinds}] starts {result.starts} states {dict(result.states)}"
                f" faults {dict(result.faults)}",
                flush=True,
            )
    print(f"{args.seeds} seeds, with findings: {dict(failed)}")


if __name__ == "__main__":
    main()
