"""Cancels of jobs that a pool's owner does not know, which hold for submissions that are late.

They are stored before they are acknowledged, because a submission that waited in a daemon or on a
link may reach the pool's next owner.
"""

from __future__ import annotations

import json
import math

import anyio

from ..batch import JobKey
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
#: interval between two checks whether the record is still needed, in seconds
CLEANUP_INTERVAL_SECONDS = 5.0
#: delay after a failed write, doubled up to the maximum, in seconds
RETRY_DELAY_SECONDS = 0.05
MAX_RETRY_DELAY_SECONDS = 1.0
#: largest number of cancels that one record holds, since each write has them all; more are not
#: acknowledged
MAX_CANCELS = 2000


class UnknownCancels:
    """The late cancels of one pool, in one record that the owner writes and its successor reads.

    A successor counts their time from its takeover, since clocks of daemons differ.

    :param pool: name of the pool
    :param writer: stores the record under the owner's claim
    """

    def __init__(self, context: DaemonContext, pool: str, writer: OwnerWriter):
        self.context = context
        self.pool = pool
        self.writer = writer
        self.key = context.keys.cancels(pool)
        # Local time of the latest cancel of each job.
        self.cancelled_at: dict[JobKey, float] = {}
        # Revision of the stored record, 0 if there is none, -1 if it is not known. Writes compare
        # it, so that a write that the store applies late, after a newer one, has no effect.
        self.revision = -1
        # Number of cancels, and how many of them are stored.
        self.count = 0
        self.stored_count = 0
        self.stopped = False
        self.retry_delay = RETRY_DELAY_SECONDS
        self.write_needed = anyio.Event()
        self.changed = anyio.Event()

    async def load(self) -> None:
        """Read the cancels of earlier owners; those of a record that cannot be read are lost.

        :raises StoreUnavailable: if the store does not answer
        """
        try:
            entry = await self._read()
            inherited = decode_cancels(entry.value) if entry is not None else []
        except (StoreError, RecordError) as error:
            if isinstance(error, StoreError) and not concerns_record(error):
                raise
            self.context.log.write("record-unreadable", key=self.key, reason=str(error))
            return
        self.cancelled_at |= dict.fromkeys(inherited, self.context.clock.now())

    def includes(self, key: JobKey) -> bool:
        """Return whether a job that was unknown was cancelled a short time ago."""
        cancelled_at = self.cancelled_at.get(key, -math.inf)
        return self.context.clock.now() - cancelled_at <= CANCEL_MEMORY_SECONDS

    def note(self, key: JobKey) -> None:
        """Let a cancel apply from now on.

        :raises StoreUnavailable: if there are too many
        """
        self._forget()
        if key not in self.cancelled_at and len(self.cancelled_at) >= MAX_CANCELS:
            raise StoreUnavailable(f"pool {self.pool} has {MAX_CANCELS} cancels of unknown jobs")
        self.cancelled_at[key] = self.context.clock.now()

    async def add(self, key: JobKey, wait_seconds: float) -> None:
        """Let a cancel apply; return once it is stored, and the claim thus known to be valid.

        :param wait_seconds: longest time until it is stored, in seconds
        :raises StoreUnavailable: if it is not stored in time, or if there are too many
        """
        self.note(key)
        self.count += 1
        number = self.count
        self.write_needed.set()
        with anyio.move_on_after(wait_seconds):
            while self.stored_count < number and not self.stopped:
                await self.changed.wait()
        if self.stored_count < number:
            raise StoreUnavailable(f"the cancel of job {key.job_id} is not known to be stored")

    async def run(self) -> None:
        """Store cancels until cancelled; delete the record when none of them is needed."""
        self.stopped = False
        try:
            while True:
                with anyio.move_on_after(CLEANUP_INTERVAL_SECONDS):
                    await self.write_needed.wait()
                self.write_needed = anyio.Event()
                self._forget()
                is_record_outdated = self.revision > 0 and not self.cancelled_at
                if self.stored_count < self.count or is_record_outdated:
                    await self._store()
        finally:
            self.stopped = True
            self._notify()

    def _forget(self) -> None:
        self.cancelled_at = {
            key: cancelled_at
            for key, cancelled_at in self.cancelled_at.items()
            if self.includes(key)
        }

    def _notify(self) -> None:
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    async def _store(self) -> None:
        """Make an attempt to store the cancels; request another one if it fails."""
        number, keys = self.count, list(self.cancelled_at)
        try:
            revision = await self._commit(keys)
        except (StoreUnavailable, StoreError) as error:
            self.context.log.write(
                "cancels-not-stored", pool=self.pool, jobs=len(keys), reason=str(error)
            )
            # The write may have been applied, or may still be.
            self.revision = -1
            revision = 0
        if not revision:
            self.write_needed.set()
            await anyio.sleep(self.retry_delay)
            self.retry_delay = min(2 * self.retry_delay, MAX_RETRY_DELAY_SECONDS)
            return
        self.retry_delay = RETRY_DELAY_SECONDS
        self.revision = revision if keys else 0
        self.stored_count = number
        self._notify()
        await anyio.sleep(STORE_INTERVAL_SECONDS)

    async def _commit(self, keys: list[JobKey]) -> int:
        """Return the revision of the record, 0 if it has changed meanwhile."""
        if self.revision < 0:
            await self._read()
        write = Put(self.key, encode_cancels(keys)) if keys else Delete(self.key)
        revision = await self.writer.commit([Compare(self.key, self.revision)], [write])
        if not revision:
            self.revision = -1
        return revision

    async def _read(self) -> Entry | None:
        entry = await self.context.store.get(self.key)
        self.revision = entry.revision if entry is not None else 0
        return entry


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
