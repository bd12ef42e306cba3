"""Evidence on whose fault failed runs are: the step's or the worker's. No I/O.

A failed run counts against its worker only as far as runs of the same step do not fail on others as
well. A worker with enough such failures since its last successful run is doubted. That changes the
order in which workers are used and never empties a pool: a doubted worker takes what fits on no
other. Only while other workers are soon free does it take one task that ends by itself at a time.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from ..batch import TaskId
from ..workers import Worker
from .events import PoolEvent

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["FailureEvidence", "is_busy", "weigh_run"]

#: number of failed runs that count against a worker from which on it is doubted
MIN_DOUBT = 3.0
#: failure rate on other workers that is assumed for a step of which no run has ended there
UNKNOWN_FAILURE_RATE = 0.5
#: time after which an end is no evidence any more, in seconds
EVIDENCE_SECONDS = 10.0
#: shortest interval between two starts on a doubted worker in a busy pool, in seconds
PROBE_INTERVAL_SECONDS = 1.0
#: fraction of the capacity in use from which on a pool is busy
BUSY_FRACTION = 0.5

#: a step of a job, of one occurrence: runs of the same kind
StepKey = tuple[str, int, int]


@attrs.define
class _EndCounts:
    """Ends of a step's runs, on one worker or on all.

    :param last_at: local time of the last one
    """

    done: int = 0
    failed: int = 0
    last_at: float = 0.0

    def add(self, is_done: bool, now: float) -> None:
        """Count an end."""
        self.done += is_done
        self.failed += not is_done
        self.last_at = now


class FailureEvidence:
    """Ends of runs by step and worker, and the workers that are doubted because of them."""

    def __init__(self) -> None:
        self.ends: dict[StepKey, dict[str, _EndCounts]] = {}
        self.totals: dict[StepKey, _EndCounts] = {}
        # Failed runs on each worker since its last successful run, by step.
        self.failures: dict[str, Counter[StepKey]] = {}
        self.failed_at: dict[str, float] = {}
        self.probed_at: dict[str, float] = {}

    def note_end(self, step: StepKey, worker_id: str, is_done: bool, now: float) -> None:
        """Note that a run has ended on a worker, successfully or not."""
        self.ends.setdefault(step, {}).setdefault(worker_id, _EndCounts()).add(is_done, now)
        self.totals.setdefault(step, _EndCounts()).add(is_done, now)
        if is_done:
            self.forget_failures(worker_id)
        else:
            self.failures.setdefault(worker_id, Counter())[step] += 1
            self.failed_at[worker_id] = now

    def doubt(self, worker_id: str) -> float:
        """Return how many failed runs count against a worker."""
        return sum(
            count * (1 - self._failure_rate_elsewhere(step, worker_id))
            for step, count in self.failures.get(worker_id, {}).items()
        )

    def is_doubted(self, worker_id: str) -> bool:
        """Return whether other workers are to be preferred to a worker."""
        failures = self.failures.get(worker_id)
        if failures is None or failures.total() < MIN_DOUBT:
            return False
        return self.doubt(worker_id) >= MIN_DOUBT

    def is_probe_due(self, worker_id: str, now: float) -> bool:
        """Return whether a doubted worker may be tried again in a busy pool."""
        last_at = self.probed_at.get(worker_id)
        return last_at is None or now - last_at >= PROBE_INTERVAL_SECONDS

    def forget_failures(self, worker_id: str) -> None:
        """Forget the failures on a worker, because a run succeeded there or the worker is gone."""
        for by_worker in (self.failures, self.failed_at, self.probed_at):
            by_worker.pop(worker_id, None)

    def expire(self, now: float) -> None:
        """Forget what was too long ago."""
        for worker_id, failed_at in list(self.failed_at.items()):
            if now - failed_at > EVIDENCE_SECONDS:
                self.forget_failures(worker_id)
        for step, total in list(self.totals.items()):
            if now - total.last_at > EVIDENCE_SECONDS:
                del self.totals[step], self.ends[step]

    def _failure_rate_elsewhere(self, step: StepKey, worker_id: str) -> float:
        if step not in self.totals:
            return UNKNOWN_FAILURE_RATE
        total, own = self.totals[step], self.ends[step].get(worker_id, _EndCounts())
        failed, done = total.failed - own.failed, total.done - own.done
        return failed / (failed + done) if failed + done else UNKNOWN_FAILURE_RATE


def weigh_run(
    pool_state: PoolState, worker: Worker, task: TaskId, is_done: bool, now: float
) -> None:
    """Weigh a run that was done, failed or refused as evidence on its step and its worker.

    :param now: local time
    """
    evidence, worker_id = pool_state.evidence, worker.worker_id
    was_doubted = evidence.is_doubted(worker_id)
    evidence.note_end((task.job_id, task.occurrence, task.step), worker_id, is_done, now)
    is_doubted = evidence.is_doubted(worker_id)
    if is_doubted is not was_doubted:
        event = "worker-doubted" if is_doubted else "worker-trusted"
        counts = evidence.failures.get(worker_id, Counter())
        detail = f"{counts.total()} failed runs of {len(counts)} steps since the last done one"
        life = worker.listed.incarnation
        pool_state.on_event(PoolEvent(event, worker_id, detail=detail, life=life))


def is_busy(pool_state: PoolState, trusted: list[Worker]) -> bool:
    """Return whether it is worth waiting for a trusted worker.

    That is so if half of the pool is in use, and trusted workers by tasks that end by themselves,
    so that capacity is freed there soon.

    :param trusted: available workers that are not doubted
    """
    listed = [worker for worker in pool_state.workers.values() if worker.present]
    used = sum(worker.used.cpu_millicores for worker in listed)
    if used < BUSY_FRACTION * sum(worker.listed.capacity.cpu_millicores for worker in listed):
        return False
    ending = lasting = 0
    for worker in trusted:
        for run in worker.runs.values():
            job = pool_state.jobs.get(run.task.job_id)
            if job is not None and job.step_of(run.task).lasting:
                lasting += run.charge.cpu_millicores
            else:
                ending += run.charge.cpu_millicores
    capacity = sum(worker.listed.capacity.cpu_millicores for worker in trusted)
    return ending > 0 and ending >= BUSY_FRACTION * (capacity - lasting)
