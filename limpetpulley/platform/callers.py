"""Requests in the format of the platform's clients."""

from __future__ import annotations

import re
from typing import Any

from .. import json_decoding as fields
from ..api.batches import Dialect, Target
from ..api.http import Scope, get_header
from ..batch import BatchConfig, JobSpec, Step
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
    source = fields.parse_object(content)
    return JobSpec(
        fields.get_str(source, "spec", ""),
        # The platform calls the steps phases and the number of occurrences repeatCount.
        tuple(_decode_step(row) for row in fields.get_objects(source, "phases")),
        fields.get_int(source, "repeatCount", 0),
        fields.get_number(source, "firstMs", 0) / MILLISECONDS,
        fields.get_number(source, "intervalMs", 0) / MILLISECONDS,
    )


def _find_target(config: BatchConfig, scope: Scope) -> Target | None:
    host = (get_header(scope, b"host") or "").partition(":")[0]
    queue = config.find_queue(host, scope["path"])
    if queue is None:
        return None
    job_id = scope["path"][len(queue.path_prefix) :]
    return Target(queue, job_id) if not job_id or JOB_ID.fullmatch(job_id) else None


def _decode_step(row: dict[str, Any]) -> Step:
    lasting = fields.get_bool(row, "longRunning")
    return Step(
        count=fields.get_int(row, "count", 0),
        need=decode_amount(row),
        estimate_seconds=fields.get_number(row, "estimateMs", 0) / MILLISECONDS,
        after=tuple(fields.check_int(number, "after") for number in fields.get_list(row, "after")),
        checkpoints=fields.get_bool(row, "checkpointing"),
        gang=fields.get_bool(row, "gang"),
        same_rack=fields.get_bool(row, "sameRack"),
        label=fields.get_str(row, "constraints", ""),
        near_rack=fields.get_str(row, "affinity", ""),
        max_per_worker=fields.get_int(row, "antiAffinity", 0),
        speculative=fields.get_bool(row, "speculative"),
        lasting=lasting,
        image=fields.get_str(row, "image", ""),
        latency_target_seconds=fields.get_number(row, "targetMs", 0) / MILLISECONDS,
        filler=fields.get_bool(row, "fills"),
        # Clients omit fields that are 0, so a lasting step without this field may miss no task.
        may_miss=fields.get_int(row, "mayMiss", 0) if lasting else None,
    )
