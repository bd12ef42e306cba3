"""What the steps of unfinished jobs need of workers besides room. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

import attrs

from ..batch import Amount, Job, Step
from ..workers import Worker

__all__ = ["PlacementNeed", "PlacementNeeds"]

#: time for which the needs of a submitted job count before it is stored or submitted again, in
#: seconds
SUBMITTED_SECONDS = 3.0


@attrs.frozen
class PlacementNeed:
    """What a step needs of workers; that of many similar steps is the same.

    :param charge: resources that one task reserves
    :param tasks: number of its tasks
    :param label: label that a worker must have, empty for none
    :param max_per_worker: maximum number of its tasks on one worker, 0 for no limit
    :param gang: whether all tasks must run at the same time
    :param prefers_rack: whether the tasks of the gang are to be in one rack, if possible
    :param near_rack: rack that is preferred, empty for none
    :param lasting: whether its tasks run until the job is cancelled
    """

    charge: Amount
    tasks: int
    label: str = ""
    max_per_worker: int = 0
    gang: bool = False
    prefers_rack: bool = False
    near_rack: str = ""
    lasting: bool = False

    @staticmethod
    def of(step: Step) -> PlacementNeed | None:
        """Return what a step needs, None if any workers with enough room will do.

        The number of workers that lasting tasks need without a label is reported by itself.
        """
        if not (step.label or (not step.lasting and (step.max_per_worker or step.gang))):
            return None
        prefers_rack = step.gang and bool(step.same_rack or step.near_rack)
        return PlacementNeed(
            step.charge,
            step.count,
            step.label,
            step.max_per_worker,
            step.gang,
            prefers_rack,
            step.near_rack if prefers_rack else "",
            step.lasting,
        )

    def fits_more_workers(self, workers: Iterable[Worker], total: int) -> bool:
        """Return whether all tasks would fit on empty workers if there were more of them.

        :param workers: the workers that there are; the others are taken to be like the largest one
        :param total: number of workers that there would be
        """
        most = [self.most_tasks(worker, worker.listed.capacity) for worker in workers]
        more = max(0, total - len(most)) * max(most, default=0)
        return sum(most) + more >= self.tasks

    def most_tasks(self, worker: Worker, room: Amount) -> int:
        """Return how many of the tasks may run in a worker's room."""
        if self.label and self.label not in worker.listed.labels:
            return 0
        most = min(self.tasks, self.max_per_worker or self.tasks)
        for charge, free in (
            (self.charge.cpu_millicores, room.cpu_millicores),
            (self.charge.memory_mb, room.memory_mb),
            (self.charge.accelerators, room.accelerators),
        ):
            if charge:
                most = min(most, free // charge)
        return max(0, most)


class PlacementNeeds:
    """The needs of the unfinished jobs of a pool, and of those that were just submitted."""

    def __init__(self) -> None:
        # Needs of each job that has any, by step number.
        self.by_job: dict[str, dict[int, PlacementNeed]] = {}
        # Number of steps with each need.
        self.counts: Counter[PlacementNeed] = Counter()
        # Needs of submitted jobs, with the local time until which they count.
        self.submitted: dict[PlacementNeed, float] = {}

    def add_job(self, job: Job) -> None:
        """Add the needs of a job, unless they are known."""
        if job.key.job_id in self.by_job:
            return
        needs = _needs_of(job)
        if needs:
            self.by_job[job.key.job_id] = needs
            self.counts.update(needs.values())

    def remove_job(self, job_id: str) -> None:
        """Remove the needs of a job that has ended or was removed."""
        for need in self.by_job.pop(job_id, {}).values():
            self.counts[need] -= 1
            if not self.counts[need]:
                del self.counts[need]

    def note_submitted(self, job: Job, now: float, retry_seconds: float = 0.0) -> None:
        """Let the needs of a submitted job count until it is stored, or submitted again.

        :param retry_seconds: time after which it is to be submitted again
        """
        needs = _needs_of(job).values()
        self.submitted = {need: until for need, until in self.submitted.items() if until > now}
        until = now + retry_seconds + SUBMITTED_SECONDS
        self.submitted |= dict.fromkeys(needs, until)

    def submitted_needs(self, now: float) -> Iterator[PlacementNeed]:
        """Yield the needs of jobs that were submitted a short time ago."""
        yield from (need for need, until in self.submitted.items() if until > now)


def _needs_of(job: Job) -> dict[int, PlacementNeed]:
    needs = {number: PlacementNeed.of(step) for number, step in enumerate(job.spec.steps)}
    return {number: need for number, need in needs.items() if need is not None}
