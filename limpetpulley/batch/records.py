"""Stored records: a job's immutable description and its progress, rosters and shares."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

import attrs

from ..address import Address, is_never_reachable
from ..exception import RecordError
from ..json_decoding import (
    check_count,
    check_int,
    check_number,
    check_str,
    get_bool,
    get_int,
    get_list,
    get_str,
    parse_json,
    parse_object,
)
from .job import Job
from .model import JobKey, JobSpec, TaskId
from .spec_encoding import decode_spec_fields, encode_spec_fields
from .validation import check_job_id, validate_spec

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


def encode_description(job: Job) -> bytes:
    """Return the immutable record of an accepted job."""
    return _dump(
        {
            "spec": encode_spec_fields(job.spec),
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
            "crashes": sorted(
                [*task[1:], sorted(shares.items())] for task, shares in job.crashes.items()
            ),
            "cancelled": job.cancelled,
            "failed": job.failed,
            "started": job.started,
            "ended": job.ended_at,
        }
    )


def decode_pool(description: bytes) -> str:
    """Return the pool in a job's description; much cheaper than decoding the whole job.

    :raises RecordError: if the record cannot be decoded
    """
    return str(_load(description, "job").get("pool"))


def decode_job(key: JobKey, description: bytes, progress: bytes | None) -> Job:
    """Return the job that a description and a progress record represent.

    Progress of what is no task of the job is left out.

    :param progress: None if no progress has been stored yet
    :raises RecordError: if a record cannot be decoded, or describes no job that can be served
    """
    try:
        check_job_id(key.job_id)
        source = parse_object(description)
        spec = decode_spec_fields(source["spec"])
        validate_spec(spec)
        return Job(
            key,
            spec,
            get_str(source, "pool"),
            get_str(source, "team"),
            max(1, get_int(source, "attempts")),
            _decode_time(source["accepted"]),
            get_int(source, "priority"),
            _decode_time(source["due_by"]),
            get_bool(source, "behind"),
            **_decode_progress(key, spec, parse_object(progress) if progress is not None else {}),
        )
    except (
        RecordError,
        ValueError,
        LookupError,
        TypeError,
        AttributeError,
        OverflowError,
    ) as error:
        raise RecordError(f"job {key.queue}/{key.job_id}: invalid record: {error!r}") from None


def _decode_progress(key: JobKey, spec: JobSpec, source: dict[str, Any]) -> dict[str, Any]:
    done = _decode_rows(key, spec, get_list(source, "done"))
    failures = _decode_rows(key, spec, get_list(source, "failures"))
    crashes = _decode_rows(key, spec, get_list(source, "crashes"))
    return {
        "done": {task for task, _ in done},
        "failures": {
            task: {check_int(number, "run") for number in runs} for task, (runs,) in failures
        },
        "crashes": {
            task: {check_int(number, "run"): _check_share(share) for number, share in shares}
            for task, (shares,) in crashes
        },
        **{name: get_bool(source, name) for name in ("cancelled", "failed", "started")},
        "ended_at": _decode_time(source.get("ended", 0.0)),
    }


def _decode_rows(key: JobKey, spec: JobSpec, rows: list[Any]) -> list[tuple[TaskId, list[Any]]]:
    """Return the task of each row, with the rest of the row.

    A row that cannot be read makes the record unreadable: its task may be done.
    """
    decoded = []
    for row in rows:
        occurrence, step, position = (check_int(number, "task") for number in row[:3])
        if spec.has_task(occurrence, step, position):
            decoded.append((TaskId(key.job_id, occurrence, step, position), row[3:]))
    return decoded


def _decode_time(value: Any) -> float:
    return check_number(float(value), "a time")


def _check_share(share: Any) -> float:
    number = float(check_number(share, "share"))
    if not 0.0 <= number <= 1.0:
        raise RecordError(f"a crash is attributed to a task by {number}")
    return number


def encode_spec(spec: JobSpec) -> bytes:
    """Return an encoded specification, to send it to another daemon."""
    return _dump(encode_spec_fields(spec))


def decode_spec(value: bytes) -> JobSpec:
    """Return the specification that was submitted.

    :raises RecordError: if it cannot be decoded, or no job can be served by it
    """
    try:
        spec = decode_spec_fields(parse_json(value))
    except (ValueError, LookupError, TypeError, AttributeError, OverflowError) as error:
        raise RecordError(f"invalid job specification: {error!r}") from None
    validate_spec(spec)
    return spec


@attrs.frozen
class RosterEntry:
    """A worker that may hold runs.

    :param address: address for its orders as it was stored, None if that cannot be read
    :param vm: its VM
    :param settled_incarnation: the incarnation that no call meant for another one, by any owner so
        far, can reach or has given a lease; 0 if this is not known of any
    """

    address: str | None
    vm: str
    settled_incarnation: int = 0

    @property
    def callable_address(self) -> Address | None:
        """Return the address if this build can call it."""
        try:
            return Address(self.address or "")
        except ValueError:
            return None

    @property
    def was_never_reachable(self) -> bool:
        """Return whether no build can have started a run there, because none can connect."""
        return self.address is not None and is_never_reachable(self.address)


def encode_roster(workers: dict[str, RosterEntry]) -> bytes:
    """Return the record of the workers that may hold runs of a pool."""
    return _dump(
        {
            name: [entry.address, entry.vm, entry.settled_incarnation]
            for name, entry in workers.items()
        }
    )


def decode_roster(value: bytes) -> dict[str, RosterEntry]:
    """Return the workers that may hold runs of a pool, by name.

    A row that cannot be read still names a worker, unless no order can contain the name.

    :raises RecordError: if the record cannot be decoded
    """
    rows = _load(value, "roster").items()
    return {name: _decode_roster_row(row) for name, row in rows if _is_text(name)}


def _decode_roster_row(row: Any) -> RosterEntry:
    fields = row if isinstance(row, list) else []
    address, vm, settled = (*fields, None, None, None)[:3]
    is_number = isinstance(settled, int) and not isinstance(settled, bool)
    return RosterEntry(
        address if _is_text(address) else None,
        vm if _is_text(vm) else "",
        settled if is_number else 0,
    )


def _is_text(value: Any) -> bool:
    try:
        check_str(value, "text")
    except RecordError:
        return False
    return True


def encode_shares(shares: Mapping[str, tuple[int, int, int] | None]) -> bytes:
    """Return the record of how the limit of one team is divided among pools.

    :param shares: processors in thousandths of a core, memory in megabytes and number of
        accelerators, by pool; None for a pool whose share is not known
    """
    return _dump(shares)


def decode_shares(value: bytes) -> dict[str, tuple[int, int, int] | None]:
    """Return one team's processors, memory and accelerators by pool, None where they are unknown.

    :raises RecordError: if the record cannot be decoded
    """
    return {
        pool: _decode_share(row) for pool, row in _load(value, "shares").items() if _is_text(pool)
    }


def _decode_share(row: Any) -> tuple[int, int, int] | None:
    try:
        processors, memory, accelerators = (check_count(number, "share") for number in row)
    except (RecordError, ValueError, TypeError):
        return None
    return processors, memory, accelerators


def _load(value: bytes, kind: str) -> dict[str, Any]:
    try:
        loaded = parse_json(value)
    except ValueError as error:
        raise RecordError(f"invalid {kind} record: {error}") from None
    if not isinstance(loaded, dict):
        raise RecordError(f"invalid {kind} record: not a JSON object")
    return loaded


def _dump(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()
