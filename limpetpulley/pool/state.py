"""State of one pool: its jobs, workers and runs, as the pool's owner keeps them. No I/O.

The state follows what workers list. A task has at most one run at a time: its next run starts only
when the previous one has ended, was permanently rejected, or must have been killed because its
lease has expired. Tasks that allow speculative execution may have one more run; see
:mod:`.speculation`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import attrs

from ..batch import Amount, Job, TaskId
from ..exception import PoolStateError
from ..workers import EndedRun, ListedWorker, Run, RunPhase, StopOrder, Worker
from ..workers.lease import MIN_CLOCK_RATE, EarlierLease
from .crash_history import CrashHistory
from .crashes import has_crashed, note_heartbeat, record_crash, suspend_judgement
from .ended_workers import report_sign_of_life
from .events import EndPositions, LeaseFigures, PoolEvent
from .evidence import FailureEvidence
from .inherited_leases import settle_incarnations
from .placement_needs import PlacementNeeds
from .progress import ProgressLedger
from .proofs import INHERITED_RUNS, ClaimGuard, Proof
from .retries import RetryDelays
from .run_times import TaskRunTimes
from .speculation import is_superseded, stop_superseded_runs
from .state_changes import changes_state
from .tickets import TicketCache
from .unseen_runs import add_inherited_job

__all__ = ["PoolState", "lease_figures"]

#: run numbers reserved for one owner; a new owner's numbers start above them
RUN_NUMBERS_PER_OWNER = 1 << 20
#: longest time after which a start order without an answer may still be executed, in seconds; the
#: platform delays orders by up to 12 s
MAX_ORDER_DELAY_SECONDS = 15.0

#: time after a pause of the process for which no lease counts as lapsed, in seconds: holds that
#: were sent before it fail, and are repeated and answered
RESUME_SECONDS = 1.5
#: maximum number of replaced incarnations that are remembered of a worker
MAX_REPLACED_INCARNATIONS = 8


class PoolState:
    """Jobs, workers and runs of one pool.

    :param pool: name of the pool
    :param token: fencing token of the owner
    :param stop_seconds: longest time that a worker takes to stop a run
    :param longest_hold_seconds: longest lease that a worker grants
    :param lease_seconds: lease that orders and holds request
    :param on_event: called with each event, for the log
    """

    def __init__(
        self,
        pool: str,
        token: int,
        stop_seconds: float,
        longest_hold_seconds: float,
        lease_seconds: float,
        on_event: Callable[[PoolEvent], None] = lambda event: None,
    ):
        self.pool = pool
        self.token = token
        self.stop_seconds = stop_seconds
        self.longest_hold_seconds = longest_hold_seconds
        self.lease_seconds = lease_seconds
        self.on_event = on_event
        # Why the state cannot be relied on any more, and what is told so.
        self.failure: PoolStateError | None = None
        self.on_failure: Callable[[PoolStateError], None] = lambda failure: None
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        # Incarnations that were taken for the current ones before, by worker.
        self.replaced_incarnations: dict[str, tuple[int, ...]] = {}
        self.runs: dict[TaskId, Run] = {}
        self.runs_by_job: dict[str, dict[TaskId, Run]] = {}
        # Runs on workers that are not the current ones of their tasks, by job.
        self.superseded_runs: dict[str, list[Run]] = {}
        # Tasks whose run may have become unnecessary since the last planning round.
        self.tasks_to_check: set[TaskId] = set()
        self.scanned_at = -math.inf
        # End of the process's last pause, by local time.
        self.resumed_at = -math.inf
        self.ready: dict[str, list[TaskId]] = {}
        self.placement_needs = PlacementNeeds()
        self.usage: dict[str, Amount] = {}
        self.checkpoints: dict[TaskId, str] = {}
        self.failed_on: dict[TaskId, set[str]] = {}
        self.orphan_stops: dict[StopOrder, float] = {}
        # Stops for the removed runs that a worker's next incarnation may start late: a start order
        # had no answer, or the worker has ended without listing the run. With the local time at
        # which the run was removed.
        self.late_start_stops: dict[StopOrder, float] = {}
        # When each of them was last sent to a worker that has ended, and when such a worker last
        # answered one, by local time.
        self.late_stops_sent_at: dict[StopOrder, float] = {}
        self.late_stops_answered_at: dict[str, float] = {}
        # Leases that calls to earlier incarnations may give the current ones, by worker.
        self.earlier_leases: dict[str, EarlierLease] = {}
        # Incarnation to which a hold without an answer acknowledged ends, and the local time until
        # which it may be executed, by worker.
        self.late_acknowledgements: dict[str, tuple[int, float]] = {}
        self.unreconciled_workers: dict[str, float] = {}
        # Local time until which calls of earlier owners may be carried out. These may be meant for
        # an earlier incarnation, on whose clock the time that they request was near.
        self.earlier_calls_until = -math.inf
        # Settled incarnations, by worker; see :mod:`.inherited_leases`.
        self.settled_incarnations: dict[str, int] = {}
        # Proofs that count once the claim was confirmed after them.
        self.claim_guard = ClaimGuard()
        self.inherited: set[str] = set()
        # Jobs of which an earlier owner may have started tasks; some have ended since.
        self.started_by_others: set[str] = set()
        # What such tasks may use on unreconciled workers, by team; see :mod:`.unseen_runs`.
        self.unseen_usage: dict[str, Amount] = {}
        self.progress = ProgressLedger()
        # Jobs that this owner leaves alone, and their ends that are not stored yet: a later owner
        # may know the jobs, and needs the ends.
        self.set_aside_jobs: set[str] = set()
        self.aside_ends: dict[str, list[EndedRun]] = {}
        self.next_run_number = token * RUN_NUMBERS_PER_OWNER + 1
        self.run_times = TaskRunTimes()
        self.tickets = TicketCache()
        self.evidence = FailureEvidence()
        self.retries = RetryDelays()
        # Tasks, or first tasks of gangs, that may have crashed a worker; see :mod:`.crashes`.
        self.suspects: set[TaskId] = set()
        # Those that were excused, because several workers crashed at once.
        self.excused: set[TaskId] = set()
        # Workers on which only suspects are started, with the local time since when.
        self.trials: dict[str, float] = {}
        # Workers whose trial no suspect has made use of, with the local time until which none is
        # reserved again.
        self.trial_pauses: dict[str, float] = {}
        # Workers whose suspect was cleared since the last planning round.
        self.ended_trials: set[str] = set()
        self.crash_history = CrashHistory()
        # VMs whose worker has crashed, with the local time of its last reply.
        self.crashed_vms: dict[str, float] = {}
        # Jobs of which nothing runs although tasks are ready: the local times since when, and of
        # the next report.
        self.standstills: dict[str, tuple[float, float]] = {}
        # Local times at which VMs that are being moved to this pool should take tasks.
        self.expected_join_times: list[float] = []

    # Jobs

    @changes_state
    def add_job(self, job: Job, now: float, inherited: bool = False) -> None:
        """Add a job whose description is in the store.

        :param now: wall-clock time, in seconds since 1970
        :param inherited: whether an earlier owner may have started its tasks
        """
        self.jobs[job.key.job_id] = job
        self.placement_needs.add_job(job)
        self.progress.add(job.key.job_id)
        if inherited:
            add_inherited_job(self, job, now)
        if inherited and not job.state.is_final:
            self.inherited.add(job.key.job_id)
            self.suspects.update(job.crashes)
        self.update_ready_tasks(job, now)

    @changes_state
    def remove_job(self, job_id: str) -> None:
        """Remove a job whose records were deleted from the store."""
        self.jobs.pop(job_id, None)
        self.placement_needs.remove_job(job_id)
        self.started_by_others.discard(job_id)
        self.ready.pop(job_id, None)
        self.tasks_to_check.update(self.runs_by_job.get(job_id, ()))
        self.retries.forget_job(job_id)
        self.progress.remove(job_id)

    @changes_state
    def set_job_aside(self, job_id: str) -> None:
        """Leave a stored job alone: nothing of it is started, and its ends are only stored."""
        self.set_aside_jobs.add(job_id)
        self.progress.add(job_id)

    def note_aside_end(self, worker: Worker, end: EndedRun) -> None:
        """Note an end of a job that is set aside; it is acknowledged once it is stored."""
        job_id = end.task.job_id
        if job_id in self.set_aside_jobs:
            self.aside_ends.setdefault(job_id, []).append(end)
            self.progress.note_unknown_change(job_id)
            self.progress.note_end(worker.worker_id, end.position, job_id)

    @changes_state
    def note_aside_ends_stored(self, job_id: str, count: int, version: int) -> None:
        """Note that the first ends of a job that is set aside are stored.

        :param version: version of the job's progress that includes them
        """
        left = self.aside_ends.pop(job_id)[count:]
        if left:
            self.aside_ends[job_id] = left
        self.mark_stored({job_id: version})

    @changes_state
    def cancel(self, job: Job, now: float) -> bool:
        """Cancel a job; return whether its progress changed."""
        if not job.cancel(now):
            return False
        self.progress.mark_changed(job.key.job_id)
        self.update_ready_tasks(job, now)
        return True

    def update_ready_tasks(self, job: Job, now: float) -> None:
        """Update the list of a job's tasks that are ready to start.

        :param now: wall-clock time, in seconds since 1970
        """
        runs = self.runs_by_job.get(job.key.job_id, {})
        waiting = [task for task in job.runnable_tasks(now) if task not in runs]
        if waiting:
            self.ready[job.key.job_id] = waiting
        else:
            self.ready.pop(job.key.job_id, None)
        if job.state.is_final:
            self.tasks_to_check.update(self.runs_by_job.get(job.key.job_id, ()))
            self.inherited.discard(job.key.job_id)
            self.placement_needs.remove_job(job.key.job_id)
            self.retries.forget_job(job.key.job_id)
            if self.excused:
                self.excused = {unit for unit in self.excused if unit.job_id != job.key.job_id}
            for by_task in (self.checkpoints, self.failed_on):
                for task in [task for task in by_task if task.job_id == job.key.job_id]:
                    del by_task[task]

    def update_timed_jobs(self, now: float) -> None:
        """Make the tasks of occurrences that have become due ready to start."""
        for job in self.jobs.values():
            if job.spec.timed and not job.state.is_final:
                self.update_ready_tasks(job, now)

    def may_start(self, job: Job) -> bool:
        """Return whether no run of the job by another owner can be alive unseen."""
        if not self.claim_guard.is_confirmed(job.key):
            return False
        return job.key.job_id not in self.inherited or (
            not self.unreconciled_workers and self.claim_guard.is_confirmed(INHERITED_RUNS)
        )

    def may_start_task(self, job: Job, task: TaskId) -> bool:
        """Return whether the earlier runs of a ready task, or of its gang, are known to be over."""
        if not self.claim_guard.pending:
            return True
        step = job.step_of(task)
        positions = range(step.count) if step.gang else (task.position,)
        return all(
            self.claim_guard.is_confirmed(task._replace(position=position))
            for position in positions
        )

    def is_known(self, worker: Worker) -> bool:
        """Return whether no later owner can know only an earlier incarnation of a worker."""
        return self.claim_guard.is_confirmed(worker.worker_id)

    def reconcile_worker(self, worker_id: str, proof: Proof | None = None) -> None:
        """Note that no run of an earlier owner is unseen on a worker.

        :param proof: how these runs are known to be over, None if the worker has listed its runs:
            it may do so in a later incarnation than the one on which they were started
        """
        if self.unreconciled_workers.pop(worker_id, None) is None:
            return
        if proof is None or not proof.is_conclusive:
            self.claim_guard.require(INHERITED_RUNS)

    def unstored_jobs(self) -> list[Job]:
        """Return the jobs whose latest progress is not stored yet."""
        return [self.jobs[job_id] for job_id in self.progress.unstored_jobs()]

    def has_ends_at_risk(self) -> bool:
        """Return whether ends are not stored whose worker is gone, or may be gone soon."""
        return bool(self.progress.only_records) or any(
            worker.is_going and not worker.ends_stored for worker in self.workers.values()
        )

    @changes_state
    def mark_stored(self, versions: dict[str, int]) -> None:
        """Record which versions of the jobs' progress are stored now."""
        self.progress.mark_stored(versions)
        for worker in self.workers.values():
            self.acknowledge_ends(worker)

    # Workers

    @changes_state
    def update_listed_worker(self, listed: ListedWorker) -> Worker:
        """Add or update a worker of this pool from the platform's list."""
        worker = self.workers.get(listed.worker_id)
        is_next = worker is not None and self._tells_of_next(worker, listed.incarnation)
        if worker is not None and worker.ended and is_next:
            self._remove_worker(worker)
            self._note_replaced(worker, worker.listed.incarnation, listed.incarnation)
            worker = None
        if worker is None:
            worker = self.workers[listed.worker_id] = Worker(listed)
            self.claim_guard.require(listed.worker_id)
            self._avoid_late_acknowledgement(worker, listed.incarnation)
            del self.expected_join_times[:1]
            self._queue_late_start_stops(listed.worker_id)
        elif is_next and worker.reconciled and worker.runs:
            self._suspect_restart(worker, listed)
        elif is_next:
            self.replace_incarnation(worker, listed, "listed")
        elif listed.incarnation == worker.listed.incarnation:
            if listed.heartbeat > worker.listed.heartbeat:
                report_sign_of_life(self, worker, "entry", self.scanned_at)
                if not worker.ended:
                    note_heartbeat(worker, self.scanned_at)
            worker.listed = listed
        worker.present = True
        return worker

    def _tells_of_next(self, worker: Worker, incarnation: int) -> bool:
        """Return whether an entry's incarnation may be a worker's current one.

        Entries may be late, and their numbers are no order: the time of day may have been set back.
        An incarnation is over that was replaced by one that has replied. Where no run depends on
        it, one with a higher number is believed at once, and one with a lower number if the worker
        is silent; otherwise replies tell.
        """
        known = worker.listed.incarnation
        if incarnation in (0, known):
            return False
        needs_reply = worker.silent and not worker.ended
        if incarnation in self.replaced_incarnations.get(worker.worker_id, ()):
            return needs_reply and not worker.reconciled
        if incarnation > known or worker.ended or (worker.reconciled and worker.runs):
            return True
        return needs_reply

    def _suspect_restart(self, worker: Worker, listed: ListedWorker) -> None:
        """Note that an entry tells of another incarnation, which a reply must confirm.

        The entry may be late, and the runs of the known incarnation may live.
        """
        if worker.suspected is None:
            worker.suspected_at = self.scanned_at
            life, next_life = worker.listed.incarnation, listed.incarnation
            self.on_event(
                PoolEvent("worker-suspected", worker.worker_id, life=life, next_life=next_life)
            )
            self._queue_late_start_stops(worker.worker_id)
        worker.suspected = listed

    @changes_state
    def settle_suspicion(
        self, worker: Worker, suspected: ListedWorker, incarnation: int, sent_to: int
    ) -> None:
        """Apply the incarnation that has replied to a hold that was sent under a suspicion.

        It lives after the hold was sent, so the other one of those that were known then is over.

        :param suspected: entry that was suspected when the hold was sent
        :param sent_to: incarnation that was known then
        """
        if self.workers.get(worker.worker_id) is not worker or worker.suspected is None:
            return
        is_same = worker.suspected.incarnation == suspected.incarnation
        if not is_same or worker.listed.incarnation != sent_to or not incarnation:
            return
        if incarnation == sent_to:
            self._note_replaced(worker, suspected.incarnation, incarnation)
            worker.suspected = None
            return
        current = worker.suspected
        if incarnation != current.incarnation:
            current = attrs.evolve(worker.listed, incarnation=incarnation)
        self.replace_incarnation(worker, current, "answered")

    def replace_incarnation(
        self,
        worker: Worker,
        listed: ListedWorker,
        reason: str,
        proof: Proof = Proof.NEXT_INCARNATION,
    ) -> None:
        """Take another incarnation for a worker's current one.

        :param listed: description of that incarnation
        :param reason: what has told of it, for the log
        :param proof: how the runs of the known one are known to be over
        """
        self.handle_worker_restart(worker, reason, next_life=listed.incarnation, proof=proof)
        self._note_replaced(worker, worker.listed.incarnation, listed.incarnation)
        worker.listed = listed

    def _note_replaced(self, worker: Worker, earlier: int, current: int) -> None:
        """Note that an incarnation of a worker is over."""
        known = self.replaced_incarnations.get(worker.worker_id, ())
        kept = [each for each in known if each not in (earlier, current)]
        self.replaced_incarnations[worker.worker_id] = (
            *kept[1 - MAX_REPLACED_INCARNATIONS :],
            earlier,
        )

    def _drop_lapsed_runs(self, worker: Worker) -> None:
        """Drop the runs on a worker whose lease has lapsed.

        If an entry tells of another incarnation, that one may carry out late what has no answer.
        """
        if worker.suspected is None:
            suspend_judgement(self, worker)
            for run in list(worker.runs.values()):
                self.drop_run(run, Proof.LEASE_LAPSED)
            return
        starts = (run.start_sent_at for run in worker.runs.values())
        extended_at = worker.lease.latest_extension(self.lease_seconds)
        sent_at = max(worker.suspected_at, extended_at, *starts)
        self.replace_incarnation(worker, worker.suspected, "listed", Proof.LEASE_LAPSED)
        worker.restarted_at = sent_at

    def _queue_late_start_stops(self, worker_id: str) -> None:
        """Queue stops for the start orders that may reach a worker's next incarnation."""
        for stop in self.late_start_stops:
            if stop.worker_id == worker_id:
                self.orphan_stops.setdefault(stop, 0.0)

    def _remove_worker(self, worker: Worker) -> None:
        self._note_earlier_lease(worker)
        del self.workers[worker.worker_id]
        self.evidence.forget_failures(worker.worker_id)
        self.progress.remove_worker(worker.worker_id)

    def _note_earlier_lease(self, worker: Worker) -> None:
        """Note that a late call may give a worker's next incarnation this one's lease."""
        until_seconds = worker.lease.until_seconds
        if not until_seconds:
            return
        earlier = self.earlier_leases.get(worker.worker_id)
        if earlier is not None:
            until_seconds = max(until_seconds, earlier.until_seconds)
        expired_at = max(self.scanned_at, worker.last_reply_at) + self._longest_late_lease()
        self.earlier_leases[worker.worker_id] = EarlierLease(until_seconds, expired_at)

    def _longest_late_lease(self) -> float:
        """Return how long after a call a lease may last that it gives late, in seconds."""
        return MAX_ORDER_DELAY_SECONDS + self.longest_hold_seconds / MIN_CLOCK_RATE

    @changes_state
    def note_late_acknowledgement(self, worker_id: str, incarnation: int, sent_at: float) -> None:
        """Note that a hold that acknowledges ends may reach a worker's next incarnation.

        :param sent_at: local time at which it was sent
        """
        until = sent_at + MAX_ORDER_DELAY_SECONDS
        self.late_acknowledgements[worker_id] = (incarnation, until)
        worker = self.workers.get(worker_id)
        if worker is not None:
            self._avoid_late_acknowledgement(worker, worker.listed.incarnation)

    def _avoid_late_acknowledgement(self, worker: Worker, incarnation: int) -> None:
        """Start no run whose end may be acknowledged unseen by a call to an earlier incarnation.

        :param incarnation: the worker's current incarnation
        """
        earlier, until = self.late_acknowledgements.get(worker.worker_id, (incarnation, 0.0))
        if earlier != incarnation:
            worker.avoid_until = max(worker.avoid_until, until)

    @changes_state
    def mark_unlisted(self, worker_id: str) -> None:
        """Mark a worker as missing from the platform's list; its runs may still be alive."""
        if worker_id in self.workers:
            self.workers[worker_id].present = False

    @changes_state
    def end_workers(self, incarnations: Iterable[tuple[str, int]], reason: str) -> bool:
        """Drop the runs of workers whose VMs are down, were moved or taken for maintenance.

        A later incarnation of one of them may be alive.

        :param incarnations: identifier and incarnation of each worker; 0 stands for the unknown
            incarnations of one that is not listed
        :returns: whether any of them was not known to have ended
        """
        ended = []
        for worker_id, incarnation in incarnations:
            worker = self.workers.get(worker_id)
            if worker is None and not incarnation:
                self.reconcile_worker(worker_id, Proof.VM_ENDED)
            elif worker is not None and incarnation == worker.listed.incarnation != 0:
                self.reconcile_worker(worker_id, Proof.VM_ENDED)
                if not worker.ended:
                    ended.append(worker)
        crashes = sum(map(has_crashed, ended))
        for worker in ended:
            worker.ended, worker.ended_at = True, self.scanned_at
            self.handle_worker_restart(
                worker, reason, beside_others=crashes > 1, proof=Proof.VM_ENDED
            )
        return bool(ended)

    def handle_worker_restart(
        self,
        worker: Worker,
        reason: str,
        beside_others: bool = False,
        next_life: int = 0,
        proof: Proof = Proof.NEXT_INCARNATION,
    ) -> None:
        """Drop the runs of the previous incarnation of a worker.

        A start that was not answered may still reach the new incarnation, and one that was answered
        may have been answered by it, unless the previous incarnation has listed the run. Such a run
        is stopped there first. On an ended worker nothing is executed unless it returns; its tasks
        may start elsewhere at once. An earlier owner may have started runs on the new incarnation,
        so a worker that is unreconciled remains so until it replies.

        :param beside_others: whether other workers have crashed at the same time
        :param next_life: the new incarnation, 0 if it is not known, for the log
        :param proof: how the runs are known to be over
        """
        ends = self.end_positions(worker)
        record_crash(self, worker, reason, beside_others)
        for run in list(worker.runs.values()):
            may_return = run.unanswered_starts or not run.seen_running
            run.seen_running = False
            # What the next incarnation says of the run does not tell how it ended before.
            self.claim_guard.require(run.task)
            if may_return and not worker.ended:
                run.phase, run.settled_at, run.sent_at = RunPhase.STOPPING, None, 0.0
                continue
            if may_return:
                self.late_start_stops[StopOrder.of(run)] = self.scanned_at
            self.drop_run(run, proof, "worker-restarted")
        for orphan in [
            orphan for orphan in self.orphan_stops if orphan.worker_id == worker.worker_id
        ]:
            del self.orphan_stops[orphan]
        if not worker.ended:
            self._queue_late_start_stops(worker.worker_id)
        stop_superseded_runs(self, worker)
        self.claim_guard.require(worker.worker_id)
        self._note_earlier_lease(worker)
        worker.lease.reset()
        worker.processed_through = worker.stored_through = 0
        worker.reconciled, worker.reconciled_at = False, None
        self._avoid_late_acknowledgement(worker, next_life)
        if worker.restarted_at is None:
            worker.restarted_at = max(self.scanned_at, worker.last_reply_at)
        worker.suspected = None
        self.progress.remove_worker(worker.worker_id)
        self.on_event(
            PoolEvent(
                "worker-restarted",
                worker.worker_id,
                detail=reason,
                life=worker.listed.incarnation,
                next_life=next_life,
                ends=ends,
            )
        )

    def expire_leases(self, now: float) -> None:
        """Drop the runs whose leases must have expired, and the workers that no longer exist.

        A later owner may extend leases, so they are judged as of the last time at which there was
        certainly none.
        """
        self.evidence.expire(now)
        self.earlier_leases = {
            name: earlier
            for name, earlier in self.earlier_leases.items()
            if earlier.expired_at > now
        }
        settle_incarnations(self, now)
        for worker in list(self.workers.values()):
            if worker.runs and self._has_lapsed(worker, now):
                self._drop_lapsed_runs(worker)
            expired = worker.ended or self._has_lapsed(worker, now)
            # A worker whose ends are not stored must stay on the roster for the next owner.
            is_stored = worker.stored_through >= worker.processed_through
            if not worker.present and expired and is_stored and not worker.runs:
                life, ends = worker.listed.incarnation, self.end_positions(worker)
                self._remove_worker(worker)
                self.replaced_incarnations.pop(worker.worker_id, None)
                starts = ", ".join(".".join(map(str, task)) for task, _ in worker.lost_starts)
                detail = f"just started before its silence: {starts}" if starts else ""
                self.on_event(
                    PoolEvent("worker-gone", worker.worker_id, detail=detail, life=life, ends=ends)
                )
        self.late_acknowledgements = {
            name: (incarnation, until)
            for name, (incarnation, until) in self.late_acknowledgements.items()
            if until > now
        }
        for stop, since in list(self.late_start_stops.items()):
            if now - since > MAX_ORDER_DELAY_SECONDS:
                del self.late_start_stops[stop]
        for worker_id in [
            name
            for name, until in self.unreconciled_workers.items()
            if until <= self.claim_guard.known_time(now) and not self._is_resuming(now)
        ]:
            self.reconcile_worker(worker_id, Proof.LEASE_LAPSED)
            self.on_event(
                PoolEvent(
                    "worker-given-up", worker_id, detail="the leases on its runs have expired"
                )
            )

    def _is_resuming(self, now: float) -> bool:
        """Return whether ends may have been listed in a pause of this process, and not be read."""
        return now - self.resumed_at < RESUME_SECONDS

    def _has_lapsed(self, worker: Worker, now: float) -> bool:
        """Return whether all runs on a worker must have been killed.

        Nothing extends the lease of an incarnation that has not replied, so there it lapses some
        time after the last start order that may have reached it. A call to an earlier incarnation
        extends the lease of the one that it reaches.
        """
        if self._is_resuming(now):
            return False
        now = self.claim_guard.known_time(now)
        if worker.restarted_at is not None:
            return now - worker.restarted_at > self._longest_late_lease()
        earlier = self.earlier_leases.get(worker.worker_id)
        return worker.lease.has_lapsed(now) and (
            earlier is None or earlier.has_lapsed(worker.lease, now)
        )

    # Runs

    def allocate_run_number(self) -> int:
        """Allocate the number of a new run, or of all runs of a gang."""
        self.next_run_number += 1
        return self.next_run_number - 1

    def create_run(
        self, task: TaskId, worker: Worker, now: float, number: int | None = None
    ) -> Run:
        """Create the run for a start order that is about to be sent.

        :param number: run number, None to allocate a new one
        """
        job = self.jobs[task.job_id]
        step = job.step_of(task)
        run = Run(
            task,
            self.allocate_run_number() if number is None else number,
            worker.worker_id,
            step.charge,
            job.team,
            checkpoint=self.checkpoints.get(job.attempt_unit(task), "") if step.checkpoints else "",
            ordered_at=now,
            unanswered_starts=1,
            ticket=self.tickets.ticket(task, worker.worker_id),
        )
        self.add_run(run, worker)
        # Until the order is sent, assume that the run may live for the lease that it requests.
        worker.lease.assume_extended(self.lease_seconds)
        return run

    def note_started(self, task: TaskId) -> None:
        """Record that a worker has told that a run of a task has started.

        A start order alone does not tell that: it may be rejected, or never arrive.
        """
        job = self.jobs.get(task.job_id)
        if job is not None:
            job.started = True

    def runs_of(self, job_id: str) -> Iterable[Run]:
        """Return the current runs of a job's tasks."""
        return self.runs_by_job.get(job_id, {}).values()

    def all_runs_of(self, job_id: str) -> Iterable[Run]:
        """Return all runs of a job's tasks on workers, superseded ones among them."""
        return (*self.runs_of(job_id), *self.superseded_runs.get(job_id, ()))

    def supersede_run(self, run: Run) -> None:
        """Remove a run as the current run of its task; it counts until it is known to be gone."""
        self.unset_current_run(run)
        self.superseded_runs.setdefault(run.task.job_id, []).append(run)

    def add_superseded_run(self, run: Run, worker: Worker) -> None:
        """Add a run to its worker and its team's usage that is not the current run of its task."""
        self.superseded_runs.setdefault(run.task.job_id, []).append(run)
        self._charge_run(run, worker)

    def _forget_superseded_run(self, run: Run) -> None:
        superseded = self.superseded_runs.get(run.task.job_id, [])
        if run in superseded:
            superseded.remove(run)
            if not superseded:
                del self.superseded_runs[run.task.job_id]

    def set_current_run(self, run: Run) -> None:
        """Make a run the current run of its task."""
        self._forget_superseded_run(run)
        self.runs[run.task] = run
        self.runs_by_job.setdefault(run.task.job_id, {})[run.task] = run

    def unset_current_run(self, run: Run) -> None:
        """Remove a run as the current run of its task."""
        del self.runs[run.task]
        job_runs = self.runs_by_job[run.task.job_id]
        del job_runs[run.task]
        if not job_runs:
            del self.runs_by_job[run.task.job_id]

    def add_run(self, run: Run, worker: Worker) -> None:
        """Add a run to its worker and its team's usage, as the current run of its task."""
        self.set_current_run(run)
        self._charge_run(run, worker)
        self.remove_ready_task(run.task)

    def _charge_run(self, run: Run, worker: Worker) -> None:
        worker.add(run)
        self.usage[run.team] = self.usage.get(run.team, Amount()) + run.charge

    def remove_ready_task(self, task: TaskId) -> None:
        """Remove a task from the tasks that are ready to start."""
        waiting = self.ready.get(task.job_id)
        if waiting and task in waiting:
            waiting.remove(task)
            if not waiting:
                del self.ready[task.job_id]

    def remove_run(self, run: Run, proof: Proof) -> None:
        """Remove a run from its worker and its team's usage, and as the current run of its task.

        :param proof: how the run is known to be over
        """
        if not proof.is_conclusive:
            self.claim_guard.require(run.task)
        if is_superseded(self, run):
            self._forget_superseded_run(run)
        else:
            self.unset_current_run(run)
        self.workers[run.worker_id].remove(run)
        if run.unanswered_starts:
            self.late_start_stops[StopOrder.of(run)] = self.scanned_at
        self.usage[run.team] = self.usage[run.team] - run.charge

    def drop_run(self, run: Run, proof: Proof, detail: str = "") -> None:
        """Remove a run that ended without a listed end, and requeue its task.

        :param proof: how the run is known to be over
        :param detail: the same for the log, empty for the proof's name
        """
        worker = self.workers[run.worker_id]
        self.remove_run(run, proof)
        self.on_event(
            PoolEvent(
                "run-dropped",
                run.worker_id,
                run.task,
                run.number,
                detail or proof.value,
                worker.listed.incarnation,
                ends=self.end_positions(worker),
                reason=proof.value,
                lease=lease_figures(worker),
            )
        )
        self.requeue_task(run.task)

    def requeue_task(self, task: TaskId) -> None:
        """Make a task without a run ready to start again, if it is still needed."""
        job = self.jobs.get(task.job_id)
        if job is not None and job.needs_run(task) and task not in self.runs:
            waiting = self.ready.setdefault(task.job_id, [])
            if task not in waiting:
                waiting.insert(0, task)

    def end_positions(self, worker: Worker) -> EndPositions:
        """Return how far a worker's ends are processed and stored."""
        return EndPositions(
            worker.processed_through,
            worker.stored_through,
            self.progress.count_unstored_ends(worker.worker_id),
        )

    def acknowledge_ends(self, worker: Worker) -> None:
        """Update the position up to which a worker's ends may be acknowledged."""
        worker.stored_through = self.progress.stored_through(
            worker.worker_id, worker.processed_through
        )


def lease_figures(worker: Worker) -> LeaseFigures:
    """Return what is counted with of a worker's lease, for the log."""
    lease, listed_at = worker.lease, worker.reconciled_at
    worker_seconds = lease.worker_seconds
    return LeaseFigures(
        worker_seconds,
        None if worker_seconds is None else round(lease.until_seconds - worker_seconds, 2),
        None if listed_at is None else round(worker.last_reply_at - listed_at, 2),
    )
