"""Simulation of a load that peaks in one pool after the other.

It runs whole daemons on virtual time without a network. The load is that of the users' sheets: one
queue for each pool, jobs of one to three steps of very different sizes, two teams, and a demand
that rises to a multiple of its mean in one pool after the other. Refused callers retry after the
given delay until their deadline.
"""

from __future__ import annotations

import math
import random

import anyio
import attrs

from ...batch import (
    Amount,
    BatchConfig,
    JobSpec,
    JobState,
    PoolConfig,
    QueueConfig,
    Step,
    TeamConfig,
)
from ...scheduling.batch_admission import USEFUL_FACTOR
from ...standin.batchfleet import BatchFleet
from ...standin.virtual import VirtualClock, run_virtual
from ...standin.workers import RunPlan
from .. import Outcome, Submission

__all__ = ["JobResult", "Load", "served_share", "simulate_load"]

POOLS = ("desk", "tour", "film")
TEAMS = ("agents", "guild")
CAPACITY = Amount(16_000, 32_000)
STRETCH = 2.5
LATENCY_TARGET_SECONDS = 1.5
CALLER_DEADLINE_SECONDS = 3.0
WAVE_FRACTION = 0.25
#: time for accepted jobs to end after the last submission, in seconds
DRAIN_SECONDS = 8.0


@attrs.frozen
class Load:
    """Demand over time, and the VMs that serve it.

    :param off_peak_rate: jobs per second in a pool that is not at its peak
    :param peak_rate: jobs per second in a pool at its peak
    :param peak_seconds: length of each pool's peak, in seconds
    :param rounds: number of peaks of each pool
    :param vms: initial number of VMs in each pool
    :param spare: number of VMs in the standby pool
    """

    off_peak_rate: float = 0.6
    peak_rate: float = 7.0
    peak_seconds: float = 5.0
    rounds: int = 1
    vms: int = 3
    spare: int = 4


@attrs.define
class JobResult:
    """A submitted job and its result.

    :param submitted_at: time of the first submission, by the virtual clock
    :param work: its work in core-seconds
    :param size: number of its tasks
    :param objective: latency objective: time within which it should end, in seconds
    :param seconds: time from the first submission until its end, in seconds
    """

    pool: str
    team: str
    job_id: str
    submitted_at: float
    work: float
    size: int
    objective: float
    accepted: bool = False
    refusals: int = 0
    state: JobState | None = None
    seconds: float = float("inf")

    @property
    def met_objective(self) -> bool:
        """Return whether the job was completed within its latency objective."""
        return self.state is JobState.COMPLETED and self.seconds <= self.objective

    @property
    def was_useful(self) -> bool:
        """Return whether the job was completed while its result was still useful."""
        done = self.state is JobState.COMPLETED
        return done and self.seconds <= USEFUL_FACTOR * self.objective


def make_job(rng: random.Random) -> JobSpec:
    """Return a random job: most are small, some are ten times as large."""
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


def plan_run(order) -> RunPlan:
    """Return the plan of a run, from the part of the payload for its step."""
    seconds, millicores = order.payload.split("/")[order.task.step].split("x")
    need = Amount(int(millicores), int(millicores))
    return RunPlan(float(seconds), need=need)


def make_config() -> BatchConfig:
    queues = {
        pool: QueueConfig(
            pool,
            "host",
            f"/{pool}/",
            pool,
            max_attempts=3,
            stretch=STRETCH,
            latency_target_seconds=LATENCY_TARGET_SECONDS,
            timeout_seconds=CALLER_DEADLINE_SECONDS,
        )
        for pool in POOLS
    }
    pools = {pool: PoolConfig(pool) for pool in POOLS} | {"off": PoolConfig("off", standby=True)}
    return BatchConfig(1, queues, pools, {team: TeamConfig(team) for team in TEAMS})


