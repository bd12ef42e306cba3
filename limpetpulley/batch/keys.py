"""Keys of the batch path in the platform's store."""

from __future__ import annotations

import xxhash

from .model import JobKey

__all__ = ["SHARDS", "BatchKeys"]

#: parts that the jobs' records are read in, so that none of them fills a slow link for longer than
#: an owner's lease lasts
SHARDS = "0123456789abcdef"


class BatchKeys:
    """Names of keys under one prefix.

    :param prefix: ends with ``/``

    >>> BatchKeys("lp/").owner("desk")
    'lp/dir/owner/desk'
    """

    def __init__(self, prefix: str):
        self.directory = prefix + "dir/"
        self.members = prefix + "dir/member/"
        self.owners = prefix + "dir/owner/"
        self.descriptions = prefix + "job/"
        self.progress_records = prefix + "progress/"
        self.shares = prefix + "share/"
        self.rosters = prefix + "roster/"
        self.waves = prefix + "wave/"
        self.homes = prefix + "homes"
        self.succession = prefix + "succession"

    def member(self, name: str) -> str:
        """Return the key of a live daemon."""
        return self.members + name

    def owner(self, pool: str) -> str:
        """Return the key of a pool's owner."""
        return self.owners + pool

    def description(self, job: JobKey) -> str:
        """Return the key of a job's description."""
        return f"{self.descriptions}{_shard(job)}/{job.queue}/{job.job_id}"

    def progress(self, job: JobKey) -> str:
        """Return the key of a job's progress."""
        return f"{self.progress_records}{_shard(job)}/{job.queue}/{job.job_id}"

    def share(self, team: str) -> str:
        """Return the key of the division of a team's limit."""
        return self.shares + team

    def roster(self, pool: str) -> str:
        """Return the key of the list of workers that may hold a pool's runs."""
        return self.rosters + pool

    def wave(self, wave: str) -> str:
        """Return the key of a wave's progress."""
        return self.waves + wave

    @staticmethod
    def parse_job_key(rest: str) -> JobKey:
        """Return the job that the part of a key after its prefix names."""
        queue, _, job_id = rest.partition("/")[2].rpartition("/")
        return JobKey(queue, job_id)


def _shard(job: JobKey) -> str:
    return SHARDS[xxhash.xxh64_intdigest(job.job_id.encode()) % len(SHARDS)]
