"""Estimates of task run times from observations, because declared run times may be far off."""

from __future__ import annotations

import attrs

from ..batch import Job, JobSpec, TaskId

__all__ = ["TaskTimes"]

#: weight of a new observation in a moving average
LEARNING_RATE = 0.1
#: run time assumed for a queue without observations or declared run times, in seconds
UNKNOWN_SECONDS = 1.0


@attrs.define
class _Queue:
    mean: float
    declared_error: float = 0.0
    mean_error: float = 0.0
    count: int = 0


class TaskRunTimes:
    """Mean run time by queue, with the mean errors of it and of the declared run times."""

    def __init__(self) -> None:
        self.queues: dict[str, _Queue] = {}

    def note(self, job: Job | None, task: TaskId, seconds: float) -> None:
        """Record the run time of a completed task."""
        if job is None:
            return
        found = self.queues.setdefault(job.key.queue, _Queue(seconds))
        declared = job.step_of(task).estimate_seconds
        rate = max(LEARNING_RATE, 1 / (found.count + 1))
        found.count += 1
        found.declared_error += rate * (abs(declared - seconds) - found.declared_error)
        found.mean_error += rate * (abs(found.mean - seconds) - found.mean_error)
        found.mean += rate * (seconds - found.mean)

    def expected_seconds(self, queue: str, spec: JobSpec) -> tuple[float, ...]:
        """Return the expected run time of a task of each step, in seconds.

        Observed and declared run times are weighted by their past errors.
        """
        found = self.queues.get(queue)
        if found is None:
            return tuple(declared or UNKNOWN_SECONDS for declared in spec.declared())
        trust = found.mean_error / max(1e-9, found.mean_error + found.declared_error)
        return tuple(
            trust * declared + (1 - trust) * found.mean if declared else found.mean
            for declared in spec.declared()
        )
