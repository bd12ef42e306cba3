"""Whether a job of steps is accepted, and when to come back if not. No I/O.

Answers queues that peak in turn at about five times their mean, beyond what their pool holds: a
job is accepted if it is predicted to end in time and is worth more than the jobs that it would
make late. One that would end late, but while its end is still of use, is accepted behind all
others. Otherwise it is refused at once, with the time at which the queue is predicted to have
drained far enough.
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

#: time for orders, answers and storing around a step, in seconds
STEP_OVERHEAD_SECONDS = 0.06
#: time before its objective at which a job must be predicted to end, in seconds
SAFETY_SECONDS = 0.15
#: factor over a job's objective until which its end is of some use; from the users' rules
USEFUL_FACTOR = 3.0
#: shortest and longest time that a refused caller is asked to wait, in whole seconds
SHORTEST_RETRY_SECONDS = 1
LONGEST_RETRY_SECONDS = 30


@attrs.frozen
class Prediction:
    """What accepting a job would mean.

    :param end_seconds: when it would end, from now
    :param due_seconds: when it should end, from now
    :param steps: number of its steps
    :param work: its work
    :param harmed_work: work of the jobs that it would make late
    """

    end_seconds: float
    due_seconds: float
    steps: int = 1
    work: float = 0.0
    harmed_work: float = 0.0

    @property
    def late_seconds(self) -> float:
        """Return by how much the job would miss the time at which it must end."""
        overhead = STEP_OVERHEAD_SECONDS * self.steps + SAFETY_SECONDS
        return self.end_seconds + overhead - self.due_seconds


@attrs.frozen
class Verdict:
    """Whether a job is accepted.

    :param end_seconds: predicted end, from now
    :param due_seconds: when it should end, from now
    :param harmed_work: work of the jobs that it would make late
    :param retry_seconds: when to come back, if it is refused
    :param reason: short reason, for the log
    """

    accepted: bool
    end_seconds: float = 0.0
    due_seconds: float = 0.0
    harmed_work: float = 0.0
    retry_seconds: int = 0
    reason: str = ""


def objective_seconds(stretch: float, chain_seconds: float, target_seconds: float) -> float:
    """Return the longest time in which a job should end."""
    return stretch * chain_seconds + target_seconds


def judge(prediction: Prediction) -> Verdict:
    """Decide about a job by its prediction."""
    late = prediction.late_seconds
    figures = (prediction.end_seconds, prediction.due_seconds, prediction.harmed_work)
    if late > 0:
        return Verdict(False, *figures, retry_seconds(late), "late")
    if prediction.harmed_work > prediction.work:
        return Verdict(False, *figures, SHORTEST_RETRY_SECONDS, "harms-others")
    return Verdict(True, *figures)


def judge_late(prediction: Prediction) -> Verdict:
    """Decide about a job that would be late, by its prediction behind all other jobs.

    It is accepted if its end is still of use; it takes only room that the others leave. For its
    caller that is better than to be sent away and to ask again.

    :param prediction: with the last time at which its end is of use as the time when it is due
    """
    figures = (prediction.end_seconds, prediction.due_seconds, prediction.harmed_work)
    if prediction.late_seconds > 0:
        return Verdict(False, *figures, retry_seconds(prediction.late_seconds), "late")
    return Verdict(True, *figures, reason="behind-others")


def retry_seconds(late: float) -> int:
    """Return when to come back, in whole seconds."""
    if not math.isfinite(late):
        return LONGEST_RETRY_SECONDS
    return max(SHORTEST_RETRY_SECONDS, min(LONGEST_RETRY_SECONDS, math.ceil(late)))
