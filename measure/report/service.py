"""Service that callers got: the share of jobs in time, and times by queue and status."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence

import attrs

from limpetpulley.telemetry.trace import TraceLine

from .jobs import Job, JudgedJob, Outcome
from .log import number

__all__ = [
    "QueueTimes",
    "Share",
    "count_answers",
    "find_queue_times",
    "find_shares",
    "percentile",
]

FINISHED = frozenset({Outcome.IN_TIME, Outcome.BEHIND, Outcome.LATE, Outcome.FAILED})
#: outcomes that count neither for nor against the share in time; of jobs without an end the line
#: may be lost with the daemon
NOT_JUDGED = frozenset({Outcome.CANCELLED, Outcome.OPEN, Outcome.NO_END})


@attrs.frozen
class Share:
    """Tasks of the jobs that were submitted in a time bin.

    :param in_time: tasks of jobs completed in time
    :param finished: tasks of jobs completed or failed
    :param submitted: tasks of all jobs, without those of :data:`NOT_JUDGED`
    """

    in_time: float
    finished: float
    submitted: float

    @property
    def of_finished(self) -> float:
        """Return the share of finished jobs in time, NaN if none finished."""
        return self.in_time / self.finished if self.finished else math.nan

    @property
    def of_submitted(self) -> float:
        """Return the share of submitted jobs in time, NaN if there are none."""
        return self.in_time / self.submitted if self.submitted else math.nan


@attrs.frozen
class QueueTimes:
    """Times from submission to the end of a queue's completed jobs, by time of submission.

    :param bins: begin of each time bin with jobs
    :param medians: median in each, in seconds
    :param high: 95th centile in each, in seconds
    :param count: number of jobs
    """

    queue: str
    bins: list[float]
    medians: list[float]
    high: list[float]
    count: int


def find_shares(judged: Iterable[JudgedJob], width: float) -> dict[float, Share]:
    """Return the shares in time by the begin of the bin in which jobs were submitted.

    :param width: width of a bin, in seconds
    """
    totals: dict[float, list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0])
    for job, outcome, weight in judged:
        if outcome not in NOT_JUDGED:
            total = totals[bin_begin(job.submitted_at, width)]
            total[0] += weight * (outcome is Outcome.IN_TIME)
            total[1] += weight * (outcome in FINISHED)
            total[2] += weight
    return {begin: Share(*total) for begin, total in sorted(totals.items())}


def bin_begin(seconds: float, width: float) -> float:
    """Return the begin of the time bin that holds a time.

    >>> bin_begin(-0.5, 2.0)
    -2.0
    """
    return math.floor(seconds / width) * width


def find_queue_times(jobs: Iterable[Job], width: float) -> list[QueueTimes]:
    """Return the times of the queues' completed jobs, the queue with the most jobs first.

    :param width: width of a time bin, in seconds
    """
    seconds: dict[str, dict[float, list[float]]] = defaultdict(lambda: defaultdict(list))
    for job in jobs:
        if job.state == "completed" and job.ended_at is not None:
            begin = bin_begin(job.submitted_at, width)
            seconds[job.queue][begin].append(job.ended_at - job.submitted_at)
    times = []
    for queue, bins in seconds.items():
        begins = sorted(bins)
        medians, high = (
            [percentile(bins[begin], fraction) for begin in begins] for fraction in (0.5, 0.95)
        )
        times.append(QueueTimes(queue, begins, medians, high, sum(map(len, bins.values()))))
    return sorted(times, key=lambda queue: (-queue.count, queue.queue))


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the smallest value that at least a fraction of the values does not exceed.

    >>> percentile([4.0, 1.0, 2.0, 3.0], 0.5)
    2.0
    """
    return sorted(values)[max(0, math.ceil(fraction * len(values)) - 1)]


def count_answers(lines: Iterable[TraceLine]) -> dict[str, list[float]]:
    """Return the times of the logged answers by status."""
    times: dict[str, list[float]] = defaultdict(list)
    for line in lines:
        if line.event == "request-answered":
            status = number(line.fields, "status")
            times[f"{status:.0f}" if status else "none sent"].append(line.seconds)
    return dict(sorted(times.items()))
