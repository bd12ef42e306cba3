"""Writes of a pool's owner: each compares the owner's claim, so a deposed owner writes nothing."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import anyio
import attrs

from ..batch import Job
from ..batch.records import encode_description, encode_progress
from ..exception import NotOwnerError, StoreError, StoreRefused, StoreUnavailable
from ..pool import PoolState
from ..store import Compare, Delete, Put
from .around import Around

__all__ = ["PAIRS_A_TRANSACTION", "OwnerWriter", "StoreOutcome"]

#: entries that one transaction may have, the comparison with the claim included; from the
#: platform's description of its store
TRANSACTION_ENTRIES = 32
#: time between two writes of progress, unless a job has ended
FLUSH_SECONDS = 0.06
#: records that one transaction may write under a condition each, or remove two of
PAIRS_A_TRANSACTION = (TRANSACTION_ENTRIES - 1) // 2
#: pause after a write without an answer
RETRY_SECONDS = 0.05
#: time for a write's answer: the store answers in milliseconds, and one whose answer was lost is
#: made again soon, in seconds
ANSWER_SECONDS = 0.6
#: time for the answer after one without, since the store may be slow, in seconds
SLOW_ANSWER_SECONDS = 0.9
#: how often a new job is written while its caller waits
CREATE_TRIES = 2


@attrs.define
class StoreOutcome:
    """What became of a job's description.

    :param noted: called when the outcome is known
    :param doubtful: whether a write of it was not answered: it may be stored, or be later
    :param stored: whether it is stored, None if that is not known
    :param doubted_at: when the last try ended without an answer, by local time
    """

    job: Job
    noted: Callable[[StoreOutcome], None] = lambda outcome: None
    doubtful: bool = False
    stored: bool | None = None
    doubted_at: float = 0.0
    settled: anyio.Event = attrs.field(factory=anyio.Event)

    def settle(self, stored: bool | None) -> None:
        """Note the outcome and wake whoever waits for it."""
        self.stored = stored
        self.noted(self)
        self.settled.set()


class OwnerWriter:
    """Stores descriptions and progress of one pool's jobs.

    :param claim: the owner's key in the store and its token
    :param stored: called after progress was stored
    """

    def __init__(self, around: Around, book: PoolState, claim: Compare, stored: Callable[[], None]):
        self.around = around
        self.book = book
        self.claim = claim
        self.stored = stored
        self.created: list[StoreOutcome] = []
        self.create_needed = anyio.Event()
        self.flush_needed = anyio.Event()
        self.flushed = anyio.Event()
        self.failing = False
        self.patience = ANSWER_SECONDS
        # Revisions of the jobs' progress records. A write compares them, so that one that the store
        # carries out late, after a newer one, changes nothing.
        self.revisions: dict[str, int] = {}

    def create(self, outcome: StoreOutcome) -> None:
        """Store a new job's description soon; the outcome is settled then."""
        self.created.append(outcome)
        self.create_needed.set()

    async def wait_stored(self, job: Job) -> None:
        """Return once the job's progress of now is stored."""
        job_id = job.key.job_id
        version = self.book.progress.newest.get(job_id, 0)
        self.flush_needed.set()
        while self.book.progress.stored.get(job_id, version) < version:
            await self.flushed.wait()

    async def run_creations(self) -> None:
        """Store descriptions, as many in one transaction as fit."""
        while True:
            await self.create_needed.wait()
            self.create_needed = anyio.Event()
            while self.created:
                batch = self.created[:PAIRS_A_TRANSACTION]
                del self.created[: len(batch)]
                try:
                    await self._create_batch(batch)
                finally:
                    for outcome in batch:
                        if not outcome.settled.is_set():
                            outcome.settle(None)

    async def run_flushes(self) -> None:
        """Store progress: at once when a job has ended, otherwise every so often."""
        while True:
            await self.flush_needed.wait()
            self.flush_needed = anyio.Event()
            jobs = self.book.unstored_jobs()
            if jobs and not any(job.state.final for job in jobs):
                with anyio.move_on_after(FLUSH_SECONDS):
                    await self.flush_needed.wait()
            await self.flush()

    async def flush(self) -> None:
        """Store all progress that is not stored yet."""
        while jobs := self.book.unstored_jobs()[:PAIRS_A_TRANSACTION]:
            versions = {job.key.job_id: self.book.progress.newest[job.key.job_id] for job in jobs}
            try:
                if await self._store_progress(jobs):
                    self._note_stored(jobs, versions)
                else:
                    await self._learn_progress(jobs)
            except (StoreUnavailable, StoreError) as error:
                self._note_failure(error, len(jobs))
                await anyio.sleep(RETRY_SECONDS)

    async def _store_progress(self, jobs: Sequence[Job]) -> bool:
        """Store progress; return False if a record is not as it was last known."""
        keys = self.around.keys
        compares = [
            Compare(keys.progress(job.key), self.revisions.get(job.key.job_id, 0)) for job in jobs
        ]
        writes = [Put(keys.progress(job.key), encode_progress(job)) for job in jobs]
        revision = await self.commit(compares, writes)
        if revision:
            self.revisions.update((job.key.job_id, revision) for job in jobs)
        return bool(revision)

    async def _learn_progress(self, jobs: Sequence[Job]) -> None:
        """Read what is stored, after a write that was carried out though its answer was lost."""
        for job in jobs:
            job_id = job.key.job_id
            found = await self.around.store.get(self.around.keys.progress(job.key))
            self.revisions[job_id] = found.revision if found else 0
            if found is not None and found.value == encode_progress(job):
                self._note_stored([job], {job_id: self.book.progress.newest.get(job_id, 0)})

    def _note_stored(self, jobs: Sequence[Job], versions: dict[str, int]) -> None:
        self.book.mark_stored(versions)
        for job in jobs:
            if job.state.final:
                self._log_end(job)
        flushed, self.flushed = self.flushed, anyio.Event()
        flushed.set()
        self.stored()

    def _log_end(self, job: Job) -> None:
        failed = {".".join(map(str, task)): len(runs) for task, runs in job.failures.items()}
        self.around.log.write(
            "job-ended",
            job=job.key.job_id,
            queue=job.key.queue,
            pool=self.book.pool,
            reason=str(job.state),
            seconds=round(job.ended_at - job.accepted_at, 3),
            past_due=round(max(0.0, job.ended_at - job.due_by), 3) if job.due_by else 0.0,
            failed_runs=failed,
            most_attempts=job.max_attempts,
        )

    async def remove(self, jobs: Sequence[Job]) -> None:
        """Remove the records of ended jobs."""
        keys = self.around.keys
        for first in range(0, len(jobs), PAIRS_A_TRANSACTION):
            part = jobs[first : first + PAIRS_A_TRANSACTION]
            removals = [Delete(keys.description(job.key)) for job in part]
            removals += [Delete(keys.progress(job.key)) for job in part]
            await self.commit([], removals)
            for job in part:
                self.book.remove_job(job.key.job_id)
                self.revisions.pop(job.key.job_id, None)

    async def commit(self, compares: Sequence[Compare], writes: Sequence[Put | Delete]) -> int:
        """Apply writes if the claim stands.

        :returns: the revision of what was written, 0 if another condition did not hold
        :raises NotOwnerError: if the claim stands no longer
        :raises StoreUnavailable: if no answer came in time; the writes may take effect later
        """
        patience, self.patience = self.patience, SLOW_ANSWER_SECONDS
        with anyio.move_on_after(patience) as scope:
            result = await self.around.store.commit([self.claim, *compares], writes)
        if scope.cancelled_caught:
            raise StoreUnavailable(f"no answer to a write in {patience} s")
        self.patience = ANSWER_SECONDS
        self.failing = False
        if result.ok:
            return result.revision
        found = await self.around.store.get(self.claim.key)
        if found is None or found.revision != self.claim.revision:
            raise NotOwnerError(f"the claim of pool {self.book.pool} stands no longer")
        return 0

    async def _create_batch(self, batch: list[StoreOutcome]) -> None:
        for _ in range(CREATE_TRIES):
            left = [outcome for outcome in batch if not outcome.settled.is_set()]
            if left:
                await self._try_to_create(left)

    async def _try_to_create(self, batch: list[StoreOutcome]) -> None:
        try:
            if await self._create(batch):
                for outcome in batch:
                    outcome.settle(True)
                return
            for outcome in batch:
                stored = await self._create([outcome]) or await self._is_stored(outcome.job)
                outcome.settle(stored)
        except StoreRefused as error:
            self._note_failure(error, len(batch))
            for outcome in batch:
                if not outcome.settled.is_set() and not outcome.doubtful:
                    outcome.settle(False)
        except (StoreUnavailable, StoreError) as error:
            self._note_failure(error, len(batch))
            for outcome in batch:
                outcome.doubtful = True

    async def _create(self, batch: list[StoreOutcome]) -> bool:
        keys = [self.around.keys.description(outcome.job.key) for outcome in batch]
        writes = [
            Put(key, encode_description(outcome.job))
            for key, outcome in zip(keys, batch, strict=True)
        ]
        return bool(await self.commit([Compare(key, 0) for key in keys], writes))

    async def _is_stored(self, job: Job) -> bool:
        """Return whether the job is stored as it is, by a write whose answer was lost."""
        found = await self.around.store.get(self.around.keys.description(job.key))
        return found is not None and found.value == encode_description(job)

    def _note_failure(self, error: Exception, count: int) -> None:
        if not self.failing:
            self.failing = True
            self.around.log.write(
                "store-write-failed", pool=self.book.pool, reason=str(error), jobs=count
            )
