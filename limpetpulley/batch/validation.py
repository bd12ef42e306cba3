"""Rules that hold for every job that an owner serves."""

from __future__ import annotations

import re

from ..exception import RecordError
from ..json_decoding import check_count, check_number, check_str
from .model import JobSpec, Step

__all__ = ["check_job_id", "validate_spec"]

#: maximum number of tasks of one job, over all its occurrences
MAX_TASKS = 10_000
# An identifier is part of keys, paths, and names of tasks, whose parts are separated by dots.
JOB_ID = re.compile(r"[0-9A-Za-z_-]{1,100}")


def validate_spec(spec: JobSpec) -> None:
    """Check that a job specification is consistent and not too large.

    :raises RecordError: if it is not; the message names the violated rule
    """
    if not spec.steps:
        raise RecordError("a job needs at least one step")
    check_str(spec.payload, "payload")
    for time in (spec.first_due, spec.interval_seconds):
        check_number(time, "a time")
    for number, step in enumerate(spec.steps):
        if step.count < 1:
            raise RecordError(f"step {number}: count must be at least 1")
        _check_step(step)
        if any(not 0 <= earlier < number for earlier in step.after):
            raise RecordError(f"step {number}: after may only refer to earlier steps")
    tasks = max(1, spec.occurrences) * sum(step.count for step in spec.steps)
    if tasks > MAX_TASKS:
        raise RecordError(f"{tasks} tasks exceed the maximum of {MAX_TASKS}")


def _check_step(step: Step) -> None:
    for text in (step.label, step.near_rack, step.image):
        check_str(text, "a text of a step")
    for seconds in (step.estimate_seconds, step.latency_target_seconds):
        check_number(seconds, "a time of a step")
    need = step.need
    for amount in (need.cpu_millicores, need.memory_mb, need.accelerators):
        check_count(amount, "an amount of a step")
    check_count(step.max_per_worker, "the maximum on one worker")
    check_number(step.may_miss or 0, "the number of tasks that may be missing")


def check_job_id(job_id: str) -> None:
    """Check that a job's identifier can be part of the names of its tasks.

    :raises RecordError: if it cannot
    """
    if not JOB_ID.fullmatch(job_id):
        raise RecordError(f"{job_id[:100]!r} is not the identifier of a job")
