"""A pool's owner: takes the pool over, decides, and keeps what must last in the store."""

from __future__ import annotations

import traceback
from collections.abc import Awaitable, Callable

import anyio

from ..batch import Job, JobKey, JobState
from ..batch.keys import SHARDS
from ..batch.records import RosterEntry, decode_job, decode_roster, pool_of
from ..exception import NotOwnerError, RecordError, StoreError, StoreUnavailable, leaves
from ..peer import batch_pb2 as pb
from ..pool import PlanningLimits, PoolEvent, PoolState, plan_orders
from ..quota.shares import TeamShares
from ..scheduling.arrivals import ArrivalEstimator
from ..scheduling.batch_admission import Verdict
from ..scheduling.pacing import pace_fillers
from ..store import Compare, Event
from ..workers import StartOrder, Worker
from ..workers.lease import SLOWEST_CLOCK
from .advising import TicketKeeper
from .agent import UNSEEN_OWNER_SECONDS, WorkerAgent, lease_seconds, name_task
from .around import Around
from .intake import Intake, Submission
from .reporting import PoolReporter, RefusedWork
from .roster import RosterKeeper
from .sharing import ShareKeeper
from .writer import OwnerWriter

__all__ = ["PoolOwner"]

#: time between two plans, so that ends and submissions that come together make one
PLAN_GAP_SECONDS = 0.01
#: longest time between two plans, for orders to send again and leases that lapse
PLAN_PAUSE_SECONDS = 0.25
#: time between two looks for ended jobs whose records can go
CLEAN_SECONDS = 10.0
#: parts of the jobs' records that are read at a time when a pool is taken over
READS_AT_ONCE = 4


