"""A load that peaks in turn, played through whole daemons on virtual time without a network.

The load is that of the sheets: a queue for each pool, jobs of one to three steps whose sizes differ
much, two teams, and a demand that rises to a multiple of its mean in one pool after the other.
Callers come back when they are told to, for as long as they have time.
"""

from __future__ import annotations

import math
import random

import anyio
import attrs

from ...batch import Amount, BatchConfig, JobSpec, JobState, PoolRule, QueueRule, Step, TeamRule
from ...scheduling.batch_admission import USEFUL_FACTOR
from ...standin.batchfleet import BatchFleet
from ...standin.virtual import VirtualClock, run_virtual
from ...standin.workers import TaskPlan
from .. import Outcome, Submission

__all__ = ["Load", "Told", "play_load", "served"]

POOLS = ("desk", "tour", "film")
TEAMS = ("agents", "guild")
CAPACITY = Amount(16_000, 32_000)
STRETCH = 2.5
TARGET_SECONDS = 1.5
CALLER_SECONDS = 3.0
WAVE_SHARE = 0.25
#: time that is left for what was accepted when the load ends, in seconds
FINISH_SECONDS = 8.0


@attrs.frozen
class Load:
    """How much is asked for, and when.

    :param quiet: jobs a second of a pool that is not at its peak
    :param peak: jobs a second at its peak
    :param turn: length of each pool's peak, in seconds
    :param turns: how often each pool peaks
    :param vms: VMs that each pool begins with
    :param spare: VMs in the pool that is off
    """

    quiet: float = 0.6
    peak: float = 7.0
    turn: float = 5.0
    turns: int = 1
    vms: int = 3
    spare: int = 4


@attrs.define
class Told:
    """What a caller was told about a job.

    :param asked_at: when it was first handed in, by time of day
    :param work: its core-seconds
    :param size: number of its tasks
    :param objective: longest time in which it should end, in seconds
    """

    pool: str
    team: str
    job_id: str
    asked_at: float
    work: float
    size: int
    objective: float
    accepted: bool = False
    refusals: int = 0
    state: JobState | None = None
    seconds: float = float("inf")

    @property
    def in_time(self) -> bool:
        """Return whether it was completed in time."""
        return self.state is JobState.COMPLETED and self.seconds <= self.objective

    @property
    def is_useful(self) -> bool:
        """Return whether it was completed while that was of use."""
        done = self.state is JobState.COMPLETED
        return done and self.seconds <= USEFUL_FACTOR * self.objective


def make_job(rng: random.Random) -> JobSpec:
    """Return a job: most are small, some are ten times as large."""
    steps = []
    for number in range(rng.choice((1, 1, 2, 3))):
        seconds = round(rng.uniform(0.25, 0.8), 2)
        count = max(1, round(rng.lognormvariate(1.2, 0.7)))
        cores = rng.choice((1, 1, 2, 4))
        after = (number - 1,) if number else ()
        need = Amount(1000 * cores, 1000 * cores)
        steps.append(Step(min(count, 24), need, seconds, after=after))
    return JobSpec(
        "/".join(f"{step.estimate_seconds}x{step.need.cpu_millicores}" for step in steps),
        tuple(steps),
    )


def plan_run(order) -> TaskPlan:
    """Decide what becomes of a run, by the part of the payload that is about its step."""
    seconds, millicores = order.payload.split("/")[order.task.step].split("x")
    need = Amount(int(millicores), int(millicores))
    return TaskPlan(float(seconds), need=need)


def make_config() -> BatchConfig:
    queues = {
        pool: QueueRule(
            pool,
            "host",
            f"/{pool}/",
            pool,
            max_attempts=3,
            stretch=STRETCH,
            latency_target_seconds=TARGET_SECONDS,
            timeout_seconds=CALLER_SECONDS,
        )
        for pool in POOLS
    }
    pools = {pool: PoolRule(pool) for pool in POOLS} | {"off": PoolRule("off", standby=True)}
    return BatchConfig(1, queues, pools, {team: TeamRule(team) for team in TEAMS})


