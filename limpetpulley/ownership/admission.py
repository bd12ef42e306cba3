"""Admission control of a pool: decides about submitted jobs and stores accepted ones."""

from __future__ import annotations

import math
from collections.abc import Callable

import anyio
import attrs

from ..batch import Job, JobKey, JobSpec, QueueConfig, Step
from ..exception import StoreError, StoreUnavailable
from ..pool import PoolState
from ..pool.gangs import fits_empty_pool
from ..pool.placement_needs import PlacementNeed
from ..pool.queue_forecast import (
    QueueForecast,
    expected_objective,
    predict_immediate_start,
    remaining_work,
)
from ..pool.queued_work import lasting_need
from ..quota.shares import TeamShares
from ..scheduling.arrivals import ArrivalEstimator
from ..scheduling.batch_admission import (
    LONGEST_RETRY_SECONDS,
    USEFUL_FACTOR,
    Verdict,
    judge,
    judge_late,
)
from ..scheduling.placement import fits_empty_worker
from ..workers import Worker
from .context import DaemonContext
from .reporting import RefusedWork
from .unknown_cancels import UnknownCancels
from .writer import OwnerWriter, StoreOutcome

__all__ = ["AdmissionController", "Submission"]

#: retry delay that callers get after a failure of the owner or the store, in whole seconds
FAILURE_RETRY_SECONDS = 1
#: time since the last answered call was made beyond which, after a failed write, the store counts
#: as unavailable, in seconds: two renewals of the claim without an answer
STORE_UNAVAILABLE_SECONDS = 0.8
#: fraction of processor time that queue forecasts may use
FORECAST_CPU_FRACTION = 0.2
#: longest time for which a forecast is used, in seconds; a tenth of a typical latency objective
MAX_FORECAST_AGE_SECONDS = 0.25
#: refusal reason for a job with a task that fits no worker, or a gang that does not fit the pool
FITS_NOWHERE = "fits-nowhere"
#: refusal reason for a job with a step that, of all workers, needs some that are being drained
WORKERS_LEAVING = "workers-leaving"
#: refusal reason for a job with a gang that would fit if VMs that have left the pool were back
WORKERS_AWAY = "workers-away"
#: refusal reason for a job with a task that does not fit its team's limit beside tasks that run
#: until their jobs are cancelled
LIMIT_IN_LASTING_USE = "limit-in-lasting-use"
#: time from a refusal until VMs that it has brought back take tasks, beyond their move, in seconds
RETURN_SECONDS = 1.0
#: interval between checks of jobs in doubt, in seconds; a check does not wait for earlier ones, so
#: that it notices soon when the store answers again
IN_DOUBT_CHECK_SECONDS = 0.25
#: time after the last attempt beyond which an unanswered write is no longer applied, in seconds;
#: from the platform's writes, which are late by a few seconds
MAX_WRITE_DELAY_SECONDS = 8.0
#: refusal reason while an owner that follows failures of the owners before it has not served for
#: some time
OWNER_FAILING = "owner-failing"
#: largest number of jobs in doubt that one check looks up, to stay within the store's rate limit
MAX_IN_DOUBT_CHECKS = 2


@attrs.frozen
class Submission:
    """A job that a caller submits.

    :param team: team whose quota it is charged to, empty for none
    :param elapsed_seconds: time since the caller's first attempt, in seconds
    """

    queue: QueueConfig
    job_id: str
    spec: JobSpec
    team: str = ""
    elapsed_seconds: float = 0.0


