"""Estimates of task run times from observations, because declared run times may be far off."""

from __future__ import annotations

import attrs

from ..batch import Job, JobSpec, TaskId

__all__ = ["TaskRunTimes"]

#: weight of a new observation in a moving average
LEARNING_RATE = 0.1
#: run time assumed for a queue without observations or declared run times, in seconds
DEFAULT_RUN_SECONDS = 1.0


@attrs.define
class _QueueEstimate:
    mean: float
    declared_error: float = 0.0
    mean_error: float = 0.0
    count: int = 0


class TaskRunTimes:
    """Mean run time by queue, with the mean errors of it and of the declared run times."""

    def __init__(self) -> None:
        self.estimates: dict[str, _QueueEstimate] = {}

    def observe(self, job: Job | None, task: TaskId, seconds: float) -> None:
        """Record the run time of a completed task."""
        if job is None:
            return
        estimate = self.estimates.setdefault(job.key.queue, _QueueEstimate(seconds))
        declared_seconds = job.step_of(task).estimate_seconds
        rate = max(LEARNING_RATE, 1 / (estimate.count + 1))
        estimate.count += 1
        estimate.declared_error += rate * (
            abs(declared_seconds - seconds) - estimate.declared_error
        )
        estimate.mean_error += rate * (abs(estimate.mean - seconds) - estimate.mean_error)
        estimate.mean += rate * (seconds - estimate.mean)

    def expected_seconds(self, queue: str, spec: JobSpec) -> tuple[float, ...]:
        """Return the expected run time of a task of each step, in seconds.

        Observed and declared run times are weighted by their past errors.
        """
        estimate = self.estimates.get(queue)
        if estimate is None:
            return tuple(
                declared_seconds or DEFAULT_RUN_SECONDS
                for declared_seconds in spec.declared_seconds()
            )
        declared_weight = estimate.mean_error / max(
            1e-9, estimate.mean_error + estimate.declared_error
        )
        return tuple(
            (
                declared_weight * declared_seconds + (1 - declared_weight) * estimate.mean
                if declared_seconds
                else estimate.mean
            )
            for declared_seconds in spec.declared_seconds()
        )
