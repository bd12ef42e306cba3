"""Jobs whose records could not be stored by themselves: retried alone, after growing delays."""

from __future__ import annotations

import attrs

from ..batch import Job
from ..exception import StoreError, StoreFault, StoreUnavailable
from .context import DaemonContext
from .failures import describe_error

__all__ = ["RecordRetries", "concerns_record"]

#: delay before the first retry, doubled for each further one up to the longest, in seconds
FIRST_DELAY_SECONDS = 0.1
LONGEST_DELAY_SECONDS = 2.0


def concerns_record(error: StoreError) -> bool:
    """Return whether a write may have failed because of one of its records.

    The store rejects it, or the call has raised what no interface names; not: there is no answer.
    """
    return isinstance(error, StoreFault) or not isinstance(error, StoreUnavailable)


@attrs.define
class _Wait:
    retry_at: float
    delay: float
    attempts: int = 1


class RecordRetries:
    """Jobs that are kept out of the transactions of others.

    :param record: kind of the record, for the log
    """

    def __init__(self, context: DaemonContext, pool: str, record: str):
        self.context = context
        self.pool = pool
        self.record = record
        self.waits: dict[str, _Wait] = {}

    def add(self, job: Job, error: Exception) -> None:
        """Set a job aside after its record could not be stored; log the first time."""
        job_id, now = job.key.job_id, self.context.clock.now()
        wait = self.waits.get(job_id)
        if wait is not None:
            wait.delay = min(2 * wait.delay, LONGEST_DELAY_SECONDS)
            wait.retry_at, wait.attempts = now + wait.delay, wait.attempts + 1
            return
        self.waits[job_id] = _Wait(now + FIRST_DELAY_SECONDS, FIRST_DELAY_SECONDS)
        self._log("record-set-aside", job, **describe_error(error))

    def remove(self, job: Job) -> None:
        """Remove a job whose record is stored, or that is not stored any more."""
        wait = self.waits.pop(job.key.job_id, None)
        if wait is not None:
            self._log("record-resumed", job, attempts=wait.attempts)

    def is_alone(self, job: Job) -> bool:
        """Return whether a job must not be stored along with others."""
        return job.key.job_id in self.waits

    def is_due(self, job: Job) -> bool:
        """Return whether a job may be tried now."""
        wait = self.waits.get(job.key.job_id)
        return wait is None or wait.retry_at <= self.context.clock.now()

    def retain(self, job_ids: set[str]) -> None:
        """Forget all other jobs."""
        self.waits = {job_id: wait for job_id, wait in self.waits.items() if job_id in job_ids}

    def seconds_until_due(self) -> float | None:
        """Return the time until the next retry, in seconds; None if no job is set aside."""
        if not self.waits:
            return None
        now = self.context.clock.now()
        return max(0.0, min(wait.retry_at for wait in self.waits.values()) - now)

    def _log(self, event: str, job: Job, **fields: object) -> None:
        self.context.log.write(
            event,
            pool=self.pool,
            job=job.key.job_id,
            queue=job.key.queue,
            record=self.record,
            **fields,
        )
