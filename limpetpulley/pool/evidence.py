"""Evidence on whose fault failed runs are: their job's or their worker's. No I/O.

A failed run counts against its worker only as far as the job's runs do not fail on others as well.
A worker with enough such failures since its last successful run is doubted. That changes the order
in which workers are used and never empties a pool: a doubted worker takes what fits on no other,
and only a probe now and then while so much is in use that other workers are soon free.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from ..batch import Amount, EndKind
from ..workers import EndedRun, Worker
from .events import PoolEvent

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["FailureEvidence", "is_busy", "weigh_end"]

#: number of failed runs that count against a worker from which on it is doubted
MIN_DOUBT = 3.0
#: failure rate on other workers that is assumed for a job that has not ended a run there
UNKNOWN_FAILURE_RATE = 0.5
#: time after which an end is no evidence any more, in seconds
EVIDENCE_SECONDS = 10.0
#: shortest interval between two starts on a doubted worker in a busy pool, in seconds
PROBE_INTERVAL_SECONDS = 1.0
#: fraction of a pool's capacity from which on the pool is busy
BUSY_FRACTION = 0.5


@attrs.define
class _EndCounts:
    """Ends of a job's runs on one worker.

    :param last_at: local time of the last one
    """

    done: int = 0
    failed: int = 0
    last_at: float = 0.0


class FailureEvidence:
    """Ends of runs by job and worker, and the workers that are doubted because of them."""

    def __init__(self) -> None:
        self.ends: dict[str, dict[str, _EndCounts]] = {}
        # Failed runs on each worker since its last successful run, by job.
        self.failures: dict[str, Counter[str]] = {}
        self.failed_at: dict[str, float] = {}
        self.probed_at: dict[str, float] = {}

    def note_end(self, job_id: str, worker_id: str, is_done: bool, now: float) -> None:
        """Note that a run of a job has ended on a worker, successfully or not."""
        counts = self.ends.setdefault(job_id, {}).setdefault(worker_id, _EndCounts())
        counts.last_at = now
        if is_done:
            counts.done += 1
            self.forget_failures(worker_id)
        else:
            counts.failed += 1
            self.failures.setdefault(worker_id, Counter())[job_id] += 1
            self.failed_at[worker_id] = now

    def doubt(self, worker_id: str) -> float:
        """Return how many failed runs count against a worker."""
        return sum(
            count * (1 - self._failure_rate_elsewhere(job_id, worker_id))
            for job_id, count in self.failures.get(worker_id, {}).items()
        )

    def is_doubted(self, worker_id: str) -> bool:
        """Return whether other workers are to be preferred to a worker."""
        return bool(self.failures) and self.doubt(worker_id) >= MIN_DOUBT

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
        for job_id, by_worker in list(self.ends.items()):
            if now - max(counts.last_at for counts in by_worker.values()) > EVIDENCE_SECONDS:
                del self.ends[job_id]

    def _failure_rate_elsewhere(self, job_id: str, worker_id: str) -> float:
        others = [counts for name, counts in self.ends.get(job_id, {}).items() if name != worker_id]
        ended = sum(counts.done + counts.failed for counts in others)
        return sum(counts.failed for counts in others) / ended if ended else UNKNOWN_FAILURE_RATE


def weigh_end(pool_state: PoolState, worker: Worker, end: EndedRun, now: float) -> None:
    """Weigh the end of a run as evidence on its job and its worker.

    :param now: local time
    """
    if end.kind not in (EndKind.DONE, EndKind.FAILED):
        return
    evidence, worker_id = pool_state.evidence, worker.worker_id
    was_doubted = evidence.is_doubted(worker_id)
    evidence.note_end(end.task.job_id, worker_id, end.kind is EndKind.DONE, now)
    if end.kind is EndKind.FAILED:
        pool_state.failed_on.setdefault(end.task, set()).add(worker_id)
    is_doubted = evidence.is_doubted(worker_id)
    if is_doubted is not was_doubted:
        counts = evidence.failures.get(worker_id, Counter())
        detail = f"{counts.total()} failed runs of {len(counts)} jobs since the last done one"
        event, life = (
            "worker-doubted" if is_doubted else "worker-trusted"
        ), worker.listed.incarnation
        pool_state.on_event(PoolEvent(event, worker_id, detail=detail, life=life))


def is_busy(pool_state: PoolState) -> bool:
    """Return whether so much of a pool's capacity is in use that some is freed soon."""
    workers = [worker for worker in pool_state.workers.values() if worker.present]
    used = sum((worker.used for worker in workers), Amount())
    capacity = sum((worker.listed.capacity for worker in workers), Amount())
    return any(
        total and in_use >= BUSY_FRACTION * total
        for in_use, total in zip(attrs.astuple(used), attrs.astuple(capacity), strict=True)
    )
