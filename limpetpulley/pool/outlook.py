"""What a pool's owner predicts about its queue and about a new job. No I/O."""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterable

from ..batch import Amount, Job, JobSpec, QueueRule
from ..quota.shares import TeamShares
from ..scheduling.backlog import Prediction, objective_seconds
from ..scheduling.forecast import ForecastJob, ForecastStep, play_forward
from .book import PoolBook
from .planning import behind_room, rank

__all__ = [
    "QueueOutlook",
    "expected_objective",
    "least_workers",
    "pool_room",
    "ready_cores",
    "remaining_work",
    "wanted_by_team",
]

#: part of a pool's room that a step may take at once before its objective counts it in waves;
#: from the users' rule for the objective
WAVE_SHARE = 0.25
#: shortest time that a running task is expected to run on, in seconds
LEAST_REST_SECONDS = 0.05
#: part of the room that tasks of unequal size can fill
PACKED_PART = 0.95
#: name under which the room for jobs that go behind others is kept among the teams' room
BEHIND = "@behind"


def pool_room(book: PoolBook) -> Amount:
    """Return the room of all workers that take tasks."""
    room = Amount()
    for worker in _open_workers(book):
        room = room + worker.listed.capacity
    return room


class QueueOutlook:
    """What is predicted of a pool's queue now, and of one more job in it.

    :param team: team that the new job is charged to
    :param now: local time
    :param day: time of day, in seconds since 1970
    """

    def __init__(self, book: PoolBook, shares: TeamShares, team: str, now: float, day: float):
        self.book = book
        self.now = now
        self.day = day
        self.size = _largest(book)
        self.jobs = [
            job
            for job in book.jobs.values()
            if not job.state.final and not job.spec.lasting and not job.spec.timed
        ]
        self.jobs.sort(key=rank)
        self.teams = _team_room(book, shares, {job.team for job in self.jobs} | {team}, self.size)
        self.teams[BEHIND] = behind_room(book) / (self.size.cpu_millicores or 1)
        self.room = _free_room(book, self.size)
        self.coming = tuple((max(0.0, when - now), PACKED_PART) for when in book.coming)
        self.begun = _begun_by_step(book, now)
        self.rows = [self._forecast(job) for job in self.jobs]
        self.ends = self._play(self.rows)

    def predict(self, candidate: Job) -> Prediction:
        """Predict what accepting a job would mean.

        :param candidate: the job, as it would be added
        """
        place = bisect.bisect_left(self.jobs, rank(candidate), key=rank)
        new = self._forecast(candidate)
        after = self._play([*self.rows[:place], new, *self.rows[place:]])
        end = after.pop(place)
        harmed = sum(
            remaining_work(self.book, job)
            for job, was, becomes in zip(self.jobs, self.ends, after, strict=True)
            if not job.behind and self.day + was <= job.due_by < self.day + becomes
        )
        return Prediction(
            end,
            candidate.due_by - self.day,
            len(candidate.spec.steps),
            remaining_work(self.book, candidate),
            harmed,
        )

    def _play(self, rows: list[ForecastJob]) -> list[float]:
        return play_forward(rows, self.room, self.teams, self.coming)

    def _forecast(self, job: Job) -> ForecastJob:
        seconds = self.book.times.expect(job.key.queue, job.spec)
        steps = []
        for number, step in enumerate(job.spec.steps):
            begun = self.begun.get((job.key.job_id, number), ())
            rests = tuple(max(LEAST_REST_SECONDS, seconds[number] - gone) for gone in begun)
            waiting = max(0, job.left(number) - len(rests))
            part = part_of(step.charge, self.size)
            steps.append(ForecastStep(waiting, part, seconds[number], step.after, rests))
        return ForecastJob(steps, BEHIND if job.behind else job.team)


def least_workers(book: PoolBook) -> int:
    """Return the fewest workers over which the tasks that last can be spread."""
    steps = [
        step
        for job in book.jobs.values()
        if job.spec.lasting and not job.state.final
        for step in job.spec.steps
        if step.max_per_worker
    ]
    return max((math.ceil(step.count / step.max_per_worker) for step in steps), default=0)


