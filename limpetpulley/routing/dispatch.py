"""Dispatch of jobs: wait for permits, send, retry where that is allowed."""

from __future__ import annotations

import anyio
import attrs
from absl import logging

from ..clock import Clock
from ..config import Queue
from ..exception import EndpointError, JobRefused
from ..metrics import Metrics
from ..scheduling.runtimes import RunTimes
from ..scheduling.starter import Starter
from ..scheduling.waiting import WaitingJob
from ..tasks import start_guarded
from .attempt import LEAVING_HEADER, NOT_RUN_HEADER, Attempt, Body, EndpointResponse, Headers
from .connections import Connections
from .endpoints import EndpointSet
from .retries import RetryBudget

__all__ = ["Dispatcher", "EndpointResponse", "JobRequest"]

MAX_ENDPOINTS_PER_JOB = 3
MAX_UNSENT_ATTEMPTS = 8
SERVER_ERRORS = frozenset((500, 502, 503, 504))
HOLD_MARGIN_SECONDS = 1.0
RETRY_AFTER_SECONDS = 1.0


@attrs.define(eq=False)
class JobRequest:
    """A job that was admitted.

    :param job_id: unique identifier
    :param team: team that it runs for
    :param queue: queue that it came through
    :param deadline: when its answer is due, in seconds on the daemon's clock
    :param idempotent: whether running it twice is harmless
    :param headers: headers to pass to the endpoint
    :param body: the body
    :param run_high: run time that few jobs exceed, in seconds
    :param maybe_run: VMs at which it may have run
    :param tried: VMs at which it failed
    :param blamed: VMs that a failure was counted against
    :param unsent_attempts: attempts that failed before anything was sent
    :param started: whether it got its permits
    :param fresh_only: whether a connection went silent under it
    """

    job_id: str
    team: str
    queue: Queue
    deadline: float
    idempotent: bool
    headers: Headers
    body: Body
    high_run_seconds: float
    may_have_run_on: set[str] = attrs.field(factory=set)
    failed_vms: list[str] = attrs.field(factory=list)
    blamed: list[str] = attrs.field(factory=list)
    unsent_attempts: int = 0
    started: bool = False
    require_fresh: bool = False


@attrs.define(eq=False)
class _Start:
    """A wait for permits, ended by a start or by giving up."""

    event: anyio.Event = attrs.field(factory=anyio.Event)
    vm: str | None = None

    def begin(self, vm: str) -> None:
        self.vm = vm
        self.event.set()

    def give_up(self) -> None:
        self.event.set()


