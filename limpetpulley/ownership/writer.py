"""Store writes of a pool's owner.

Each write compares the owner's claim, so that a deposed owner cannot write.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

import anyio
import attrs

from ..batch import Job
from ..batch.records import decode_job, encode_description, encode_progress
from ..exception import (
    NotOwnerError,
    PoolStateError,
    RecordError,
    StoreError,
    StoreFault,
    StoreRefused,
    StoreUnavailable,
)
from ..pool import PoolState
from ..store import Compare, Delete, Put
from .context import DaemonContext
from .failures import describe_error
from .record_retries import RecordRetries, concerns_record

__all__ = ["PAIRS_PER_TRANSACTION", "CreationGuard", "OwnerWriter", "StoreOutcome"]

#: entries that one transaction may have, including the comparison with the claim; a limit of the
#: platform's store, from its documentation
MAX_TRANSACTION_ENTRIES = 32
#: time between two writes of progress unless one is urgent, in seconds
FLUSH_INTERVAL_SECONDS = 0.06
#: number of jobs for which one transaction can write a record with its condition, or delete both
#: records
PAIRS_PER_TRANSACTION = (MAX_TRANSACTION_ENTRIES - 1) // 2
#: delay after a write without an answer, in seconds
RETRY_DELAY_SECONDS = 0.05
#: timeout of a write, in seconds: the store answers within milliseconds, and a write whose answer
#: was lost should be repeated soon
ANSWER_TIMEOUT_SECONDS = 0.6
#: timeout of the next write after one that timed out, since the store may be slow, in seconds
SLOW_ANSWER_TIMEOUT_SECONDS = 0.9
#: least number of write attempts for a new job; there are more while a caller waits
CREATE_ATTEMPTS = 2
#: delay before the third and later attempts for a new job if the store remains silent, in seconds
CREATE_RETRY_SECONDS = 0.3
#: number of records in a row that fail by themselves from which on there is a delay after each,
#: since the store itself may be failing
MAX_FAULTS_IN_A_ROW = 3


@attrs.define(eq=False)
class StoreOutcome:
    """Outcome of storing a job's description.

    :param job: the job, replaced by the stored one if an earlier write has stored it differently
    :param on_settled: called when the write attempts have ended
    :param may_be_stored: whether a write was not answered: it may have been, or may still be,
        applied
    :param stored: whether the description is stored, None if unknown
    :param unanswered_at: when the last attempt ended without an answer, by the local clock
    :param wait_until: until when a caller waits for the outcome, by the local clock
    :param attempts: number of write attempts
    :param cancelled: whether the job is cancelled as soon as it is known to be stored
    """

    job: Job
    on_settled: Callable[[StoreOutcome], None] = lambda outcome: None
    may_be_stored: bool = False
    stored: bool | None = None
    unanswered_at: float = 0.0
    wait_until: float = 0.0
    attempts: int = 0
    cancelled: bool = False
    settled: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def is_unsent(self) -> bool:
        """Return whether no write was ever sent, so that the job is certainly not stored."""
        return not self.attempts and not self.may_be_stored and not self.settled.is_set()

    def settle(self, stored: bool | None) -> None:
        """Record the outcome and notify all that wait for it, unless it is known already."""
        if self.settled.is_set():
            return
        self.stored = stored
        self.on_settled(self)
        self.settled.set()


class CreationGuard(Protocol):
    """Keeps new jobs from being stored whose cancels are."""

    def conditions(self, jobs: Iterable[Job]) -> list[Compare]:
        """Return the conditions under which jobs may be stored."""
        ...

    async def refresh(self, jobs: Iterable[Job]) -> bool:
        """Read again what the conditions of jobs are about; return whether it has changed.

        :raises StoreUnavailable: if the store does not answer
        """
        ...

    def forbids(self, job: Job) -> bool:
        """Return whether a job must not be stored. Writes that were sent before have no effect."""
        ...


class _NoGuard:
    """Lets all jobs be stored."""

    def conditions(self, jobs: Iterable[Job]) -> list[Compare]:
        return []

    async def refresh(self, jobs: Iterable[Job]) -> bool:
        return False

    def forbids(self, job: Job) -> bool:
        return False


class OwnerWriter:
    """Stores descriptions and progress of one pool's jobs.

    :param claim: comparison with the owner's claim: its key in the store and its token
    :param on_progress_stored: called after progress was stored
    """

    def __init__(
        self,
        context: DaemonContext,
        pool_state: PoolState,
        claim: Compare,
        on_progress_stored: Callable[[], None],
    ):
        self.context = context
        self.pool_state = pool_state
        self.claim = claim
        self.on_progress_stored = on_progress_stored
        self.creation_guard: CreationGuard = _NoGuard()
        self.queued_creations: list[StoreOutcome] = []
        self.creation_requested = anyio.Event()
        self.flush_requested = anyio.Event()
        self.flushed = anyio.Event()
        self.failing = False
        self.stopped = False
        self.answer_timeout = ANSWER_TIMEOUT_SECONDS
        # Latest local time at which the claim is known from a write to have been valid.
        self.confirmed_at = -math.inf
        # Revisions of the jobs' progress records. Writes compare them, so that a write that the
        # store applies late, after a newer one, has no effect.
        self.progress_revisions: dict[str, int] = {}
        # Jobs whose progress, or whose description, could not be stored by itself.
        self.progress_retries = RecordRetries(context, pool_state.pool, "progress")
        self.description_retries = RecordRetries(context, pool_state.pool, "description")
        self.faults_in_a_row = 0

    def create(self, outcome: StoreOutcome) -> None:
        """Queue a new job's description for storing; settles the outcome afterwards."""
        self.queued_creations.append(outcome)
        self.creation_requested.set()

    async def wait_until_stored(self, job: Job) -> None:
        """Wait until the job's current progress is stored.

        :raises StoreUnavailable: if the owner stops before; the progress may still be stored
        """
        job_id = job.key.job_id
        version = self.pool_state.progress.newest.get(job_id, 0)
        self.flush_requested.set()
        while self.pool_state.progress.stored.get(job_id, version) < version:
            if self.stopped:
                raise StoreUnavailable(f"the owner of pool {self.pool_state.pool} has stopped")
            await self.flushed.wait()

    async def run_creations(self) -> None:
        """Store queued descriptions until cancelled, as many in one transaction as fit.

        After an unexpected error, a further run goes on with the queue.
        """
        try:
            while True:
                if not self.queued_creations:
                    await self.creation_requested.wait()
                self.creation_requested = anyio.Event()
                while self.queued_creations:
                    await self._create_next()
        except self._ending_errors():
            for outcome in self.queued_creations:
                outcome.settle(None)
            raise

    def refuse_unsent(self) -> None:
        """Settle the outcomes of jobs for which no write was sent, because the store is silent."""
        for outcome in self.queued_creations:
            if outcome.is_unsent:
                outcome.settle(False)

    async def run_flushes(self) -> None:
        """Store progress until cancelled, at intervals.

        It is stored at once when a job has ended, and when the worker that lists an end is about to
        go.
        """
        if self.pool_state.unstored_jobs():
            self.flush_requested.set()
        try:
            while True:
                with anyio.move_on_after(self._seconds_until_retry()):
                    await self.flush_requested.wait()
                self.flush_requested = anyio.Event()
                jobs = self.pool_state.unstored_jobs()
                urgent = any(job.state.is_final for job in jobs)
                if jobs and not urgent and not self.pool_state.has_ends_at_risk():
                    with anyio.move_on_after(FLUSH_INTERVAL_SECONDS):
                        await self.flush_requested.wait()
                await self.flush()
        except self._ending_errors():
            self.stopped = True
            self.flushed.set()
            raise

    def _ending_errors(self) -> tuple[type[BaseException], ...]:
        """Return what ends the owner; after other errors, its loops are run again."""
        return anyio.get_cancelled_exc_class(), NotOwnerError, StoreError, PoolStateError

    def _seconds_until_retry(self) -> float:
        delay = self.progress_retries.seconds_until_due()
        return math.inf if delay is None else max(RETRY_DELAY_SECONDS, delay)

    async def flush(self) -> None:
        """Store all progress that is not stored yet.

        Progress that cannot be stored by itself is left after one attempt, until its next one.
        """
        while jobs := self._next_unstored_jobs():
            await self._flush_jobs(jobs)

    def _next_unstored_jobs(self) -> list[Job]:
        """Return the jobs of the next transaction: one that was set aside goes alone, and last."""
        retries = self.progress_retries
        unstored = self.pool_state.unstored_jobs()
        if not retries.waits:
            return unstored[:PAIRS_PER_TRANSACTION]
        retries.retain({job.key.job_id for job in unstored})
        together = [job for job in unstored if not retries.is_alone(job)]
        if together:
            return together[:PAIRS_PER_TRANSACTION]
        return [job for job in unstored if retries.is_due(job)][:1]

    async def _flush_jobs(self, jobs: Sequence[Job]) -> None:
        """Make an attempt to store progress; if one record of several fails, store each alone."""
        try:
            versions = {
                job.key.job_id: self.pool_state.progress.newest[job.key.job_id] for job in jobs
            }
            if await self._store_progress(jobs):
                self._mark_stored(jobs, versions)
            else:
                await self._reload_progress(jobs)
            self.faults_in_a_row = 0
        except (StoreUnavailable, StoreError) as error:
            self._log_failure(error, len(jobs))
            if not concerns_record(error):
                await anyio.sleep(RETRY_DELAY_SECONDS)
            elif len(jobs) == 1:
                self.progress_retries.add(jobs[0], error)
                await self._pause_after_faults()
            else:
                for job in jobs:
                    if job.key.job_id in self.pool_state.jobs:
                        await self._flush_jobs([job])

    async def _pause_after_faults(self) -> None:
        self.faults_in_a_row += 1
        if self.faults_in_a_row >= MAX_FAULTS_IN_A_ROW:
            await anyio.sleep(RETRY_DELAY_SECONDS)

    async def _store_progress(self, jobs: Sequence[Job]) -> bool:
        """Store progress; return False if a record's revision differs from the last known one."""
        keys = self.context.keys
        compares = [
            Compare(keys.progress(job.key), self.progress_revisions.get(job.key.job_id, 0))
            for job in jobs
        ]
        writes = [Put(keys.progress(job.key), _encode(encode_progress, job)) for job in jobs]
        revision = await self.commit(compares, writes)
        if revision:
            self.progress_revisions.update((job.key.job_id, revision) for job in jobs)
        return bool(revision)

    async def _reload_progress(self, jobs: Sequence[Job]) -> None:
        """Read the stored progress again after a conflict.

        An earlier write may have been applied although its answer was lost.
        """
        for job in jobs:
            job_id = job.key.job_id
            entry = await self.context.store.get(self.context.keys.progress(job.key))
            self.progress_revisions[job_id] = entry.revision if entry else 0
            if entry is not None and entry.value == _encode(encode_progress, job):
                self._mark_stored([job], {job_id: self.pool_state.progress.newest.get(job_id, 0)})

    def _mark_stored(self, jobs: Sequence[Job], versions: dict[str, int]) -> None:
        self.pool_state.mark_stored(versions)
        flushed, self.flushed = self.flushed, anyio.Event()
        flushed.set()
        self.on_progress_stored()
        for job in jobs:
            self.progress_retries.remove(job)
            if job.state.is_final:
                self._log_end(job)

    def _log_end(self, job: Job) -> None:
        failed = {".".join(map(str, task)): len(runs) for task, runs in job.failures.items()}
        crashes = {".".join(map(str, task)): len(runs) for task, runs in job.crashes.items()}
        self.context.log.write(
            "job-ended",
            job=job.key.job_id,
            queue=job.key.queue,
            pool=self.pool_state.pool,
            reason=str(job.state),
            seconds=round(job.ended_at - job.accepted_at, 3),
            past_due=round(max(0.0, job.ended_at - job.due_by), 3) if job.due_by else 0.0,
            failed_runs=failed,
            most_attempts=job.max_attempts,
            crashed_workers=crashes,
        )

    async def remove(self, jobs: Sequence[Job]) -> None:
        """Delete the records of ended jobs.

        A record that cannot be deleted by itself is left, and so is a job whose end is not stored:
        no caller has been told of it yet.

        :raises StoreError: if the store does not answer
        """
        jobs = [job for job in jobs if self.pool_state.progress.is_stored(job.key.job_id)]
        for start in range(0, len(jobs), PAIRS_PER_TRANSACTION):
            await self._remove_together(jobs[start : start + PAIRS_PER_TRANSACTION])

    async def _remove_together(self, jobs: Sequence[Job]) -> None:
        keys = self.context.keys
        removals = [Delete(keys.description(job.key)) for job in jobs]
        removals += [Delete(keys.progress(job.key)) for job in jobs]
        try:
            await self.commit([], removals)
        except (StoreUnavailable, StoreError) as error:
            if not concerns_record(error):
                raise
            if len(jobs) == 1:
                self.context.log.write(
                    "records-not-removed",
                    pool=self.pool_state.pool,
                    job=jobs[0].key.job_id,
                    reason=str(error),
                )
                await self._pause_after_faults()
                return
            for job in jobs:
                await self._remove_together([job])
            return
        self.faults_in_a_row = 0
        for job in jobs:
            self.pool_state.remove_job(job.key.job_id)
            self.progress_revisions.pop(job.key.job_id, None)

    async def commit(self, compares: Sequence[Compare], writes: Sequence[Put | Delete]) -> int:
        """Apply writes in a transaction that requires the owner's claim to be valid.

        :returns: the revision of the writes, 0 if one of ``compares`` failed
        :raises NotOwnerError: if the claim is no longer valid
        :raises StoreUnavailable: if the store did not answer in time; the writes may still be
            applied later
        """
        answer_timeout, self.answer_timeout = self.answer_timeout, SLOW_ANSWER_TIMEOUT_SECONDS
        clock, contact = self.context.clock, self.context.store_contact
        called_at = clock.now()
        with (
            anyio.move_on_after(answer_timeout) as scope,
            contact.cancel_if_overtaken(scope, called_at),
        ):
            result = await self.context.store.commit([self.claim, *compares], writes)
        if scope.cancelled_caught:
            elapsed = round(clock.now() - called_at, 3)
            raise StoreUnavailable(f"store write not answered within {elapsed} s")
        contact.note_answer(called_at, clock.now())
        self.answer_timeout = ANSWER_TIMEOUT_SECONDS
        self.failing = False
        if result.ok:
            self.confirmed_at = max(self.confirmed_at, called_at)
            return result.revision
        if not await self.is_claim_valid():
            raise NotOwnerError(f"claim of pool {self.pool_state.pool} is no longer valid")
        return 0

    async def is_claim_valid(self) -> bool:
        """Return whether the store still holds the owner's claim.

        :raises StoreError: if the store does not answer
        """
        entry = await self.context.store.get(self.claim.key)
        return entry is not None and entry.revision == self.claim.revision

    async def _create_next(self) -> None:
        """Make an attempt for the first queued descriptions; queue those without an outcome again.

        Descriptions for which no write was sent are not sent along with others that are in doubt,
        so that their callers can be told that they are not stored.
        """
        clock, called_at = self.context.clock, self.context.clock.now()
        batch = self._next_creations()
        for outcome in batch:
            outcome.attempts += 1
        batch = [outcome for outcome in batch if self._is_encodable(outcome)]
        if batch:
            await self._attempt_create(batch)
        for outcome in batch:
            if outcome.attempts >= CREATE_ATTEMPTS and clock.now() >= outcome.wait_until:
                outcome.settle(None)
        # While the store answers other calls, the other descriptions have their turn first.
        if batch and self.context.store_contact.called_at > called_at:
            self.queued_creations = [
                *(each for each in self.queued_creations if each not in batch),
                *batch,
            ]
        for outcome in self.queued_creations:
            if outcome.settled.is_set():
                self.description_retries.remove(outcome.job)
        self.queued_creations = [
            each for each in self.queued_creations if not each.settled.is_set()
        ]
        retries = self.description_retries
        if any(not each.settled.is_set() and not retries.is_alone(each.job) for each in batch):
            await self._wait_for_retry(called_at, max(outcome.attempts for outcome in batch))
        elif not self._next_creations() and (delay := retries.seconds_until_due()) is not None:
            with anyio.move_on_after(delay):
                await self.creation_requested.wait()
            self.creation_requested = anyio.Event()

    def _next_creations(self) -> list[StoreOutcome]:
        """Return the descriptions of the next transaction.

        One that was set aside goes alone, and after the others.
        """
        retries = self.description_retries
        waiting = [each for each in self.queued_creations if not each.settled.is_set()]
        together = [each for each in waiting if not retries.is_alone(each.job)]
        if not together:
            return [each for each in waiting if retries.is_due(each.job)][:1]
        batch = [each for each in together if each.is_unsent == together[0].is_unsent]
        count = min(len(batch), PAIRS_PER_TRANSACTION)
        while count > 1 and self._creation_entries(batch[:count]) > MAX_TRANSACTION_ENTRIES:
            count -= 1
        return batch[:count]

    def _creation_entries(self, batch: Sequence[StoreOutcome]) -> int:
        """Return the number of entries of the transaction that stores descriptions."""
        conditions = self.creation_guard.conditions(outcome.job for outcome in batch)
        return 1 + len(conditions) + 2 * len(batch)

    def _is_encodable(self, outcome: StoreOutcome) -> bool:
        """Return whether a description can be encoded; settle its outcome if not."""
        try:
            _encode(encode_description, outcome.job)
        except StoreFault as error:
            key = outcome.job.key
            self.context.log.write(
                "record-unwritable",
                pool=self.pool_state.pool,
                job=key.job_id,
                queue=key.queue,
                **describe_error(error.__cause__ or error),
            )
            outcome.settle(None if outcome.may_be_stored else False)
            return False
        return True

    async def _wait_for_retry(self, called_at: float, attempts: int) -> None:
        """Wait until the store answers again, or for the delay before the next attempt.

        :param called_at: when the last attempt was made, by the local clock
        :param attempts: number of attempts so far
        """
        elapsed = self.context.clock.now() - called_at
        delay = RETRY_DELAY_SECONDS
        if attempts >= CREATE_ATTEMPTS:
            delay = max(RETRY_DELAY_SECONDS, CREATE_RETRY_SECONDS - elapsed)
        with anyio.move_on_after(delay):
            await self.context.store_contact.wait_for_answer(called_at)

    async def _attempt_create(self, batch: list[StoreOutcome]) -> None:
        """Make an attempt; if one description of several fails, store each alone."""
        try:
            await self._create_or_read(batch)
            self.faults_in_a_row = 0
        except StoreRefused as error:
            self._log_failure(error, len(batch))
            for outcome in batch:
                if not outcome.settled.is_set() and not outcome.may_be_stored:
                    outcome.settle(False)
        except (StoreUnavailable, StoreError) as error:
            self._log_failure(error, len(batch))
            unsettled = [outcome for outcome in batch if not outcome.settled.is_set()]
            for outcome in unsettled:
                outcome.may_be_stored = True
            if not concerns_record(error):
                return
            if len(batch) == 1:
                for outcome in unsettled:
                    self.description_retries.add(outcome.job, error)
                await self._pause_after_faults()
                return
            for outcome in unsettled:
                await self._attempt_create([outcome])

    async def _create_or_read(self, batch: list[StoreOutcome]) -> None:
        if await self._create(batch):
            return
        jobs = [outcome.job for outcome in batch]
        if await self.creation_guard.refresh(jobs) and await self._create(batch):
            return
        for outcome in batch:
            if outcome.settled.is_set() or await self._create([outcome]):
                continue
            # The record exists, or existed when the write was rejected.
            outcome.may_be_stored = True
            if await self.read_stored(outcome):
                outcome.settle(True)

    async def _create(self, batch: Sequence[StoreOutcome]) -> bool:
        """Store descriptions, except of jobs whose cancels are stored; return whether all are."""
        batch = [outcome for outcome in batch if not await self._settle_forbidden(outcome)]
        if not batch:
            return True
        keys = [self.context.keys.description(outcome.job.key) for outcome in batch]
        compares = [Compare(key, 0) for key in keys]
        compares += self.creation_guard.conditions(outcome.job for outcome in batch)
        writes = [
            Put(key, _encode(encode_description, outcome.job))
            for key, outcome in zip(keys, batch, strict=True)
        ]
        if not await self.commit(compares, writes):
            return False
        for outcome in batch:
            outcome.settle(True)
        return True

    async def _settle_forbidden(self, outcome: StoreOutcome) -> bool:
        """Settle the outcome of a job that must not be stored any more; return whether it is known.

        If an earlier write has stored the job, its cancel is sent to the owner of its pool.
        """
        if not outcome.settled.is_set() and self.creation_guard.forbids(outcome.job):
            is_stored = await self.read_stored(outcome)
            outcome.cancelled |= not is_stored
            outcome.settle(is_stored)
        return outcome.settled.is_set()

    async def read_stored(self, outcome: StoreOutcome) -> bool:
        """Return whether the job is stored, and replace it by the stored one with its progress.

        :raises StoreError: if the store does not answer or the record cannot be read
        """
        key, called_at = outcome.job.key, self.context.clock.now()
        entry = await self.context.store.get(self.context.keys.description(key))
        self.context.store_contact.note_answer(called_at, self.context.clock.now())
        if entry is None:
            return False
        if entry.value != _encode(encode_description, outcome.job):
            progress = await self.context.store.get(self.context.keys.progress(key))
            progress_value = progress.value if progress else None
            try:
                outcome.job = decode_job(key, entry.value, progress_value)
            except RecordError as error:
                raise StoreError(f"{entry.key}: {error}") from None
        return True

    def _log_failure(self, error: Exception, count: int) -> None:
        if not self.failing:
            self.failing = True
            self.context.log.write(
                "store-write-failed", pool=self.pool_state.pool, reason=str(error), jobs=count
            )


def _encode(encode: Callable[[Job], bytes], job: Job) -> bytes:
    """Return a job's encoded record.

    :raises StoreFault: if it cannot be encoded
    """
    try:
        return encode(job)
    except Exception as error:
        raise StoreFault(f"job {job.key.job_id} cannot be encoded: {error!r}") from error
