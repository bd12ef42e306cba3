"""Jobs as the log tells: their submission, decisions, end and outcome."""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Iterable

import attrs

from limpetpulley.scheduling.batch_admission import USEFUL_FACTOR
from limpetpulley.telemetry.trace import TraceLine

from .log import Log, number, text

__all__ = ["Job", "JudgedJob", "Outcome", "collect_jobs", "judge"]

JobKey = tuple[str, str]
SUBMIT_METHODS = frozenset({"POST", "PUT"})
#: lowest status of an answer that tells a caller to try again or that nothing is known
MIN_FAILURE_STATUS = 500
MAX_SUCCESS_STATUS = 299
#: status of an answer after which the job may be accepted
UNKNOWN_STATUS = 504
#: reason of an answer after which a job that was decided on as accepted never runs
NOT_STORED = "not-stored"
BEHIND_OTHERS = "behind-others"


class Outcome(enum.StrEnum):
    """What became of a job in the period."""

    IN_TIME = "completed in time"
    BEHIND = "completed behind others, by the later due time only"
    LATE = "completed late"
    FAILED = "failed"
    REFUSED = "refused"
    UNKNOWN = "unknown whether accepted"
    NO_END = "accepted, due, without an end in the log"
    CANCELLED = "cancelled"
    OPEN = "accepted, not due at the log's end"


@attrs.define
class Job:
    """A submitted job, as the lines of the log tell.

    :param submitted_at: the caller's first attempt, in seconds after the origin like all times
    :param tasks: number of its tasks, 0 if no line tells
    :param due_at: latest end at which it is in time, None if it has none or no line tells. A job
        accepted behind others got a later one, from which the one before is computed
    :param latest_end_at: latest end at which it is of use, the same for other jobs
    :param state: its final state, empty if no line tells
    :param refusals: times and reasons of refusals and of answers without a decision
    """

    queue: str
    submitted_at: float
    tasks: float = 0.0
    accepted_at: float | None = None
    is_behind: bool = False
    due_at: float | None = None
    latest_end_at: float | None = None
    ended_at: float | None = None
    state: str = ""
    past_due: float = 0.0
    is_unknown: bool = False
    refusals: list[tuple[float, str]] = attrs.Factory(list)

    def outcome(self, end: float) -> Outcome:
        """Return what became of the job.

        :param end: end of the log
        """
        if self.state == "completed":
            return self._completion()
        if self.state:
            return Outcome.CANCELLED if self.state == "cancelled" else Outcome.FAILED
        if self.accepted_at is not None:
            is_due = self.latest_end_at is not None and self.latest_end_at < end
            return Outcome.NO_END if is_due else Outcome.OPEN
        return Outcome.UNKNOWN if self.is_unknown else Outcome.REFUSED

    def _completion(self) -> Outcome:
        if self.past_due > 0:
            return Outcome.LATE
        if not self.is_behind or self.due_at is None or self.ended_at is None:
            return Outcome.IN_TIME
        return Outcome.BEHIND if self.ended_at > self.due_at else Outcome.IN_TIME


#: a job, its outcome and its weight
JudgedJob = tuple[Job, Outcome, float]


def collect_jobs(log: Log) -> list[Job]:
    """Return the jobs that the log's lines tell of."""
    jobs: dict[JobKey, Job] = {}
    for line in log.lines:
        if line.event == "request-answered" and not _is_submission(line):
            continue
        follow = _FOLLOWERS.get(line.event)
        key = (text(line.fields, "queue"), text(line.fields, "job"))
        if follow and key[1]:
            job = jobs.setdefault(key, Job(key[0], line.seconds))
            follow(job, line)
    return list(jobs.values())


def _is_submission(line: TraceLine) -> bool:
    status = number(line.fields, "status")
    decided = 0 < status <= MAX_SUCCESS_STATUS or status >= MIN_FAILURE_STATUS
    return text(line.fields, "method") in SUBMIT_METHODS and decided


def _follow_acceptance(job: Job, line: TraceLine) -> None:
    _follow_decision(job, line)
    job.accepted_at = line.seconds
    job.is_behind = text(line.fields, "reason") == BEHIND_OTHERS
    due = number(line.fields, "due")
    # Jobs that run until they are cancelled have the due time 0.
    job.due_at = job.latest_end_at = line.seconds + due if due else None
    if job.is_behind and due:
        requested_at = line.seconds - number(line.fields, "elapsed")
        job.due_at = requested_at + (line.seconds + due - requested_at) / USEFUL_FACTOR


def _follow_refusal(job: Job, line: TraceLine) -> None:
    _follow_decision(job, line)
    job.refusals.append((line.seconds, text(line.fields, "reason") or "refused"))


def _follow_decision(job: Job, line: TraceLine) -> None:
    job.submitted_at = min(job.submitted_at, line.seconds - number(line.fields, "elapsed"))
    job.tasks = max(0.0, number(line.fields, "tasks", job.tasks))


def _follow_answer(job: Job, line: TraceLine) -> None:
    """Note an answer, and its reason unless the owner's line of the refusal gave it before."""
    job.submitted_at = min(job.submitted_at, line.seconds - number(line.fields, "seconds"))
    status, reason = number(line.fields, "status"), text(line.fields, "reason")
    if status < MIN_FAILURE_STATUS:
        if job.accepted_at is None:
            job.accepted_at = line.seconds
        return
    if status == UNKNOWN_STATUS:
        job.is_unknown = True
    elif reason == NOT_STORED:
        job.accepted_at = None
    if reason not in (known for _, known in job.refusals):
        job.refusals.append((line.seconds, reason or f"status {status:.0f}"))


def _follow_doubt(job: Job, line: TraceLine) -> None:
    if line.fields.get("stored") is False:
        job.accepted_at, job.is_unknown = None, False
        job.refusals.append((line.seconds, NOT_STORED))


def _follow_end(job: Job, line: TraceLine) -> None:
    if job.accepted_at is None:
        job.submitted_at = min(job.submitted_at, line.seconds - number(line.fields, "seconds"))
    job.ended_at, job.state = line.seconds, text(line.fields, "reason")
    job.past_due = number(line.fields, "past_due")


def _follow_cancellation(job: Job, line: TraceLine) -> None:
    job.state = job.state or "cancelled"


_FOLLOWERS = {
    "job-accepted": _follow_acceptance,
    "job-refused": _follow_refusal,
    "request-answered": _follow_answer,
    "doubt-settled": _follow_doubt,
    "job-ended": _follow_end,
    "job-cancelled": _follow_cancellation,
}


def judge(jobs: Iterable[Job], end: float) -> list[JudgedJob]:
    """Return the jobs with their outcomes and weights.

    A job's weight is the number of its tasks. If no line tells it, it is the mean of the queue's
    other jobs, or 1.

    :param end: end of the log
    """
    known: dict[str, list[float]] = defaultdict(list)
    jobs = list(jobs)
    for job in jobs:
        if job.tasks > 0:
            known[job.queue].append(job.tasks)
    means = {queue: sum(tasks) / len(tasks) for queue, tasks in known.items()}
    return [(job, job.outcome(end), job.tasks or means.get(job.queue, 1.0)) for job in jobs]
