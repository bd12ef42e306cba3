"""Deviation from fair share, lateness, refusals and idle slots of daemons on virtual time."""

from __future__ import annotations

import random
from collections import Counter, defaultdict

import anyio
import attrs

from limpetpulley.config import Vm, Wave
from limpetpulley.scheduling.fair_share import fair_shares
from limpetpulley.standin.cluster import Cluster, JobOutcome
from limpetpulley.standin.virtual import run_virtual

from .deployments import DEPLOYMENTS, Deployment
from .load import Job, Pattern, make_jobs

__all__ = ["ShareResult", "fair_shares_in_pool", "measure_sharing"]

SAMPLE_SECONDS = 0.05
TAIL_SECONDS = 12.0
REBOOT_SECONDS = 5.0


@attrs.define
class ShareResult:
    """Result of one run.

    :param share_deviation: half the sum of absolute differences between actual and fair shares, as
        a fraction of the fair shares, over the times when an eligible job waits
    :param late: jobs accepted, but answered late or not at all
    :param answered: jobs answered in time
    :param refused: jobs refused and not run
    :param idle_fraction: fraction of the slots idle while an eligible job waits
    :param jobs: jobs in the trace
    :param messages: calls between daemons
    :param moves: VMs moved between pools
    :param maintained: VMs that the wave maintained
    """

    share_deviation: float = 0.0
    late: int = 0
    answered: int = 0
    refused: int = 0
    idle_fraction: float = 0.0
    jobs: int = 0
    messages: int = 0
    moves: int = 0
    maintained: int = 0


@attrs.define
class _Samples:
    actual: defaultdict[tuple[str, str], float] = attrs.field(factory=lambda: defaultdict(float))
    fair: defaultdict[tuple[str, str], float] = attrs.field(factory=lambda: defaultdict(float))
    idle_slots: float = 0.0
    slots: float = 0.0

    def share_deviation(self) -> float:
        """Return half the sum of absolute differences, as a fraction of the fair shares."""
        actual, fair = sum(self.actual.values()), sum(self.fair.values())
        if not actual or not fair:
            return 0.0
        keys = {*self.actual, *self.fair}
        return sum(abs(self.actual[key] - self.fair[key]) for key in keys) / fair / 2


def add_sample(cluster: Cluster, deployment: Deployment, samples: _Samples) -> None:
    """Add the running jobs and fair shares of each pool in which an eligible job waits."""
    running: Counter[tuple[str, str]] = Counter()
    waiting: Counter[tuple[str, str]] = Counter()
    for node in cluster.nodes.values():
        running.update(node.starter.running)
        waiting.update(node.starter.waiting.counts)
    endpoints = next(iter(cluster.nodes.values())).endpoints
    for pool in deployment.pools:
        counts = Counter({team: n for (job_pool, team), n in waiting.items() if job_pool == pool})
        slots = endpoints.slots(pool)
        fair = fair_shares_in_pool(deployment, pool, slots, running, counts)
        if fair is None:
            continue
        samples.idle_slots += slots - sum(running[pool, team] for team in deployment.teams)
        samples.slots += slots
        for team, share in fair.items():
            samples.fair[pool, team] += share
            samples.actual[pool, team] += running[pool, team]


def fair_shares_in_pool(
    deployment: Deployment,
    pool: str,
    slots: int,
    running: Counter[tuple[str, str]],
    waiting: Counter[str],
) -> dict[str, float] | None:
    """Return the fair share of each team in a pool, or None if no eligible job waits for it.

    A job is eligible while its team runs fewer jobs than its limit.

    :param running: running jobs of all daemons, by pool and team
    :param waiting: jobs waiting for the pool, by team
    """
    totals: Counter[str] = Counter()
    for (_, team), count in running.items():
        totals[team] += count
    if not any(totals[team] < deployment.teams[team][1] for team in waiting if waiting[team]):
        return None
    weights = {name: weight for name, (weight, _) in deployment.teams.items()}
    demands = {}
    for team, (_, limit) in deployment.teams.items():
        elsewhere = totals[team] - running[pool, team]
        demands[team] = min(running[pool, team] + waiting[team], limit - elsewhere)
    return fair_shares(slots, weights, demands)


