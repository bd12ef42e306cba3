"""Predictions of a pool's owner for its queue and for new jobs. No I/O."""

from __future__ import annotations

import bisect
import math
from collections import Counter
from collections.abc import Iterable

from ..batch import Amount, Job, JobSpec, QueueConfig
from ..quota.shares import TeamShares
from ..scheduling.batch_admission import Prediction, objective_seconds
from ..scheduling.forecast import ForecastJob, ForecastStep, simulate_queue
from ..scheduling.placement import is_unconstrained
from ..workers import Worker
from .ready_jobs import behind_capacity, rank
from .state import PoolState
from .unseen_runs import team_usage

__all__ = [
    "QueueForecast",
    "available_workers",
    "demand_by_team",
    "expected_objective",
    "least_workers",
    "pool_capacity",
    "predict_immediate_start",
    "ready_cores",
    "remaining_work",
]

#: fraction of a pool's capacity that a step may use at once before the latency objective counts it
#: in several waves; from the users' rule for the objective
WAVE_FRACTION = 0.25
#: minimum remaining time that is assumed for a running task, in seconds
MIN_REMAINING_SECONDS = 0.05
#: fraction of the capacity that tasks of unequal size can fill
PACKABLE_FRACTION = 0.95
#: team name under which the capacity for jobs that run behind all others is kept
BEHIND_TEAM = "@behind"


def pool_capacity(pool_state: PoolState) -> Amount:
    """Return the total capacity of all workers that accept tasks."""
    capacity = Amount()
    for worker in available_workers(pool_state):
        capacity = capacity + worker.listed.capacity
    return capacity


class QueueForecast:
    """Prediction of when the jobs of a pool's queue end, with and without one more job.

    :param team: team that the new job is charged to
    :param now: local time
    :param wall_time: wall-clock time, in seconds since 1970
    """

    def __init__(
        self, pool_state: PoolState, shares: TeamShares, team: str, now: float, wall_time: float
    ):
        self.pool_state = pool_state
        self.now = now
        self.wall_time = wall_time
        self.worker_size = _largest_capacity(pool_state)
        self.jobs = [
            job
            for job in pool_state.jobs.values()
            if not job.state.is_final and not job.spec.lasting and not job.spec.timed
        ]
        self.jobs.sort(key=rank)
        self.team_capacity = _team_capacity(
            pool_state, shares, {job.team for job in self.jobs} | {team}, self.worker_size
        )
        self.team_capacity[BEHIND_TEAM] = behind_capacity(pool_state) / (
            self.worker_size.cpu_millicores or 1
        )
        self.free_capacity = _free_capacity(pool_state, self.worker_size)
        self.expected_join_times = tuple(
            (max(0.0, when - now), PACKABLE_FRACTION) for when in pool_state.expected_join_times
        )
        self.elapsed_by_step = _elapsed_by_step(pool_state, now)
        self.forecast_jobs = [self._forecast(job) for job in self.jobs]
        self.ends = self._simulate(self.forecast_jobs)
        # Queue position and forecast of the job predicted last, and the end times with it.
        self.last_prediction: tuple[int, ForecastJob, list[float]]

    def add_team(self, shares: TeamShares, team: str) -> None:
        """Add a team's available capacity, before one of its jobs is predicted."""
        if team not in self.team_capacity:
            self.team_capacity |= _team_capacity(self.pool_state, shares, {team}, self.worker_size)

    def accept(self, job: Job) -> None:
        """Add the job that was predicted last, once it is accepted."""
        position, forecast, ends = self.last_prediction
        self.forecast_jobs.insert(position, forecast)
        self.jobs.insert(position, job)
        self.ends = ends

    def predict(self, candidate: Job, age: float = 0.0) -> Prediction:
        """Predict the effect of accepting a job.

        :param candidate: the job, as it would be added
        :param age: age of this forecast, in seconds
        """
        position = bisect.bisect_left(self.jobs, rank(candidate), key=rank)
        new = self._forecast(candidate)
        new_ends = self._simulate(
            [*self.forecast_jobs[:position], new, *self.forecast_jobs[position:]]
        )
        self.last_prediction = (position, new, list(new_ends))
        critical_path = candidate.spec.critical_path_seconds(
            tuple(step.seconds for step in new.steps)
        )
        end = max(new_ends.pop(position), age + critical_path)
        harmed = sum(
            remaining_work(self.pool_state, job)
            for job, end_before, end_after in zip(self.jobs, self.ends, new_ends, strict=True)
            if not job.behind
            and self.wall_time + end_before <= job.due_by < self.wall_time + end_after
        )
        return Prediction(
            end,
            candidate.due_by - self.wall_time,
            len(candidate.spec.steps),
            remaining_work(self.pool_state, candidate),
            harmed,
        )

    def _simulate(self, forecast_jobs: list[ForecastJob]) -> list[float]:
        return simulate_queue(
            forecast_jobs, self.free_capacity, self.team_capacity, self.expected_join_times
        )

    def _forecast(self, job: Job) -> ForecastJob:
        seconds = self.pool_state.run_times.expected_seconds(job.key.queue, job.spec)
        steps = []
        for number, step in enumerate(job.spec.steps):
            elapsed = self.elapsed_by_step.get((job.key.job_id, number), ())
            remaining = tuple(
                max(MIN_REMAINING_SECONDS, seconds[number] - elapsed_seconds)
                for elapsed_seconds in elapsed
            )
            waiting = max(0, job.remaining_tasks(number) - len(remaining))
            worker_fraction = fraction_of_worker(step.charge, self.worker_size)
            steps.append(
                ForecastStep(waiting, worker_fraction, seconds[number], step.after, remaining)
            )
        return ForecastJob(steps, BEHIND_TEAM if job.behind else job.team)


