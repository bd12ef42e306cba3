"""Stores the ends of jobs that are set aside, so that they may be acknowledged.

The job's record is changed as it is stored, without the job: what fails for the job does not fail
here. A later owner that has the job again reads the ends as any other progress.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

import anyio
import attrs

from ..batch import EndKind, JobKey
from ..exception import RecordError, StoreError, StoreUnavailable
from ..json_decoding import parse_object
from ..pool import PoolState
from ..store import Compare, Entry, Put
from ..workers import EndedRun
from .context import DaemonContext
from .writer import OwnerWriter

__all__ = ["SetAsideRecords", "add_ends"]

#: interval between two writes, in seconds
STORE_INTERVAL_SECONDS = 0.1
#: delay after a write that failed, in seconds
RETRY_DELAY_SECONDS = 0.5


@attrs.define
class _Progress:
    """A progress record.

    :param fields: its fields, None if they cannot be read: then no end of the job is acknowledged
    """

    key: str
    revision: int
    fields: dict[str, Any] | None


class SetAsideRecords:
    """Adds the ends that workers list to the progress records of jobs that are set aside."""

    def __init__(self, context: DaemonContext, pool_state: PoolState, writer: OwnerWriter):
        self.context = context
        self.pool_state = pool_state
        self.writer = writer
        self.records: dict[str, _Progress] = {}

    def add(self, job: JobKey, entry: Entry | None) -> None:
        """Set a job aside, with its stored progress."""
        self.pool_state.set_job_aside(job.job_id)
        self.records[job.job_id] = self._read(self.context.keys.progress(job), entry)

    def _read(self, key: str, entry: Entry | None) -> _Progress:
        if entry is None:
            return _Progress(key, 0, {})
        try:
            return _Progress(key, entry.revision, parse_object(entry.value))
        except RecordError as error:
            self.context.log.write("record-unreadable", key=key, reason=str(error))
            return _Progress(key, entry.revision, None)

    async def run(self) -> None:
        """Store ends until cancelled."""
        while True:
            await anyio.sleep(STORE_INTERVAL_SECONDS)
            for job_id in list(self.pool_state.aside_ends):
                try:
                    await self._store(job_id)
                except (StoreUnavailable, StoreError) as error:
                    self.context.log.write(
                        "store-write-failed",
                        pool=self.pool_state.pool,
                        job=job_id,
                        reason=str(error),
                    )
                    await anyio.sleep(RETRY_DELAY_SECONDS)

    async def _store(self, job_id: str) -> None:
        record = self.records[job_id]
        if record.fields is None:
            return
        version = self.pool_state.progress.newest[job_id]
        ends = list(self.pool_state.aside_ends[job_id])
        fields = add_ends(record.fields, ends)
        revision = await self.writer.commit(
            [Compare(record.key, record.revision)],
            [Put(record.key, json.dumps(fields, separators=(",", ":")).encode())],
        )
        if not revision:
            # An earlier write may have been applied although its answer was lost.
            self.records[job_id] = self._read(record.key, await self.context.store.get(record.key))
            return
        record.fields, record.revision = fields, revision
        self.pool_state.note_aside_ends_stored(job_id, len(ends), version)


def add_ends(fields: dict[str, Any], ends: Iterable[EndedRun]) -> dict[str, Any]:
    """Return the fields of a progress record with further ends, each of which counts once."""
    done = {tuple(row): list(row) for row in fields.get("done", ())}
    failures = {tuple(row[:3]): set(row[3]) for row in fields.get("failures", ())}
    for end in ends:
        task = tuple(end.task[1:])
        if end.kind is EndKind.DONE:
            done[task] = list(task)
        elif end.kind is EndKind.FAILED:
            failures.setdefault(task, set()).add(end.number)
    return {
        **fields,
        "done": sorted(done.values()),
        "failures": sorted([*task, sorted(numbers)] for task, numbers in failures.items()),
        "started": True,
    }
