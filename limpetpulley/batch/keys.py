"""Keys of the records in the store."""

from __future__ import annotations

import xxhash

from .model import JobKey

__all__ = ["SHARDS", "SHARE_QUEUE_SUFFIX", "BatchKeys"]

#: shards of the jobs' records; they are read separately so that no single read occupies a slow
#: link for longer than an owner's lease
SHARDS = "0123456789abcdef"
SHARE_QUEUE_SUFFIX = "/waiting"


class BatchKeys:
    """Keys under one prefix.

    Attributes are prefixes of keys, except ``homes`` (initial number of VMs of each pool) and
    ``succession`` (state that a fleet planner leaves to its successor), which are whole keys.

    :param prefix: common prefix, ends with ``/``

    >>> BatchKeys("lp/").owner("desk")
    'lp/dir/owner/desk'
    """

    def __init__(self, prefix: str):
        self.directory = prefix + "dir/"
        self.members = prefix + "dir/member/"
        self.owners = prefix + "dir/owner/"
        self.last_owners = prefix + "dir/last/"
        self.owner_failures = prefix + "dir/failure/"
        self.descriptions = prefix + "job/"
        self.progress_records = prefix + "progress/"
        self.shares = prefix + "share/"
        self.rosters = prefix + "roster/"
        self.unknown_cancels = prefix + "cancel/"
        self.waves = prefix + "wave/"
        self.homes = prefix + "homes"
        self.succession = prefix + "succession"

    def member(self, name: str) -> str:
        """Return the key of a running daemon's membership."""
        return self.members + name

    def owner(self, pool: str) -> str:
        """Return the key of the ownership of a pool."""
        return self.owners + pool

    def last_owner(self, pool: str) -> str:
        """Return the key of the last daemon that claimed a pool, which outlives the claim."""
        return self.last_owners + pool

    def owner_failure(self, pool: str) -> str:
        """Return the key of the failures in a row of a pool's owners."""
        return self.owner_failures + pool

    def description(self, job: JobKey) -> str:
        """Return the key of a job's description."""
        return f"{self.descriptions}{_shard(job)}/{job.queue}/{job.job_id}"

    def progress(self, job: JobKey) -> str:
        """Return the key of a job's progress."""
        return f"{self.progress_records}{_shard(job)}/{job.queue}/{job.job_id}"

    def share(self, team: str) -> str:
        """Return the key of the division of a team's limit among pools."""
        return self.shares + team

    def share_queue(self, team: str) -> str:
        """Return the key of the queue of pools that wait for a larger part of a team's limit.

        It is read along with the divisions; a build that knows no queues takes it for a division of
        a team that is not configured.
        """
        return self.shares + team + SHARE_QUEUE_SUFFIX

    def roster(self, pool: str) -> str:
        """Return the key of the roster of workers that may hold runs of a pool."""
        return self.rosters + pool

    def cancels(self, queue: str) -> str:
        """Return the key of the cancels of a queue's jobs that a pool's owner did not know."""
        return self.unknown_cancels + queue

    def wave(self, wave: str) -> str:
        """Return the key of the progress of a maintenance wave."""
        return self.waves + wave

    @staticmethod
    def parse_job_key(path: str) -> JobKey:
        """Return the job of a description's or progress record's key without its prefix."""
        queue, _, job_id = path.partition("/")[2].rpartition("/")
        return JobKey(queue, job_id)


def _shard(job: JobKey) -> str:
    return SHARDS[xxhash.xxh64_intdigest(job.job_id.encode()) % len(SHARDS)]