def predict_immediate_start(
    pool_state: PoolState, shares: TeamShares, candidate: Job, wall_time: float
) -> Prediction | None:
    """Predict a job that can start at once and delays no other, None if it may have to wait.

    This inexpensive check decides most jobs: those between peaks, and those of a peak once the VMs
    moved for it have joined.
    """
    if any(
        not pool_state.jobs[job_id].behind
        for job_id in pool_state.ready
        if _is_finite(pool_state, job_id)
    ):
        return None
    widest = max((step.charge * step.count for step in candidate.spec.steps), key=_millicores)
    is_constrained = not all(is_unconstrained(step) for step in candidate.spec.steps)
    free = [worker.room for worker in available_workers(pool_state)]
    cores = sum(room.cpu_millicores for room in free) * PACKABLE_FRACTION
    memory = sum(room.memory_mb for room in free) * PACKABLE_FRACTION
    if is_constrained or widest.cpu_millicores > cores or widest.memory_mb > memory:
        return None
    if not all(any(step.charge.fits(room) for room in free) for step in candidate.spec.steps):
        return None
    if not shares.allows(candidate.team, team_usage(pool_state, candidate.team), widest):
        return None
    seconds = pool_state.run_times.expected_seconds(candidate.key.queue, candidate.spec)
    return Prediction(
        candidate.spec.critical_path_seconds(seconds),
        candidate.due_by - wall_time,
        len(candidate.spec.steps),
        remaining_work(pool_state, candidate),
    )


def least_workers(pool_state: PoolState) -> int:
    """Return the minimum number of workers over which the lasting tasks can be spread."""
    steps = [
        step
        for job in pool_state.jobs.values()
        if job.spec.lasting and not job.state.is_final
        for step in job.spec.steps
        if step.max_per_worker
    ]
    return max((math.ceil(step.count / step.max_per_worker) for step in steps), default=0)


def ready_cores(pool_state: PoolState) -> float:
    """Return the processors that the ready tasks would use if there were enough capacity."""
    millicores = 0
    for job_id, tasks in pool_state.ready.items():
        job = pool_state.jobs[job_id]
        if pool_state.may_start(job):
            millicores += sum(job.step_of(task).need.cpu_millicores for task in tasks)
    return millicores / 1000


def remaining_work(pool_state: PoolState, job: Job) -> float:
    """Return the expected remaining work of a job, in core-seconds."""
    seconds = pool_state.run_times.expected_seconds(job.key.queue, job.spec)
    return sum(
        job.remaining_tasks(number) * step.need.cpu_millicores / 1000 * seconds[number]
        for number, step in enumerate(job.spec.steps)
    )


