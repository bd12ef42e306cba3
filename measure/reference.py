"""What a plain division and an omniscient scheduler make of the same jobs."""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict

import attrs

from .deployments import Deployment
from .load import Job

__all__ = ["Reference", "run_omniscient", "run_static"]


@attrs.define
class Reference:
    """What a reference scheduler does with a trace.

    :param answered: jobs answered in time
    :param refused: jobs that were not
    :param closeness: half the sum of absolute differences of shares, over full times
    :param idle: part of the slots idle while an allowed job waits
    """

    answered: int = 0
    refused: int = 0
    closeness: float = 0.0
    idle: float = 0.0


def run_omniscient(deployment: Deployment, jobs: list[Job], pools: int = 0) -> Reference:
    """Return what one scheduler does that sees every daemon and knows each run time.

    In each pool it starts the team with the fewest running jobs for its weight, within the
    team the earliest deadline, and drops a job once it cannot finish in time.
    """
    result = Reference()
    running: Counter[tuple[str, str]] = Counter()
    totals: Counter[str] = Counter()
    queues: dict[tuple[str, str], list[tuple[float, int, Job]]] = defaultdict(list)
    ends: list[tuple[float, int, Job]] = []
    slots = deployment.vms * deployment.slots
    arrivals = iter(jobs)
    following = next(arrivals, None)
    number = 0
    while following is not None or ends:
        if following is not None and (not ends or following.arrival <= ends[0][0]):
            now, job = following.arrival, following
            number += 1
            heapq.heappush(queues[job.pool, job.team], (now + job.time_left, number, job))
            following = next(arrivals, None)
            pool_changed = {job.pool}
        else:
            now, _, job = heapq.heappop(ends)
            running[job.pool, job.team] -= 1
            totals[job.team] -= 1
            result.answered += 1
            pool_changed = set(deployment.pools)
        for pool in pool_changed:
            busy = sum(running[pool, team] for team in deployment.teams)
            while busy < slots:
                found = _next_job(deployment, queues, running, totals, pool, now)
                if found is None:
                    break
                number += 1
                heapq.heappush(ends, (now + found.run_seconds, number, found))
                running[pool, found.team] += 1
                totals[found.team] += 1
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
    """Return what daemons do that divide slots and limits for good, first come first served."""
    result = Reference()
    daemons = deployment.daemons
    slots = _divide(deployment.vms * deployment.slots, daemons)
    limits = {team: _divide(limit, daemons) for team, (_, limit) in deployment.teams.items()}
    running: Counter[tuple[int, str]] = Counter()
    totals: Counter[tuple[int, str]] = Counter()
    by_team: Counter[tuple[str, str]] = Counter()
    waiting: dict[tuple[int, str], list[Job]] = defaultdict(list)
    ends: list[tuple[float, int, Job]] = []
    watch = _Watch(deployment)
    arrivals = iter(jobs)
    following = next(arrivals, None)
    number = 0
    while following is not None or ends:
        if following is not None and (not ends or following.arrival <= ends[0][0]):
            now, job = following.arrival, following
            watch.note(now, by_team, waiting)
            waiting[job.daemon, job.pool].append(job)
            following = next(arrivals, None)
        else:
            now, _, job = heapq.heappop(ends)
            watch.note(now, by_team, waiting)
            running[job.daemon, job.pool] -= 1
            totals[job.daemon, job.team] -= 1
            by_team[job.pool, job.team] -= 1
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
                by_team[pool, first.team] += 1
    result.refused = len(jobs) - result.answered
    result.closeness, result.idle = watch.closeness(), watch.idle_part()
    return result


@attrs.define
class _Watch:
    """Integrates shares and idle slots of the static division over time."""

    deployment: Deployment
    last: float = 0.0
    idle: float = 0.0
    offered: float = 0.0
    actual: defaultdict[tuple[str, str], float] = attrs.field(factory=lambda: defaultdict(float))
    due: defaultdict[tuple[str, str], float] = attrs.field(factory=lambda: defaultdict(float))

    def note(
        self,
        now: float,
        by_team: Counter[tuple[str, str]],
        waiting: dict[tuple[int, str], list[Job]],
    ) -> None:
        """Add the time since the last event."""
        from .sharing import due_in_pool

        span, self.last = now - self.last, now
        for pool in self.deployment.pools:
            counts: Counter[str] = Counter(
                job.team for (_, found), queue in waiting.items() if found == pool for job in queue
            )
            slots = self.deployment.vms * self.deployment.slots
            due = due_in_pool(self.deployment, pool, slots, by_team, counts)
            if due is None:
                continue
            busy = sum(by_team[pool, team] for team in self.deployment.teams)
            self.idle += span * (slots - busy)
            self.offered += span * slots
            for team, share in due.items():
                self.due[pool, team] += span * share
                self.actual[pool, team] += span * by_team[pool, team]

    def closeness(self) -> float:
        """Return half the sum of absolute differences, as a part of what was due."""
        due = sum(self.due.values())
        keys = {*self.actual, *self.due}
        return sum(abs(self.actual[k] - self.due[k]) for k in keys) / due / 2 if due else 0.0

    def idle_part(self) -> float:
        """Return the part of the slots idle while an allowed job waits."""
        return self.idle / self.offered if self.offered else 0.0


def _divide(count: int, parts: int) -> list[int]:
    return [count // parts + (1 if index < count % parts else 0) for index in range(parts)]
