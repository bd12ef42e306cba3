"""The callers' requests as the platform's clients make them."""

from __future__ import annotations

import re
from typing import Any

from ..api.batches import Dialect, Target
from ..api.http import Scope, get_header
from ..batch import BatchConfig, JobSpec, Step
from ..exception import RecordError
from ..json_decoding import flag, load, number, rows, text, whole
from .config import MILLISECONDS, amount

__all__ = ["decode_job_spec", "platform_dialect"]

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")


def platform_dialect() -> Dialect:
    """Return how the platform's clients speak."""
    return Dialect("POST", 200, 410, 400, _locate, decode_job_spec, b"deadline-ms", 0.001)


def decode_job_spec(content: bytes) -> JobSpec:
    """Return the job that a request's body describes.

    :raises RecordError: if it cannot be read
    """
    source = load(content)
    return JobSpec(
        text(source, "spec", ""),
        # Steps are called phases, and occurrences are counted by repeatCount.
        tuple(_step(row) for row in rows(source, "phases")),
        whole(source, "repeatCount", 0),
        number(source, "firstMs", 0) / MILLISECONDS,
        number(source, "intervalMs", 0) / MILLISECONDS,
    )


def _locate(config: BatchConfig, scope: Scope) -> Target | None:
    host = (get_header(scope, b"host") or "").partition(":")[0]
    queue = config.find_queue(host, scope["path"])
    if queue is None:
        return None
    rest = scope["path"][len(queue.path_prefix) :]
    return Target(queue, rest) if not rest or JOB_ID.fullmatch(rest) else None


def _step(row: Any) -> Step:
    if not isinstance(row, dict):
        raise RecordError("a step is not an object")
    return Step(
        count=whole(row, "count", 0),
        need=amount(row),
        estimate_seconds=number(row, "estimateMs", 0) / MILLISECONDS,
        after=tuple(int(before) for before in rows(row, "after")),
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
        # Fields of 0 are left out, so a lasting step without it may miss none.
        may_miss=whole(row, "mayMiss", 0) if flag(row, "longRunning") else None,
    )
