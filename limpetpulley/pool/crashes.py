"""Tasks that crash each worker that starts them: how they are found and given up. No I/O.

Such a crash follows the start at once, so only the runs that a worker did not outlive for a moment
are suspects when it crashes. Each crash adds to the suspicion of its suspects, which is divided
among them. A suspect is started again only by itself: on a worker that has outlived the start of
all its other runs, and where nothing else starts until it has outlived this one as well. The next
crash therefore has one suspect, and a task that was only beside the cause is cleared.

A worker that was being drained has ended as planned and has not crashed. If several workers crash
at once, as a rack does, a common cause is likelier than a task; each task is excused for that once.
Where workers crash often without any start as the cause, a crash counts for less; see
:mod:`.crash_history`.

A crash is known from the list of VMs or from the worker's next incarnation, soon after the start
that caused it, or by a connection lost then. A worker that is silent and not listed may live: when
the leases have lapsed there, what had just started is started by itself, but nothing is held
against it. A lasting job is never given up; a task of it that goes on crashing its workers is
started at growing intervals.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..batch import Job, TaskId
from ..workers import Run, Worker
from .events import PoolEvent
from .retries import CRASH_PACE

if TYPE_CHECKING:
    from .state import PoolState

__all__ = [
    "clear_suspect",
    "clear_survivors",
    "fail_crashing_jobs",
    "has_crashed",
    "has_outlived_start",
    "is_suspect",
    "may_start_suspect",
    "note_heartbeat",
    "record_crash",
    "suspect_runs",
    "suspend_judgement",
]

#: time after a run's start within which a crash of its worker may be due to it, in seconds
STARTUP_SECONDS = 0.2
#: time after a run's start within which the loss of the connection to its worker may be due to it,
#: in seconds; longer than the start-up, because the owner's own delays are added
LOSS_SECONDS = 0.5
#: longest time after which a heartbeat is seen, in seconds
HEARTBEAT_DELAY_SECONDS = 2.0
#: time of silence after which a crash is not attributed to a start before it, unless the connection
#: was lost then, in seconds
MAX_SILENCE_SECONDS = 2.5
#: suspicion at which a task is given up: two crashes for which there was no other suspect, more
#: where workers crash often for other reasons
MAX_SUSPICION = 2.0
#: suspicion from which on the tasks of a job are started one at a time
LIKELY_SUSPICION = 1.0
#: number of crashes at which a task is given up, however many other suspects there were
MAX_CRASHES = 4


def has_outlived_start(worker: Worker, run: Run) -> bool:
    """Return whether a worker was alive some time after the start of a run on it.

    It was if it has replied or written a heartbeat since. A crash also closes its connections, so
    that one which is lost later was not caused by the start.
    """
    if run.ordered_at is None:
        return True
    if run.started_at is None:
        return False
    if worker.lost_at is not None and worker.lost_at >= run.started_at + LOSS_SECONDS:
        return True
    if worker.heartbeat_at >= run.started_at + STARTUP_SECONDS + HEARTBEAT_DELAY_SECONDS:
        return True
    return worker.last_reply_at >= run.started_at + STARTUP_SECONDS


def note_heartbeat(worker: Worker, now: float) -> None:
    """Note that a new heartbeat of a worker was seen: it has outlived what was lost before.

    :param now: local time
    """
    worker.heartbeat_at = now
    worker.lost_starts = []


def suspect_runs(worker: Worker) -> list[Run]:
    """Return the runs that may be the cause if a worker has crashed now."""
    return [run for run in worker.runs.values() if not has_outlived_start(worker, run)]


def is_suspect(pool_state: PoolState, job: Job, task: TaskId) -> bool:
    """Return whether a task must be started by itself."""
    return bool(pool_state.suspects) and job.attempt_unit(task) in pool_state.suspects


def suspend_judgement(pool_state: PoolState, worker: Worker) -> None:
    """Remember the suspects on a silent worker whose runs are dropped before its end is known."""
    for run in suspect_runs(worker):
        worker.lost_starts.append((run.task, run.number))
        job = pool_state.jobs.get(run.task.job_id)
        if job is not None and job.needs_run(run.task):
            unit = job.attempt_unit(run.task)
            pool_state.suspects.add(unit)
            pool_state.retries.note_setback(unit, run.number, pool_state.scanned_at)


def has_crashed(worker: Worker) -> bool:
    """Return whether a worker that has ended was not being drained."""
    return not worker.cordoned and not worker.listed.draining


def record_crash(
    pool_state: PoolState, worker: Worker, evidence: str, beside_others: bool = False
) -> None:
    """Record that a worker has ended, before its runs are dropped, unless that was planned.

    :param evidence: by what the worker is known to have ended, for the log
    :param beside_others: whether other workers have crashed at the same time
    """
    lost = [*((run.task, run.number) for run in suspect_runs(worker)), *worker.lost_starts]
    worker.lost_starts = []
    pool_state.trials.pop(worker.worker_id, None)
    if not has_crashed(worker):
        return
    pool_state.crashed_vms[worker.listed.vm] = worker.last_reply_at
    units = {}
    for task, number in lost:
        job = pool_state.jobs.get(task.job_id)
        if job is not None and job.needs_run(task):
            units[job.attempt_unit(task)] = (job, task, number)
    now = max(pool_state.scanned_at, worker.last_reply_at)
    if units or not lost:
        # What had just started of jobs that have ended may be the cause, and is not cleared.
        suspects = {unit: number for unit, (_, _, number) in units.items()}
        pool_state.crash_history.note_crash(suspects, now)
    if beside_others:
        for unit in units.keys() - pool_state.suspects - pool_state.excused:
            pool_state.excused.add(unit)
            del units[unit]
    if worker.lost_at is None and now - worker.last_reply_at > MAX_SILENCE_SECONDS:
        pool_state.suspects.update(units)
        units = {}
    for unit, (job, task, number) in units.items():
        pool_state.suspects.add(unit)
        share = _evidence(pool_state, job, unit, now) / len(units)
        if job.note_crash(task, number, share):
            pool_state.progress.mark_changed(job.key.job_id)
            if job.step_of(task).lasting:
                _pace_lasting(pool_state, job, unit, number, now)
        pool_state.on_event(
            PoolEvent(
                "task-suspected",
                worker.worker_id,
                task,
                number,
                f"crashes {len(job.crashes[unit])}, suspicion {job.suspicion(task):.2f}",
                worker.listed.incarnation,
            )
        )
    names = ", ".join(".".join(map(str, task)) for task, _ in lost) or "none"
    detail = f"{evidence}: {len(worker.runs)} runs lost, of which just started: {names}"
    life = worker.listed.incarnation
    pool_state.on_event(PoolEvent("worker-crashed", worker.worker_id, detail=detail, life=life))


def _evidence(pool_state: PoolState, job: Job, unit: TaskId, now: float) -> float:
    """Return how much a crash says about a task, or a gang, that had just started, from 0 to 1."""
    workers = sum(worker.present for worker in pool_state.workers.values())
    starts = {
        run.worker_id
        for run in pool_state.runs_of(job.key.job_id)
        if job.attempt_unit(run.task) == unit
    }
    return pool_state.crash_history.evidence(workers, max(1, len(starts)), now)


def _pace_lasting(pool_state: PoolState, job: Job, unit: TaskId, number: int, now: float) -> None:
    """Delay the next start of a lasting task, and keep no more of its crashes than count."""
    shares = job.crashes[unit]
    for earlier in sorted(shares)[:-MAX_CRASHES]:
        del shares[earlier]
    pool_state.retries.note_setback(unit, number, now, CRASH_PACE)


def clear_survivors(pool_state: PoolState, worker: Worker) -> None:
    """Clear the suspects whose start a worker has outlived."""
    worker.lost_starts = []
    if pool_state.suspects or pool_state.crash_history.has_suspects(worker.last_reply_at):
        for run in worker.runs.values():
            if has_outlived_start(worker, run):
                clear_suspect(pool_state, worker, run.task, run.number)


def clear_suspect(pool_state: PoolState, worker: Worker, task: TaskId, number: int) -> None:
    """Clear a task, if it is a suspect, because a worker has outlived the start of its run.

    :param number: number of the run; those of before the last crash prove nothing
    """
    job = pool_state.jobs.get(task.job_id)
    if job is None:
        return
    unit = job.attempt_unit(task)
    pool_state.crash_history.clear(unit, number)
    if not is_suspect(pool_state, job, task):
        return
    if number <= max(job.crashes.get(unit, ()), default=0):
        return
    pool_state.suspects.discard(unit)
    if pool_state.trials.pop(worker.worker_id, None) is not None:
        pool_state.ended_trials.add(worker.worker_id)
    job.crashes.pop(unit, None)
    life = worker.listed.incarnation
    pool_state.on_event(PoolEvent("task-cleared", worker.worker_id, task, number, life=life))


def fail_crashing_jobs(pool_state: PoolState, wall_time: float) -> None:
    """Fail the jobs with a task that ends by itself and has crashed too many workers.

    :param wall_time: wall-clock time, in seconds since 1970
    """
    for unit in list(pool_state.suspects):
        job = pool_state.jobs.get(unit.job_id)
        if job is None or job.state.is_final:
            pool_state.suspects.discard(unit)
            continue
        crashes = len(job.crashes.get(unit, ()))
        if job.step_of(unit).lasting:
            continue
        if job.suspicion(unit) < MAX_SUSPICION and crashes < MAX_CRASHES:
            continue
        job.fail(wall_time)
        detail = f"crashed {crashes} workers, suspicion {job.suspicion(unit):.2f}"
        pool_state.on_event(PoolEvent("task-given-up", "", unit, detail=detail))
        pool_state.progress.mark_changed(job.key.job_id)
        pool_state.update_ready_tasks(job, wall_time)


def may_start_suspect(pool_state: PoolState, job: Job) -> bool:
    """Return whether a suspect of a job may be started now.

    Repeated crashes must be stored if the job may be given up, so that a later owner counts them
    too. If one of them was the only suspect of a crash, they are started one at a time, because the
    tasks of a job are alike and may all be the cause.
    """
    is_likely = any(job.suspicion(unit) >= LIKELY_SUSPICION for unit in job.crashes)
    if not is_likely:
        return True
    is_repeated = any(
        len(shares) > 1 and not job.step_of(unit).lasting for unit, shares in job.crashes.items()
    )
    if is_repeated and not pool_state.progress.is_stored(job.key.job_id):
        return False
    return not any(
        job.attempt_unit(run.task) in job.crashes
        and not has_outlived_start(pool_state.workers[run.worker_id], run)
        for run in pool_state.runs_of(job.key.job_id)
    )
