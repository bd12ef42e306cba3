"""Reports of a pool's owner to the fleet planner, and how the owner applies the answers."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable, Iterable

import anyio
import attrs

from ..exception import PeerError
from ..peer import PeerCaller
from ..peer import batch_pb2 as pb
from ..pool import PoolState
from ..pool.ended_workers import may_live
from ..pool.needed_workers import needed_workers
from ..pool.queue_forecast import least_workers, pool_capacity, ready_cores, remaining_work
from ..pool.reserved_workers import reserve_workers
from ..scheduling.arrivals import ArrivalEstimator
from .context import DaemonContext
from .roster import WorkerRoster

__all__ = ["PoolReporter", "RefusedWork"]

#: interval between two reports, in seconds: of a pool whose VMs change or may soon have to, or
#: that gets no answer from a planner, and of any other
BUSY_INTERVAL_SECONDS = 0.1
IDLE_INTERVAL_SECONDS = 0.25
#: fraction of a pool's capacity in use above which more VMs may be needed soon
BUSY_FRACTION = 0.6
#: time without the planner's answer after which no worker stays cordoned for it, in seconds
PLAN_TIMEOUT_SECONDS = 3.0
#: window over which refused work is counted, in seconds
REFUSED_WINDOW_SECONDS = 1.0


class RefusedWork:
    """Work that was refused recently; a job that is submitted again counts once."""

    def __init__(self) -> None:
        self.entries: deque[tuple[float, str, float]] = deque()

    def note(self, now: float, job_id: str, core_seconds: float) -> None:
        """Add a refused job."""
        self.entries.append((now, job_id, core_seconds))

    def total(self, now: float) -> float:
        """Return the core-seconds that were refused recently."""
        while self.entries and self.entries[0][0] < now - REFUSED_WINDOW_SECONDS:
            self.entries.popleft()
        return sum({job_id: work for _, job_id, work in self.entries}.values())


class PoolReporter:
    """Reports a pool's load to the planner periodically and applies the returned plans.

    :param refused_work: recently refused work
    :param arriving_work: work of newly submitted jobs
    :param roster: workers that may hold runs of an earlier owner
    :param send_report: sends a report to the planner, in this daemon or another; returns None if
        there is none
    :param on_change: called when the pool state has changed
    """

    def __init__(
        self,
        context: DaemonContext,
        pool_state: PoolState,
        refused_work: RefusedWork,
        arriving_work: ArrivalEstimator,
        roster: WorkerRoster,
        send_report: Callable[[pb.PoolReport], Awaitable[pb.PoolPlan | None]],
        on_change: Callable[[], None],
    ):
        self.context = context
        self.pool_state = pool_state
        self.refused_work = refused_work
        self.arriving_work = arriving_work
        self.roster = roster
        self.send_report = send_report
        self.on_change = on_change
        self.last_plan_at = context.clock.now()
        # Workers that the last plan said have ended, and that may live.
        self.doubted: set[tuple[str, int]] = set()

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            report = self.build_report()
            plan = await self.send_report(report)
            self._handle_plan(plan)
            demand = max(report.running_cores, report.lasting_cores + report.arriving_cores)
            changing = self.pool_state.expected_join_times or any(
                worker.cordoned for worker in self.pool_state.workers.values()
            )
            busy = plan is None or changing or demand > BUSY_FRACTION * report.room_cores
            await anyio.sleep(BUSY_INTERVAL_SECONDS if busy else IDLE_INTERVAL_SECONDS)

    def _handle_plan(self, plan: pb.PoolPlan | None) -> None:
        """Apply the planner's answer, None if there was none.

        A planner that does not know yet which workers its predecessor has ordered away tells of
        ended workers only: the cordons stay, as while there is no planner.
        """
        now = self.context.clock.now()
        ended = []
        if plan is not None and plan.outcome in (pb.ACCEPTED, pb.UNKNOWN):
            ended = [(row.worker, row.incarnation) for row in plan.ended_incarnations]
        if plan is not None and plan.outcome == pb.ACCEPTED:
            self.last_plan_at = now
            self.pool_state.expected_join_times = [now + each for each in plan.coming_seconds]
            self.apply_plan(set(plan.cordoned_workers), ended)
        elif now - self.last_plan_at > PLAN_TIMEOUT_SECONDS:
            self.pool_state.expected_join_times = []
            self.apply_plan(set(), ended)
        else:
            self._end_workers(ended)

    def _end_workers(self, ended: Iterable[tuple[str, int]]) -> None:
        if self.pool_state.end_workers(self._select_ended(ended), "vm-ordered"):
            self.on_change()

    def apply_plan(self, cordoned_ids: set[str], ended: Iterable[tuple[str, int]]) -> None:
        """Apply a plan: cordon the workers that are to be drained, drop the runs of ended ones.

        Workers that lasting tasks need for their label are not cordoned.

        :param ended: identifiers and incarnations of the workers that have ended
        """
        self._end_workers(ended)
        needed = needed_workers(self.pool_state, cordoned_ids)
        for worker in self.pool_state.workers.values():
            asked = worker.worker_id in cordoned_ids and worker.worker_id not in needed
            cordoned = asked or worker.ended
            if cordoned != worker.cordoned:
                worker.cordoned = cordoned
                self.context.log.write(
                    "worker-cordoned" if cordoned else "worker-uncordoned",
                    pool=self.pool_state.pool,
                    worker=worker.worker_id,
                    life=worker.listed.incarnation,
                    vm=worker.listed.vm,
                    runs=len(worker.runs),
                    **attrs.asdict(self.pool_state.end_positions(worker)),
                )

    def _select_ended(self, listed: Iterable[tuple[str, int]]) -> list[tuple[str, int]]:
        """Return those of the workers that are listed as ended that cannot live on."""
        ended: list[tuple[str, int]] = []
        doubted: set[tuple[str, int]] = set()
        for worker_id, incarnation in listed:
            worker = self.pool_state.workers.get(worker_id)
            if worker is None or worker.ended or not may_live(worker):
                ended.append((worker_id, incarnation))
                continue
            doubted.add((worker_id, incarnation))
            if (worker_id, incarnation) not in self.doubted:
                self.context.log.write(
                    "worker-end-doubted",
                    pool=self.pool_state.pool,
                    worker=worker_id,
                    life=incarnation,
                    reason="silent" if worker.silent else "answers",
                )
        self.doubted = doubted
        return ended

    def build_report(self) -> pb.PoolReport:
        """Return a report of the pool's current state."""
        pool_state = self.pool_state
        needed = needed_workers(pool_state, pool_state.workers)
        reservation = reserve_workers(pool_state, self.context.clock.now())
        waiting = sum(
            remaining_work(pool_state, pool_state.jobs[job_id])
            for job_id in pool_state.ready
            if not pool_state.jobs[job_id].spec.lasting
            and pool_state.may_start(pool_state.jobs[job_id])
        )
        used = sum(worker.used.cpu_millicores for worker in pool_state.workers.values())
        return pb.PoolReport(
            pool=pool_state.pool,
            token=pool_state.token,
            workers=[
                pb.WorkerReport(
                    vm=worker.listed.vm,
                    worker=worker.worker_id,
                    timed_runs=sum(1 for run in worker.runs.values() if not self._is_lasting(run)),
                    # A worker that lasting tasks need counts as one with such a task.
                    lasting_runs=max(
                        sum(1 for run in worker.runs.values() if self._is_lasting(run)),
                        int(worker.worker_id in needed),
                    ),
                    # A VM may be taken from a cordoned worker without runs. Until its first hold
                    # is answered, the owner does not know the worker's runs; until their ends are
                    # stored, the next owner can learn them only from the worker.
                    cordoned=worker.cordoned and worker.reconciled and worker.ends_stored,
                    rack=worker.listed.rack,
                    incarnation=worker.listed.incarnation,
                    unreconciled=worker.worker_id in pool_state.unreconciled_workers,
                    needed=worker.worker_id in reservation.workers,
                )
                for worker in pool_state.workers.values()
                if worker.present
                or worker.runs
                or worker.worker_id in pool_state.unreconciled_workers
            ]
            + [
                pb.WorkerReport(
                    worker=name,
                    vm=self.roster.inherited[name].vm,
                    incarnation=0,
                    unreconciled=True,
                )
                for name in pool_state.unreconciled_workers
                if name not in pool_state.workers and name in self.roster.inherited
            ],
            waiting_core_seconds=waiting,
            running_cores=used / 1000,
            room_cores=pool_capacity(pool_state).cpu_millicores / 1000,
            ready_cores=ready_cores(pool_state),
            least_workers=max(least_workers(pool_state), reservation.least_workers),
            refused_core_seconds=self.refused_work.total(self.context.clock.now()),
            lasting_cores=sum(
                run.charge.cpu_millicores
                for run in pool_state.runs.values()
                if self._is_lasting(run)
            )
            / 1000,
            arriving_cores=self.arriving_work.cores(self.context.clock.now()),
        )

    def _is_lasting(self, run) -> bool:
        job = self.pool_state.jobs.get(run.task.job_id)
        return job is not None and job.step_of(run.task).lasting


async def ask_planner(
    peers: PeerCaller, address: str | None, report: pb.PoolReport, context: DaemonContext
) -> pb.PoolPlan | None:
    """Send a report to the planner in another daemon; return None if there is no answer.

    :param address: ``host:port`` of that daemon, None if there is no planner
    """
    if address is None:
        return None
    try:
        return await peers.call(address, "ReportPool", report)
    except PeerError as error:
        context.log.write("planner-silent", pool=report.pool, reason=str(error))
        return None
