"""Dispatch of admitted jobs: wait for permits, send the job, retry where that is safe."""

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
from .attempt import (
    ENDPOINT_LEAVING_HEADER,
    NOT_RUN_HEADER,
    Attempt,
    Body,
    EndpointResponse,
    Headers,
)
from .connections import Connections
from .endpoints import EndpointSet
from .retries import RetryBudget

__all__ = ["Dispatcher", "EndpointResponse", "JobRequest"]

MAX_ENDPOINTS_PER_JOB = 3
MAX_UNSENT_ATTEMPTS = 8
SERVER_ERRORS = frozenset((500, 502, 503, 504))
PERMIT_HOLD_MARGIN_SECONDS = 1.0
RETRY_AFTER_SECONDS = 1.0


@attrs.define(eq=False)
class JobRequest:
    """An admitted job and the state of its attempts.

    :param job_id: unique identifier
    :param team: team that the job runs for
    :param queue: queue that the job was submitted to
    :param deadline: when the response is due, in seconds on the daemon's clock
    :param idempotent: whether running the job twice is harmless
    :param headers: headers to pass to the endpoint
    :param body: request body
    :param high_run_seconds: run time that few jobs exceed, in seconds
    :param may_have_run_on: VMs on which the job may have run
    :param failed_vms: VMs on which the job failed
    :param blamed_vms: VMs whose health a failure of the job was counted against
    :param unsent_attempts: attempts that failed before anything was sent
    :param started: whether the job was granted its permits at least once
    :param require_fresh: whether an attempt failed on a reused connection
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
    blamed_vms: list[str] = attrs.field(factory=list)
    unsent_attempts: int = 0
    started: bool = False
    require_fresh: bool = False


@attrs.define(eq=False)
class _StartWait:
    """Waits for permits until the starter assigns a VM or gives the job up."""

    event: anyio.Event = attrs.field(factory=anyio.Event)
    vm: str | None = None

    def assign(self, vm: str) -> None:
        self.vm = vm
        self.event.set()

    def give_up(self) -> None:
        self.event.set()


class Dispatcher:
    """Runs admitted jobs at the endpoints.

    ``active`` counts the attempts in progress, ``held`` the jobs whose permits are held because it
    is not known whether they have ended.

    :param clock: the daemon's clock
    :param starter: decides when and on which VM a job starts
    :param endpoints: the fleet's endpoints
    :param connections: connections to the endpoints
    :param run_times: run time estimates, updated with each job that ends
    :param tasks: task group for attempts, which may outlive the callers of their jobs
    :param metrics: receives counts and timings
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
        self.retry_budget = RetryBudget()
        self.active = 0
        self.held = 0

    async def run(self, request: JobRequest) -> EndpointResponse:
        """Run a job and return the endpoint's response.

        :raises JobRefused: if there is none; the error tells whether the job may have run
        """
        self.retry_budget.deposit()
        while True:
            job, vm = await self._wait_for_start(request)
            attempt = self._start_attempt(request, job, vm)
            try:
                with anyio.move_on_after(max(0.0, request.deadline - self.clock.now())):
                    response = await attempt.result()
                    if not self._should_retry_response(request, vm, response):
                        return response
                    response.discard()
                    continue
                attempt.abandon()
                raise self._deadline_passed_error(request)
            except EndpointError as error:
                self._handle_failure(request, vm, attempt, error)
            except anyio.get_cancelled_exc_class():
                attempt.abandon()
                self._log("cancel", request, "caller-gone", vm)
                raise

    async def _wait_for_start(self, request: JobRequest) -> tuple[WaitingJob, str]:
        start_wait = _StartWait()
        job = WaitingJob(
            request.job_id,
            request.team,
            request.queue.pool,
            request.queue.name,
            request.deadline,
            request.deadline - min(request.high_run_seconds, request.queue.max_seconds),
            start_wait.assign,
            start_wait.give_up,
            frozenset(request.failed_vms),
        )
        self.starter.submit(job)
        try:
            await start_wait.event.wait()
        except anyio.get_cancelled_exc_class():
            self.starter.cancel(job)
            if start_wait.vm is not None:
                self.starter.finish(job, start_wait.vm)
            self._log("cancel", request, "caller-gone")
            raise
        if start_wait.vm is None:
            raise self._cannot_finish_error(request)
        return job, start_wait.vm

    def _start_attempt(self, request: JobRequest, job: WaitingJob, vm: str) -> Attempt:
        endpoint = self.endpoints.vms[vm]
        request.started = True
        started = self.clock.now()

        def before_send() -> None:
            if not self.starter.may_start():
                raise EndpointError("not-a-valid-member", False)
            if self.clock.now() >= request.deadline:
                raise EndpointError("deadline-passed", False)
            request.may_have_run_on.add(vm)

        def on_end(ended: bool) -> None:
            self._end_attempt(request, job, vm, attempt, ended, started)

        time_left = b"%.3f" % max(0.0, request.deadline - started)
        attempt = Attempt(
            endpoint.address,
            request.queue.path,
            [*request.headers, (b"time-left", time_left), (b"job-id", request.job_id.encode())],
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
        self.endpoints.health.record_start(vm)
        start_guarded(self.tasks, attempt.run)
        return attempt

    def _end_attempt(
        self,
        request: JobRequest,
        job: WaitingJob,
        vm: str,
        attempt: Attempt,
        ended: bool,
        started: float,
    ) -> None:
        self.active -= 1
        self.endpoints.health.record_end(vm)
        self._record_outcome(request, vm, attempt, started)
        if ended:
            self.starter.finish(job, vm)
        else:
            start_guarded(self.tasks, self._hold_permits, request, job, vm)

    def _record_outcome(
        self, request: JobRequest, vm: str, attempt: Attempt, started: float
    ) -> None:
        response = attempt.response
        if response is not None and attempt.complete:
            if response.header(ENDPOINT_LEAVING_HEADER):
                self.endpoints.mark_leaving(vm)
            if response.status in SERVER_ERRORS and not response.header(NOT_RUN_HEADER):
                self._record_failure(request, vm)
            elif response.status < 500:
                seconds = self.clock.now() - started
                self.endpoints.health.record_success(vm)
                if self.starter.may_start():
                    now = self.clock.now()
                    self.run_times.learn(request.team, request.queue.name, seconds, now)
                self.metrics.timing("job.run", seconds * 1000)
        elif attempt.error is not None and not attempt.reused and attempt.failed_at_endpoint:
            self._record_failure(request, vm)

    async def _hold_permits(self, request: JobRequest, job: WaitingJob, vm: str) -> None:
        """Hold the permits of a job that may still be running until its deadline has passed."""
        self.held += 1
        hold_until = request.deadline + PERMIT_HOLD_MARGIN_SECONDS
        logging.info(
            "decision=hold job=%s vm=%s reason=end-unknown seconds=%.1f",
            request.job_id,
            vm,
            hold_until - self.clock.now(),
        )
        try:
            await anyio.sleep(max(0.0, hold_until - self.clock.now()))
        finally:
            self.held -= 1
            self.starter.finish(job, vm)

    def _record_failure(self, request: JobRequest, vm: str) -> None:
        request.blamed_vms.append(vm)
        pool = self.endpoints.pools.get(request.queue.pool, [])
        self.endpoints.health.record_failure(vm, pool)

    def _should_retry_response(
        self, request: JobRequest, vm: str, response: EndpointResponse
    ) -> bool:
        """Return whether to retry a job on another endpoint after a response.

        Only server errors are retried, and only if the job is idempotent or was not run.
        """
        if response.status not in SERVER_ERRORS:
            return False
        not_run = response.header(NOT_RUN_HEADER) is not None
        if not_run:
            request.may_have_run_on.discard(vm)
        if not (request.idempotent or not_run):
            return False
        request.failed_vms.append(vm)
        if len(request.failed_vms) >= MAX_ENDPOINTS_PER_JOB and not not_run:
            self._retract_failures(request)
            return False
        if not self._may_retry(request):
            return False
        self._log("retry", request, f"answer-{response.status}", vm)
        return True

    def _handle_failure(
        self, request: JobRequest, vm: str, attempt: Attempt, error: EndpointError
    ) -> None:
        """Return if the job may be retried after a failed attempt.

        :raises JobRefused: if the job may not be retried
        """
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
            self._retract_failures(request)
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
            and self.retry_budget.try_withdraw()
        )

    def _retract_failures(self, request: JobRequest) -> None:
        """Retract the failures counted against endpoints, because the job itself is at fault."""
        for vm in request.blamed_vms:
            self.endpoints.health.retract_failure(vm)
        request.blamed_vms.clear()

    def _cannot_finish_error(self, request: JobRequest) -> JobRefused:
        self._log("refuse", request, "hopeless")
        self.metrics.incr("job.hopeless")
        return JobRefused(
            503,
            "cannot-finish-in-time",
            "no permit became available early enough to finish in time",
            self._run_state(request),
            max(RETRY_AFTER_SECONDS, request.high_run_seconds),
        )

    def _deadline_passed_error(self, request: JobRequest) -> JobRefused:
        self._log("late", request, "deadline-passed")
        self.metrics.incr("job.late")
        return JobRefused(
            504,
            "deadline-passed",
            "the endpoint did not respond in time",
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
