"""Execution of callers' jobs, from submission to response."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs
from absl import logging

from .clock import Clock
from .config import ConfigReplica, Queue, Team, digest_secret
from .exception import JobRefused
from .metrics import Metrics
from .routing.attempt import Body, EndpointResponse, Headers
from .routing.dispatch import Dispatcher, JobRequest
from .scheduling.admission import Admission, PoolLoad
from .scheduling.runtimes import RunTimes
from .scheduling.starter import Starter

__all__ = ["Explanation", "Forwarder", "JobService", "KeyedJobRunner", "Submission"]

MAX_EXPLANATIONS = 2000
JOB_ID_BITS = 72


@attrs.define(eq=False)
class Submission:
    """A job as submitted by a caller.

    :param job_id: unique identifier
    :param queue: name of the queue
    :param secret: secret of the access key, empty for none
    :param time_left: time until the deadline in seconds, None for the maximum of the queue
    :param key: idempotency key, None for none
    :param idempotent: whether the caller declares the job safe to run more than once
    :param forwarded: whether another daemon forwarded it
    :param headers: headers for the endpoint
    :param body: request body
    """

    job_id: str
    queue: str
    secret: str
    time_left: float | None
    key: str | None
    idempotent: bool
    forwarded: bool
    headers: Headers
    body: Body = attrs.field(factory=Body)


@attrs.frozen
class Access:
    """Team and queue that an authorized job belongs to.

    :param team: the team
    :param queue: the queue
    """

    team: Team
    queue: Queue


@attrs.define
class Explanation:
    """Outcome of a recent job, for operators."""

    job: str
    team: str
    queue: str
    outcome: str
    reason: str
    detail: str = ""


class KeyedJobRunner(Protocol):
    """Runs jobs that have an idempotency key and are not idempotent, each at most once."""

    async def run(
        self, key: str, request: JobRequest, call: Callable[[], Awaitable[EndpointResponse]]
    ) -> EndpointResponse:
        """Run a job unless one with its key has run; return the response of the first job.

        :param key: team, queue and idempotency key
        :param request: the job
        :param call: runs the job
        :raises JobRefused: if there is no response to return
        """


class Forwarder(Protocol):
    """Forwards jobs to a daemon that is allowed to start them."""

    def must_forward(self) -> bool:
        """Return whether this daemon is not allowed to start jobs itself."""

    async def forward(self, submission: Submission, deadline: float) -> EndpointResponse:
        """Forward a job to another daemon and return its response.

        :param deadline: deadline of the job on this daemon's clock
        :raises JobRefused: if there is no response
        """


class JobService:
    """Authorizes, admits and runs jobs.

    :param clock: the daemon's clock
    :param replica: configuration in force
    :param dispatcher: runs admitted jobs
    :param starter: starts waiting jobs as permits become free
    :param admission: decides whether a job can meet its deadline
    :param run_times: observed run times by team and queue
    :param keyed_jobs: runs jobs that have an idempotency key
    :param forwarder: forwards jobs while this daemon is not allowed to start them
    :param metrics: counters of answered and refused jobs
    :param is_config_fresh: returns whether the configuration is known to be up to date
    :param pool_load: returns the load of a pool across all daemons
    :param rng: random source of job identifiers
    """

    def __init__(
        self,
        clock: Clock,
        replica: ConfigReplica,
        dispatcher: Dispatcher,
        starter: Starter,
        admission: Admission,
        run_times: RunTimes,
        keyed_jobs: KeyedJobRunner,
        forwarder: Forwarder,
        metrics: Metrics,
        is_config_fresh: Callable[[], bool],
        pool_load: Callable[[str], PoolLoad],
        rng: random.Random,
    ):
        self.clock = clock
        self.replica = replica
        self.dispatcher = dispatcher
        self.starter = starter
        self.admission = admission
        self.run_times = run_times
        self.keyed_jobs = keyed_jobs
        self.forwarder = forwarder
        self.metrics = metrics
        self.is_config_fresh = is_config_fresh
        self.pool_load = pool_load
        self.rng = rng
        self.explanations: OrderedDict[str, Explanation] = OrderedDict()

    def new_job_id(self) -> str:
        """Return a new unique identifier."""
        return f"{self.rng.getrandbits(JOB_ID_BITS):018x}"

    def check_access(self, submission: Submission) -> Access:
        """Authorize a job and return its team and queue.

        :raises JobRefused: if the queue is unknown, or the access key is missing or invalid
        """
        if not self.is_config_fresh():
            raise JobRefused(
                503,
                "configuration-not-confirmed",
                "this daemon cannot confirm that its configuration is up to date",
                retry_after=2,
            )
        queue = self.replica.get(Queue.kind, submission.queue)
        if queue is None:
            raise JobRefused(404, "no-such-queue", f"queue {submission.queue} does not exist")
        if submission.secret:
            key = self.replica.find_key(digest_secret(submission.secret))
            if key is None:
                raise JobRefused(401, "key-not-valid", "the access key is unknown or withdrawn")
            team = self.replica.get(Team.kind, key.team)
        elif queue.open_to:
            team = self.replica.get(Team.kind, queue.open_to)
        else:
            raise JobRefused(401, "key-needed", "use Authorization: Bearer KEY")
        if team is None:
            raise JobRefused(403, "no-such-team", "the team of the access key does not exist")
        return Access(team, queue)

    async def run(self, submission: Submission) -> EndpointResponse:
        """Run a job and return the endpoint's response.

        :raises JobRefused: if there is no response
        """
        access = self.check_access(submission)
        team, queue = access.team, access.queue
        seconds = min(submission.time_left or queue.max_seconds, queue.max_seconds)
        if self.forwarder.must_forward() and not submission.forwarded:
            return await self.forwarder.forward(submission, self.clock.now() + seconds)
        request = JobRequest(
            submission.job_id,
            team.name,
            queue,
            self.clock.now() + seconds,
            queue.idempotent or submission.idempotent,
            submission.headers,
            submission.body,
            self._high_run_seconds(team, queue, seconds),
        )
        if request.idempotent or submission.key is None:
            response = await self._admit_and_run(request, team)
        else:
            key = f"{team.name}/{queue.name}/{submission.key}"
            response = await self.keyed_jobs.run(
                key, request, lambda: self._admit_and_run(request, team)
            )
        self.metrics.incr("job.answered")
        self._record_explanation(
            submission.job_id,
            Explanation(
                submission.job_id,
                team.name,
                queue.name,
                "answered",
                str(response.status),
                f"tried {', '.join(request.failed_vms) or 'one endpoint'}",
            ),
        )
        return response

    async def _admit_and_run(self, request: JobRequest, team: Team) -> EndpointResponse:
        self._admit(request, team)
        return await self.dispatcher.run(request)

    def _high_run_seconds(self, team: Team, queue: Queue, time_left: float) -> float:
        high_seconds = self.run_times.high(team.name, queue.name, queue.run_seconds)
        now = self.clock.now()
        if high_seconds > time_left and self.run_times.may_probe(team.name, queue.name, now):
            return min(queue.run_seconds, time_left)
        return high_seconds

    def _admit(self, request: JobRequest, team: Team) -> None:
        if self.starter.waiting.team_counts[team.name] >= team.max_waiting:
            raise JobRefused(
                429,
                "too-many-waiting",
                f"{team.max_waiting} jobs of team {team.name} are already waiting at this daemon",
                retry_after=self.run_times.typical(
                    team.name, request.queue.name, request.queue.run_seconds
                ),
            )
        load = self.pool_load(request.queue.pool)
        typical_seconds = self.run_times.typical(
            team.name, request.queue.name, request.queue.run_seconds
        )
        own_waiting = self.starter.waiting.counts[request.queue.pool, team.name]
        jobs_ahead = self.starter.waiting.ahead(request.queue.pool, team.name, request.deadline)
        other_waiting = max(0, load.waiting.get(team.name, 0) - own_waiting)
        jobs_ahead += (
            int(other_waiting * jobs_ahead / own_waiting) if own_waiting else other_waiting
        )
        wait = self.admission.expected_wait(load, team.name, jobs_ahead, typical_seconds)
        time_left = request.deadline - self.clock.now()
        self.admission.check(
            time_left, wait, request.high_run_seconds, team.name, request.queue.name
        )

    def record_refusal(self, job_id: str, queue: str, refused: JobRefused) -> None:
        """Log a refusal and keep its explanation for operators."""
        self.metrics.incr("job.refused")
        logging.info(
            "decision=refuse job=%s queue=%s reason=%s run=%s detail=%r",
            job_id,
            queue,
            refused.reason,
            refused.run,
            refused.detail,
        )
        explanation = Explanation(job_id, "", queue, "refused", refused.reason, refused.detail)
        self._record_explanation(job_id, explanation)

    def explain(self, job_id: str) -> Explanation | None:
        """Return the explanation of a recent job, or None if there is none."""
        return self.explanations.get(job_id)

    def _record_explanation(self, job_id: str, explanation: Explanation) -> None:
        self.explanations[job_id] = explanation
        if len(self.explanations) > MAX_EXPLANATIONS:
            self.explanations.popitem(last=False)
