"""Admission decisions for jobs of steps, and the retry time of refused jobs. No I/O.

Queues peak in turn at about five times their mean, which exceeds the capacity of their pool. A job
is accepted if it is predicted to end in time and has no less work than the jobs that it would make
late. A job that would end late, but early enough to be useful, is accepted behind all others. Any
other job is refused at once, with the time at which the queue is predicted to be short enough.
"""

from __future__ import annotations

import math

import attrs

__all__ = [
    "USEFUL_FACTOR",
    "Prediction",
    "Verdict",
    "judge",
    "judge_late",
    "objective_seconds",
]

#: overhead of orders, replies and store writes for each step, in seconds
STEP_OVERHEAD_SECONDS = 0.06
#: margin before its due time by which a job must be predicted to end, in seconds
SAFETY_MARGIN_SECONDS = 0.15
#: multiple of a job's latency objective up to which its result is useful; from the users' rules
USEFUL_FACTOR = 3.0
#: shortest and longest retry time of a refused caller, in whole seconds
SHORTEST_RETRY_SECONDS = 1
LONGEST_RETRY_SECONDS = 30


@attrs.frozen
class Prediction:
    """Predicted effect of accepting a job.

    :param end_seconds: time until it would end
    :param due_seconds: time until it is due
    :param steps: number of its steps
    :param work: its remaining work, in core-seconds
    :param harmed_work: remaining work of the jobs that it would make late, in core-seconds
    """

    end_seconds: float
    due_seconds: float
    steps: int = 1
    work: float = 0.0
    harmed_work: float = 0.0

    @property
    def late_seconds(self) -> float:
        """Return the predicted lateness with overhead and margin; negative if in time."""
        overhead = STEP_OVERHEAD_SECONDS * self.steps + SAFETY_MARGIN_SECONDS
        return self.end_seconds + overhead - self.due_seconds


@attrs.frozen
class Verdict:
    """Admission decision for a job.

    :param end_seconds: predicted time until it ends
    :param due_seconds: time until it is due
    :param harmed_work: remaining work of the jobs that it would make late, in core-seconds
    :param retry_seconds: time after which the caller may retry, if the job is refused
    :param reason: short reason, for the log
    """

    accepted: bool
    end_seconds: float = 0.0
    due_seconds: float = 0.0
    harmed_work: float = 0.0
    retry_seconds: int = 0
    reason: str = ""


def objective_seconds(stretch: float, critical_path_seconds: float, target_seconds: float) -> float:
    """Return the latency objective of a job, in seconds."""
    return stretch * critical_path_seconds + target_seconds


def judge(prediction: Prediction) -> Verdict:
    """Accept or refuse a job by its prediction."""
    late = prediction.late_seconds
    fields = (prediction.end_seconds, prediction.due_seconds, prediction.harmed_work)
    if late > 0:
        return Verdict(False, *fields, retry_seconds(late), "late")
    if prediction.harmed_work > prediction.work:
        return Verdict(False, *fields, SHORTEST_RETRY_SECONDS, "harms-others")
    return Verdict(True, *fields)


def judge_late(prediction: Prediction) -> Verdict:
    """Accept or refuse a late job by its prediction behind all other jobs.

    The job is accepted if its result is still useful; it uses only capacity that the other jobs
    leave. For its caller this is better than a refusal and a retry.

    :param prediction: prediction with the last time at which the result is useful as due time
    """
    fields = (prediction.end_seconds, prediction.due_seconds, prediction.harmed_work)
    if prediction.late_seconds > 0:
        return Verdict(False, *fields, retry_seconds(prediction.late_seconds), "late")
    return Verdict(True, *fields, reason="behind-others")


def retry_seconds(late: float) -> int:
    """Return the time after which a refused caller may retry, in whole seconds."""
    if not math.isfinite(late):
        return LONGEST_RETRY_SECONDS
    return max(SHORTEST_RETRY_SECONDS, min(LONGEST_RETRY_SECONDS, math.ceil(late)))
