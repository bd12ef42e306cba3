"""Records of the failures in a row of a pool's owners, or of the planner. No I/O."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable
from typing import Any

import attrs

from ..exception import RecordError
from ..json_decoding import parse_json
from .failures import OwnerFailure, SetAside

__all__ = [
    "FORGET_SECONDS",
    "MAX_DELAY_SECONDS",
    "FailureRecord",
    "decode_failure",
    "encode_failure",
    "latest_failure",
]

#: delay until the next claim after the first failure, in seconds; it doubles with each further one
FIRST_DELAY_SECONDS = 0.2
#: longest delay, in seconds; with the turn of a daemon that does not claim, the claim and the reads
#: of a takeover, accepted work goes on within 3 s
MAX_DELAY_SECONDS = 1.6
#: time for which an owner must serve until the failures before it are forgotten, in seconds
FORGET_SECONDS = 10.0
#: most daemons that a record names
MAX_MEMBERS = 64
#: most failures in a row of which a record tells what they concern
MAX_CULPRITS = 64
#: failures in a row that concern the same job or worker from which on owners leave it alone
SET_ASIDE_FAILURES = 3
#: time for which an owner serves until what is set aside is tried again, in seconds; it doubles
#: with each further time up to the maximum
FIRST_RETRY_SECONDS = 20.0
MAX_RETRY_SECONDS = 640.0
MAX_RETRIES = 16
#: longest text of a reason in a record, in characters
MAX_REASON_LENGTH = 200


@attrs.frozen
class FailureRecord:
    """The failures in a row of a pool's owners.

    :param members: daemons whose owners failed, the one that failed last at the end
    :param failures: owners in a row that failed although their claims were valid
    :param interrupted: takeovers in a row that the store did not answer
    :param reason: error of the last failure
    :param worker: worker that it concerns, empty for none
    :param job: job that it concerns, empty for none
    :param is_refusal: whether a worker refused the token in the last failure
    :param culprits: worker and job that each of the latest failures in the row concerns, empty for
        none
    :param retries: number of times that what is set aside was tried again
    :param revision: revision of the record in the store, 0 if it is not stored
    :param seen_at: local time at which the failure became known, in seconds
    """

    members: tuple[str, ...] = ()
    failures: int = 0
    interrupted: int = 0
    reason: str = ""
    worker: str = ""
    job: str = ""
    is_refusal: bool = False
    culprits: tuple[tuple[str, str], ...] = ()
    retries: int = 0
    revision: int = 0
    seen_at: float = 0.0

    @property
    def delay_seconds(self) -> float:
        """Return the time from the last failure until the next claim, in seconds."""
        count = self.failures + self.interrupted
        if count <= 0:
            return 0.0
        doublings = min(count - 1, MAX_DELAY_SECONDS / FIRST_DELAY_SECONDS)
        return min(FIRST_DELAY_SECONDS * 2**doublings, MAX_DELAY_SECONDS)

    @property
    def claim_from(self) -> float:
        """Return the local time from which on the pool may be claimed again, in seconds."""
        return self.seen_at + self.delay_seconds

    @property
    def set_aside(self) -> SetAside:
        """Return the jobs and workers that the next owner leaves alone.

        A job comes first, since owners may fail on it wherever it runs. A worker on which they go
        on to fail when the job is set aside is the cause itself.
        """
        jobs = Counter(job for _, job in self.culprits if job)
        alone = Counter(worker for worker, job in self.culprits if worker and not job)
        with_any_job = Counter(worker for worker, _ in self.culprits if worker)
        workers = {name for name, count in alone.items() if count >= SET_ASIDE_FAILURES}
        workers |= {name for name, count in with_any_job.items() if count > SET_ASIDE_FAILURES}
        elsewhere = Counter(job for worker, job in self.culprits if job and worker not in workers)
        aside = {
            job
            for job, count in jobs.items()
            if count >= SET_ASIDE_FAILURES and elsewhere[job] >= min(count, SET_ASIDE_FAILURES)
        }
        return SetAside(frozenset(aside), frozenset(workers), self.is_refusal)

    @property
    def retry_seconds(self) -> float:
        """Return how long an owner serves until what is set aside is tried again, in seconds."""
        return min(FIRST_RETRY_SECONDS * 2**self.retries, MAX_RETRY_SECONDS)

    def retried(self) -> FailureRecord:
        """Return the record with which the next owner tries again what is set aside.

        One more failure sets it aside again.
        """
        aside, kept = self.set_aside, []
        jobs: Counter[str] = Counter()
        workers: Counter[str] = Counter()
        for worker, job in self.culprits:
            jobs[job] += job in aside.jobs
            workers[worker] += worker in aside.workers
            if max(jobs[job], workers[worker]) < SET_ASIDE_FAILURES:
                kept.append((worker, job))
        return attrs.evolve(
            self, failures=1, interrupted=0, culprits=tuple(kept), retries=self.retries + 1
        )

    def rank(self, name: str) -> int:
        """Return a daemon's place in the order of the next owners: the lower, the earlier."""
        return self.members.index(name) + 1 if name in self.members else 0

    def add(self, name: str, failure: OwnerFailure, interrupted: bool, now: float) -> FailureRecord:
        """Return the record after a further failure.

        :param name: the daemon
        :param interrupted: whether the store did not answer in the takeover
        :param now: local time
        """
        others = tuple(each for each in self.members if each != name)
        return FailureRecord(
            (*others, name)[-MAX_MEMBERS:],
            self.failures + (not interrupted),
            self.interrupted + interrupted,
            failure.reason[:MAX_REASON_LENGTH],
            failure.worker_id,
            failure.job_id,
            failure.is_refusal,
            (*self.culprits, (failure.worker_id, failure.job_id))[-MAX_CULPRITS:],
            self.retries,
            seen_at=now,
        )


def encode_failure(member: dict[str, Any], record: FailureRecord) -> bytes:
    """Return the value of a failure's key.

    It is a member's record with further fields, because daemons of earlier versions decode every
    value of the directory as one.

    :param member: fields of the record of the daemon whose owner failed last
    """
    fields = {
        "members": record.members,
        "failures": record.failures,
        "interrupted": record.interrupted,
        "reason": record.reason,
        "worker": record.worker,
        "job": record.job,
        "is_refusal": record.is_refusal,
        "culprits": record.culprits,
        "retries": record.retries,
    }
    return json.dumps({**member, **fields}, separators=(",", ":")).encode()


def decode_failure(value: bytes, revision: int, now: float) -> FailureRecord:
    """Return the record that a stored value describes.

    :param now: local time at which it became known
    :raises RecordError: if it cannot be read
    """
    try:
        record = parse_json(value)
        return FailureRecord(
            tuple(str(name) for name in record["members"])[-MAX_MEMBERS:],
            max(0, int(record["failures"])),
            max(0, int(record.get("interrupted", 0))),
            str(record.get("reason", "")),
            str(record.get("worker", "")),
            str(record.get("job", "")),
            record.get("is_refusal") is True,
            tuple((str(row[0]), str(row[1])) for row in record.get("culprits", ())),
            min(MAX_RETRIES, max(0, int(record.get("retries", 0)))),
            revision,
            now,
        )
    except (ValueError, TypeError, LookupError, AttributeError, OverflowError) as error:
        raise RecordError(f"cannot decode failure record: {error!r}") from None


def latest_failure(records: Iterable[FailureRecord | None]) -> FailureRecord:
    """Return the record with the most failures, an empty one if there is none."""
    found = [record for record in records if record is not None]
    return max(found, key=lambda each: each.failures + each.interrupted, default=FailureRecord())