class PoolOwner:
    """Owns one pool under one claim.

    :param token: revision of the claim: the fencing token for workers
    :param ask_planner: sends a report to the fleet's planner
    :param claim_age: returns the time since the claim was last renewed, in seconds
    """

    def __init__(
        self,
        around: Around,
        pool: str,
        token: int,
        ask_planner: Callable[[pb.PoolReport], Awaitable[pb.PoolPlan | None]],
        claim_age: Callable[[], float],
    ):
        self.claim_age = claim_age
        self.around = around
        self.pool = pool
        self.token = token
        timing = around.timing
        self.book = PoolState(
            pool,
            token,
            timing.stop,
            timing.longest_hold,
            lease_seconds(timing.longest_hold),
            self.log_change,
        )
        claim = Compare(around.keys.owner(pool), token)
        self.writer = OwnerWriter(around, self.book, claim, self.progress_stored)
        self.shares = TeamShares(pool)
        self.keeper = ShareKeeper(around, self.book, self.shares, self.writer)
        self.refused = RefusedWork()
        self.arriving = ArrivalEstimator()
        self.intake = Intake(
            around,
            self.book,
            self.shares,
            self.writer,
            self.refused,
            self.arriving,
            self.wake,
            claim_age,
        )
        self.tickets = TicketKeeper(around, self.book, self.wake)
        self.agents: dict[str, WorkerAgent] = {}
        self.roster = RosterKeeper(around, self.book, self.writer, self.wake)
        self.reporter = PoolReporter(
            around, self.book, self.refused, self.arriving, self.roster, ask_planner, self.wake
        )
        self.dirty = anyio.Event()
        self.progress_event = anyio.Event()
        self.ready = anyio.Event()
        self.finished = anyio.Event()
        self.scope = anyio.CancelScope()
        self.limits = PlanningLimits()

    # Life

    async def run(self) -> None:
        """Own the pool until the claim is lost or given up."""
        try:
            with self.scope:
                await self._take_over()
                async with anyio.create_task_group() as tasks:
                    self.tasks = tasks
                    for loop in (
                        self.writer.run_creations,
                        self.writer.run_flushes,
                        self.keeper.run,
                        self.reporter.run,
                        self.intake.run_doubts,
                        self.roster.run,
                        self.tickets.run,
                        self._run_plans,
                        self._run_cleaning,
                    ):
                        tasks.start_soon(self._guard, loop)
                    self.follow_workers()
        except* NotOwnerError as group:
            self.around.log.write(
                "owner-deposed", pool=self.pool, token=self.token, reason=str(leaves(group)[0])
            )
        except* (StoreError, StoreUnavailable) as group:
            self.around.log.write("takeover-failed", pool=self.pool, reason=str(leaves(group)[0]))
        finally:
            self.finished.set()

    async def _guard(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop, and log why it failed before the whole owner ends."""
        try:
            await loop()
        except (NotOwnerError, StoreError, StoreUnavailable):
            raise
        except Exception as error:
            self.around.log.write(
                "owner-failed",
                pool=self.pool,
                token=self.token,
                reason=repr(error),
                trace=traceback.format_exc(limit=-3),
            )
            raise

    @property
    def serves(self) -> bool:
        """Return whether callers can be answered: taken over, and not given up."""
        return self.ready.is_set() and not self.finished.is_set()

    async def give_up(self) -> None:
        """Store what is known and stop; the claim is released by whoever calls this."""
        if self.serves:
            await self.writer.flush()
        self.scope.cancel()
        await self.finished.wait()

    def stop(self) -> None:
        """Stop at once, because the claim is lost."""
        self.scope.cancel()

    async def _take_over(self) -> None:
        store, keys, begun = self.around.store, self.around.keys, self.around.clock.now()
        entry = await store.get(keys.roster(self.pool))
        await self._read_jobs()
        if entry is not None:
            self._inherit_roster(entry.value)
        if self.book.inherited:
            unseen = UNSEEN_OWNER_SECONDS / SLOWEST_CLOCK
            self.book.unreconciled_workers = dict.fromkeys(self.roster.inherited, begun + unseen)
        await self.keeper.read()
        self.ready.set()
        self.around.log.write(
            "pool-taken-over",
            pool=self.pool,
            token=self.token,
            jobs=len(self.book.jobs),
            workers=len(self.roster.inherited),
            seconds=round(self.around.clock.now() - begun, 3),
        )

    def _inherit_roster(self, value: bytes) -> None:
        try:
            self.roster.inherit(decode_roster(value))
        except RecordError as error:
            # Without it, at least the workers that are listed now are heard before tasks start.
            self.around.log.write("record-unreadable", pool=self.pool, reason=str(error))
            listed = self.around.workers.values()
            self.roster.inherit(
                {
                    worker.worker_id: RosterEntry(worker.address, worker.vm)
                    for worker in listed
                    if worker.pool == self.pool
                }
            )

    async def _read_jobs(self) -> None:
        """Read all jobs of the pool, a few parts at a time."""
        limiter = anyio.CapacityLimiter(READS_AT_ONCE)
        async with anyio.create_task_group() as tasks:
            for shard in SHARDS:
                tasks.start_soon(self._read_shard, shard, limiter)

    async def _read_shard(self, shard: str, limiter: anyio.CapacityLimiter) -> None:
        keys, day, store = self.around.keys, self.around.day(), self.around.store
        async with limiter:
            described = await store.read(f"{keys.descriptions}{shard}/")
            noted = await store.read(f"{keys.progresses}{shard}/")
        progress = {entry.key.removeprefix(keys.progresses): entry for entry in noted.entries}
        for entry in described.entries:
            rest = entry.key.removeprefix(keys.descriptions)
            try:
                if pool_of(entry.value) != self.pool:
                    continue
                found = progress.get(rest)
                noted_value = found.value if found else None
                job = decode_job(keys.job_key(rest), entry.value, noted_value)
            except RecordError as error:
                self.around.log.write("record-unreadable", key=entry.key, reason=str(error))
                continue
            self.book.add_job(job, day, inherited=True)
            self.writer.revisions[job.key.job_id] = found.revision if found else 0

    # Callers

    async def submit(self, submission: Submission, wait_seconds: float) -> Verdict | None:
        """Accept or refuse a job; return None if it is not known whether it is stored.

        :param wait_seconds: longest time until the answer
        """
        self.keeper.use_config()
        return await self.intake.submit(submission, wait_seconds)

    async def cancel(self, key: JobKey) -> JobState | None:
        """Cancel a job; return its state once that is stored, None if there is no such job."""
        job = self.find(key)
        if job is None:
            return None
        if self.book.cancel(job, self.around.day()):
            self.around.log.write("job-cancelled", job=key.job_id, queue=key.queue)
            self.wake()
        # Asked for again, the first call's change may not be stored yet.
        await self.writer.wait_stored(job)
        return job.state

    def find(self, key: JobKey) -> Job | None:
        """Return a job of this pool, or None."""
        job = self.book.jobs.get(key.job_id)
        return job if job is not None and job.key == key else None

    def state_of(self, job: Job) -> JobState:
        """Return what a caller is told: an end only once it is stored."""
        job_id = job.key.job_id
        if job.state.final and not self.book.progress.is_stored(job_id):
            return JobState.RUNNING
        return job.state

    def count_pending(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not begun."""
        return sum(
            1
            for job in self.book.jobs.values()
            if job.key.queue == queue and job.state is JobState.QUEUED
        )

    # Workers

    def follow_workers(self, events: list[Event] | None = None) -> None:
        """Take over what the platform lists now."""
        if not self.ready.is_set():
            return
        listed = {
            name: worker for name, worker in self.around.workers.items() if worker.pool == self.pool
        }
        for name in [name for name in self.book.workers if name not in listed]:
            self.book.mark_unlisted(name)
        for name, found in listed.items():
            worker = self.book.update_listed_worker(found)
            agent = self.agents.get(name)
            if agent is None or agent.worker is not worker:
                self._begin_agent(worker)
        self.wake()

    def _begin_agent(self, worker: Worker) -> None:
        agent = WorkerAgent(
            self.around, self.book, worker, self.wake, lambda: self.progress_event, self.claim_age
        )
        self.agents[worker.worker_id] = agent
        self.tasks.start_soon(self._guard, agent.run)

    # Decisions

    def wake(self) -> None:
        """Plan again soon."""
        self.dirty.set()

    def progress_stored(self) -> None:
        """Let holds acknowledge what was stored."""
        event, self.progress_event = self.progress_event, anyio.Event()
        event.set()

    async def _run_plans(self) -> None:
        while True:
            with anyio.move_on_after(PLAN_PAUSE_SECONDS):
                await self.dirty.wait()
            self.dirty = anyio.Event()
            await self._plan()
            await anyio.sleep(PLAN_GAP_SECONDS)

    async def _plan(self) -> None:
        clock, day = self.around.clock, self.around.day()
        self.keeper.use_config()
        orders = plan_orders(self.book, self.shares, clock.now(), day, self.limits)
        orders += pace_fillers(self.book, clock.now())
        if self.book.unstored_jobs():
            self.writer.flush_needed.set()
        self.keeper.wake_if_short()
        self.roster.wake_if_new()
        for order in orders:
            agent = self.agents.get(order.worker_id)
            if agent is None:
                continue
            if isinstance(order, StartOrder):
                self._note_start(order)
                self.around.log.write(
                    "run-ordered",
                    task=name_task(order),
                    run=order.number,
                    worker=order.worker_id,
                    pool=self.pool,
                )
            self.tasks.start_soon(agent.send, order)

    def _note_start(self, order: StartOrder) -> None:
        """Note how long a job waited for its first start."""
        job = self.book.jobs.get(order.task.job_id)
        first = order.number == 1 and order.task.step == order.task.position == 0
        if job is not None and first and order.task.occurrence == 0:
            waited = self.around.day() - job.accepted_at
            self.around.metrics.start_seconds.labels(job.key.queue).observe(max(0.0, waited))

    async def _run_cleaning(self) -> None:
        keep = self.around.timing.keep_ended
        while True:
            await anyio.sleep(CLEAN_SECONDS)
            oldest = self.around.day() - keep
            old = [job for job in self.book.jobs.values() if 0 < job.ended_at < oldest]
            try:
                await self.writer.remove(old)
            except (StoreUnavailable, StoreError) as error:
                self.around.log.write("records-not-removed", pool=self.pool, reason=str(error))

    # Logs

    def log_change(self, change: PoolEvent) -> None:
        """Log what was learned about a run or a worker."""
        fields: dict[str, object] = {"pool": self.pool, "worker": change.worker_id}
        if change.task is not None:
            fields |= {"task": ".".join(map(str, change.task)), "run": change.number}
        self.around.log.write(change.event, **fields, detail=change.detail)
