"""Requests in the format of the platform's clients."""

from __future__ import annotations

import re
from typing import Any

from ..api.batches import Dialect, Target
from ..api.http import Scope, get_header
from ..batch import BatchConfig, JobSpec, Step
from ..exception import RecordError
from ..reading import flag, load, number, rows, text, whole
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
    source = load(content)
    return JobSpec(
        text(source, "spec", ""),
        # The platform calls the steps phases and the number of occurrences repeatCount.
        tuple(_decode_step(row) for row in rows(source, "phases")),
        whole(source, "repeatCount", 0),
        number(source, "firstMs", 0) / MILLISECONDS,
        number(source, "intervalMs", 0) / MILLISECONDS,
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
        count=whole(row, "count", 0),
        need=decode_amount(row),
        estimate_seconds=number(row, "estimateMs", 0) / MILLISECONDS,
        after=tuple(int(step_index) for step_index in rows(row, "after")),
        checkpoints=flag(row, "checkpointing"),
        gang=flag(row, "gang"),
        same_rack=flag(row, "sameRack"),
        label=text(row, "constraints", ""),
        near_rack=text(row, "affinity", ""),
        max_per_worker=whole(row, "antiAffinity", 0),
        speculative=flag(row, "speculative"),
        lasting=flag(row, "longRunning"),
        image=text(row, "image", ""),
        latency_target_seconds=number(row, "targetMs", 0) / MILLISECONDS,
        filler=flag(row, "fills"),
        # Clients omit fields that are 0, so a lasting step without this field may miss no task.
        may_miss=whole(row, "mayMiss", 0) if flag(row, "longRunning") else None,
    )
