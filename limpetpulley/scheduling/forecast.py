"""Prediction of the end times of jobs of steps, by simulating a pool's queue. No I/O.

Queues peak in turn at about five times their mean, which exceeds the capacity of their pool. A new
job is therefore judged by when it would end behind the jobs that start before it, and by which jobs
it would make late. Capacity is a single number, the fraction of a worker that a task takes in its
scarcest dimension, so that simulating a step costs only a few operations.
"""

from __future__ import annotations

import bisect
import heapq
import math

import attrs

__all__ = ["ForecastJob", "ForecastStep", "simulate_queue"]

#: simulated time, in seconds; jobs that end later count as late
HORIZON_SECONDS = 20.0
#: minimum fraction of a worker that a task counts as
MIN_WORKER_FRACTION = 1e-4
#: factor on a demand that tolerates rounding errors of sums
ROUNDING_FACTOR = 1 - 1e-9
#: ends within this time of each other, in seconds, free their capacity together, or within this
#: fraction of the time from now if that is longer, because later ends are less certain
MERGE_SECONDS = 0.02
MERGE_FRACTION = 0.03


@attrs.define(eq=False)
class ForecastStep:
    """Tasks of a step that are not done.

    :param waiting: number of tasks that have not started
    :param worker_fraction: fraction of a worker that one task takes
    :param seconds: run time of a task
    :param after: indexes of the steps that must be done first
    :param running: remaining time of each running task, in seconds
    """

    waiting: int
    worker_fraction: float
    seconds: float
    after: tuple[int, ...] = ()
    running: tuple[float, ...] = ()


@attrs.define(eq=False)
class ForecastJob:
    """Job of the simulated queue.

    :param team: team that it is charged to, empty for none
    """

    steps: list[ForecastStep]
    team: str = ""


def simulate_queue(
    jobs: list[ForecastJob],
    free_capacity: float,
    team_capacity: dict[str, float],
    joining: tuple[tuple[float, float], ...] = (),
) -> list[float]:
    """Return when each job ends, in seconds from now; infinite beyond the horizon.

    :param jobs: jobs in start order
    :param free_capacity: capacity that is free now, in workers
    :param team_capacity: what each team may use beyond its running tasks, in workers
    :param joining: capacity that joins later: when, in seconds from now, and how much, in workers
    """
    simulation = _QueueSimulation(jobs, free_capacity, dict(team_capacity))
    for when, capacity in joining:
        heapq.heappush(simulation.events, (when, -1, 0, 0, capacity))
    now = 0.0
    while True:
        simulation.start_ready(now)
        if not simulation.events or now > HORIZON_SECONDS:
            return simulation.ends
        now = simulation.advance()


class _QueueSimulation:
    """Simulation of a queue.

    Steps that wait only for capacity are kept in the order of their jobs, and ends close to each
    other free their capacity together, so the cost grows little faster than the queue.

    :param jobs: jobs in start order
    :param free_capacity: capacity that is free, in workers
    :param team_capacity: what each team may still use, in workers
    """

    def __init__(
        self, jobs: list[ForecastJob], free_capacity: float, team_capacity: dict[str, float]
    ):
        self.jobs = jobs
        self.free_capacity = free_capacity
        self.team_capacity = team_capacity
        self.waiting = [[step.waiting for step in job.steps] for job in jobs]
        self.tasks_left = [[step.waiting + len(step.running) for step in job.steps] for job in jobs]
        self.ends = [math.inf] * len(jobs)
        # Time, job, step, number of tasks and the fraction of a worker that each takes.
        self.events: list[tuple[float, int, int, int, float]] = []
        self.ready: list[tuple[int, int]] = []
        self.min_fraction = math.inf
        for job_index, job in enumerate(jobs):
            for step_index, step in enumerate(job.steps):
                self._add(job_index, step_index, step)
        heapq.heapify(self.events)

    def start_ready(self, now: float) -> None:
        """Start the tasks that fit, in the order of the jobs."""
        started = set()
        for job_index, step_index in self.ready:
            if self.free_capacity < self.min_fraction:
                break
            if self._start(job_index, step_index, now):
                started.add((job_index, step_index))
        if started:
            self.ready = [entry for entry in self.ready if entry not in started]

    def advance(self) -> float:
        """Advance to the next end and those shortly after it; return the new time."""
        now = self.events[0][0]
        until = now + max(MERGE_SECONDS, MERGE_FRACTION * now)
        while self.events and self.events[0][0] <= until:
            now, job_index, step_index, count, worker_fraction = heapq.heappop(self.events)
            self.free_capacity += count * worker_fraction if job_index >= 0 else worker_fraction
            if job_index >= 0:
                self._end(job_index, step_index, count, worker_fraction, now)
        return now

    def _add(self, job_index: int, step_index: int, step: ForecastStep) -> None:
        for seconds in step.running:
            self.events.append((seconds, job_index, step_index, 1, step.worker_fraction))
        if step.waiting:
            self.min_fraction = min(
                self.min_fraction, max(step.worker_fraction, MIN_WORKER_FRACTION) * ROUNDING_FACTOR
            )
            if not any(self.tasks_left[job_index][predecessor] for predecessor in step.after):
                self.ready.append((job_index, step_index))

    def _start(self, job_index: int, step_index: int, now: float) -> bool:
        """Start the tasks of a step that fit; return whether all of its tasks have started."""
        job = self.jobs[job_index]
        step, waiting = job.steps[step_index], self.waiting[job_index]
        worker_fraction = max(step.worker_fraction, MIN_WORKER_FRACTION)
        usable = min(self.free_capacity, self.team_capacity.get(job.team, math.inf))
        if usable < worker_fraction * ROUNDING_FACTOR:
            return False
        count = min(waiting[step_index], int(usable / (worker_fraction * ROUNDING_FACTOR)))
        waiting[step_index] -= count
        self.free_capacity -= count * worker_fraction
        if job.team in self.team_capacity:
            self.team_capacity[job.team] -= count * worker_fraction
        heapq.heappush(
            self.events, (now + step.seconds, job_index, step_index, count, worker_fraction)
        )
        return not waiting[step_index]

    def _end(
        self, job_index: int, step_index: int, count: int, worker_fraction: float, when: float
    ) -> None:
        job, tasks_left = self.jobs[job_index], self.tasks_left[job_index]
        if job.team in self.team_capacity:
            self.team_capacity[job.team] += count * worker_fraction
        tasks_left[step_index] -= count
        if tasks_left[step_index]:
            return
        if not any(tasks_left):
            self.ends[job_index] = when
        for successor, step in enumerate(job.steps):
            was_blocked = step_index in step.after and self.waiting[job_index][successor]
            if was_blocked and not any(tasks_left[predecessor] for predecessor in step.after):
                bisect.insort(self.ready, (job_index, successor))
