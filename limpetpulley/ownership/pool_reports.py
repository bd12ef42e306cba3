"""The pools' reports to the fleet planner, and what they say about workers, VMs and loads."""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from ..fleet.demand import PoolLoad
from ..fleet.vms import FleetVm, Phase
from ..peer import batch_pb2 as pb
from .context import DaemonContext
from .failures import describe_error
from .vm_inventory import MOVE_REASON, VmInventory
from .vmorders import LIST_LAG_SECONDS

__all__ = ["PoolReports"]

#: age of a pool's report above which the pool's VMs are left as they are, in seconds
MAX_REPORT_AGE_SECONDS = 2.5


@attrs.define
class _Report:
    """A pool's latest report.

    :param by_worker: its rows, by worker
    :param first_reported_at: when each incarnation of a worker in it was first reported, by local
        time
    :param reported_by_owner_at: the same for reports of this owner only
    """

    message: pb.PoolReport
    received_at: float
    by_worker: dict[str, pb.WorkerReport]
    first_reported_at: dict[tuple[str, int], float]
    reported_by_owner_at: dict[tuple[str, int], float]

    def known_since(self, row: pb.WorkerReport) -> float:
        """Return the local time up to which a list of VMs may show an earlier incarnation.

        An earlier owner may have started runs in a later incarnation than this owner knows, as long
        as the worker has not replied to this one.
        """
        times = self.reported_by_owner_at if row.unreconciled else self.first_reported_at
        return times[row.worker, row.incarnation]


