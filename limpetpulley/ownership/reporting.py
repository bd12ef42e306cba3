"""What a pool's owner tells the fleet's planner, and what it does about the answer."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable, Iterable

import anyio

from ..exception import PeerError
from ..peer import PeerCaller
from ..peer import batch_pb2 as pb
from ..pool import PoolState
from ..pool.queue_forecast import least_workers, pool_capacity, ready_cores, remaining_work
from ..scheduling.arrivals import ArrivalEstimator
from .around import Around
from .roster import RosterKeeper

__all__ = ["PoolReporter", "RefusedWork"]

#: time between two reports, in seconds: of a pool whose VMs should change or that has no planner,
#: and of any other
SOON_SECONDS = 0.1
REPORT_SECONDS = 0.25
#: part of a pool's room that demand takes when more VMs may be wanted soon
BUSY_PART = 0.6
#: time without the planner's answer after which no VM is emptied any more, in seconds
PLAN_SECONDS = 3.0
#: time over which refused work is counted, in seconds
REFUSED_SECONDS = 1.0


class RefusedWork:
    """Work that was refused lately; a job that comes back counts once."""

    def __init__(self) -> None:
        self.rows: deque[tuple[float, str, float]] = deque()

    def note(self, now: float, job_id: str, core_seconds: float) -> None:
        """Note a refused job."""
        self.rows.append((now, job_id, core_seconds))

    def total(self, now: float) -> float:
        """Return the core-seconds that were refused lately."""
        while self.rows and self.rows[0][0] < now - REFUSED_SECONDS:
            self.rows.popleft()
        return sum({job_id: work for _, job_id, work in self.rows}.values())


class PoolReporter:
    """Tells the planner how a pool is doing.

    :param arriving: work that is handed in
    :param roster: workers that may hold runs of an earlier owner
    :param ask: sends a report to the planner, wherever it is; returns None if there is none
    :param changed: called when the book has changed
    """

    def __init__(
        self,
        around: Around,
        book: PoolState,
        refused: RefusedWork,
        arriving: ArrivalEstimator,
        roster: RosterKeeper,
        ask: Callable[[pb.PoolReport], Awaitable[pb.PoolPlan | None]],
        changed: Callable[[], None],
    ):
        self.around = around
        self.book = book
        self.refused = refused
        self.arriving = arriving
        self.roster = roster
        self.ask = ask
        self.changed = changed
        self.answered_at = around.clock.now()

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            report = self.make_report()
            plan = await self.ask(report)
            now = self.around.clock.now()
            if plan is not None and plan.outcome == pb.ACCEPTED:
                self.answered_at = now
                self.book.expected_join_times = [now + seconds for seconds in plan.coming_seconds]
                self.use_plan(set(plan.cordoned_workers), plan.ended_workers)
            elif now - self.answered_at > PLAN_SECONDS:
                self.book.expected_join_times = []
                self.use_plan(set(), ())
            demand = max(report.running_cores, report.lasting_cores + report.arriving_cores)
            changes = self.book.expected_join_times or any(row.cordoned for row in report.workers)
            soon = plan is None or changes or demand > BUSY_PART * report.room_cores
            await anyio.sleep(SOON_SECONDS if soon else REPORT_SECONDS)

    def use_plan(self, emptied: set[str], ended: Iterable[str]) -> None:
        """Start nothing more on workers that are to be emptied; drop the runs of ended ones."""
        for worker_id in ended:
            self.book.unreconciled_workers.pop(worker_id, None)
            worker = self.book.workers.get(worker_id)
            if worker is not None and not worker.ended:
                worker.ended = True
                self.book.handle_worker_restart(worker, "vm-ordered")
                self.changed()
        for worker in self.book.workers.values():
            cordoned = worker.worker_id in emptied or worker.ended
            if cordoned != worker.cordoned:
                worker.cordoned = cordoned
                self.around.log.write(
                    "worker-cordoned" if cordoned else "worker-uncordoned",
                    pool=self.book.pool,
                    worker=worker.worker_id,
                    vm=worker.listed.vm,
                    runs=len(worker.runs),
                )

    def make_report(self) -> pb.PoolReport:
        """Return the report of now."""
        book = self.book
        waiting = sum(
            remaining_work(book, book.jobs[job_id])
            for job_id in book.ready
            if not book.jobs[job_id].spec.lasting and book.may_start(book.jobs[job_id])
        )
        used = sum(worker.used.cpu_millicores for worker in book.workers.values())
        return pb.PoolReport(
            pool=book.pool,
            token=book.token,
            workers=[
                pb.WorkerReport(
                    vm=worker.listed.vm,
                    worker=worker.worker_id,
                    timed_runs=sum(1 for run in worker.runs.values() if not self._lasts(run)),
                    lasting_runs=sum(1 for run in worker.runs.values() if self._lasts(run)),
                    # Before its first hold an owner does not know what runs there.
                    cordoned=worker.cordoned and worker.reconciled,
                    rack=worker.listed.rack,
                )
                for worker in book.workers.values()
                if worker.present or worker.runs or worker.worker_id in book.unreconciled_workers
            ]
            + [
                pb.WorkerReport(worker=name, vm=self.roster.inherited[name].vm, cordoned=True)
                for name in book.unreconciled_workers
                if name not in book.workers and name in self.roster.inherited
            ],
            waiting_core_seconds=waiting,
            running_cores=used / 1000,
            room_cores=pool_capacity(book).cpu_millicores / 1000,
            ready_cores=ready_cores(book),
            least_workers=least_workers(book),
            refused_core_seconds=self.refused.total(self.around.clock.now()),
            lasting_cores=sum(
                run.charge.cpu_millicores for run in book.runs.values() if self._lasts(run)
            )
            / 1000,
            arriving_cores=self.arriving.cores(self.around.clock.now()),
        )

    def _lasts(self, run) -> bool:
        job = self.book.jobs.get(run.task.job_id)
        return job is not None and job.step_of(run.task).lasting


async def ask_planner(
    peers: PeerCaller, address: str | None, report: pb.PoolReport, around: Around
) -> pb.PoolPlan | None:
    """Send a report to a planner in another daemon; return None if there is no answer."""
    if address is None:
        return None
    try:
        return await peers.call(address, "ReportPool", report)
    except PeerError as error:
        around.log.write("planner-silent", pool=report.pool, reason=str(error))
        return None
