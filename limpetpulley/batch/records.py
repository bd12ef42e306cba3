"""What the store keeps of a job: its description, written once, and its progress."""

from __future__ import annotations

import json
from typing import Any

import attrs
import cattrs

from ..exception import RecordError
from .job import Job
from .model import JobKey, JobSpec, TaskId

__all__ = [
    "RosterEntry",
    "decode_job",
    "decode_roster",
    "decode_shares",
    "decode_spec",
    "encode_description",
    "encode_progress",
    "encode_roster",
    "encode_shares",
    "encode_spec",
    "decode_pool",
]

_converter = cattrs.Converter(omit_if_default=True)


def encode_description(job: Job) -> bytes:
    """Return the record of what was accepted; it never changes."""
    return _dump(
        {
            "spec": _converter.unstructure(job.spec),
            "pool": job.pool,
            "team": job.team,
            "attempts": job.max_attempts,
            "accepted": job.accepted_at,
            "priority": job.priority,
            "due_by": job.due_by,
            "behind": job.behind,
        }
    )


def encode_progress(job: Job) -> bytes:
    """Return the record of a job's progress."""
    return _dump(
        {
            "done": sorted(task[1:] for task in job.done),
            "failures": sorted([*task[1:], sorted(runs)] for task, runs in job.failures.items()),
            "cancelled": job.cancelled,
            "failed": job.failed,
            "started": job.started,
            "ended": job.ended_at,
        }
    )


def decode_pool(description: bytes) -> str:
    """Return the pool of a job by its description, which costs far less than the whole job.

    :raises RecordError: if the record cannot be read
    """
    return str(_load(description, "job").get("pool"))


def decode_job(key: JobKey, description: bytes, progress: bytes | None) -> Job:
    """Return the job that two records describe.

    :param progress: None if no progress was stored yet
    :raises RecordError: if a record cannot be read
    """
    try:
        told = json.loads(description)
        noted = json.loads(progress) if progress is not None else {}
        return Job(
            key,
            _converter.structure(told["spec"], JobSpec),
            told["pool"],
            told["team"],
            int(told["attempts"]),
            float(told["accepted"]),
            int(told["priority"]),
            float(told["due_by"]),
            bool(told["behind"]),
            done={TaskId(key.job_id, *task) for task in noted.get("done", ())},
            failures={
                TaskId(key.job_id, *row[:3]): set(row[3]) for row in noted.get("failures", ())
            },
            cancelled=bool(noted.get("cancelled")),
            failed=bool(noted.get("failed")),
            started=bool(noted.get("started")),
            ended_at=float(noted.get("ended", 0.0)),
        )
    except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
        raise RecordError(f"job {key.queue}/{key.job_id}: unreadable record: {error!r}") from None


def encode_spec(spec: JobSpec) -> bytes:
    """Return what was handed in, to send it to another daemon."""
    return _dump(_converter.unstructure(spec))


def decode_spec(value: bytes) -> JobSpec:
    """Return what was handed in.

    :raises RecordError: if it cannot be read
    """
    try:
        return _converter.structure(json.loads(value), JobSpec)
    except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
        raise RecordError(f"unreadable job: {error!r}") from None


@attrs.frozen
class RosterEntry:
    """Where a worker that may hold runs takes orders, and the VM that it runs on."""

    address: str
    vm: str


def encode_roster(workers: dict[str, RosterEntry]) -> bytes:
    """Return the record of the workers that may hold runs of a pool."""
    return _dump({name: [entry.address, entry.vm] for name, entry in workers.items()})


def decode_roster(value: bytes) -> dict[str, RosterEntry]:
    """Return the workers that may hold runs of a pool.

    :raises RecordError: if the record cannot be read
    """
    try:
        return {
            str(name): RosterEntry(str(row[0]), str(row[1]))
            for name, row in _load(value, "roster").items()
        }
    except (TypeError, IndexError) as error:
        raise RecordError(f"unreadable record of the roster: {error}") from None


def encode_shares(shares: dict[str, tuple[int, int, int]]) -> bytes:
    """Return the record of how one team's upper limit is divided.

    :param shares: processors, memory and accelerators by pool
    """
    return _dump(shares)


def decode_shares(value: bytes) -> dict[str, tuple[int, int, int]]:
    """Return processors, memory and accelerators by pool.

    :raises RecordError: if the record cannot be read
    """
    try:
        return {
            str(pool): (int(row[0]), int(row[1]), int(row[2]))
            for pool, row in _load(value, "shares").items()
        }
    except (ValueError, TypeError, IndexError) as error:
        raise RecordError(f"unreadable record of shares: {error!r}") from None


def _load(value: bytes, what: str) -> dict[str, Any]:
    try:
        loaded = json.loads(value)
    except ValueError as error:
        raise RecordError(f"unreadable record of the {what}: {error}") from None
    if not isinstance(loaded, dict):
        raise RecordError(f"unreadable record of the {what}: not an object")
    return loaded


def _dump(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()