class Player:
    """One play of a load."""

    def __init__(self, tasks, load: Load, seed: int, moves: bool):
        self.tasks = tasks
        self.load = load
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.fleet = BatchFleet(tasks, self.clock, make_config(), CAPACITY, seed)
        self.fleet.vms.plan = plan_run
        for pool in POOLS:
            for number in range(load.vms):
                self.fleet.vms.add(f"{pool}-{number}", pool, f"r{number % 2}")
        for number in range(load.spare if moves else 0):
            self.fleet.vms.add(f"off-{number}", "off", "r9")
        self.told: list[Told] = []

    async def play(self) -> list[Told]:
        """Play the load; return what each caller was told."""
        for number in range(3):
            self.fleet.start_daemon(f"entry-{number}")
        while not all(self.fleet.owner_of(pool) for pool in POOLS):
            await anyio.sleep(0.1)
        await anyio.sleep(4.0)
        for _ in range(self.load.turns):
            for peaking in POOLS:
                await self._turn(peaking)
        await anyio.sleep(FINISH_SECONDS)
        self._note_ends()
        return self.told

    async def _turn(self, peaking: str) -> None:
        until = self.clock.now() + self.load.turn
        async with anyio.create_task_group() as tasks:
            for pool in POOLS:
                rate = self.load.peak if pool == peaking else self.load.quiet
                tasks.start_soon(self._ask_often, pool, rate, until)

    async def _ask_often(self, pool: str, rate: float, until: float) -> None:
        while True:
            await anyio.sleep(self.rng.expovariate(rate))
            if self.clock.now() >= until:
                return
            spec = make_job(self.rng)
            told = Told(
                pool,
                self.rng.choice(TEAMS),
                f"{len(self.told) + 1:016x}",
                self.clock.now(),
                sum(
                    step.count * step.need.cpu_millicores / 1000 * step.estimate_seconds
                    for step in spec.steps
                ),
                sum(step.count for step in spec.steps),
                self._objective(spec),
            )
            self.told.append(told)
            self.tasks.start_soon(self._ask, told, spec)

    def _objective(self, spec: JobSpec) -> float:
        """Return the users' objective: a step wider than a quarter of the room counts in waves."""
        most = WAVE_SHARE * self.load.vms * CAPACITY.cpu_millicores
        waves = (math.ceil(step.count * step.need.cpu_millicores / most) for step in spec.steps)
        seconds = tuple(
            step.estimate_seconds * count for step, count in zip(spec.steps, waves, strict=True)
        )
        return STRETCH * spec.chain_seconds(seconds) + TARGET_SECONDS

    async def _ask(self, told: Told, spec: JobSpec) -> None:
        queue = self.fleet.config.queues[told.pool]
        while (elapsed := self.clock.now() - told.asked_at) < CALLER_SECONDS:
            node = self.rng.choice(list(self.fleet.daemons.values())).node
            submission = Submission(queue, told.job_id, spec, told.team, elapsed)
            result = await node.service.submit(submission, CALLER_SECONDS - elapsed)
            if result.outcome is Outcome.ACCEPTED:
                told.accepted = True
                return
            told.refusals += 1
            await anyio.sleep(result.retry_seconds)

    def _note_ends(self) -> None:
        jobs = {}
        for daemon in self.fleet.daemons.values():
            for owner in daemon.node.owned.values():
                jobs |= owner.book.jobs
        begun = self.fleet.daemons["entry-0"].node.around.day() - self.clock.now()
        for told in self.told:
            job = jobs.get(told.job_id)
            if job is not None:
                told.state = job.state
                if job.ended_at:
                    told.seconds = job.ended_at - begun - told.asked_at


def play_load(load: Load, seed: int = 1, moves: bool = True) -> list[Told]:
    """Return what callers of a load were told.

    :param moves: whether VMs of the pool that is off may be used
    """

    async def run():
        async with anyio.create_task_group() as tasks:
            told = await Player(tasks, load, seed, moves).play()
            tasks.cancel_scope.cancel()
        return told

    return run_virtual(run)


def served(told: list[Told], late: float = 0.0) -> float:
    """Return the share of the jobs' worth that was served in time.

    A job is worth 0.3 and 0.7 of its work against the mean, at most 4, as the users weigh jobs.

    :param late: part of its worth that a job has which ends late, but while that is of use
    """
    mean = sum(each.work for each in told) / len(told)
    total = good = 0.0
    for each in told:
        worth = min(4.0, 0.3 + 0.7 * each.work / mean)
        total += worth
        if each.in_time:
            good += worth
        elif each.is_useful:
            good += late * worth
    return good / total
