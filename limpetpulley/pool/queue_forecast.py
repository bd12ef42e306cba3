"""Predictions of a pool's owner for its queue and for new jobs. No I/O."""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterable

from ..batch import Amount, Job, JobSpec, QueueRule
from ..quota.shares import TeamShares
from ..scheduling.batch_admission import Prediction, objective_seconds
from ..scheduling.forecast import ForecastJob, ForecastStep, play_forward
from ..scheduling.placement import is_plain
from .state import PoolState
from .planning import behind_room, rank

__all__ = [
    "QueueOutlook",
    "expected_objective",
    "least_workers",
    "predict_without_wait",
    "pool_room",
    "ready_cores",
    "remaining_work",
    "wanted_by_team",
]

#: fraction of a pool's capacity that a step may use at once before the latency objective counts it
#: in several waves; from the users' rule for the objective
WAVE_SHARE = 0.25
#: minimum remaining time that is assumed for a running task, in seconds
LEAST_REST_SECONDS = 0.05
#: fraction of the capacity that tasks of unequal size can fill
PACKED_PART = 0.95
#: team name under which the capacity for jobs that run behind all others is kept
BEHIND = "@behind"


def pool_capacity(book: PoolState) -> Amount:
    """Return the total capacity of all workers that accept tasks."""
    room = Amount()
    for worker in _open_workers(book):
        room = room + worker.listed.capacity
    return room


class QueueForecast:
    """Prediction of when the jobs of a pool's queue end, with and without one more job.

    :param team: team that the new job is charged to
    :param now: local time
    :param wall_time: wall-clock time, in seconds since 1970
    """

    def __init__(self, book: PoolState, shares: TeamShares, team: str, now: float, day: float):
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
        # Queue position and forecast of the job predicted last, and the end times with it.
        self.predicted: tuple[int, ForecastJob, list[float]]

    def add_team(self, shares: TeamShares, team: str) -> None:
        """Add a team's available capacity, before one of its jobs is predicted."""
        if team not in self.teams:
            self.teams |= _team_room(self.book, shares, {team}, self.size)

    def accept(self, job: Job) -> None:
        """Add the job that was predicted last, once it is accepted."""
        place, row, ends = self.predicted
        self.rows.insert(place, row)
        self.jobs.insert(place, job)
        self.ends = ends

    def predict(self, candidate: Job, age: float = 0.0) -> Prediction:
        """Predict the effect of accepting a job.

        :param candidate: the job, as it would be added
        :param age: age of this forecast, in seconds
        """
        place = bisect.bisect_left(self.jobs, rank(candidate), key=rank)
        new = self._forecast(candidate)
        after = self._play([*self.rows[:place], new, *self.rows[place:]])
        self.predicted = (place, new, list(after))
        chain = candidate.spec.chain_seconds(tuple(step.seconds for step in new.steps))
        end = max(after.pop(place), age + chain)
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
        seconds = self.book.run_times.expected_seconds(job.key.queue, job.spec)
        steps = []
        for number, step in enumerate(job.spec.steps):
            begun = self.begun.get((job.key.job_id, number), ())
            rests = tuple(max(LEAST_REST_SECONDS, seconds[number] - gone) for gone in begun)
            waiting = max(0, job.left(number) - len(rests))
            part = part_of(step.charge, self.size)
            steps.append(ForecastStep(waiting, part, seconds[number], step.after, rests))
        return ForecastJob(steps, BEHIND if job.behind else job.team)


def predict_immediate_start(
    book: PoolState, shares: TeamShares, candidate: Job, day: float
) -> Prediction | None:
    """Predict a job that can start at once and delays no other, None if it may have to wait.

    This inexpensive check decides most jobs: those between peaks, and those of a peak once the VMs
    moved for it have joined.
    """
    if any(not book.jobs[job_id].behind for job_id in book.ready if _is_timely(book, job_id)):
        return None
    widest = max((step.charge * step.count for step in candidate.spec.steps), key=_millicores)
    needs_room = not all(is_plain(step) for step in candidate.spec.steps)
    free = [worker.room for worker in _open_workers(book)]
    cores = sum(room.cpu_millicores for room in free) * PACKED_PART
    memory = sum(room.memory_mb for room in free) * PACKED_PART
    if needs_room or widest.cpu_millicores > cores or widest.memory_mb > memory:
        return None
    if not all(any(step.charge.fits(room) for room in free) for step in candidate.spec.steps):
        return None
    if not shares.allows(candidate.team, book.usage.get(candidate.team, Amount()), widest):
        return None
    seconds = book.run_times.expected_seconds(candidate.key.queue, candidate.spec)
    return Prediction(
        candidate.spec.chain_seconds(seconds),
        candidate.due_by - day,
        len(candidate.spec.steps),
        remaining_work(book, candidate),
    )


