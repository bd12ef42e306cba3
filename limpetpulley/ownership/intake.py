"""What an owner does with a job that is handed in: decide, store, answer."""

from __future__ import annotations

import math
from collections.abc import Callable

import anyio
import attrs

from ..batch import Job, JobKey, JobSpec, QueueRule
from ..batch.records import encode_description
from ..exception import StoreError, StoreUnavailable
from ..pool import PoolState
from ..pool.queue_forecast import (
    QueueForecast,
    expected_objective,
    predict_immediate_start,
    remaining_work,
)
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
from .around import Around
from .reporting import RefusedWork
from .writer import OwnerWriter, StoreOutcome

__all__ = ["Intake", "Submission"]

#: time until which a caller is told to come back after an owner's failure, in whole seconds
FAILURE_RETRY_SECONDS = 1
#: age of the claim's last renewal beyond which, with a write that failed, the store counts as away:
#: two renewals without an answer
STORE_AWAY_SECONDS = 0.8
#: part of the processor's time that forecasts of the queue may take
OUTLOOK_PART = 0.2
#: longest time for which a forecast serves, in seconds; a tenth of a typical objective
LONGEST_OUTLOOK_SECONDS = 0.25
#: reason of a job that no worker can hold
FITS_NOWHERE = "fits-nowhere"
#: time between two looks at the jobs in doubt, in seconds
DOUBT_PAUSE_SECONDS = 1.0
#: time after its last try beyond which a write without an answer is not carried out any more, in
#: seconds; from the platform's writes, which are late by a few
LATEST_WRITE_SECONDS = 8.0
#: most jobs in doubt that one look asks the store for, so that its rate is kept to
DOUBTS_AT_ONCE = 8


@attrs.frozen
class Submission:
    """A job that a caller hands in.

    :param team: team that it is charged to, empty for none
    :param elapsed_seconds: time since the caller first asked
    """

    queue: QueueRule
    job_id: str
    spec: JobSpec
    team: str = ""
    elapsed_seconds: float = 0.0


