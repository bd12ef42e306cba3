"""Run times of tasks, learned because declared ones may be far off."""

from __future__ import annotations

import attrs

from ..batch import Job, JobSpec, TaskId

__all__ = ["TaskTimes"]

#: weight of one more observation in a mean
LEARNING_RATE = 0.1
#: run time assumed for a queue with no observation and no estimate, in seconds
UNKNOWN_SECONDS = 1.0


@attrs.define
class _Queue:
    mean: float
    declared_error: float = 0.0
    mean_error: float = 0.0
    count: int = 0


class TaskTimes:
    """Mean run times by queue, and whether they or the declared ones are closer."""

    def __init__(self) -> None:
        self.queues: dict[str, _Queue] = {}

    def note(self, job: Job | None, task: TaskId, seconds: float) -> None:
        """Note how long a task that was done has run."""
        if job is None:
            return
        found = self.queues.setdefault(job.key.queue, _Queue(seconds))
        declared = job.step_of(task).estimate_seconds
        rate = max(LEARNING_RATE, 1 / (found.count + 1))
        found.count += 1
        found.declared_error += rate * (abs(declared - seconds) - found.declared_error)
        found.mean_error += rate * (abs(found.mean - seconds) - found.mean_error)
        found.mean += rate * (seconds - found.mean)

    def expect(self, queue: str, spec: JobSpec) -> tuple[float, ...]:
        """Return the expected run time of a task of each step, in seconds.

        What was learned and what was declared are weighed by how far each was off.
        """
        found = self.queues.get(queue)
        if found is None:
            return tuple(declared or UNKNOWN_SECONDS for declared in spec.declared())
        trust = found.mean_error / max(1e-9, found.mean_error + found.declared_error)
        return tuple(
            trust * declared + (1 - trust) * found.mean if declared else found.mean
            for declared in spec.declared()
        )