def expected_objective(
    pool_state: PoolState, shares: TeamShares, queue: QueueConfig, spec: JobSpec, team: str
) -> float:
    """Return the latency objective of a new job: the time in which it should end, in seconds.

    A step that is wider than a fraction of the pool's capacity, or than its team's limit, counts as
    several waves, as in the users' objective.
    """
    seconds = pool_state.run_times.expected_seconds(queue.name, spec)
    pool_cores = pool_capacity(pool_state).cpu_millicores / 1000
    max_cores = min(pool_cores * WAVE_FRACTION, shares.limit_cores(team))
    wave_seconds = []
    for step, step_seconds in zip(spec.steps, seconds, strict=True):
        width = step.count * step.need.cpu_millicores / 1000
        wave_seconds.append(
            step_seconds * (max(1, math.ceil(width / max_cores)) if max_cores > 0 else 1)
        )
    critical_path = spec.critical_path_seconds(tuple(wave_seconds))
    return objective_seconds(queue.stretch, critical_path, queue.latency_target_seconds)


def demand_by_team(pool_state: PoolState) -> dict[str, Amount]:
    """Return the resources of running and ready tasks, by team."""
    demand = dict(pool_state.usage)
    for job_id, tasks in pool_state.ready.items():
        job = pool_state.jobs[job_id]
        for number, count in Counter(task.step for task in tasks).items():
            charge = job.spec.steps[number].charge * count
            demand[job.team] = demand.get(job.team, Amount()) + charge
    return demand


def available_workers(pool_state: PoolState) -> list[Worker]:
    """Return the workers that accept tasks."""
    return [
        worker
        for worker in pool_state.workers.values()
        if worker.present and not worker.cordoned and not worker.listed.draining
    ]


def _is_finite(pool_state: PoolState, job_id: str) -> bool:
    return not pool_state.jobs[job_id].spec.lasting


def _millicores(amount: Amount) -> int:
    return amount.cpu_millicores


def _largest_capacity(pool_state: PoolState) -> Amount:
    """Return the largest worker capacity in each dimension."""
    sizes = [worker.listed.capacity for worker in pool_state.workers.values()] or [Amount()]
    return Amount(
        max(size.cpu_millicores for size in sizes),
        max(size.memory_mb for size in sizes),
        max(size.accelerators for size in sizes),
    )


def fraction_of_worker(need: Amount, worker_size: Amount) -> float:
    """Return the fraction of a worker that a demand takes in its scarcest dimension."""
    return max(
        need.cpu_millicores / (worker_size.cpu_millicores or 1),
        need.memory_mb / (worker_size.memory_mb or 1),
        need.accelerators / (worker_size.accelerators or 1),
    )


def _free_capacity(pool_state: PoolState, worker_size: Amount) -> float:
    free = 0.0
    for worker in available_workers(pool_state):
        used = sum(fraction_of_worker(run.charge, worker_size) for run in worker.runs.values())
        free += PACKABLE_FRACTION * fraction_of_worker(worker.listed.capacity, worker_size) - used
    return free


def _team_capacity(
    pool_state: PoolState, shares: TeamShares, teams: Iterable[str], worker_size: Amount
) -> dict[str, float]:
    """Return what each team with a limit may use beyond its running tasks, in workers."""
    found: dict[str, float] = {}
    for team in teams:
        cores = shares.available_cores(team)
        if math.isfinite(cores):
            running = pool_state.usage.get(team, Amount()).cpu_millicores / 1000
            found[team] = (cores - running) * 1000 / (worker_size.cpu_millicores or 1)
    return found


def _elapsed_by_step(pool_state: PoolState, now: float) -> dict[tuple[str, int], list[float]]:
    """Return the elapsed times of the runs by job and step, in seconds."""
    found: dict[tuple[str, int], list[float]] = {}
    for run in pool_state.runs.values():
        elapsed_seconds = now - run.ordered_at if run.ordered_at is not None else 0.0
        found.setdefault((run.task.job_id, run.task.step), []).append(elapsed_seconds)
    return found