class Intake:
    """Accepts or refuses the jobs of one pool.

    :param refused: notes the work that was refused
    :param arriving: notes the work that is handed in
    :param wake: called when a job was accepted
    :param claim_age: returns the time since the owner's claim was last renewed, in seconds
    """

    def __init__(
        self,
        around: Around,
        book: PoolState,
        shares: TeamShares,
        writer: OwnerWriter,
        refused: RefusedWork,
        arriving: ArrivalEstimator,
        wake: Callable[[], None],
        claim_age: Callable[[], float],
    ):
        self.claim_age = claim_age
        self.around = around
        self.book = book
        self.shares = shares
        self.writer = writer
        self.refused = refused
        self.arriving = arriving
        self.wake = wake
        # Accepted jobs that are being stored, or of which it is not known whether they are. Asked
        # for again, such a job is neither decided about anew nor refused: it may be stored.
        self.open: dict[str, StoreOutcome] = {}
        # Forecast of the queue, and until when it serves for new jobs, by local time.
        self.outlook: QueueForecast | None = None
        self.outlook_until = 0.0

    async def submit(self, submission: Submission, wait_seconds: float) -> Verdict | None:
        """Accept or refuse a job; return None if it is not known whether it is stored.

        :param wait_seconds: longest time until the answer
        """
        key = JobKey(submission.queue.name, submission.job_id)
        known = self.book.jobs.get(submission.job_id)
        if known is not None:
            same = known.key == key
            reason = "" if same else "id-in-use"
            return Verdict(same, retry_seconds=LONGEST_RETRY_SECONDS, reason=reason)
        outcome = self.open.get(submission.job_id)
        if outcome is None and self._is_store_away():
            verdict = Verdict(False, retry_seconds=FAILURE_RETRY_SECONDS, reason="store-away")
            self._log_verdict(submission, verdict)
            return verdict
        if outcome is None:
            job = self._make_job(key, submission)
            work, now = remaining_work(self.book, job), self.around.clock.now()
            verdict = self.assess(job, submission)
            self._log_verdict(submission, verdict)
            if not (job.spec.lasting or job.spec.timed or verdict.reason == FITS_NOWHERE):
                self.arriving.note(now, submission.job_id, work, self._slack(job))
            if not verdict.accepted:
                self.refused.note(now, submission.job_id, work)
                return verdict
            outcome = self._store(job)
        elif outcome.job.key != key:
            return Verdict(False, retry_seconds=LONGEST_RETRY_SECONDS, reason="id-in-use")
        elif outcome.settled.is_set():
            outcome = self._store(outcome.job, doubtful=True)
        return await self._wait_stored(outcome, wait_seconds)

    async def run_doubts(self) -> None:
        """Find out what became of jobs in doubt that nobody asks for again, until cancelled."""
        while True:
            await anyio.sleep(DOUBT_PAUSE_SECONDS)
            doubts = [outcome for outcome in self.open.values() if outcome.settled.is_set()]
            try:
                for outcome in doubts[:DOUBTS_AT_ONCE]:
                    await self._settle_doubt(outcome)
            except (StoreUnavailable, StoreError) as error:
                self.around.log.write("doubts-left", pool=self.book.pool, reason=str(error))

    async def _settle_doubt(self, outcome: StoreOutcome) -> None:
        """Take a job into the book if it is stored; forget it once it cannot be stored later."""
        key = outcome.job.key
        found = await self.around.store.get(self.around.keys.description(key))
        age = self.around.clock.now() - outcome.doubted_at
        if self.open.get(key.job_id) is not outcome:
            return
        if found is None and age < LATEST_WRITE_SECONDS:
            # The next look begins with the others.
            self.open[key.job_id] = self.open.pop(key.job_id)
            return
        outcome.stored = found is not None and found.value == encode_description(outcome.job)
        self._note_outcome(outcome)
        self.wake()
        self.around.log.write(
            "doubt-settled", job=key.job_id, queue=key.queue, stored=outcome.stored
        )

    def _is_store_away(self) -> bool:
        """Return whether neither a write nor the claim's renewal was answered lately."""
        return self.writer.failing and self.claim_age() > STORE_AWAY_SECONDS

    def _store(self, job: Job, doubtful: bool = False) -> StoreOutcome:
        outcome = StoreOutcome(job, self._note_outcome, doubtful)
        self.open[job.key.job_id] = outcome
        self.writer.create(outcome)
        return outcome

    async def _wait_stored(self, outcome: StoreOutcome, wait_seconds: float) -> Verdict | None:
        with anyio.move_on_after(wait_seconds):
            await outcome.settled.wait()
        if outcome.stored:
            self.wake()
            return Verdict(True)
        if outcome.stored is False:
            return Verdict(False, retry_seconds=FAILURE_RETRY_SECONDS, reason="not-stored")
        key = outcome.job.key
        self.around.log.write("job-in-doubt", job=key.job_id, queue=key.queue)
        return None

    def _note_outcome(self, outcome: StoreOutcome) -> None:
        """Take a stored job into the book, also when nobody waits for it any more."""
        job = outcome.job
        if outcome.stored is None:
            outcome.doubted_at = self.around.clock.now()
            return
        self.open.pop(job.key.job_id, None)
        if outcome.stored and job.key.job_id not in self.book.jobs:
            self.book.add_job(job, self.around.day())

    def assess(self, job: Job, submission: Submission) -> Verdict:
        """Decide about a job by its predicted end."""
        workers = [worker for worker in self.book.workers.values() if worker.present]
        if not workers:
            return Verdict(False, retry_seconds=FAILURE_RETRY_SECONDS, reason="no-workers")
        if not all(fits_empty_worker(step, workers) for step in job.spec.steps):
            return Verdict(False, retry_seconds=LONGEST_RETRY_SECONDS, reason=FITS_NOWHERE)
        if job.spec.lasting or job.spec.timed:
            return Verdict(True)
        at_once = predict_immediate_start(self.book, self.shares, job, self.around.day())
        if at_once is not None and (verdict := judge(at_once)).accepted:
            return verdict
        outlook = self._look_ahead(job.team)
        age = self.around.clock.now() - outlook.now
        verdict = judge(outlook.predict(job, age))
        if not verdict.accepted:
            verdict = self._assess_late(job, submission, outlook, age, verdict)
        if verdict.accepted and self.outlook is outlook:
            outlook.accept(job)
        return verdict

    def _look_ahead(self, team: str) -> QueueForecast:
        """Return a forecast of the queue that is young enough for what it costs."""
        now = self.around.clock.now()
        if self.outlook is None or now >= self.outlook_until:
            self.outlook = QueueForecast(self.book, self.shares, team, now, self.around.day())
            cost = self.around.clock.now() - now
            self.outlook_until = now + min(LONGEST_OUTLOOK_SECONDS, cost / OUTLOOK_PART)
        self.outlook.add_team(self.shares, team)
        return self.outlook

    def _assess_late(
        self,
        job: Job,
        submission: Submission,
        outlook: QueueForecast,
        age: float,
        verdict: Verdict,
    ) -> Verdict:
        """Decide whether a job that cannot go before others may go behind them."""
        asked_at = outlook.day - submission.elapsed_seconds
        last = round(asked_at + USEFUL_FACTOR * (job.due_by - asked_at), 3)
        later = attrs.evolve(job, due_by=last, behind=True)
        behind = judge_late(outlook.predict(later, age))
        if not behind.accepted:
            return verdict
        job.due_by, job.behind = last, True
        return behind

    def _make_job(self, key: JobKey, submission: Submission) -> Job:
        queue, day = submission.queue, self.around.day()
        objective = expected_objective(
            self.book, self.shares, queue, submission.spec, submission.team
        )
        return Job(
            key,
            submission.spec,
            self.book.pool,
            submission.team,
            max(1, queue.max_attempts),
            accepted_at=round(day, 3),
            priority=queue.priority,
            due_by=round(day - submission.elapsed_seconds + objective, 3),
        )

    def _slack(self, job: Job) -> float:
        """Return the time that a new job may wait and still end in time, in seconds."""
        chain = job.spec.chain_seconds(
            self.book.run_times.expected_seconds(job.key.queue, job.spec)
        )
        return job.due_by - self.around.day() - chain

    def _log_verdict(self, submission: Submission, verdict: Verdict) -> None:
        self.around.log.write(
            "job-accepted" if verdict.accepted else "job-refused",
            job=submission.job_id,
            queue=submission.queue.name,
            pool=self.book.pool,
            team=submission.team,
            tasks=sum(step.count for step in submission.spec.steps),
            lasting=submission.spec.lasting,
            reason=verdict.reason,
            end=round(verdict.end_seconds, 3) if math.isfinite(verdict.end_seconds) else "never",
            due=round(verdict.due_seconds, 3),
            harmed=round(verdict.harmed_work, 2),
            elapsed=round(submission.elapsed_seconds, 3),
            retry=verdict.retry_seconds,
        )