def least_workers(book: PoolState) -> int:
    """Return the minimum number of workers over which the lasting tasks can be spread."""
    steps = [
        step
        for job in book.jobs.values()
        if job.spec.lasting and not job.state.final
        for step in job.spec.steps
        if step.max_per_worker
    ]
    return max((math.ceil(step.count / step.max_per_worker) for step in steps), default=0)


def ready_cores(book: PoolState) -> float:
    """Return the processors that the ready tasks would use if there were enough capacity."""
    millicores = 0
    for job_id, tasks in book.ready.items():
        job = book.jobs[job_id]
        if book.may_start(job):
            millicores += sum(job.step_of(task).need.cpu_millicores for task in tasks)
    return millicores / 1000


def remaining_work(book: PoolState, job: Job) -> float:
    """Return the expected remaining work of a job, in core-seconds."""
    seconds = book.run_times.expected_seconds(job.key.queue, job.spec)
    return sum(
        job.left(number) * step.need.cpu_millicores / 1000 * seconds[number]
        for number, step in enumerate(job.spec.steps)
    )


def expected_objective(
    book: PoolState, shares: TeamShares, queue: QueueRule, spec: JobSpec, team: str
) -> float:
    """Return the latency objective of a new job: the time in which it should end, in seconds.

    A step that is wider than a fraction of the pool's capacity, or than its team's limit, counts as
    several waves, as in the users' objective.
    """
    seconds = book.run_times.expected_seconds(queue.name, spec)
    room = pool_capacity(book).cpu_millicores / 1000
    most = min(room * WAVE_SHARE, shares.limit_cores(team))
    waves = []
    for step, each in zip(spec.steps, seconds, strict=True):
        width = step.count * step.need.cpu_millicores / 1000
        waves.append(each * (max(1, math.ceil(width / most)) if most > 0 else 1))
    chain = spec.chain_seconds(tuple(waves))
    return objective_seconds(queue.stretch, chain, queue.latency_target_seconds)


def demand_by_team(book: PoolState) -> dict[str, Amount]:
    """Return the resources of running and ready tasks, by team."""
    wanted = dict(book.usage)
    for job_id, tasks in book.ready.items():
        job = book.jobs[job_id]
        for task in tasks:
            charge = job.step_of(task).charge
            wanted[job.team] = wanted.get(job.team, Amount()) + charge
    return wanted


def _open_workers(book: PoolState):
    return [
        worker
        for worker in book.workers.values()
        if worker.present and not worker.cordoned and not worker.listed.draining
    ]


def _is_timely(book: PoolState, job_id: str) -> bool:
    return not book.jobs[job_id].spec.lasting


def _millicores(amount: Amount) -> int:
    return amount.cpu_millicores


def _largest(book: PoolState) -> Amount:
    """Return the largest worker capacity in each dimension."""
    sizes = [worker.listed.capacity for worker in book.workers.values()] or [Amount()]
    return Amount(
        max(size.cpu_millicores for size in sizes),
        max(size.memory_mb for size in sizes),
        max(size.accelerators for size in sizes),
    )


def part_of(need: Amount, size: Amount) -> float:
    """Return the fraction of a worker that a demand takes in its scarcest dimension."""
    return max(
        need.cpu_millicores / (size.cpu_millicores or 1),
        need.memory_mb / (size.memory_mb or 1),
        need.accelerators / (size.accelerators or 1),
    )


def _free_room(book: PoolState, size: Amount) -> float:
    free = 0.0
    for worker in _open_workers(book):
        used = sum(part_of(run.charge, size) for run in worker.runs.values())
        free += PACKED_PART * part_of(worker.listed.capacity, size) - used
    return free


def _team_room(
    book: PoolState, shares: TeamShares, teams: Iterable[str], size: Amount
) -> dict[str, float]:
    """Return what each team with a limit may use beyond its running tasks, in workers."""
    found: dict[str, float] = {}
    for team in teams:
        cores = shares.available_cores(team)
        if math.isfinite(cores):
            running = book.usage.get(team, Amount()).cpu_millicores / 1000
            found[team] = (cores - running) * 1000 / (size.cpu_millicores or 1)
    return found


def _begun_by_step(book: PoolState, now: float) -> dict[tuple[str, int], list[float]]:
    """Return the elapsed times of the runs by job and step, in seconds."""
    found: dict[tuple[str, int], list[float]] = {}
    for run in book.runs.values():
        gone = now - run.begun_at if run.begun_at is not None else 0.0
        found.setdefault((run.task.job_id, run.task.step), []).append(gone)
    return found