class Dispatcher:
    """Runs admitted jobs.

    :param clock: the daemon's clock
    :param starter: what decides when a job starts, and where
    :param endpoints: the fleet's endpoints
    :param connections: connections to them
    :param run_times: where run times are learnt
    :param tasks: task group in which attempts outlive their callers
    :param metrics: where counts go
    """

    def __init__(
        self,
        clock: Clock,
        starter: Starter,
        endpoints: EndpointSet,
        connections: Connections,
        run_times: RunTimes,
        tasks: anyio.abc.TaskGroup,
        metrics: Metrics,
    ):
        self.clock = clock
        self.starter = starter
        self.endpoints = endpoints
        self.connections = connections
        self.run_times = run_times
        self.tasks = tasks
        self.metrics = metrics
        self.budget = RetryBudget()
        self.active = 0
        self.held = 0

    async def run(self, request: JobRequest) -> EndpointResponse:
        """Return the endpoint's answer to a job.

        :raises JobRefused: if there is none; it says whether the job may have run
        """
        self.budget.earn()
        while True:
            job, vm = await self._wait_for_start(request)
            attempt = self._begin(request, job, vm)
            try:
                with anyio.move_on_after(max(0.0, request.deadline - self.clock.now())):
                    response = await attempt.result()
                    if not self._retry_answer(request, vm, response):
                        return response
                    response.discard()
                    continue
                attempt.abandon()
                raise self._late(request)
            except EndpointError as error:
                self._after_failure(request, vm, attempt, error)
            except anyio.get_cancelled_exc_class():
                attempt.abandon()
                self._log("cancel", request, "caller-gone", vm)
                raise

    async def _wait_for_start(self, request: JobRequest) -> tuple[WaitingJob, str]:
        start = _Start()
        job = WaitingJob(
            request.job_id,
            request.team,
            request.queue.pool,
            request.queue.name,
            request.deadline,
            request.deadline - min(request.high_run_seconds, request.queue.max_seconds),
            start.begin,
            start.give_up,
            frozenset(request.failed_vms),
        )
        self.starter.submit(job)
        try:
            await start.event.wait()
        except anyio.get_cancelled_exc_class():
            self.starter.cancel(job)
            if start.vm is not None:
                self.starter.finish(job, start.vm)
            self._log("cancel", request, "caller-gone")
            raise
        if start.vm is None:
            raise self._hopeless(request)
        return job, start.vm

    def _begin(self, request: JobRequest, job: WaitingJob, vm: str) -> Attempt:
        found = self.endpoints.vms[vm]
        request.started = True
        started = self.clock.now()

        def before_send() -> None:
            if not self.starter.may_start():
                raise EndpointError("not-a-valid-member", False)
            if self.clock.now() >= request.deadline:
                raise EndpointError("deadline-passed", False)
            request.may_have_run_on.add(vm)

        def on_end(ended: bool) -> None:
            self._end(request, job, vm, attempt, ended, started)

        left = b"%.3f" % max(0.0, request.deadline - started)
        attempt = Attempt(
            found.address,
            request.queue.path,
            [*request.headers, (b"time-left", left), (b"job-id", request.job_id.encode())],
            request.body,
            request.deadline,
            request.require_fresh or not request.idempotent,
            request.high_run_seconds,
            self.clock,
            self.connections,
            before_send,
            on_end,
        )
        self.active += 1
        self.endpoints.health.started(vm)
        start_guarded(self.tasks, attempt.run)
        return attempt

    def _end(
        self,
        request: JobRequest,
        job: WaitingJob,
        vm: str,
        attempt: Attempt,
        ended: bool,
        started: float,
    ) -> None:
        self.active -= 1
        self.endpoints.health.ended(vm)
        self._judge(request, vm, attempt, started)
        if ended:
            self.starter.finish(job, vm)
        else:
            start_guarded(self.tasks, self._hold, request, job, vm)

    def _judge(self, request: JobRequest, vm: str, attempt: Attempt, started: float) -> None:
        response = attempt.response
        if response is not None and attempt.complete:
            if response.header(LEAVING_HEADER):
                self.endpoints.note_leaving(vm)
            if response.status in SERVER_ERRORS and not response.header(NOT_RUN_HEADER):
                self._blame(request, vm)
            elif response.status < 500:
                seconds = self.clock.now() - started
                self.endpoints.health.succeeded(vm)
                if self.starter.may_start():
                    now = self.clock.now()
                    self.run_times.learn(request.team, request.queue.name, seconds, now)
                self.metrics.timing("job.run", seconds * 1000)
        elif attempt.error is not None and not attempt.reused and attempt.blames_endpoint:
            self._blame(request, vm)

    async def _hold(self, request: JobRequest, job: WaitingJob, vm: str) -> None:
        """Keep the permits of a job that may still run until its deadline has passed."""
        self.held += 1
        until = request.deadline + HOLD_MARGIN_SECONDS
        logging.info(
            "decision=hold job=%s vm=%s reason=end-unknown seconds=%.1f",
            request.job_id,
            vm,
            until - self.clock.now(),
        )
        try:
            await anyio.sleep(max(0.0, until - self.clock.now()))
        finally:
            self.held -= 1
            self.starter.finish(job, vm)

    def _blame(self, request: JobRequest, vm: str) -> None:
        request.blamed.append(vm)
        pool = self.endpoints.pools.get(request.queue.pool, [])
        self.endpoints.health.failed(vm, pool)

    def _retry_answer(self, request: JobRequest, vm: str, response: EndpointResponse) -> bool:
        """Return whether to try elsewhere although an endpoint answered."""
        if response.status not in SERVER_ERRORS:
            return False
        not_run = response.header(NOT_RUN_HEADER) is not None
        if not_run:
            request.may_have_run_on.discard(vm)
        if not (request.idempotent or not_run):
            return False
        request.failed_vms.append(vm)
        if len(request.failed_vms) >= MAX_ENDPOINTS_PER_JOB and not not_run:
            self._refund(request)
            return False
        if not self._may_retry(request):
            return False
        self._log("retry", request, f"answer-{response.status}", vm)
        return True

    def _after_failure(
        self, request: JobRequest, vm: str, attempt: Attempt, error: EndpointError
    ) -> None:
        """Return if the job may be tried elsewhere; raise its final answer otherwise."""
        self.metrics.incr("endpoint.failed")
        if not error.sent:
            request.unsent_attempts += 1
            if request.unsent_attempts >= MAX_UNSENT_ATTEMPTS:
                raise JobRefused(
                    503,
                    "no-endpoint-reachable",
                    "no endpoint could be reached",
                    self._run_state(request),
                    RETRY_AFTER_SECONDS,
                ) from error
        elif not request.idempotent:
            self._log("unknown", request, error.reason, vm)
            raise JobRefused(
                502, "endpoint-failed", f"the endpoint failed: {error.reason}", "unknown"
            ) from error
        if attempt.reused:
            request.require_fresh = True
        else:
            request.failed_vms.append(vm)
        if error.sent and len(request.failed_vms) >= MAX_ENDPOINTS_PER_JOB:
            self._refund(request)
            self._log("stop", request, "fails-everywhere", vm)
            raise JobRefused(
                422,
                "job-fails-everywhere",
                f"the job failed on {len(request.failed_vms)} endpoints: {error.reason}",
                "unknown",
            ) from error
        if not request.body.repeatable or (error.sent and not self._may_retry(request)):
            raise JobRefused(
                502,
                "endpoint-failed",
                f"the endpoint failed and the job is not retried: {error.reason}",
                self._run_state(request),
                RETRY_AFTER_SECONDS,
            ) from error
        self._log("retry", request, error.reason, vm)

    def _may_retry(self, request: JobRequest) -> bool:
        return (
            request.body.repeatable
            and request.deadline - self.clock.now() > request.high_run_seconds
            and self.budget.spend()
        )

    def _refund(self, request: JobRequest) -> None:
        """Do not hold against the endpoints what is the job's fault."""
        for vm in request.blamed:
            self.endpoints.health.refund(vm)
        request.blamed.clear()

    def _hopeless(self, request: JobRequest) -> JobRefused:
        self._log("refuse", request, "hopeless")
        self.metrics.incr("job.hopeless")
        return JobRefused(
            503,
            "cannot-finish-in-time",
            "no permit came free early enough to finish in time",
            self._run_state(request),
            max(RETRY_AFTER_SECONDS, request.high_run_seconds),
        )

    def _late(self, request: JobRequest) -> JobRefused:
        self._log("late", request, "deadline-passed")
        self.metrics.incr("job.late")
        return JobRefused(
            504,
            "deadline-passed",
            "the endpoint did not answer in time",
            self._run_state(request),
        )

    @staticmethod
    def _run_state(request: JobRequest) -> str:
        return "unknown" if request.may_have_run_on else "no"

    def _log(self, decision: str, request: JobRequest, reason: str, vm: str = "-") -> None:
        self.metrics.incr(f"decision.{decision}")
        logging.info(
            "decision=%s job=%s team=%s queue=%s pool=%s vm=%s reason=%s left=%.3f maybe_run=%s",
            decision,
            request.job_id,
            request.team,
            request.queue.name,
            request.queue.pool,
            vm,
            reason,
            request.deadline - self.clock.now(),
            bool(request.may_have_run_on),
        )
