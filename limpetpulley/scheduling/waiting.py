"""Queue of the jobs that wait for permits, earliest deadline first."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter, defaultdict
from collections.abc import Callable

import attrs

__all__ = ["WaitingJob", "WaitingJobs"]

SCAN_LIMIT = 8


@attrs.define(eq=False)
class WaitingJob:
    """A job that waits for permits.

    :param job_id: unique identifier
    :param team: team that it runs for
    :param pool: pool that it runs in
    :param queue: queue that it was submitted to
    :param deadline: time when its answer is due, on the daemon's clock, in seconds
    :param latest_start: time after which it cannot meet its deadline, in seconds
    :param start: called with the VM once the permits are taken
    :param give_up: called once the latest start has passed
    :param excluded: VMs on which it has failed
    :param queued: whether it is in the queue
    """

    job_id: str
    team: str
    pool: str
    queue: str
    deadline: float
    latest_start: float
    start: Callable[[str], None]
    give_up: Callable[[], None]
    excluded: frozenset[str] = frozenset()
    queued: bool = False


class WaitingJobs:
    """The jobs that wait at one daemon, by pool and team.

    Removal is lazy: the heap entry of a removed job is dropped when it reaches the top, so the cost
    does not depend on the number of waiting jobs.
    """

    def __init__(self) -> None:
        self.heaps: dict[tuple[str, str], list[tuple[float, int, WaitingJob]]] = defaultdict(list)
        self.by_latest_start: list[tuple[float, int, WaitingJob]] = []
        self.counts: Counter[tuple[str, str]] = Counter()
        self.team_counts: Counter[str] = Counter()
        self.sequence = itertools.count()

    def __len__(self) -> int:
        return self.team_counts.total()

    def add(self, job: WaitingJob) -> None:
        """Add a job."""
        number = next(self.sequence)
        job.queued = True
        heapq.heappush(self.heaps[job.pool, job.team], (job.deadline, number, job))
        heapq.heappush(self.by_latest_start, (job.latest_start, number, job))
        self.counts[job.pool, job.team] += 1
        self.team_counts[job.team] += 1

    def remove(self, job: WaitingJob) -> None:
        """Remove a job; does nothing if it is not in the queue."""
        if not job.queued:
            return
        job.queued = False
        self._decrement(self.counts, (job.pool, job.team))
        self._decrement(self.team_counts, job.team)
        self._compact(job)

    def teams(self, pool: str) -> list[str]:
        """Return the teams with jobs waiting for a pool."""
        return [team for waiting_pool, team in self.counts if waiting_pool == pool]

    def pools(self, team: str) -> list[str]:
        """Return the pools that a team's jobs wait for."""
        return [pool for pool, waiting_team in self.counts if waiting_team == team]

    def first(self, pool: str, team: str, vm: str | None = None) -> WaitingJob | None:
        """Return the job with the earliest deadline, if a VM is given one that may run on it."""
        heap = self.heaps.get((pool, team))
        if not heap:
            return None
        while heap and not heap[0][2].queued:
            heapq.heappop(heap)
        if not heap:
            del self.heaps[pool, team]
            return None
        if vm is None or vm not in heap[0][2].excluded:
            return heap[0][2]
        for _, _, job in heapq.nsmallest(SCAN_LIMIT, heap):
            if job.queued and vm not in job.excluded:
                return job
        return None

    def deadlines(self, pool: str, team: str, count: int) -> list[float]:
        """Return the earliest deadlines of waiting jobs, ascending."""
        heap = self.heaps.get((pool, team), [])
        nearest = heapq.nsmallest(count + SCAN_LIMIT, heap)
        return [deadline for deadline, _, job in nearest if job.queued][:count]

    def ahead(self, pool: str, team: str, deadline: float) -> int:
        """Return how many waiting jobs of a team and pool have no later deadline."""
        heap = self.heaps.get((pool, team), ())
        return sum(1 for due, _, job in heap if job.queued and due <= deadline)

    def pop_hopeless(self, now: float) -> list[WaitingJob]:
        """Remove and return the jobs whose latest start has passed."""
        hopeless = []
        while self.by_latest_start and (
            not self.by_latest_start[0][2].queued or self.by_latest_start[0][0] <= now
        ):
            job = heapq.heappop(self.by_latest_start)[2]
            if job.queued:
                self.remove(job)
                hopeless.append(job)
        return hopeless

    @staticmethod
    def _decrement(counts: Counter, key) -> None:
        counts[key] -= 1
        if not counts[key]:
            del counts[key]

    def _compact(self, job: WaitingJob) -> None:
        """Rebuild heaps that consist mostly of removed jobs, so that they stay small."""
        key = (job.pool, job.team)
        heap = self.heaps.get(key)
        if heap and len(heap) > 2 * self.counts[key] + 32:
            self.heaps[key] = [entry for entry in heap if entry[2].queued]
            heapq.heapify(self.heaps[key])
        if not self.counts[key]:
            del self.counts[key]
        if len(self.by_latest_start) > 2 * len(self) + 32:
            self.by_latest_start = [entry for entry in self.by_latest_start if entry[2].queued]
            heapq.heapify(self.by_latest_start)