def ready_cores(book: PoolBook) -> float:
    """Return the processors that waiting tasks would use now if there were room."""
    millicores = 0
    for job_id, tasks in book.ready.items():
        job = book.jobs[job_id]
        if book.may_start(job):
            millicores += sum(job.step_of(task).need.cpu_millicores for task in tasks)
    return millicores / 1000


def remaining_work(book: PoolBook, job: Job) -> float:
    """Return the core-seconds that a job still needs."""
    seconds = book.times.expect(job.key.queue, job.spec)
    return sum(
        job.left(number) * step.need.cpu_millicores / 1000 * seconds[number]
        for number, step in enumerate(job.spec.steps)
    )


def expected_objective(
    book: PoolBook, shares: TeamShares, queue: QueueRule, spec: JobSpec, team: str
) -> float:
    """Return the longest time in which a new job should end.

    A step that is wider than a part of the pool's room, or than its team may run, counts in
    waves, as the users' objective does.
    """
    seconds = book.times.expect(queue.name, spec)
    room = pool_room(book).cpu_millicores / 1000
    most = min(room * WAVE_SHARE, shares.limit_cores(team))
    waves = []
    for step, each in zip(spec.steps, seconds, strict=True):
        width = step.count * step.need.cpu_millicores / 1000
        waves.append(each * (max(1, math.ceil(width / most)) if most > 0 else 1))
    chain = spec.chain_seconds(tuple(waves))
    return objective_seconds(queue.stretch, chain, queue.latency_target_seconds)


def wanted_by_team(book: PoolBook) -> dict[str, Amount]:
    """Return what runs and what waits for a start now, by team."""
    wanted = dict(book.usage)
    for job_id, tasks in book.ready.items():
        job = book.jobs[job_id]
        for task in tasks:
            charge = job.step_of(task).charge
            wanted[job.team] = wanted.get(job.team, Amount()) + charge
    return wanted


def _open_workers(book: PoolBook):
    return [
        worker
        for worker in book.workers.values()
        if worker.present and not worker.cordoned and not worker.listed.draining
    ]


def _largest(book: PoolBook) -> Amount:
    """Return the room of a worker, in each dimension the largest."""
    sizes = [worker.listed.capacity for worker in book.workers.values()] or [Amount()]
    return Amount(
        max(size.cpu_millicores for size in sizes),
        max(size.memory_mb for size in sizes),
        max(size.accelerators for size in sizes),
    )


def part_of(need: Amount, size: Amount) -> float:
    """Return the part of a worker that a need takes in its scarcest dimension."""
    return max(
        need.cpu_millicores / (size.cpu_millicores or 1),
        need.memory_mb / (size.memory_mb or 1),
        need.accelerators / (size.accelerators or 1),
    )


def _free_room(book: PoolBook, size: Amount) -> float:
    free = 0.0
    for worker in _open_workers(book):
        used = sum(part_of(run.charge, size) for run in worker.runs.values())
        free += PACKED_PART * part_of(worker.listed.capacity, size) - used
    return free


def _team_room(
    book: PoolBook, shares: TeamShares, teams: Iterable[str], size: Amount
) -> dict[str, float]:
    """Return what each team with a limit may take beyond what it runs, in workers."""
    found: dict[str, float] = {}
    for team in teams:
        cores = shares.available_cores(team)
        if math.isfinite(cores):
            running = book.usage.get(team, Amount()).cpu_millicores / 1000
            found[team] = (cores - running) * 1000 / (size.cpu_millicores or 1)
    return found


def _begun_by_step(book: PoolBook, now: float) -> dict[tuple[str, int], list[float]]:
    """Return for how long the runs of each job's step have run, in seconds."""
    found: dict[tuple[str, int], list[float]] = {}
    for run in book.runs.values():
        gone = now - run.begun_at if run.begun_at is not None else 0.0
        found.setdefault((run.task.job_id, run.task.step), []).append(gone)
    return found
