"""Tracking of stored job progress and of the ends that may be acknowledged. No I/O.

An end is acknowledged to its worker only after the progress that it caused is stored. A job is
reported as ended only after its final progress is stored.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

__all__ = ["ProgressLedger"]


@attrs.frozen
class _UnstoredEnd:
    position: int
    job_id: str
    version: int


class ProgressLedger:
    """Newest and stored version of each job's progress."""

    def __init__(self) -> None:
        self.newest: dict[str, int] = {}
        self.stored: dict[str, int] = {}
        self.unstored_ends: dict[str, list[_UnstoredEnd]] = {}
        # Jobs with unstored ends of workers that are gone: nobody else has a record of these ends.
        self.only_records: set[str] = set()
        # Jobs whose newest progress is not stored, in the order of their first change.
        self.changed_jobs: dict[str, None] = {}

    def add(self, job_id: str) -> None:
        """Add a job whose current progress is stored."""
        self.newest[job_id] = self.stored[job_id] = 0

    def note_unknown_change(self, job_id: str) -> None:
        """Record that the progress of a job has changed that is not known here."""
        self.newest[job_id] += 1

    def remove(self, job_id: str) -> None:
        """Remove a job."""
        self.newest.pop(job_id, None)
        self.stored.pop(job_id, None)
        self._forget_unstored(job_id)

    def mark_changed(self, job_id: str) -> None:
        """Record that a job's progress has changed."""
        self.newest[job_id] += 1
        self.changed_jobs[job_id] = None

    def is_stored(self, job_id: str) -> bool:
        """Return whether a job's newest progress is stored."""
        return self.stored.get(job_id, 0) >= self.newest.get(job_id, 0)

    def unstored_jobs(self) -> list[str]:
        """Return the jobs whose newest progress is not stored."""
        return list(self.changed_jobs)

    def note_end(self, worker_id: str, position: int, job_id: str) -> None:
        """Record that a worker's end waits until the job's current progress is stored."""
        end = _UnstoredEnd(position, job_id, self.newest[job_id])
        self.unstored_ends.setdefault(worker_id, []).append(end)

    def mark_stored(self, versions: Mapping[str, int]) -> None:
        """Record which versions of the jobs' progress are stored now."""
        for job_id, version in versions.items():
            if job_id in self.stored:
                self.stored[job_id] = max(version, self.stored[job_id])
                if self.is_stored(job_id):
                    self._forget_unstored(job_id)

    def stored_through(self, worker_id: str, processed_through: int) -> int:
        """Return the position up to which a worker's ends may be acknowledged.

        :param processed_through: position of the last end that was processed
        """
        pending = self._pending_ends(worker_id)
        if not pending:
            self.unstored_ends.pop(worker_id, None)
            return processed_through
        self.unstored_ends[worker_id] = pending
        return min(end.position for end in pending) - 1

    def count_unstored_ends(self, worker_id: str) -> int:
        """Return how many of a worker's processed ends wait until their progress is stored."""
        return len(self._pending_ends(worker_id))

    def remove_worker(self, worker_id: str) -> None:
        """Remove the ends of a worker that no longer exists or has restarted."""
        self.only_records.update(end.job_id for end in self._pending_ends(worker_id))
        self.unstored_ends.pop(worker_id, None)

    def _pending_ends(self, worker_id: str) -> list[_UnstoredEnd]:
        return [
            end
            for end in self.unstored_ends.get(worker_id, ())
            if end.job_id in self.stored and self.stored[end.job_id] < end.version
        ]

    def _forget_unstored(self, job_id: str) -> None:
        self.changed_jobs.pop(job_id, None)
        self.only_records.discard(job_id)
