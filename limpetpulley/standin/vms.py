"""Emulator of VMs that are moved between pools and maintained, for tests and the demonstration."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import attrs

from ..batch import Amount
from ..clock import Clock
from ..fleet.vms import FleetVm, Holder, OrderOutcome, Phase, WaveOrder
from ..workers import ListedWorker, StartOrder
from .workers import MemoryWorker, MemoryWorkers, RunPlan

__all__ = ["MemoryVms"]


@attrs.define(eq=False)
class _Vm:
    name: str
    pool: str
    rack: str
    phase: Phase = Phase.DOWN
    worker_id: str = ""
    incarnations: int = 0


class MemoryVms:
    """A :class:`~limpetpulley.fleet.vms.VmPlatform` in memory, which starts a worker on each VM.

    :param workers: workers of the VMs that are up
    :param plan_run: returns the plan of a run
    :param standby_pools: standby pools, whose VMs run no worker
    :param capacity: capacity of each worker
    :param on_workers_changed: called with all workers whenever one joins or leaves
    :param transition_seconds: duration of a move or of maintenance, in seconds
    :param order_seconds: time until an order is answered, in seconds
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        clock: Clock,
        workers: MemoryWorkers,
        plan_run: Callable[[StartOrder], RunPlan],
        standby_pools: frozenset[str],
        capacity: Amount,
        on_workers_changed: Callable[[dict[str, ListedWorker]], None],
        transition_seconds: float = 1.5,
        order_seconds: float = 0.0,
    ):
        self.tasks = tasks
        self.clock = clock
        self.workers = workers
        self.plan_run = plan_run
        self.standby_pools = standby_pools
        self.capacity = capacity
        self.on_workers_changed = on_workers_changed
        self.transition_seconds = transition_seconds
        self.order_seconds = order_seconds
        self.vms: dict[str, _Vm] = {}
        self.listed_workers: dict[str, ListedWorker] = {}
        self.waves: dict[str, WaveOrder] = {}
        self.maintained_vms: dict[str, set[str]] = {}
        self.most_down = 0
        self.interrupted_runs = 0
        self.moves = 0
        self.on_run_started: Callable[[str, StartOrder], None] = lambda worker_id, order: None

    def add(self, name: str, pool: str, rack: str) -> None:
        """Add a VM and bring it up."""
        vm = self.vms[name] = _Vm(name, pool, rack)
        self._bring_up(vm)

    async def list_vms(self) -> list[FleetVm]:
        """Return all VMs."""
        cores = self.capacity.cpu_millicores / 1000
        return [
            FleetVm(vm.name, vm.pool, vm.phase, vm.worker_id, vm.rack, "", cores)
            for vm in self.vms.values()
        ]

    async def move(self, vm: str, pool: str, holder: Holder) -> OrderOutcome:
        """Move a VM to a pool; the runs of its worker end at once."""
        await anyio.sleep(self.order_seconds)
        moved = self.vms[vm]
        if moved.phase is not Phase.UP:
            return OrderOutcome.BUSY
        if moved.pool != pool:
            self.moves += 1
            self._take_down(moved, Phase.MOVING)
            moved.pool = pool
        return OrderOutcome.DONE

    async def maintain(self, vm: str, wave: str, holder: Holder) -> OrderOutcome:
        """Start a VM's maintenance; the runs of its worker end at once."""
        await anyio.sleep(self.order_seconds)
        ordered = self.vms[vm]
        done = self.maintained_vms.setdefault(wave, set())
        if vm in done:
            return OrderOutcome.DONE
        if ordered.phase is not Phase.UP:
            return OrderOutcome.BUSY
        done.add(vm)
        self._take_down(ordered, Phase.MAINTENANCE)
        down = sum(1 for other in self.vms.values() if other.phase is Phase.MAINTENANCE)
        self.most_down = max(self.most_down, down)
        return OrderOutcome.DONE

    def crash(self, worker_id: str, down_seconds: float) -> None:
        """Crash a worker; its VM comes up again later, with another worker.

        :param down_seconds: time until the VM is up again, in seconds
        """
        for vm in self.vms.values():
            if vm.worker_id == worker_id:
                self.workers.workers[worker_id].crash()
                self._take_down(vm, Phase.DOWN, down_seconds)

    def _take_down(self, vm: _Vm, phase: Phase, seconds: float | None = None) -> None:
        """Take a VM down.

        :param seconds: time until it is up again, None for the usual duration of a transition
        """
        vm.phase = phase
        worker = self.workers.workers.pop(vm.worker_id, None)
        if worker is not None:
            worker.advance()
            if phase is not Phase.DOWN:
                self.interrupted_runs += len(worker.runs)
        if self.listed_workers.pop(vm.worker_id, None) is not None:
            self.on_workers_changed(dict(self.listed_workers))
        vm.worker_id = ""
        delay = self.transition_seconds if seconds is None else seconds
        self.tasks.start_soon(self._bring_up_later, vm, delay)

    async def _bring_up_later(self, vm: _Vm, seconds: float) -> None:
        await anyio.sleep(seconds)
        self._bring_up(vm)

    def _bring_up(self, vm: _Vm) -> None:
        vm.phase = Phase.UP
        if vm.pool in self.standby_pools:
            return
        vm.incarnations += 1
        vm.worker_id = f"{vm.name}-{vm.incarnations}"
        listed = ListedWorker(
            vm.worker_id, vm.pool, f"{vm.worker_id}:1", 1, self.capacity, vm.name, vm.rack
        )
        self.workers.add(MemoryWorker(listed, self.clock, self.plan_run, self.on_run_started))
        self.listed_workers[vm.worker_id] = listed
        self.on_workers_changed(dict(self.listed_workers))