def measure_sharing(name: str, pattern: Pattern, seed: int, wave: bool = False) -> ShareResult:
    """Return the result of the daemons' own code on a trace, on virtual time.

    :param wave: whether a wave over the whole fleet starts together with the trace
    """
    return run_virtual(_run, DEPLOYMENTS[name], pattern, seed, wave)


async def _run(deployment: Deployment, pattern: Pattern, seed: int, wave: bool) -> ShareResult:
    jobs = make_jobs(deployment, pattern, random.Random(seed))
    result, samples = ShareResult(jobs=len(jobs)), _Samples()
    async with anyio.create_task_group() as tasks:
        cluster = await start_cluster(deployment, tasks, seed, pattern.run_seconds)
        messages_before = sum(cluster.network.messages.values())
        started_at = cluster.clock.now()
        if wave:
            cluster.fleet.reboot_seconds = REBOOT_SECONDS
            await cluster.apply([Wave("wave")])
        with anyio.move_on_after(pattern.seconds + TAIL_SECONDS):
            async with anyio.create_task_group() as running:
                running.start_soon(_submit_all, cluster, jobs, started_at, result, running)
                while cluster.clock.now() < started_at + pattern.seconds + TAIL_SECONDS:
                    await anyio.sleep(SAMPLE_SECONDS)
                    add_sample(cluster, deployment, samples)
        result.moves = cluster.metrics.counts["fleet.join"] - cluster.metrics.counts["fleet.reboot"]
        vms = next(iter(cluster.nodes.values())).replica.all(Vm.kind)
        result.maintained = sum(vm.maintained_in == "wave" for vm in vms)
        result.messages = sum(cluster.network.messages.values()) - messages_before
        tasks.cancel_scope.cancel()
    result.share_deviation = samples.share_deviation()
    result.idle_fraction = samples.idle_slots / samples.slots if samples.slots else 0.0
    return result


async def start_cluster(
    deployment: Deployment, tasks: anyio.abc.TaskGroup, seed: int, run_seconds: float
) -> Cluster:
    """Start the daemons and endpoints of a deployment and wait until all are members."""
    cluster = Cluster(tasks, seed)
    cluster.network.delay_seconds = deployment.delay_seconds
    addresses = {name: cluster.add_endpoint(name) for name in deployment.vm_names()}
    for index in range(deployment.daemons):
        data_centre = deployment.data_centres[index % len(deployment.data_centres)]
        cluster.start(f"entry-{index + 1}", data_centre)
    keys = [cluster.key(team) for team in deployment.teams]
    await cluster.apply([*deployment.objects(addresses, run_seconds), *keys])
    await cluster.settle()
    await anyio.sleep(3.0)
    assert len(cluster.nodes["entry-1"].replica.all(Vm.kind)) == len(addresses)
    return cluster


async def _submit_all(
    cluster: Cluster,
    jobs: list[Job],
    started_at: float,
    result: ShareResult,
    tasks: anyio.abc.TaskGroup,
) -> None:
    for job in jobs:
        await anyio.sleep(max(0.0, started_at + job.arrival - cluster.clock.now()))
        tasks.start_soon(_submit, cluster, job, result)


async def _submit(cluster: Cluster, job: Job, result: ShareResult) -> None:
    outcome: JobOutcome = await cluster.submit(
        f"entry-{job.daemon + 1}",
        job.pool,
        job.team,
        job.time_left,
        run_seconds=f"{job.run_seconds:.4f}",
    )
    if outcome.status == 200 and outcome.seconds <= job.time_left:
        result.answered += 1
    elif outcome.run == "no":
        result.refused += 1
    else:
        result.late += 1
