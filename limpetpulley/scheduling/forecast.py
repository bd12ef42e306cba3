"""When jobs of steps will end on a pool, by playing its queue forward. No I/O.

Answers queues that peak in turn at about five times their mean, beyond what their pool holds: a
new job is judged by when it would end behind the jobs that go first, and by which jobs it would
make late. Room is one number, the part of a worker that a task takes in its scarcest dimension,
so that a step costs a few operations.
"""

from __future__ import annotations

import heapq
import math

import attrs

__all__ = ["ForecastJob", "ForecastStep", "play_forward"]

#: how far the queue is played, in seconds; what ends later counts as late
HORIZON_SECONDS = 20.0
#: smallest part of a worker that a task counts as
LEAST_PART = 1e-4


@attrs.define(eq=False)
class ForecastStep:
    """A step's tasks that are not done.

    :param waiting: tasks that wait
    :param part: part of a worker that one task takes
    :param seconds: run time of a task
    :param after: numbers of the steps that must be done first
    :param running: for each task that runs, the seconds until it ends
    """

    waiting: int
    part: float
    seconds: float
    after: tuple[int, ...] = ()
    running: tuple[float, ...] = ()


@attrs.define(eq=False)
class ForecastJob:
    """A job in the order in which jobs are started.

    :param team: team that it is charged to, empty for none
    """

    steps: list[ForecastStep]
    team: str = ""


@attrs.define(eq=False)
class _Play:
    room: float
    teams: dict[str, float]
    waiting: list[list[int]]
    left: list[list[int]]
    ends: list[float]
    events: list[tuple[float, int, int, int, float]] = attrs.field(factory=list)


def play_forward(
    jobs: list[ForecastJob],
    room: float,
    teams: dict[str, float],
    coming: tuple[tuple[float, float], ...] = (),
) -> list[float]:
    """Return when each job ends, in seconds from now; infinite beyond the horizon.

    :param jobs: in the order in which they are started
    :param room: workers' room that is free now, in workers
    :param teams: what each team may take beyond what it runs now, in workers
    :param coming: when further room joins, in seconds from now, and how much
    """
    play = _Play(
        room,
        dict(teams),
        [[step.waiting for step in job.steps] for job in jobs],
        [[step.waiting + len(step.running) for step in job.steps] for job in jobs],
        [math.inf] * len(jobs),
    )
    for number, job in enumerate(jobs):
        for place, step in enumerate(job.steps):
            for seconds in step.running:
                heapq.heappush(play.events, (seconds, number, place, 1, step.part))
    for when, more in coming:
        heapq.heappush(play.events, (when, -1, 0, 0, more))
    open_jobs = list(range(len(jobs)))
    now = 0.0
    while True:
        open_jobs = [number for number in open_jobs if _start(play, jobs, number, now)]
        if not play.events or now > HORIZON_SECONDS:
            return play.ends
        now = _advance(play, jobs)


def _start(play: _Play, jobs: list[ForecastJob], number: int, now: float) -> bool:
    """Start what fits of a job; return whether any of its tasks still wait."""
    job, waiting, left = jobs[number], play.waiting[number], play.left[number]
    if not any(waiting):
        return False
    for place, step in enumerate(job.steps):
        if not waiting[place] or any(left[before] for before in step.after):
            continue
        part = max(step.part, LEAST_PART)
        free = min(play.room, play.teams.get(job.team, math.inf))
        count = min(waiting[place], int(free / part + 1e-9)) if free > 0 else 0
        if count:
            waiting[place] -= count
            play.room -= count * part
            if job.team in play.teams:
                play.teams[job.team] -= count * part
            heapq.heappush(play.events, (now + step.seconds, number, place, count, part))
    return any(waiting)


def _advance(play: _Play, jobs: list[ForecastJob]) -> float:
    """Let the next tasks end, with those that end at the same time; return when."""
    now = play.events[0][0]
    while play.events and play.events[0][0] <= now:
        _, number, place, count, part = heapq.heappop(play.events)
        if number < 0:
            play.room += part
            continue
        play.room += count * part
        team = jobs[number].team
        if team in play.teams:
            play.teams[team] += count * part
        left = play.left[number]
        left[place] -= count
        if not any(left):
            play.ends[number] = now
    return now
