"""Callers' jobs from submission to answer."""

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

__all__ = ["Explanation", "Forwarder", "JobService", "OnceGuard", "Submission"]

REMEMBERED_JOBS = 2000
JOB_ID_BITS = 72


@attrs.define(eq=False)
class Submission:
    """A job as it was handed in.

    :param job_id: unique identifier
    :param queue: name of the queue
    :param secret: the key that came with it, empty for none
    :param time_left: seconds that the caller gives it, None for the queue's longest
    :param key: idempotency key, None for none
    :param idempotent: whether the caller says that running it twice is harmless
    :param forwarded: whether another daemon passed it on
    :param headers: headers for the endpoint
    :param body: the body
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
    """Who a job runs for.

    :param team: the team
    :param queue: the queue
    """

    team: Team
    queue: Queue


@attrs.define
class Explanation:
    """What is remembered of a job, for operators."""

    job: str
    team: str
    queue: str
    outcome: str
    reason: str
    detail: str = ""


class OnceGuard(Protocol):
    """Keeps a keyed job that is not idempotent from running twice."""

    async def run(
        self, key: str, request: JobRequest, call: Callable[[], Awaitable[EndpointResponse]]
    ) -> EndpointResponse:
        """Return the answer of the first request with a key.

        :param key: team, queue and key
        :param request: the job, should it be the first
        :param call: runs the job
        :raises JobRefused: if there is no answer to give
        """


class Forwarder(Protocol):
    """Passes jobs on to a daemon that may start them."""

    def must_forward(self) -> bool:
        """Return whether this daemon may not start jobs itself."""

    async def forward(self, submission: Submission, deadline: float) -> EndpointResponse:
        """Return the answer that another daemon gives.

        :raises JobRefused: if there is none
        """


class JobService:
    """Checks, admits and runs jobs.

    :param clock: the daemon's clock
    :param replica: configuration in force
    :param dispatcher: what runs admitted jobs
    :param fresh: whether the configuration is known to be up to date
    :param pool_load: load of a pool across all daemons
    :param once: guard of keyed jobs
    :param forwarder: passes jobs on while this daemon may not start them
    """

    def __init__(
        self,
        clock: Clock,
        replica: ConfigReplica,
        dispatcher: Dispatcher,
        starter: Starter,
        admission: Admission,
        run_times: RunTimes,
        once: OnceGuard,
        forwarder: Forwarder,
        metrics: Metrics,
        fresh: Callable[[], bool],
        pool_load: Callable[[str], PoolLoad],
        rng: random.Random,
    ):
        self.clock = clock
        self.replica = replica
        self.dispatcher = dispatcher
        self.starter = starter
        self.admission = admission
        self.run_times = run_times
        self.once = once
        self.forwarder = forwarder
        self.metrics = metrics
        self.fresh = fresh
        self.pool_load = pool_load
        self.rng = rng
        self.remembered: OrderedDict[str, Explanation] = OrderedDict()

    def new_job_id(self) -> str:
        """Return a new unique identifier."""
        return f"{self.rng.getrandbits(JOB_ID_BITS):018x}"

    def check_access(self, submission: Submission) -> Access:
        """Return who a job runs for.

        :raises JobRefused: if the queue is unknown, or the key is missing or does not work
        """
        if not self.fresh():
            raise JobRefused(
                503,
                "configuration-not-confirmed",
                "this daemon does not know whether its configuration is up to date",
                retry_after=2,
            )
        queue = self.replica.get(Queue.kind, submission.queue)
        if queue is None:
            raise JobRefused(404, "no-such-queue", f"queue {submission.queue} does not exist")
        if submission.secret:
            key = self.replica.find_key(digest_secret(submission.secret))
            if key is None:
                raise JobRefused(401, "key-not-valid", "the key is unknown or withdrawn")
            team = self.replica.get(Team.kind, key.team)
        elif queue.open_to:
            team = self.replica.get(Team.kind, queue.open_to)
        else:
            raise JobRefused(401, "key-needed", "use Authorization: Bearer KEY")
        if team is None:
            raise JobRefused(403, "no-such-team", "the key's team does not exist")
        return Access(team, queue)

    async def run(self, submission: Submission) -> EndpointResponse:
        """Return the endpoint's answer to a job.

        :raises JobRefused: if there is none
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
            self._run_high(team, queue, seconds),
        )
        if request.idempotent or submission.key is None:
            answer = await self._admit_and_run(request, team)
        else:
            key = f"{team.name}/{queue.name}/{submission.key}"
            answer = await self.once.run(key, request, lambda: self._admit_and_run(request, team))
        self.metrics.incr("job.answered")
        self._remember(
            submission.job_id,
            Explanation(
                submission.job_id,
                team.name,
                queue.name,
                "answered",
                str(answer.status),
                f"tried {', '.join(request.failed_vms) or 'one endpoint'}",
            ),
        )
        return answer

    async def _admit_and_run(self, request: JobRequest, team: Team) -> EndpointResponse:
        self._admit(request, team)
        return await self.dispatcher.run(request)

    def _run_high(self, team: Team, queue: Queue, time_left: float) -> float:
        high = self.run_times.high(team.name, queue.name, queue.run_seconds)
        now = self.clock.now()
        if high > time_left and self.run_times.may_probe(team.name, queue.name, now):
            return min(queue.run_seconds, time_left)
        return high

    def _admit(self, request: JobRequest, team: Team) -> None:
        if self.starter.waiting.team_counts[team.name] >= team.max_waiting:
            raise JobRefused(
                429,
                "too-many-waiting",
                f"{team.max_waiting} jobs of team {team.name} wait here already",
                retry_after=self.run_times.typical(
                    team.name, request.queue.name, request.queue.run_seconds
                ),
            )
        load = self.pool_load(request.queue.pool)
        typical = self.run_times.typical(team.name, request.queue.name, request.queue.run_seconds)
        own = self.starter.waiting.counts[request.queue.pool, team.name]
        ahead = self.starter.waiting.ahead(request.queue.pool, team.name, request.deadline)
        elsewhere = max(0, load.waiting.get(team.name, 0) - own)
        ahead += int(elsewhere * ahead / own) if own else elsewhere
        wait = self.admission.expected_wait(load, team.name, ahead, typical)
        left = request.deadline - self.clock.now()
        self.admission.check(left, wait, request.high_run_seconds, team.name, request.queue.name)

    def record_refusal(self, job_id: str, queue: str, refused: JobRefused) -> None:
        """Log a refusal and remember it for operators."""
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
        self._remember(job_id, explanation)

    def explain(self, job_id: str) -> Explanation | None:
        """Return what is remembered of a job."""
        return self.remembered.get(job_id)

    def _remember(self, job_id: str, explanation: Explanation) -> None:
        self.remembered[job_id] = explanation
        if len(self.remembered) > REMEMBERED_JOBS:
            self.remembered.popitem(last=False)
