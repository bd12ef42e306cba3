"""What a pool's owner predicts about its backlog and about a new job. No I/O."""

from __future__ import annotations

import math

from ..batch import Amount, JobSpec, QueueRule
from ..quota.shares import TeamShares
from ..scheduling.backlog import WAVE_SHARE, Backlog, JobOutlook, objective_seconds
from .book import PoolBook

__all__ = ["backlog_ahead", "job_outlook", "pool_room", "wanted_by_team"]


def pool_room(book: PoolBook) -> Amount:
    """Return the room of all workers that take tasks."""
    room = Amount()
    for worker in book.workers.values():
        if worker.present and not worker.cordoned and not worker.listed.draining:
            room = room + worker.listed.capacity
    return room


def lasting_use(book: PoolBook) -> Amount:
    """Return the room that tasks without an end take."""
    use = Amount()
    for job in book.jobs.values():
        if job.spec.lasting and not job.state.final:
            for step in job.spec.steps:
                use = use + step.charge * step.count
    return use


def backlog_ahead(book: PoolBook, shares: TeamShares, priority: int, team: str) -> Backlog:
    """Return what is ahead of a new job of a priority and team."""
    room = pool_room(book).cpu_millicores - lasting_use(book).cpu_millicores
    all_work = team_work = 0.0
    for job in book.jobs.values():
        if job.state.final or job.spec.lasting or job.priority > priority:
            continue
        work = remaining_work(book, job.key.job_id)
        all_work += work
        if job.team == team:
            team_work += work
    return Backlog(max(0.0, room / 1000), all_work, shares.available_cores(team), team_work)


def remaining_work(book: PoolBook, job_id: str) -> float:
    """Return the core-seconds that a job still needs; a running task counts half."""
    job = book.jobs[job_id]
    seconds = book.times.expect(job.key.queue, job.spec)
    work = 0.0
    for number, step in enumerate(job.spec.steps):
        done = sum(1 for task in job.done if task.step == number)
        work += (step.count - done) * step.need.cpu_millicores / 1000 * seconds[number]
    for run in book.runs_of(job_id):
        step = job.spec.steps[run.task.step]
        work -= step.need.cpu_millicores / 1000 * seconds[run.task.step] / 2
    return work


def job_outlook(
    book: PoolBook, shares: TeamShares, queue: QueueRule, spec: JobSpec, team: str, elapsed: float
) -> JobOutlook:
    """Return what a new job needs.

    A step that is wider than a part of the pool's room, or than its team may run, counts in
    waves, as the objective does.

    :param elapsed: time since its caller first asked, in seconds
    """
    seconds = book.times.expect(queue.name, spec)
    room = pool_room(book).cpu_millicores / 1000
    most = min(room * WAVE_SHARE, shares.limit_cores(team))
    waves = []
    for step, each in zip(spec.steps, seconds, strict=True):
        width = step.count * step.need.cpu_millicores / 1000
        waves.append(each * (max(1, math.ceil(width / most)) if most > 0 else 1))
    chain = spec.chain_seconds(tuple(waves))
    return JobOutlook(
        spec.chain_seconds(seconds),
        spec.work_core_seconds(seconds),
        objective_seconds(queue.stretch, chain, queue.latency_target_seconds),
        elapsed,
        len(spec.steps),
    )


def wanted_by_team(book: PoolBook) -> dict[str, Amount]:
    """Return what runs and what waits for a start now, by team."""
    wanted = dict(book.usage)
    for job_id, tasks in book.ready.items():
        job = book.jobs[job_id]
        for task in tasks:
            charge = job.step_of(task).charge
            wanted[job.team] = wanted.get(job.team, Amount()) + charge
    return wanted
