"""Requests in the format of the platform's clients."""

from __future__ import annotations

import re
from typing import Any

from ..api.batches import Dialect, Target
from ..api.http import Scope, get_header
from ..batch import BatchConfig, JobSpec, Step
from ..exception import RecordError
from ..json_decoding import get_bool, get_int, get_list, get_number, get_str, parse_object
from .config import MILLISECONDS, decode_amount

__all__ = ["decode_job_spec", "platform_dialect"]

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")


def platform_dialect() -> Dialect:
    """Return the HTTP dialect of the platform's clients."""
    return Dialect("POST", 200, 410, 400, _find_target, decode_job_spec, b"deadline-ms", 0.001)


def decode_job_spec(content: bytes) -> JobSpec:
    """Return the job in a request's body.

    :raises RecordError: if it cannot be read
    """
    source = parse_object(content)
    return JobSpec(
        get_str(source, "spec", ""),
        # The platform calls the steps phases and the number of occurrences repeatCount.
        tuple(_decode_step(row) for row in get_list(source, "phases")),
        get_int(source, "repeatCount", 0),
        get_number(source, "firstMs", 0) / MILLISECONDS,
        get_number(source, "intervalMs", 0) / MILLISECONDS,
    )


def _find_target(config: BatchConfig, scope: Scope) -> Target | None:
    host = (get_header(scope, b"host") or "").partition(":")[0]
    queue = config.find_queue(host, scope["path"])
    if queue is None:
        return None
    job_id = scope["path"][len(queue.path_prefix) :]
    return Target(queue, job_id) if not job_id or JOB_ID.fullmatch(job_id) else None


def _decode_step(row: Any) -> Step:
    if not isinstance(row, dict):
        raise RecordError("a step is not a JSON object")
    return Step(
        count=get_int(row, "count", 0),
        need=decode_amount(row),
        estimate_seconds=get_number(row, "estimateMs", 0) / MILLISECONDS,
        after=tuple(int(step_index) for step_index in get_list(row, "after")),
        checkpoints=get_bool(row, "checkpointing"),
        gang=get_bool(row, "gang"),
        same_rack=get_bool(row, "sameRack"),
        label=get_str(row, "constraints", ""),
        near_rack=get_str(row, "affinity", ""),
        max_per_worker=get_int(row, "antiAffinity", 0),
        speculative=get_bool(row, "speculative"),
        lasting=get_bool(row, "longRunning"),
        image=get_str(row, "image", ""),
        latency_target_seconds=get_number(row, "targetMs", 0) / MILLISECONDS,
        filler=get_bool(row, "fills"),
        # Clients omit fields that are 0, so a lasting step without this field may miss no task.
        may_miss=get_int(row, "mayMiss", 0) if get_bool(row, "longRunning") else None,
    )