class LoadSimulation:
    """One simulation of a load.

    :param moves: whether the standby pool has VMs that may be moved
    """

    def __init__(self, tasks, load: Load, seed: int, moves: bool):
        self.tasks = tasks
        self.load = load
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.fleet = BatchFleet(tasks, self.clock, make_config(), CAPACITY, seed)
        self.fleet.vms.plan_run = plan_run
        for pool in POOLS:
            for number in range(load.vms):
                self.fleet.vms.add(f"{pool}-{number}", pool, f"r{number % 2}")
        for number in range(load.spare if moves else 0):
            self.fleet.vms.add(f"off-{number}", "off", "r9")
        self.results: list[JobResult] = []

    async def run(self) -> list[JobResult]:
        """Run the simulation; return the result of each job."""
        for number in range(3):
            self.fleet.start_daemon(f"entry-{number}")
        while not all(self.fleet.owner_of(pool) for pool in POOLS):
            await anyio.sleep(0.1)
        await anyio.sleep(4.0)
        for _ in range(self.load.rounds):
            for peak_pool in POOLS:
                await self._run_peak(peak_pool)
        await anyio.sleep(DRAIN_SECONDS)
        self._record_ends()
        return self.results

    async def _run_peak(self, peak_pool: str) -> None:
        until = self.clock.now() + self.load.peak_seconds
        async with anyio.create_task_group() as tasks:
            for pool in POOLS:
                rate = self.load.peak_rate if pool == peak_pool else self.load.off_peak_rate
                tasks.start_soon(self._submit_at_rate, pool, rate, until)

    async def _submit_at_rate(self, pool: str, rate: float, until: float) -> None:
        while True:
            await anyio.sleep(self.rng.expovariate(rate))
            if self.clock.now() >= until:
                return
            spec = make_job(self.rng)
            result = JobResult(
                pool,
                self.rng.choice(TEAMS),
                f"{len(self.results) + 1:016x}",
                self.clock.now(),
                sum(
                    step.count * step.need.cpu_millicores / 1000 * step.estimate_seconds
                    for step in spec.steps
                ),
                sum(step.count for step in spec.steps),
                self._latency_objective(spec),
            )
            self.results.append(result)
            self.tasks.start_soon(self._submit_until_accepted, result, spec)

    def _latency_objective(self, spec: JobSpec) -> float:
        """Return a job's latency objective, in seconds.

        A step that needs more than a quarter of the pool's capacity counts as several waves.
        """
        wave_millicores = WAVE_FRACTION * self.load.vms * CAPACITY.cpu_millicores
        waves = (
            math.ceil(step.count * step.need.cpu_millicores / wave_millicores)
            for step in spec.steps
        )
        seconds = tuple(
            step.estimate_seconds * count for step, count in zip(spec.steps, waves, strict=True)
        )
        return STRETCH * spec.critical_path_seconds(seconds) + LATENCY_TARGET_SECONDS

    async def _submit_until_accepted(self, result: JobResult, spec: JobSpec) -> None:
        queue = self.fleet.config.queues[result.pool]
        while (elapsed := self.clock.now() - result.submitted_at) < CALLER_DEADLINE_SECONDS:
            node = self.rng.choice(list(self.fleet.daemons.values())).node
            submission = Submission(queue, result.job_id, spec, result.team, elapsed)
            reply = await node.service.submit(submission, CALLER_DEADLINE_SECONDS - elapsed)
            if reply.outcome is Outcome.ACCEPTED:
                result.accepted = True
                return
            result.refusals += 1
            await anyio.sleep(reply.retry_seconds)

    def _record_ends(self) -> None:
        jobs = {}
        for daemon in self.fleet.daemons.values():
            for owner in daemon.node.owned.values():
                jobs |= owner.pool_state.jobs
        clock_offset = self.fleet.daemons["entry-0"].node.context.wall_time() - self.clock.now()
        for result in self.results:
            job = jobs.get(result.job_id)
            if job is not None:
                result.state = job.state
                if job.ended_at:
                    result.seconds = job.ended_at - clock_offset - result.submitted_at


def simulate_load(load: Load, seed: int = 1, moves: bool = True) -> list[JobResult]:
    """Simulate a load; return the results of its jobs.

    :param moves: whether VMs of the standby pool may be used
    """

    async def run():
        async with anyio.create_task_group() as tasks:
            results = await LoadSimulation(tasks, load, seed, moves).run()
            tasks.cancel_scope.cancel()
        return results

    return run_virtual(run)


def served_share(results: list[JobResult], late_value: float = 0.0) -> float:
    """Return the fraction of the jobs' total value that was served in time.

    A job's value is 0.3 plus 0.7 times the ratio of its work to the mean work, but at most 4, as
    the users weigh jobs.

    :param late_value: fraction of its value that a job keeps if it ends late but still useful
    """
    mean_work = sum(each.work for each in results) / len(results)
    total_value = served_value = 0.0
    for each in results:
        value = min(4.0, 0.3 + 0.7 * each.work / mean_work)
        total_value += value
        if each.met_objective:
            served_value += value
        elif each.was_useful:
            served_value += late_value * value
    return served_value / total_value