class PoolReports:
    """The latest report of each pool, compared with the list of VMs.

    :param inventory: the planner's VMs
    """

    def __init__(self, context: DaemonContext, inventory: VmInventory):
        self.context = context
        self.inventory = inventory
        self.latest: dict[str, _Report] = {}
        # Incarnations of workers in each pool's latest report that had ended by the list of VMs.
        self.ended: dict[str, set[tuple[str, int]]] = {}
        # Errors that were logged, by pool.
        self.faults: dict[str, str] = {}

    def record(self, message: pb.PoolReport) -> bool:
        """Record a pool's report; return False if it is from an owner that was replaced."""
        previous = self.latest.get(message.pool)
        if previous is not None and message.token < previous.message.token:
            return False
        now = self.context.clock.now()
        incarnations = [(row.worker, row.incarnation) for row in message.workers]
        known = previous.first_reported_at if previous is not None else {}
        by_owner = (
            previous.reported_by_owner_at
            if previous is not None and previous.message.token == message.token
            else {}
        )
        self.latest[message.pool] = _Report(
            message,
            now,
            {row.worker: row for row in message.workers},
            {incarnation: known.get(incarnation, now) for incarnation in incarnations},
            {incarnation: by_owner.get(incarnation, now) for incarnation in incarnations},
        )
        return True

    def judge_ended(self, message: pb.PoolReport, token: int) -> list[pb.WorkerReport]:
        """Return the rows of a pool's latest report whose workers have ended; log the new ones.

        :param token: the planner's fencing token
        """
        now, told = self.context.clock.now(), self.ended.get(message.pool, set())
        report, ended = self.latest[message.pool], []
        for row in message.workers:
            reason = self.end_reason(message.pool, row)
            if not reason:
                continue
            ended.append(row)
            incarnation = (row.worker, row.incarnation)
            if incarnation in told:
                continue
            vm = self.inventory.vms.get(row.vm)
            self.context.log.write(
                "worker-ended",
                worker=row.worker,
                life=row.incarnation,
                vm=row.vm,
                reason=reason,
                listed_worker=vm.worker_id if vm is not None else "",
                list_age=round(now - self.inventory.listed_at, 3),
                reported_for=round(now - report.known_since(row), 3),
                token=token,
                pool=message.pool,
                pool_token=message.token,
            )
        self.ended[message.pool] = {(row.worker, row.incarnation) for row in ended}
        return ended

    def end_reason(self, pool: str, row: pb.WorkerReport) -> str:
        """Return by what an incarnation of a worker in a pool's latest report has ended, or "".

        It has if a list that is newer than the incarnation shows its VM as down, moved or
        maintained (its phase), or with another worker (``other-worker``, ``standby``), or if lists
        lack its VM for some time (``not-listed``). A report without the incarnation does not tell
        that, nor does a row of its VM that cannot be read.
        """
        known_since = self.latest[pool].known_since(row)
        if (
            not row.vm
            or not row.HasField("incarnation")
            or self.inventory.listed_at <= known_since + LIST_LAG_SECONDS
        ):
            # A list that is older than the worker still shows the previous worker of the VM.
            return ""
        vm = self.inventory.vms.get(row.vm)
        if vm is None:
            return "not-listed" if self.inventory.is_gone(row.vm) else ""
        if vm.phase in (Phase.MOVING, Phase.MAINTENANCE, Phase.DOWN):
            return vm.phase.value
        pool_config = self.context.config.pools.get(vm.pool) if self.context.config else None
        standby = pool_config is not None and pool_config.standby
        if vm.phase is not Phase.UP or vm.worker_id == row.worker:
            return ""
        if vm.worker_id:
            return "other-worker"
        return "standby" if standby else ""

    def note_fault(self, pool: str, error: Exception) -> None:
        """Log an error about a pool's report, once until it changes."""
        if self.faults.get(pool) != repr(error):
            self.faults[pool] = repr(error)
            self.context.log.write("report-fault", pool=pool, **describe_error(error))

    def loads(self, idle_vms: Iterable[FleetVm], now: float) -> dict[str, PoolLoad]:
        """Return the load of each pool that has a recent report and is not a standby pool.

        :param idle_vms: VMs that are up and have no order in progress
        :param now: local time, in seconds
        """
        config = self.context.config
        if config is None:
            return {}
        in_maintenance = {
            vm for vm, reason in self.inventory.draining.items() if reason != MOVE_REASON
        }
        by_pool: dict[str, list[FleetVm]] = {}
        for vm in idle_vms:
            if vm.name not in in_maintenance:
                by_pool.setdefault(vm.pool, []).append(vm)
        loads = {}
        for pool, pool_config in config.pools.items():
            report = self.latest.get(pool)
            if (
                pool_config.standby
                or report is None
                or now - report.received_at > MAX_REPORT_AGE_SECONDS
            ):
                continue
            load = self._make_load(report.message, by_pool.get(pool, []))
            numbers = (*attrs.astuple(load), load.capacity_cores, load.required_cores)
            if all(math.isfinite(number) for number in numbers):
                loads[pool] = load
            else:
                self.note_fault(pool, ValueError(f"a load is not finite: {numbers}"))
        return loads

    def _make_load(self, message: pb.PoolReport, vms: list[FleetVm]) -> PoolLoad:
        # For a pool without VMs, the mean size of all VMs is assumed.
        sizes = [vm.cores for vm in vms or self.inventory.readable_vms()]
        return PoolLoad(
            sum(sizes) / max(1, len(sizes)),
            message.running_cores,
            message.waiting_core_seconds,
            message.ready_cores,
            message.refused_core_seconds,
            len(vms),
            message.least_workers,
            message.lasting_cores,
            message.arriving_cores,
            sum(1 for vm in vms if self.is_needed(vm)),
        )

    def worker_report(self, vm: FleetVm) -> pb.WorkerReport | None:
        """Return the latest report about a VM's worker, or None."""
        report = self.latest.get(vm.pool)
        return report.by_worker.get(vm.worker_id) if report else None

    def is_needed(self, vm: FleetVm) -> bool:
        """Return whether its pool's jobs need a VM's worker, so that the VM is not to be moved."""
        row = self.worker_report(vm)
        return row is not None and row.needed

    def is_drained(self, vm: FleetVm, now: float) -> bool:
        """Return whether a recent report shows a VM's worker cordoned and without runs.

        Owners report a worker as cordoned only while the ends of its runs are stored.

        :param now: local time, in seconds
        """
        if not vm.worker_id:
            return True
        report, row = self.latest.get(vm.pool), self.worker_report(vm)
        if report is None or row is None or now - report.received_at > MAX_REPORT_AGE_SECONDS:
            return False
        cordon_sent_at = self.inventory.cordon_sent_at
        # A report from before the request to cordon may describe an earlier cordon, since lifted.
        if vm.name not in cordon_sent_at or report.received_at <= cordon_sent_at[vm.name]:
            return False
        return row.cordoned and not row.timed_runs and not row.lasting_runs

    def may_remove(self, vm: FleetVm) -> bool:
        """Return whether a VM may be moved or maintained: it is drained, or its worker changed.

        A VM whose worker is needed may be maintained, since it comes back to its pool.
        """
        if self.inventory.draining.get(vm.name) == MOVE_REASON and self.is_needed(vm):
            return False
        listed = self.inventory.vms.get(vm.name)
        # A list that lacks the VM does not tell that its worker has changed, nor an unreadable row.
        if listed is None or listed.phase is Phase.UNKNOWN or listed.worker_id == vm.worker_id:
            return self.is_drained(vm, self.context.clock.now())
        return True