class AdmissionController:
    """Accepts or refuses the jobs of one pool.

    :param refused_work: records the work that was refused
    :param arriving_work: records the work that is submitted
    :param request_planning: called when a job was accepted
    :param unknown_cancels: cancels of jobs that were not known
    """

    def __init__(
        self,
        context: DaemonContext,
        pool_state: PoolState,
        shares: TeamShares,
        writer: OwnerWriter,
        refused_work: RefusedWork,
        arriving_work: ArrivalEstimator,
        request_planning: Callable[[], None],
        unknown_cancels: UnknownCancels,
    ):
        self.context = context
        self.pool_state = pool_state
        self.shares = shares
        self.writer = writer
        self.refused_work = refused_work
        self.arriving_work = arriving_work
        self.request_planning = request_planning
        self.unknown_cancels = unknown_cancels
        # Accepted jobs that are being stored or are in doubt, by job id. A repeated submission of
        # such a job is neither decided again nor refused, since the job may be stored.
        self.pending: dict[str, StoreOutcome] = {}
        self.are_checks_failing = False
        # Most workers that the pool had when a job was submitted.
        self.most_workers = 0
        # Cached forecast of the queue, and its expiry time by the local clock.
        self.forecast: QueueForecast | None = None
        self.forecast_expires_at = 0.0
        # Time for which the owner must serve until it decides about new jobs, in seconds, and the
        # start of that time, None until the takeover has ended.
        self.probation_seconds = 0.0
        self.serving_since: float | None = None

    async def submit(self, submission: Submission, wait_seconds: float) -> Verdict | None:
        """Accept or refuse a job; return None if it is unknown whether the job is stored.

        :param wait_seconds: longest time until the result, in seconds
        """
        key = JobKey(submission.queue.name, submission.job_id)
        is_known = submission.job_id in self.pool_state.jobs or submission.job_id in self.pending
        if not is_known and self.unknown_cancels.includes(key):
            verdict = await self._judge_cancelled(key, submission)
            if verdict is None or not verdict.accepted:
                return verdict
        existing = self.pool_state.jobs.get(submission.job_id)
        if existing is not None:
            is_same_job = existing.key == key
            reason = "" if is_same_job else "id-in-use"
            return Verdict(is_same_job, retry_seconds=LONGEST_RETRY_SECONDS, reason=reason)
        outcome = self.pending.get(submission.job_id)
        if outcome is None and self._is_store_unavailable():
            verdict = Verdict(False, retry_seconds=FAILURE_RETRY_SECONDS, reason="store-away")
            self._log_verdict(submission, verdict)
            return verdict
        if outcome is None and self._is_on_probation():
            verdict = Verdict(False, retry_seconds=FAILURE_RETRY_SECONDS, reason=OWNER_FAILING)
            self._log_verdict(submission, verdict)
            return verdict
        if outcome is None:
            job = self._make_job(key, submission)
            work, now = remaining_work(self.pool_state, job), self.context.clock.now()
            verdict = self.assess(job, submission)
            self._log_verdict(submission, verdict)
            is_possible = verdict.reason not in (FITS_NOWHERE, LIMIT_IN_LASTING_USE)
            if is_possible and not (job.spec.lasting or job.spec.timed):
                self.arriving_work.note(now, submission.job_id, work, self._slack_seconds(job))
            if not verdict.accepted:
                if verdict.reason != LIMIT_IN_LASTING_USE:
                    # More VMs would not help that one.
                    self.refused_work.note(now, submission.job_id, work)
                return verdict
            outcome = self._store_description(job)
        elif outcome.job.key != key:
            return Verdict(False, retry_seconds=LONGEST_RETRY_SECONDS, reason="id-in-use")
        elif outcome.settled.is_set():
            outcome = self._store_again(outcome)
        return await self._wait_until_stored(outcome, wait_seconds)

    def is_pending(self, key: JobKey) -> bool:
        """Return whether a job is being stored, or may be stored."""
        outcome = self.pending.get(key.job_id)
        return outcome is not None and outcome.job.key == key

    async def cancel(self, key: JobKey, wait_seconds: float) -> None:
        """Cancel a job that is not in the pool; return once it is in the pool or not stored.

        A job in doubt is written again, because that decides soon whether it is stored. It is
        cancelled before it is in the pool, so that it never starts. The cancel of a job that is not
        stored is, since the job may still be submitted, to this owner or the next one.

        :param wait_seconds: longest time for each of these, in seconds
        :raises StoreUnavailable: if it is not known in time; the job is cancelled when it is stored
        """
        outcome = self.pending[key.job_id] if self.is_pending(key) else None
        self.unknown_cancels.note(key)
        self.context.log.write(
            "cancel-before-stored",
            job=key.job_id,
            queue=key.queue,
            known=outcome is not None,
            attempts=outcome.attempts if outcome is not None else 0,
        )
        if outcome is None:
            await self.unknown_cancels.add(key, wait_seconds)
            return
        outcome.cancelled = True
        if outcome.is_unsent:
            outcome.settle(False)
        elif outcome.settled.is_set():
            outcome = self._store_again(outcome)
        if await self._wait_until_stored(outcome, wait_seconds) is None:
            raise StoreUnavailable(f"not known whether job {key.job_id} is stored")
        if not outcome.stored:
            await self.unknown_cancels.add(key, wait_seconds)

    async def _judge_cancelled(self, key: JobKey, submission: Submission) -> Verdict | None:
        """Refuse a submission that arrives after its cancel, unless the job is stored.

        It may be stored in another pool, if its queue has moved.

        :returns: None if it is unknown whether the job is stored
        """
        probe = StoreOutcome(self._make_job(key, submission))
        try:
            is_stored = await self.writer.read_stored(probe)
        except (StoreUnavailable, StoreError) as error:
            self.context.log.write("job-in-doubt", job=key.job_id, reason=str(error))
            return None
        if is_stored:
            return Verdict(True)
        verdict = Verdict(False, retry_seconds=LONGEST_RETRY_SECONDS, reason="cancelled")
        self._log_verdict(submission, verdict)
        return verdict

    async def run_in_doubt_checks(self) -> None:
        """Resolve jobs in doubt by their records until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(IN_DOUBT_CHECK_SECONDS)
                if self._is_store_unavailable():
                    self.writer.refuse_unsent()
                in_doubt = [each for each in self.pending.values() if each.may_be_stored]
                for outcome in in_doubt[:MAX_IN_DOUBT_CHECKS]:
                    # Move the job to the end, so that the next check starts with the others.
                    job_id = outcome.job.key.job_id
                    self.pending[job_id] = self.pending.pop(job_id)
                    tasks.start_soon(self._check_doubt, outcome)

    async def _check_doubt(self, outcome: StoreOutcome) -> None:
        try:
            await self._resolve_in_doubt(outcome)
            self.are_checks_failing = False
        except (StoreUnavailable, StoreError) as error:
            if not self.are_checks_failing:
                self.context.log.write("doubts-left", pool=self.pool_state.pool, reason=str(error))
            self.are_checks_failing = True

    async def _resolve_in_doubt(self, outcome: StoreOutcome) -> None:
        """Add a job to the pool if it is stored; drop it if it can no longer become stored."""
        key = outcome.job.key
        found = await self.writer.read_stored(outcome)
        age = self.context.clock.now() - outcome.unanswered_at
        if self.pending.get(key.job_id) is not outcome:
            return
        is_being_written = not outcome.settled.is_set()
        if not found and (is_being_written or age < MAX_WRITE_DELAY_SECONDS):
            return
        outcome.stored = found
        self._on_outcome(outcome)
        outcome.settled.set()
        self.request_planning()
        self.context.log.write(
            "doubt-settled", job=key.job_id, queue=key.queue, stored=outcome.stored
        )

    def _is_store_unavailable(self) -> bool:
        """Return whether the last write failed and no other call was answered recently."""
        age = self.context.clock.now() - self.context.store_contact.called_at
        return self.writer.failing and age > STORE_UNAVAILABLE_SECONDS

    def _is_on_probation(self) -> bool:
        """Return whether the owner may fail at once, as those before it did."""
        if not self.probation_seconds:
            return False
        since = self.serving_since
        return since is None or self.context.clock.now() - since < self.probation_seconds

    def _store_description(self, job: Job, may_be_stored: bool = False) -> StoreOutcome:
        self.pool_state.placement_needs.note_submitted(job, self.context.clock.now())
        outcome = StoreOutcome(job, self._on_outcome, may_be_stored)
        self.pending[job.key.job_id] = outcome
        self.writer.create(outcome)
        return outcome

    def _store_again(self, outcome: StoreOutcome) -> StoreOutcome:
        """Write a job's description again after attempts without an outcome."""
        again = self._store_description(outcome.job, may_be_stored=True)
        again.cancelled = outcome.cancelled
        return again

    async def _wait_until_stored(
        self, outcome: StoreOutcome, wait_seconds: float
    ) -> Verdict | None:
        wait_until = self.context.clock.now() + wait_seconds
        outcome.wait_until = max(outcome.wait_until, wait_until)
        with anyio.move_on_after(wait_seconds):
            await outcome.settled.wait()
        if outcome.is_unsent:
            outcome.settle(False)
        if outcome.stored:
            self.request_planning()
            return Verdict(True)
        if outcome.stored is False:
            reason = "not-stored" if outcome.attempts else "store-away"
            if outcome.cancelled:
                reason = "cancelled"
            return Verdict(False, retry_seconds=FAILURE_RETRY_SECONDS, reason=reason)
        key = outcome.job.key
        self.context.log.write("job-in-doubt", job=key.job_id, queue=key.queue)
        return None

    def _on_outcome(self, outcome: StoreOutcome) -> None:
        """Add a stored job to the pool, even if no caller waits for it any more."""
        job = outcome.job
        if outcome.stored is None:
            outcome.unanswered_at = self.context.clock.now()
            return
        self.pending.pop(job.key.job_id, None)
        is_new = job.key.job_id not in self.pool_state.jobs
        if outcome.stored and is_new and job.pool == self.pool_state.pool:
            wall_time = self.context.wall_time()
            self.pool_state.add_job(job, wall_time)
            if outcome.may_be_stored:
                # A later owner may have stored the record, and started the job's tasks.
                self.pool_state.claim_guard.require(job.key)
            if outcome.cancelled:
                self.pool_state.cancel(job, wall_time)

    def assess(self, job: Job, submission: Submission) -> Verdict:
        """Decide about a job by its predicted completion time."""
        workers = [worker for worker in self.pool_state.workers.values() if worker.present]
        if not workers:
            return Verdict(False, retry_seconds=FAILURE_RETRY_SECONDS, reason="no-workers")
        self.most_workers = max(self.most_workers, len(workers))
        unfit = [
            step for step in job.spec.steps if not self._fits_empty_pool(step, job.team, workers)
        ]
        if unfit and all(self._fits_with_returned(step, job.team, workers) for step in unfit):
            # They are brought back for it, and stay until it is submitted again.
            wait = math.ceil(self.context.timing.move + RETURN_SECONDS)
            self.pool_state.placement_needs.note_submitted(job, self.context.clock.now(), wait)
            return Verdict(False, retry_seconds=wait, reason=WORKERS_AWAY)
        if unfit:
            return Verdict(False, retry_seconds=LONGEST_RETRY_SECONDS, reason=FITS_NOWHERE)
        if not self._fits_beside_lasting(job):
            return Verdict(False, retry_seconds=LONGEST_RETRY_SECONDS, reason=LIMIT_IN_LASTING_USE)
        if self._needs_leaving_workers(job, workers):
            # They are kept for it, if they have not left when the planner learns of the need.
            self.pool_state.placement_needs.note_submitted(job, self.context.clock.now())
            return Verdict(False, retry_seconds=FAILURE_RETRY_SECONDS, reason=WORKERS_LEAVING)
        if job.spec.lasting or job.spec.timed:
            return Verdict(True)
        immediate = predict_immediate_start(
            self.pool_state, self.shares, job, self.context.wall_time()
        )
        if immediate is not None and (verdict := judge(immediate)).accepted:
            return verdict
        forecast = self._current_forecast(job.team)
        age = self.context.clock.now() - forecast.now
        verdict = judge(forecast.predict(job, age))
        if not verdict.accepted:
            verdict = self._assess_behind_others(job, submission, forecast, age, verdict)
        if verdict.accepted and self.forecast is forecast:
            forecast.accept(job)
        return verdict

    def _fits_with_returned(self, step: Step, team: str, workers: list[Worker]) -> bool:
        """Return whether a gang would fit if the pool had as many workers as it once had.

        VMs return by their number, so that none with a label can be asked for.
        """
        need = PlacementNeed.of(step)
        if need is None or not need.gang or need.label:
            return False
        if not self.shares.fits_limit(team, step.charge * step.count):
            return False
        return need.fits_more_workers(workers, self.most_workers)

    def _needs_leaving_workers(self, job: Job, workers: list[Worker]) -> bool:
        """Return whether a step that is not due later fits only with workers that may leave."""
        staying = [worker for worker in workers if not worker.is_going]
        if job.spec.timed or len(staying) == len(workers):
            return False
        return not all(
            self._fits_empty_pool(step, job.team, staying)
            for step in job.spec.steps
            if PlacementNeed.of(step) is not None
        )

    def _fits_beside_lasting(self, job: Job) -> bool:
        """Return whether each task or gang fits its team's limit beside what lasts in this pool.

        What lasts when a timed job is due is not known.
        """
        if job.spec.timed or job.team not in self.shares.limits:
            return True
        lasting = lasting_need(self.pool_state, job.team)
        return all(
            self.shares.fits_limit(job.team, lasting + step.start_charge) for step in job.spec.steps
        )

    def _fits_empty_pool(self, step: Step, team: str, workers: list[Worker]) -> bool:
        """Return whether a step could run if nothing else did: a gang all at once."""
        if not self.shares.fits_limit(team, step.start_charge):
            return False
        if step.gang:
            return fits_empty_pool(step, [worker.listed for worker in workers])
        return fits_empty_worker(step, workers)

    def _current_forecast(self, team: str) -> QueueForecast:
        """Return the cached queue forecast, or a new one if the cached one has expired.

        The more time a forecast takes to compute, the longer it is used.
        """
        now = self.context.clock.now()
        if self.forecast is None or now >= self.forecast_expires_at:
            self.forecast = QueueForecast(
                self.pool_state, self.shares, team, now, self.context.wall_time()
            )
            cost = self.context.clock.now() - now
            self.forecast_expires_at = now + min(
                MAX_FORECAST_AGE_SECONDS, cost / FORECAST_CPU_FRACTION
            )
        self.forecast.add_team(self.shares, team)
        return self.forecast

    def _assess_behind_others(
        self,
        job: Job,
        submission: Submission,
        forecast: QueueForecast,
        age: float,
        verdict: Verdict,
    ) -> Verdict:
        """Decide whether a job that cannot end in time may run behind all other jobs."""
        requested_at = forecast.wall_time - submission.elapsed_seconds
        latest_due = round(requested_at + USEFUL_FACTOR * (job.due_by - requested_at), 3)
        late_job = attrs.evolve(job, due_by=latest_due, behind=True)
        late_verdict = judge_late(forecast.predict(late_job, age))
        if not late_verdict.accepted:
            return verdict
        job.due_by, job.behind = latest_due, True
        return late_verdict

    def _make_job(self, key: JobKey, submission: Submission) -> Job:
        queue, wall_time = submission.queue, self.context.wall_time()
        objective = expected_objective(
            self.pool_state, self.shares, queue, submission.spec, submission.team
        )
        return Job(
            key,
            submission.spec,
            self.pool_state.pool,
            submission.team,
            max(1, queue.max_attempts),
            accepted_at=round(wall_time, 3),
            priority=queue.priority,
            due_by=round(wall_time - submission.elapsed_seconds + objective, 3),
        )

    def _slack_seconds(self, job: Job) -> float:
        """Return how long a new job may wait and still end by its due time, in seconds."""
        critical_path = job.spec.critical_path_seconds(
            self.pool_state.run_times.expected_seconds(job.key.queue, job.spec)
        )
        return job.due_by - self.context.wall_time() - critical_path

    def _log_verdict(self, submission: Submission, verdict: Verdict) -> None:
        self.context.log.write(
            "job-accepted" if verdict.accepted else "job-refused",
            job=submission.job_id,
            queue=submission.queue.name,
            pool=self.pool_state.pool,
            team=submission.team,
            tasks=sum(step.count for step in submission.spec.steps),
            lasting=submission.spec.lasting,
            reason=verdict.reason,
            end=round(verdict.end_seconds, 3) if math.isfinite(verdict.end_seconds) else "never",
            due=round(verdict.due_seconds, 3),
            harmed=round(verdict.harmed_work, 2),
            elapsed=round(submission.elapsed_seconds, 3),
            retry=verdict.retry_seconds,
            **self.context.config_fields(),
        )
