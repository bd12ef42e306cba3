"""A pool's owner: takes the pool over, schedules its jobs and stores their state."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs

from ..batch import Job, JobKey, JobState
from ..batch.keys import SHARDS
from ..batch.records import RosterEntry, decode_job, decode_pool, decode_roster
from ..exception import (
    NotOwnerError,
    PoolStateError,
    RecordError,
    StoreError,
    StoreUnavailable,
    WorkerFault,
    leaf_exceptions,
)
from ..peer import batch_pb2 as pb
from ..pool import Order, PlanningLimits, PoolEvent, PoolState, plan_orders
from ..pool.late_starts import LATE_STOP_INTERVAL_SECONDS, awaits_next_incarnations
from ..quota.shares import TeamShares
from ..scheduling.arrivals import ArrivalEstimator
from ..scheduling.batch_admission import Verdict
from ..scheduling.pacing import pace_fillers
from ..store import Compare, Entry, Event
from ..tasks import absorb_cancellation
from ..workers import StartOrder, Worker
from ..workers.lease import MIN_CLOCK_RATE
from .admission import AdmissionController, Submission
from .context import DaemonContext
from .failures import NOTHING_SET_ASIDE, OwnerFailure, SetAside, describe_error, describe_task
from .predecessor import PredecessorFence
from .reporting import PoolReporter, RefusedWork
from .roster import WorkerRoster
from .set_aside_records import SetAsideRecords
from .share_manager import ShareManager
from .ticket_fetcher import TicketFetcher
from .unknown_cancels import UnknownCancels
from .worker_client import (
    EARLIER_CALLS_SECONDS,
    MAX_UNRENEWED_CLAIM_SECONDS,
    WorkerClient,
    format_task,
    requested_lease_seconds,
)
from .writer import OwnerWriter

__all__ = ["PoolOwner"]

#: shortest time between two planning rounds, in seconds, so that run ends and submissions that
#: arrive together are handled in one
MIN_PLAN_INTERVAL_SECONDS = 0.01
#: longest time between two planning rounds, in seconds, for orders to repeat and leases to expire
MAX_PLAN_INTERVAL_SECONDS = 0.25
#: time between two planning rounds above which the process was paused or had no processor, in
#: seconds
PAUSE_SECONDS = 1.0
#: longest time for which a cancel waits until it is known whether its job is stored, in seconds
CANCEL_WAIT_SECONDS = 1.2
#: interval between deletions of the records of jobs that ended long ago, in seconds
CLEANUP_INTERVAL_SECONDS = 10.0
#: shards of the jobs' records that are read concurrently during a takeover: at first, so that no
#: slow link is occupied for longer than a lease, and once a shard has turned out to be small
MAX_CONCURRENT_READS = 4
MAX_CONCURRENT_SMALL_READS = 16
#: size up to which a shard is small, in bytes
SMALL_SHARD_BYTES = 16_384

#: delay before a loop is run again after an error, at first and at most, in seconds
FIRST_RESTART_SECONDS = 0.1
MAX_RESTART_SECONDS = 2.0
#: time without an error after which a loop's next error counts as its first one, in seconds
SOUND_SECONDS = 10.0
#: ends in a row of a loop without which nothing is stored or started that end the owner
MAX_NEEDED_LOOP_ENDS = 4

#: events that are logged with the time since the claim was last renewed: another owner may have
#: extended leases or taken ends since then
CLAIM_EVENTS = frozenset({"run-adopted", "run-dropped", "worker-given-up", "worker-restarted"})


class PoolOwner:
    """Schedules one pool for as long as one claim on it is valid.

    It ends if

    - the claim is lost or released,
    - the store does not answer the takeover,
    - the pool's state cannot be relied on because a change of it has failed,
    - a loop without which nothing is stored or started keeps failing, or
    - a worker has seen a higher token of another pool, so that it takes only a later claim's.

    Any other error concerns what was in hand: a call to one worker, one order, one record or one
    round of a loop. It is logged, and the loop goes on after a delay.

    :param token: revision of the claim, used as the fencing token for workers
    :param ask_planner: sends a report to the fleet planner and returns its plan
    :param claim_age: returns the time since the claim was last renewed, in seconds
    :param request_renewal: has the claim renewed soon
    :param set_aside: jobs and workers that the owner leaves alone
    """

    def __init__(
        self,
        context: DaemonContext,
        pool: str,
        token: int,
        ask_planner: Callable[[pb.PoolReport], Awaitable[pb.PoolPlan | None]],
        claim_age: Callable[[], float],
        request_renewal: Callable[[], None] = lambda: None,
        set_aside: SetAside = NOTHING_SET_ASIDE,
    ):
        self.set_aside = set_aside
        self.claim_age = claim_age
        self.request_renewal = request_renewal
        self.context = context
        self.pool = pool
        self.token = token
        timing = context.timing
        self.pool_state = PoolState(
            pool,
            token,
            timing.stop,
            timing.longest_hold,
            requested_lease_seconds(timing.longest_hold),
            self.log_change,
        )
        self.pool_state.claim_guard.confirmed_at = context.clock.now() - claim_age()
        self.pool_state.on_failure = self._fail
        claim = Compare(context.keys.owner(pool), token)
        self.writer = OwnerWriter(context, self.pool_state, claim, self.notify_progress_stored)
        self.aside_records = SetAsideRecords(context, self.pool_state, self.writer)
        self.shares = TeamShares(pool)
        self.share_manager = ShareManager(context, self.pool_state, self.shares, self.writer)
        self.refused_work = RefusedWork()
        self.arriving_work = ArrivalEstimator(context.clock.now())
        self.unknown_cancels = UnknownCancels(context, pool, self.writer)
        self.writer.creation_guard = self.unknown_cancels
        self.admission = AdmissionController(
            context,
            self.pool_state,
            self.shares,
            self.writer,
            self.refused_work,
            self.arriving_work,
            self.request_planning,
            self.unknown_cancels,
        )
        self.ticket_fetcher = TicketFetcher(context, self.pool_state, self.request_planning)
        self.worker_clients: dict[str, WorkerClient] = {}
        self.roster = WorkerRoster(context, self.pool_state, self.writer, self.request_planning)
        self.reporter = PoolReporter(
            context,
            self.pool_state,
            self.refused_work,
            self.arriving_work,
            self.roster,
            ask_planner,
            self.request_planning,
        )
        self.planning_requested = anyio.Event()
        self.progress_stored_event = anyio.Event()
        self.taken_over = anyio.Event()
        self.stopped = anyio.Event()
        self.scope = anyio.CancelScope()
        self.limits = PlanningLimits()
        # Why the owner has ended, None while it runs and if its claim was lost or released.
        self.failure: OwnerFailure | None = None
        # Local time of the last planning round.
        self.planned_at = 0.0

    # Lifecycle

    async def run(self) -> None:
        """Take the pool over and schedule it until the claim is lost or released."""
        try:
            with self.scope:
                await self._take_over()
                async with anyio.create_task_group() as tasks:
                    self.tasks = tasks
                    for loop in (
                        self.writer.run_creations,
                        self.writer.run_flushes,
                        self.aside_records.run,
                        self.share_manager.run,
                        self.reporter.run,
                        self.admission.run_in_doubt_checks,
                        self.unknown_cancels.run,
                        self.roster.run,
                        self.ticket_fetcher.run,
                        PredecessorFence(self.context, self.pool_state, self.roster.inherited).run,
                        self._run_planning,
                        self._run_cleanup,
                    ):
                        tasks.start_soon(self._run_contained, loop)
                    self.update_workers()
        except* NotOwnerError as group:
            self.context.log.write(
                "owner-deposed",
                pool=self.pool,
                token=self.token,
                reason=str(leaf_exceptions(group)[0]),
            )
        except* (StoreError, StoreUnavailable) as group:
            self.context.log.write(
                "takeover-failed", pool=self.pool, reason=str(leaf_exceptions(group)[0])
            )
        except* PoolStateError:
            # It was logged when the change failed.
            pass
        except* Exception as group:
            self._log_failure("owner-failed", self.run, group)
            self.failure = self.failure or OwnerFailure(repr(leaf_exceptions(group)[0]))
        finally:
            self.stopped.set()

    async def _run_contained(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop; run it again after an error that does not end the owner.

        A loop without which nothing is stored or started ends the owner if it keeps failing.
        """
        delay, ends = FIRST_RESTART_SECONDS, 0
        while True:
            started_at = self.context.clock.now()
            try:
                await loop()
                return
            except (NotOwnerError, StoreError, PoolStateError):
                raise
            except anyio.get_cancelled_exc_class():
                if not absorb_cancellation():
                    raise
                error: Exception = WorkerFault(f"{describe_task(loop)} was cancelled from outside")
            except Exception as raised:
                error = raised
            if self.context.clock.now() - started_at >= SOUND_SECONDS:
                delay, ends = FIRST_RESTART_SECONDS, 0
            ends += 1
            self._log_failure("owner-loop-failed", loop, error, delay=delay, ends=ends)
            if ends >= MAX_NEEDED_LOOP_ENDS and loop in self._needed_loops():
                self._fail(PoolStateError(f"{describe_task(loop)} failed {ends} times: {error!r}"))
                return
            await anyio.sleep(delay)
            delay = min(2 * delay, MAX_RESTART_SECONDS)

    def _needed_loops(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        return self.writer.run_creations, self.writer.run_flushes, self._run_planning

    async def _send_contained(self, client: WorkerClient, order: Order) -> None:
        """Send an order; an error that does not end the owner concerns the order only."""
        try:
            await client.send(order)
        except (NotOwnerError, PoolStateError):
            raise
        except Exception as error:
            self._log_failure("order-failed", client.send, error)

    def _fail(self, failure: PoolStateError) -> None:
        """End the owner, because the pool's state cannot be relied on."""
        self.failure = OwnerFailure(str(failure), failure.worker_id, failure.job_id)
        self.context.log.write(
            "owner-failed",
            pool=self.pool,
            token=self.token,
            worker=failure.worker_id,
            job=failure.job_id,
            **describe_error(failure.__cause__ or failure),
        )
        self.scope.cancel()

    def _log_failure(
        self,
        event: str,
        function: Callable[..., object],
        error: Exception,
        **fields: object,
    ) -> None:
        """Log an unexpected error, with the worker whose client has raised it."""
        client = getattr(function, "__self__", None)
        if isinstance(client, WorkerClient):
            listed = client.worker.listed
            fields |= {"worker": listed.worker_id, "address": listed.address}
        self.context.log.write(
            event,
            pool=self.pool,
            token=self.token,
            loop=describe_task(function),
            **fields,
            **describe_error(error),
        )

    @property
    def is_serving(self) -> bool:
        """Return whether the owner can answer callers: takeover done and not stopped."""
        return self.taken_over.is_set() and not self.stopped.is_set()

    @property
    def can_store(self) -> bool:
        """Return whether all progress is stored, or the last write was answered."""
        return not (self.writer.failing and self.pool_state.unstored_jobs())

    async def shut_down(self) -> None:
        """Flush progress to the store and stop; the calling code releases the claim."""
        if self.is_serving:
            await self.writer.flush()
        self.scope.cancel()
        await self.stopped.wait()

    def stop(self) -> None:
        """Stop at once, without a flush."""
        self.scope.cancel()

    async def _take_over(self) -> None:
        started_at = self.context.clock.now()
        # The claim keeps the previous owner from writing, so the records may be read in any order.
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read_roster)
            tasks.start_soon(self._read_jobs)
            tasks.start_soon(self.share_manager.load)
        if self.roster.revision:
            # Earlier owners have extended leases only since the roster was stored.
            self.pool_state.earlier_calls_until = started_at + EARLIER_CALLS_SECONDS
        if self.pool_state.started_by_others:
            unseen_seconds = MAX_UNRENEWED_CLAIM_SECONDS / MIN_CLOCK_RATE
            self.pool_state.unreconciled_workers = dict.fromkeys(
                self.roster.inherited, started_at + unseen_seconds
            )
        self.taken_over.set()
        self.context.log.write(
            "pool-taken-over",
            pool=self.pool,
            token=self.token,
            jobs=len(self.pool_state.jobs),
            workers=len(self.roster.inherited),
            set_aside=[*self.set_aside.jobs, *self.set_aside.workers],
            away=self._away_addresses(),
            seconds=round(self.context.clock.now() - started_at, 3),
        )

    def _away_addresses(self) -> dict[str, str | None]:
        """Return the addresses of the inherited workers that the platform does not list."""
        return {
            name: entry.address
            for name, entry in self.roster.inherited.items()
            if name not in self.context.workers
        }

    async def _read_roster(self) -> None:
        entry = await self.context.store.get(self.context.keys.roster(self.pool))
        if entry is not None:
            self._restore_roster(entry)

    def _restore_roster(self, entry: Entry) -> None:
        try:
            self.roster.adopt(decode_roster(entry.value), entry.revision)
        except RecordError as error:
            # Without the roster, wait at least for answers of the currently listed workers before
            # tasks start.
            self.context.log.write("record-unreadable", pool=self.pool, reason=str(error))
            listed = self.context.workers.values()
            self.roster.adopt(
                {
                    worker.worker_id: RosterEntry(worker.address, worker.vm)
                    for worker in listed
                    if worker.pool == self.pool
                },
                entry.revision,
                is_stored=False,
            )

    async def _read_jobs(self) -> None:
        """Read all jobs of the pool, a few shards at a time."""
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_READS)
        async with anyio.create_task_group() as tasks:
            for shard in SHARDS:
                tasks.start_soon(self._read_shard, shard, limiter)

    async def _read_shard(self, shard: str, limiter: anyio.CapacityLimiter) -> None:
        keys, wall_time = self.context.keys, self.context.wall_time()
        entries: dict[str, tuple[Entry, ...]] = {}

        async def read(prefix: str) -> None:
            entries[prefix] = (await self.context.store.read(f"{prefix}{shard}/")).entries

        async with limiter, anyio.create_task_group() as tasks:
            for prefix in (keys.descriptions, keys.progress_records):
                tasks.start_soon(read, prefix)
        size = sum(len(entry.value) for found in entries.values() for entry in found)
        if size <= SMALL_SHARD_BYTES:
            limiter.total_tokens = MAX_CONCURRENT_SMALL_READS
        progress = {
            entry.key.removeprefix(keys.progress_records): entry
            for entry in entries[keys.progress_records]
        }
        for entry in entries[keys.descriptions]:
            job_path = entry.key.removeprefix(keys.descriptions)
            if keys.parse_job_key(job_path).job_id in self.set_aside.jobs:
                self.aside_records.add(keys.parse_job_key(job_path), progress.get(job_path))
                self.context.log.write("job-set-aside", pool=self.pool, key=entry.key)
                continue
            try:
                if decode_pool(entry.value) != self.pool:
                    continue
                found = progress.get(job_path)
                progress_value = found.value if found else None
                job = decode_job(keys.parse_job_key(job_path), entry.value, progress_value)
            except RecordError as error:
                self.context.log.write("record-unreadable", key=entry.key, reason=str(error))
                continue
            self.pool_state.add_job(job, wall_time, inherited=True)
            self.writer.progress_revisions[job.key.job_id] = found.revision if found else 0

    # Callers

    async def submit(self, submission: Submission, wait_seconds: float) -> Verdict | None:
        """Accept or refuse a job; return None if it is unknown whether the job is stored.

        :param wait_seconds: longest time until the result, in seconds
        """
        if submission.job_id in self.set_aside.jobs:
            return None
        self.share_manager.apply_config()
        return await self.admission.submit(submission, wait_seconds)

    async def cancel(self, key: JobKey) -> JobState | None:
        """Cancel a job; return its state once it is stored, None if there is no such job.

        :raises StoreUnavailable: if the owner stops before, or if it is not known in time whether
            the job is stored; the job may still be cancelled
        :raises StoreError: if the store does not answer
        """
        self._check_not_set_aside(key.job_id)
        job = self.find(key)
        if job is None:
            await self.admission.cancel(key, CANCEL_WAIT_SECONDS)
            job = self.find(key)
        if job is None:
            return None
        if self.pool_state.cancel(job, self.context.wall_time()):
            self.context.log.write("job-cancelled", job=key.job_id, queue=key.queue)
            self.request_planning()
        # On a repeated request, the change of the first one may not be stored yet.
        await self.writer.wait_until_stored(job)
        return job.state

    def _check_not_set_aside(self, job_id: str) -> None:
        """Check that the owner has not left a job alone, whose state it does not know then.

        :raises StoreUnavailable: if it has
        """
        if job_id in self.set_aside.jobs:
            raise StoreUnavailable(f"job {job_id} is set aside: the owners that had it failed")

    def find(self, key: JobKey) -> Job | None:
        """Return a job of this pool, or None."""
        job = self.pool_state.jobs.get(key.job_id)
        return job if job is not None and job.key == key else None

    def is_pending(self, key: JobKey) -> bool:
        """Return whether it is not known if there is a job: it is being stored, or set aside."""
        return key.job_id in self.set_aside.jobs or self.admission.is_pending(key)

    def reported_state(self, job: Job) -> JobState:
        """Return the state reported to callers: a final state only once it is stored."""
        job_id = job.key.job_id
        if job.state.is_final and not self.pool_state.progress.is_stored(job_id):
            return JobState.RUNNING
        return job.state

    def count_pending(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue that have not started."""
        return sum(
            1
            for job in self.pool_state.jobs.values()
            if job.key.queue == queue and job.state is JobState.QUEUED
        )

    # Workers

    def update_workers(self, events: list[Event] | None = None) -> None:
        """Update the pool state from the workers that the platform currently lists."""
        if not self.taken_over.is_set():
            return
        listed = {
            name: worker
            for name, worker in self.context.workers.items()
            if worker.pool == self.pool and name not in self.set_aside.workers
        }
        for name in [name for name in self.pool_state.workers if name not in listed]:
            self.pool_state.mark_unlisted(name)
        for name, found in listed.items():
            worker = self.pool_state.update_listed_worker(found)
            client = self.worker_clients.get(name)
            if client is None or client.worker is not worker:
                self._start_worker_client(worker)
            elif worker.suspected is not None and not client.checking:
                client.checking = True
                self.tasks.start_soon(self._run_contained, client.check_restart)
        self.request_planning()

    def _start_worker_client(self, worker: Worker) -> None:
        client = WorkerClient(
            self.context,
            self.pool_state,
            worker,
            self.request_planning,
            lambda: self.progress_stored_event,
            self.claim_age,
            self.writer.is_claim_valid,
            self._take_refusal,
        )
        self.worker_clients[worker.worker_id] = client
        self.tasks.start_soon(self._run_contained, client.run)

    def _take_refusal(self, worker: Worker, reason: str) -> None:
        """End the owner if a worker refuses its token although the claim stands.

        The worker has seen a higher token of another pool, and takes that of the next claim. If
        this claim was made for a refusal, a worker that has not taken its token is left to itself.
        """
        if not worker.reconciled and self.set_aside.after_refusal:
            return
        self.failure = OwnerFailure(reason, worker.worker_id, is_refusal=True)
        self.context.log.write(
            "token-refused",
            pool=self.pool,
            token=self.token,
            worker=worker.worker_id,
            address=worker.listed.address,
            reason=reason,
        )
        self.scope.cancel()

    # Planning

    def request_planning(self) -> None:
        """Trigger a planning round."""
        self.planning_requested.set()

    def notify_progress_stored(self) -> None:
        """Notify the worker clients, so that their holds acknowledge the stored run ends."""
        event, self.progress_stored_event = self.progress_stored_event, anyio.Event()
        event.set()

    def confirm_claim(self) -> None:
        """Go on with what waits until the claim is confirmed; called after a renewal."""
        if self.pool_state.claim_guard.pending:
            self.request_planning()

    async def _run_planning(self) -> None:
        self.planned_at = self.context.clock.now()
        while True:
            waiting = awaits_next_incarnations(self.pool_state)
            with anyio.move_on_after(
                LATE_STOP_INTERVAL_SECONDS if waiting else MAX_PLAN_INTERVAL_SECONDS
            ):
                await self.planning_requested.wait()
            self.planning_requested = anyio.Event()
            await self._plan()
            await anyio.sleep(MIN_PLAN_INTERVAL_SECONDS)

    async def _plan(self) -> None:
        clock, wall_time = self.context.clock, self.context.wall_time()
        now = clock.now()
        if now - self.planned_at > PAUSE_SECONDS:
            self.pool_state.resumed_at = now
            self.context.log.write(
                "owner-resumed", pool=self.pool, seconds=round(now - self.planned_at, 2)
            )
        self.planned_at = now
        self._contain(self.share_manager.apply_config)
        guard = self.pool_state.claim_guard
        guard.confirmed_at = max(now - self.claim_age(), self.writer.confirmed_at)
        orders = plan_orders(self.pool_state, self.shares, now, wall_time, self.limits)
        orders += pace_fillers(self.pool_state, clock.now())
        if guard.pending and self.pool_state.ready:
            self.request_renewal()
        if self.pool_state.unstored_jobs():
            self.writer.flush_requested.set()
        # The orders count as sent in the pool's state, so nothing may keep them back.
        for order in orders:
            client = self.worker_clients.get(order.worker_id)
            if client is None:
                continue
            self.tasks.start_soon(self._send_contained, client, order)
            if isinstance(order, StartOrder):
                self._contain(self._report_start, client, order)
        self._contain(self.share_manager.wake_on_shortage)
        self._contain(self.roster.update_rostered)

    def _contain(self, step: Callable[..., None], *args: Any) -> None:
        """Make a step of a round; log an error that does not end the owner."""
        try:
            step(*args)
        except PoolStateError:
            raise
        except Exception as error:
            self._log_failure("owner-step-failed", step, error)

    def _report_start(self, client: WorkerClient, order: StartOrder) -> None:
        self.context.log.write(
            "run-ordered",
            task=format_task(order),
            run=order.number,
            worker=order.worker_id,
            life=client.worker.listed.incarnation,
            pool=self.pool,
            claim_age=round(self.claim_age(), 2),
        )
        self._observe_start_delay(order)

    def _observe_start_delay(self, order: StartOrder) -> None:
        """Record in the metrics how long a job waited for its first start."""
        job = self.pool_state.jobs.get(order.task.job_id)
        first = order.number == 1 and order.task.step == order.task.position == 0
        if job is not None and first and order.task.occurrence == 0:
            delay = self.context.wall_time() - job.accepted_at
            self.context.metrics.observe_start(job.key.queue, max(0.0, delay))

    async def _run_cleanup(self) -> None:
        retention = self.context.timing.keep_ended
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_SECONDS)
            cutoff = self.context.wall_time() - retention
            expired = [job for job in self.pool_state.jobs.values() if 0 < job.ended_at < cutoff]
            try:
                await self.writer.remove(expired)
            except (StoreUnavailable, StoreError) as error:
                self.context.log.write("records-not-removed", pool=self.pool, reason=str(error))

    # Logging

    def log_change(self, change: PoolEvent) -> None:
        """Log a change of a run or a worker."""
        fields: dict[str, object] = {"pool": self.pool, "worker": change.worker_id}
        if change.life:
            fields["life"] = change.life
        if change.next_life:
            fields["next_life"] = change.next_life
        if change.task is not None:
            fields |= {"task": ".".join(map(str, change.task)), "run": change.number}
        if change.position:
            fields["position"] = change.position
        if change.ends is not None:
            fields |= attrs.asdict(change.ends)
        if change.lease is not None:
            fields |= attrs.asdict(change.lease)
        if change.reason:
            fields["reason"] = change.reason
        if change.event in CLAIM_EVENTS:
            fields["claim_age"] = round(self.claim_age(), 2)
        self.context.log.write(change.event, **fields, detail=change.detail)
