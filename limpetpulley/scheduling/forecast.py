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

__all__ = ["ForecastJob", "ForecastStep", "play_forward"]

#: simulated time, in seconds; jobs that end later count as late
HORIZON_SECONDS = 20.0
#: minimum fraction of a worker that a task counts as
LEAST_PART = 1e-4
#: factor on a demand that tolerates rounding errors of sums
ROUNDING = 1 - 1e-9
#: ends within this time of each other, in seconds, free their capacity together, or within this
#: fraction of the time from now if that is longer, because later ends are less certain
MERGE_SECONDS = 0.02
MERGE_PART = 0.03


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
    part: float
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


def play_forward(
    jobs: list[ForecastJob],
    room: float,
    teams: dict[str, float],
    coming: tuple[tuple[float, float], ...] = (),
) -> list[float]:
    """Return when each job ends, in seconds from now; infinite beyond the horizon.

    :param jobs: jobs in start order
    :param free_capacity: capacity that is free now, in workers
    :param team_capacity: what each team may use beyond its running tasks, in workers
    :param joining: capacity that joins later: when, in seconds from now, and how much, in workers
    """
    play = _Play(jobs, room, dict(teams))
    for when, more in coming:
        heapq.heappush(play.events, (when, -1, 0, 0, more))
    now = 0.0
    while True:
        play.start_ready(now)
        if not play.events or now > HORIZON_SECONDS:
            return play.ends
        now = play.advance()


class _Play:
    """Simulation of a queue.

    Steps that wait only for capacity are kept in the order of their jobs, and ends close to each
    other free their capacity together, so the cost grows little faster than the queue.

    :param jobs: jobs in start order
    :param free_capacity: capacity that is free, in workers
    :param team_capacity: what each team may still use, in workers
    """

    def __init__(self, jobs: list[ForecastJob], room: float, teams: dict[str, float]):
        self.jobs = jobs
        self.room = room
        self.teams = teams
        self.waiting = [[step.waiting for step in job.steps] for job in jobs]
        self.left = [[step.waiting + len(step.running) for step in job.steps] for job in jobs]
        self.ends = [math.inf] * len(jobs)
        # Time, job, step, number of tasks and the fraction of a worker that each takes.
        self.events: list[tuple[float, int, int, int, float]] = []
        self.ready: list[tuple[int, int]] = []
        self.least = math.inf
        for number, job in enumerate(jobs):
            for place, step in enumerate(job.steps):
                self._add(number, place, step)
        heapq.heapify(self.events)

    def start_ready(self, now: float) -> None:
        """Start the tasks that fit, in the order of the jobs."""
        started = set()
        for number, place in self.ready:
            if self.room < self.least:
                break
            if self._start(number, place, now):
                started.add((number, place))
        if started:
            self.ready = [entry for entry in self.ready if entry not in started]

    def advance(self) -> float:
        """Advance to the next end and those shortly after it; return the new time."""
        now = self.events[0][0]
        until = now + max(MERGE_SECONDS, MERGE_PART * now)
        while self.events and self.events[0][0] <= until:
            now, number, place, count, part = heapq.heappop(self.events)
            self.room += count * part if number >= 0 else part
            if number >= 0:
                self._end(number, place, count, part, now)
        return now

    def _add(self, number: int, place: int, step: ForecastStep) -> None:
        for seconds in step.running:
            self.events.append((seconds, number, place, 1, step.part))
        if step.waiting:
            self.least = min(self.least, max(step.part, LEAST_PART) * ROUNDING)
            if not any(self.left[number][before] for before in step.after):
                self.ready.append((number, place))

    def _start(self, number: int, place: int, now: float) -> bool:
        """Start the tasks of a step that fit; return whether all of its tasks have started."""
        job = self.jobs[number]
        step, waiting = job.steps[place], self.waiting[number]
        part = max(step.part, LEAST_PART)
        free = min(self.room, self.teams.get(job.team, math.inf))
        if free < part * ROUNDING:
            return False
        count = min(waiting[place], int(free / (part * ROUNDING)))
        waiting[place] -= count
        self.room -= count * part
        if job.team in self.teams:
            self.teams[job.team] -= count * part
        heapq.heappush(self.events, (now + step.seconds, number, place, count, part))
        return not waiting[place]

    def _end(self, number: int, place: int, count: int, part: float, when: float) -> None:
        job, left = self.jobs[number], self.left[number]
        if job.team in self.teams:
            self.teams[job.team] += count * part
        left[place] -= count
        if left[place]:
            return
        if not any(left):
            self.ends[number] = when
        for following, step in enumerate(job.steps):
            waits = place in step.after and self.waiting[number][following]
            if waits and not any(left[before] for before in step.after):
                bisect.insort(self.ready, (number, following))
