"""Cancels of jobs that a pool's owner does not know, which hold for submissions that are late.

They are stored before they are acknowledged, in one record for each queue, because a submission
that waited in a daemon or on a link may reach another owner: the pool's next one, or that of the
pool to which the queue has moved. The transaction that stores a job compares the record's revision,
so that no owner stores a job without having read the cancels of its queue.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Sequence

import anyio
import attrs

from ..batch import Job, JobKey
from ..exception import RecordError, StoreError, StoreUnavailable
from ..json_decoding import check_str, get_list, parse_object
from ..store import Compare, Delete, Entry, Put
from .context import DaemonContext
from .record_retries import concerns_record
from .writer import OwnerWriter

__all__ = ["UnknownCancels", "decode_cancels", "encode_cancels"]

#: time for which a cancel of an unknown job also applies to a submission that arrives after it, in
#: seconds: daemons repeat submissions for as long as their callers wait, and messages may be late
CANCEL_MEMORY_SECONDS = 15.0
#: shortest time between two writes, in seconds; one write covers all cancels of an interval
STORE_INTERVAL_SECONDS = 0.06
#: interval between two checks whether the records are still needed, in seconds
CLEANUP_INTERVAL_SECONDS = 5.0
#: delay after a failed write, doubled up to the maximum, in seconds
RETRY_DELAY_SECONDS = 0.05
MAX_RETRY_DELAY_SECONDS = 1.0
#: largest number of cancels that one record holds, since each write has them all; more are not
#: acknowledged
MAX_CANCELS = 2000


@attrs.define
class _QueueCancels:
    """Cancels of one queue, and what is known of their record.

    :param cancelled_at: local time of the latest cancel of each job
    :param revision: last known revision of the record, 0 if there is none
    :param stored: jobs of the record at that revision
    :param is_outdated: whether the record may have another revision: a write has failed
    :param is_unreadable: whether the store does not return the record, so that none compares it
    :param is_writer: whether this owner has written the record
    :param count: number of cancels of this owner
    :param stored_count: how many of them are stored
    """

    cancelled_at: dict[JobKey, float] = attrs.field(factory=dict)
    revision: int = 0
    stored: frozenset[JobKey] = frozenset()
    is_outdated: bool = False
    is_unreadable: bool = False
    is_writer: bool = False
    count: int = 0
    stored_count: int = 0

    def forget(self, now: float) -> None:
        """Forget the cancels that do not apply any more."""
        self.cancelled_at = {
            key: cancelled_at
            for key, cancelled_at in self.cancelled_at.items()
            if now - cancelled_at <= CANCEL_MEMORY_SECONDS
        }


class UnknownCancels:
    """The late cancels of a pool's queues, in records that owners write and other owners read.

    An owner counts the time of others' cancels from when it has read them, since clocks of daemons
    differ.

    :param pool: name of the pool
    :param writer: stores the records under the owner's claim
    """

    def __init__(self, context: DaemonContext, pool: str, writer: OwnerWriter):
        self.context = context
        self.pool = pool
        self.writer = writer
        self.queues: dict[str, _QueueCancels] = {}
        self.is_loaded = False
        self.stopped = False
        self.retry_delay = RETRY_DELAY_SECONDS
        self.write_needed = anyio.Event()
        self.changed = anyio.Event()

    def includes(self, key: JobKey) -> bool:
        """Return whether a job that was unknown was cancelled a short time ago."""
        cancels = self.queues.get(key.queue)
        cancelled_at = cancels.cancelled_at.get(key, -math.inf) if cancels else -math.inf
        return self.context.clock.now() - cancelled_at <= CANCEL_MEMORY_SECONDS

    def note(self, key: JobKey) -> None:
        """Let a cancel apply from now on.

        :raises StoreUnavailable: if there are too many
        """
        cancels, now = self._of(key.queue), self.context.clock.now()
        cancels.forget(now)
        if key not in cancels.cancelled_at and len(cancels.cancelled_at) >= MAX_CANCELS:
            raise StoreUnavailable(f"queue {key.queue} has {MAX_CANCELS} cancels of unknown jobs")
        cancels.cancelled_at[key] = now

    async def add(self, key: JobKey, wait_seconds: float) -> None:
        """Let a cancel apply; return once it is stored, and the claim thus known to be valid.

        :param wait_seconds: longest time until it is stored, in seconds
        :raises StoreUnavailable: if it is not stored in time, or if there are too many
        """
        self.note(key)
        cancels = self._of(key.queue)
        cancels.count += 1
        number = cancels.count
        self.write_needed.set()
        with anyio.move_on_after(wait_seconds):
            while cancels.stored_count < number and not self.stopped:
                await self.changed.wait()
        if cancels.stored_count < number:
            raise StoreUnavailable(f"the cancel of job {key.job_id} is not known to be stored")

    async def run(self) -> None:
        """Store cancels until cancelled; delete a record when none of its cancels is needed."""
        self.stopped = False
        try:
            while True:
                await self._load()
                with anyio.move_on_after(CLEANUP_INTERVAL_SECONDS):
                    await self.write_needed.wait()
                self.write_needed = anyio.Event()
                await self._store_due()
        finally:
            self.stopped = True
            self._notify()

    # Creation of jobs

    def conditions(self, jobs: Iterable[Job]) -> list[Compare]:
        """Return the conditions under which jobs may be stored."""
        queues = {queue: self._of(queue) for queue in sorted({job.key.queue for job in jobs})}
        return [
            Compare(self.context.keys.cancels(queue), cancels.revision)
            for queue, cancels in queues.items()
            if not cancels.is_unreadable
        ]

    async def refresh(self, jobs: Iterable[Job]) -> bool:
        """Read the cancels of the jobs' queues again; return whether a record has changed.

        :raises StoreUnavailable: if the store does not answer
        """
        has_changed = False
        for queue in sorted({job.key.queue for job in jobs}):
            cancels = self._of(queue)
            before = cancels.revision, cancels.is_unreadable
            try:
                await self._read(queue)
            except StoreError as error:
                if not concerns_record(error):
                    raise
                self._log_unreadable(self.context.keys.cancels(queue), error)
                cancels.is_unreadable = True
            has_changed |= (cancels.revision, cancels.is_unreadable) != before
        return has_changed

    def forbids(self, job: Job) -> bool:
        """Return whether the record that a write of the job would compare has the job's cancel.

        Writes of the job that were sent before compare an earlier revision.
        """
        return self.includes(job.key) and job.key in self._of(job.key.queue).stored

    # Records

    async def _load(self) -> None:
        """Read the cancels of other owners once, so that their time begins.

        Nothing waits for it: what is not read yet is when a job of its queue is stored.
        """
        if self.is_loaded:
            return
        prefix = self.context.keys.unknown_cancels
        try:
            entries = (await self.context.store.read(prefix)).entries
        except StoreError as error:
            self._log_unreadable(prefix, error)
            return
        self.is_loaded = True
        for entry in entries:
            queue = entry.key.removeprefix(prefix)
            if entry.revision > self._of(queue).revision:
                self._adopt(queue, entry)

    def _of(self, queue: str) -> _QueueCancels:
        return self.queues.setdefault(queue, _QueueCancels())

    async def _store_due(self) -> None:
        """Make an attempt to store what is not stored, and to delete what is not needed."""
        now, has_written, has_failed = self.context.clock.now(), False, False
        for queue, cancels in list(self.queues.items()):
            cancels.forget(now)
            if cancels.stored_count < cancels.count or self._is_record_unneeded(queue, cancels):
                has_written = True
                has_failed |= not await self._store(queue, cancels)
        if has_failed:
            self.write_needed.set()
            await anyio.sleep(self.retry_delay)
            self.retry_delay = min(2 * self.retry_delay, MAX_RETRY_DELAY_SECONDS)
        elif has_written:
            self.retry_delay = RETRY_DELAY_SECONDS
            await anyio.sleep(STORE_INTERVAL_SECONDS)

    def _is_record_unneeded(self, queue: str, cancels: _QueueCancels) -> bool:
        """Return whether this owner should delete a queue's record."""
        if not cancels.revision or cancels.cancelled_at:
            return False
        config = self.context.config
        found = config.queues.get(queue) if config is not None else None
        return cancels.is_writer or found is None or found.pool == self.pool

    async def _store(self, queue: str, cancels: _QueueCancels) -> bool:
        """Make an attempt to store the cancels of a queue; return whether they are stored."""
        number = cancels.count
        try:
            if cancels.is_outdated:
                await self._read(queue)
            keys = list(cancels.cancelled_at)
            if cancels.stored_count >= number and (keys or not cancels.revision):
                # Another owner has deleted the record, or needs it.
                return True
            key = self.context.keys.cancels(queue)
            write = Put(key, encode_cancels(keys)) if keys else Delete(key)
            revision = await self.writer.commit([Compare(key, cancels.revision)], [write])
        except (StoreUnavailable, StoreError) as error:
            self.context.log.write(
                "cancels-not-stored",
                pool=self.pool,
                queue=queue,
                jobs=len(cancels.cancelled_at),
                reason=str(error),
            )
            revision = 0
        # A write that has failed may have been applied, or may still be.
        cancels.is_outdated = not revision
        if not revision:
            return False
        cancels.revision, cancels.stored = (revision, frozenset(keys)) if keys else (0, frozenset())
        cancels.stored_count, cancels.is_writer = number, bool(keys)
        cancels.is_unreadable = False
        self._notify()
        return True

    async def _read(self, queue: str) -> None:
        self._adopt(queue, await self.context.store.get(self.context.keys.cancels(queue)))

    def _adopt(self, queue: str, entry: Entry | None) -> None:
        """Take over what a record tells; None if there is none."""
        cancels, now = self._of(queue), self.context.clock.now()
        rows: Sequence[JobKey] = ()
        try:
            rows = decode_cancels(entry.value) if entry is not None else ()
        except RecordError as error:
            self._log_unreadable(self.context.keys.cancels(queue), error)
        revision = entry.revision if entry is not None else 0
        for key in rows if revision != cancels.revision else ():
            # Each may have been repeated since the revision that was known.
            self._of(key.queue).cancelled_at[key] = now
        cancels.revision = revision
        cancels.stored = frozenset(rows)
        cancels.is_outdated = cancels.is_unreadable = False

    def _notify(self) -> None:
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    def _log_unreadable(self, key: str, error: Exception) -> None:
        self.context.log.write("record-unreadable", key=key, reason=str(error))


def encode_cancels(keys: list[JobKey]) -> bytes:
    """Return the record of cancelled jobs."""
    rows = [[key.queue, key.job_id] for key in keys]
    return json.dumps({"jobs": rows}, separators=(",", ":")).encode()


def decode_cancels(value: bytes) -> list[JobKey]:
    """Return the jobs of a record.

    :raises RecordError: if it cannot be read
    """
    keys = []
    for row in get_list(parse_object(value), "jobs"):
        if not isinstance(row, list) or len(row) < 2:
            raise RecordError(f"cannot decode the cancel {row!r}")
        keys.append(JobKey(check_str(row[0], "the queue"), check_str(row[1], "the job")))
    return keys
