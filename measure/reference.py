"""Reference schedulers for the same jobs: static partitioning and an omniscient scheduler."""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict

import attrs

from .deployments import Deployment
from .load import Job

__all__ = ["Reference", "run_omniscient", "run_static"]


@attrs.define
class Reference:
    """Result of a reference scheduler on a trace.

    :param answered: jobs answered in time
    :param refused: all other jobs
    :param share_deviation: half the sum of absolute differences between actual and fair shares, as
        a fraction of the fair shares, over the times when an eligible job waits
    :param idle_fraction: fraction of the slots idle while an eligible job waits
    """

    answered: int = 0
    refused: int = 0
    share_deviation: float = 0.0
    idle_fraction: float = 0.0


def run_omniscient(deployment: Deployment, jobs: list[Job], pools: int = 0) -> Reference:
    """Return the result of one scheduler that sees all daemons and knows each run time.

    In each pool it starts a job of the team with the fewest running jobs for its weight, the one
    with the earliest deadline first, and drops a job once it cannot finish in time.
    """
    result = Reference()
    running: Counter[tuple[str, str]] = Counter()
    totals: Counter[str] = Counter()
    queues: dict[tuple[str, str], list[tuple[float, int, Job]]] = defaultdict(list)
    ends: list[tuple[float, int, Job]] = []
    slots = deployment.vms * deployment.slots
    arrivals = iter(jobs)
    upcoming = next(arrivals, None)
    number = 0
    while upcoming is not None or ends:
        if upcoming is not None and (not ends or upcoming.arrival <= ends[0][0]):
            now, job = upcoming.arrival, upcoming
            number += 1
            heapq.heappush(queues[job.pool, job.team], (now + job.time_left, number, job))
            upcoming = next(arrivals, None)
            changed_pools = {job.pool}
        else:
            now, _, job = heapq.heappop(ends)
            running[job.pool, job.team] -= 1
            totals[job.team] -= 1
            result.answered += 1
            changed_pools = set(deployment.pools)
        for pool in changed_pools:
            busy = sum(running[pool, team] for team in deployment.teams)
            while busy < slots:
                chosen = _next_job(deployment, queues, running, totals, pool, now)
                if chosen is None:
                    break
                number += 1
                heapq.heappush(ends, (now + chosen.run_seconds, number, chosen))
                running[pool, chosen.team] += 1
                totals[chosen.team] += 1
                busy += 1
    result.refused = len(jobs) - result.answered
    return result


def _next_job(
    deployment: Deployment,
    queues: dict[tuple[str, str], list[tuple[float, int, Job]]],
    running: Counter[tuple[str, str]],
    totals: Counter[str],
    pool: str,
    now: float,
) -> Job | None:
    best = None
    for team, (weight, limit) in deployment.teams.items():
        queue = queues[pool, team]
        while queue and now + queue[0][2].run_seconds > queue[0][0]:
            heapq.heappop(queue)
        if queue and totals[team] < limit:
            load = (running[pool, team] + 1) / weight
            if best is None or load < best[0]:
                best = (load, team)
    if best is None:
        return None
    return heapq.heappop(queues[pool, best[1]])[2]


def run_static(deployment: Deployment, jobs: list[Job]) -> Reference:
    """Return the result of daemons with fixed parts of all slots and limits.

    Each daemon has an equal part of the slots and of each team's limit, and serves its jobs first
    come, first served.
    """
    result = Reference()
    daemons = deployment.daemons
    slots = _split_evenly(deployment.vms * deployment.slots, daemons)
    limits = {team: _split_evenly(limit, daemons) for team, (_, limit) in deployment.teams.items()}
    running: Counter[tuple[int, str]] = Counter()
    totals: Counter[tuple[int, str]] = Counter()
    running_by_team: Counter[tuple[str, str]] = Counter()
    waiting: dict[tuple[int, str], list[Job]] = defaultdict(list)
    ends: list[tuple[float, int, Job]] = []
    integrator = _ShareIntegrator(deployment)
    arrivals = iter(jobs)
    upcoming = next(arrivals, None)
    number = 0
    while upcoming is not None or ends:
        if upcoming is not None and (not ends or upcoming.arrival <= ends[0][0]):
            now, job = upcoming.arrival, upcoming
            integrator.advance(now, running_by_team, waiting)
            waiting[job.daemon, job.pool].append(job)
            upcoming = next(arrivals, None)
        else:
            now, _, job = heapq.heappop(ends)
            integrator.advance(now, running_by_team, waiting)
            running[job.daemon, job.pool] -= 1
            totals[job.daemon, job.team] -= 1
            running_by_team[job.pool, job.team] -= 1
            result.answered += 1
        for pool in deployment.pools:
            key = (job.daemon, pool)
            queue = waiting[key]
            while queue and running[key] < slots[job.daemon]:
                first = queue[0]
                if now + first.run_seconds > first.arrival + first.time_left:
                    queue.pop(0)
                    continue
                if totals[job.daemon, first.team] >= limits[first.team][job.daemon]:
                    break
                queue.pop(0)
                number += 1
                heapq.heappush(ends, (now + first.run_seconds, number, first))
                running[key] += 1
                totals[job.daemon, first.team] += 1
                running_by_team[pool, first.team] += 1
    result.refused = len(jobs) - result.answered
    result.share_deviation, result.idle_fraction = (
        integrator.share_deviation(),
        integrator.idle_fraction(),
    )
    return result


@attrs.define
class _ShareIntegrator:
    """Integrates the shares and idle slots of static partitioning over time."""

    deployment: Deployment
    last_event_at: float = 0.0
    idle_slot_seconds: float = 0.0
    slot_seconds: float = 0.0
    actual: defaultdict[tuple[str, str], float] = attrs.field(factory=lambda: defaultdict(float))
    fair: defaultdict[tuple[str, str], float] = attrs.field(factory=lambda: defaultdict(float))

    def advance(
        self,
        now: float,
        running_by_team: Counter[tuple[str, str]],
        waiting: dict[tuple[int, str], list[Job]],
    ) -> None:
        """Add the time since the last event with the jobs that ran and waited during it."""
        from .sharing import fair_shares_in_pool

        elapsed, self.last_event_at = now - self.last_event_at, now
        for pool in self.deployment.pools:
            counts: Counter[str] = Counter(
                job.team
                for (_, job_pool), queue in waiting.items()
                if job_pool == pool
                for job in queue
            )
            slots = self.deployment.vms * self.deployment.slots
            fair = fair_shares_in_pool(self.deployment, pool, slots, running_by_team, counts)
            if fair is None:
                continue
            busy = sum(running_by_team[pool, team] for team in self.deployment.teams)
            self.idle_slot_seconds += elapsed * (slots - busy)
            self.slot_seconds += elapsed * slots
            for team, share in fair.items():
                self.fair[pool, team] += elapsed * share
                self.actual[pool, team] += elapsed * running_by_team[pool, team]

    def share_deviation(self) -> float:
        """Return half the sum of absolute differences, as a fraction of the fair shares."""
        fair = sum(self.fair.values())
        keys = {*self.actual, *self.fair}
        return sum(abs(self.actual[k] - self.fair[k]) for k in keys) / fair / 2 if fair else 0.0

    def idle_fraction(self) -> float:
        """Return the fraction of the slots idle while an eligible job waits."""
        return self.idle_slot_seconds / self.slot_seconds if self.slot_seconds else 0.0


def _split_evenly(count: int, parts: int) -> list[int]:
    return [count // parts + (1 if index < count % parts else 0) for index in range(parts)]
