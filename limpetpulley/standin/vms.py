"""VMs in memory that move between pools and are maintained, for tests and the demonstration."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import attrs

from ..batch import Amount
from ..clock import Clock
from ..fleet.vms import FleetVm, Holder, OrderOutcome, Phase, WaveOrder
from ..workers import ListedWorker, StartOrder
from .workers import MemoryWorker, MemoryWorkers, TaskPlan

__all__ = ["MemoryVms"]


@attrs.define(eq=False)
class _Vm:
    name: str
    pool: str
    rack: str
    phase: Phase = Phase.DOWN
    worker_id: str = ""
    lives: int = 0


class MemoryVms:
    """Lists VMs, carries orders for them out, and lets workers join.

    :param off: pools whose VMs are off
    :param capacity: room of each worker
    :param changed: called with all workers whenever one joins or leaves
    :param seconds: time that a move or maintenance takes
    :param order_seconds: time until an order is answered
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        clock: Clock,
        workers: MemoryWorkers,
        plan: Callable[[StartOrder], TaskPlan],
        off: frozenset[str],
        capacity: Amount,
        changed: Callable[[dict[str, ListedWorker]], None],
        seconds: float = 1.5,
        order_seconds: float = 0.0,
    ):
        self.tasks = tasks
        self.clock = clock
        self.workers = workers
        self.plan = plan
        self.off = off
        self.capacity = capacity
        self.changed = changed
        self.seconds = seconds
        self.order_seconds = order_seconds
        self.vms: dict[str, _Vm] = {}
        self.listed: dict[str, ListedWorker] = {}
        self.waves: dict[str, WaveOrder] = {}
        self.maintained: dict[str, set[str]] = {}
        self.most_down = 0
        self.ended_runs = 0
        self.moves = 0
        self.started: Callable[[str, StartOrder], None] = lambda worker, order: None

    def add(self, name: str, pool: str, rack: str) -> None:
        """Add a VM that is up."""
        vm = self.vms[name] = _Vm(name, pool, rack)
        self._join(vm)

    async def list_vms(self) -> list[FleetVm]:
        """Return all VMs."""
        cores = self.capacity.cpu_millicores / 1000
        return [
            FleetVm(vm.name, vm.pool, vm.phase, vm.worker_id, vm.rack, "", cores)
            for vm in self.vms.values()
        ]

    async def move(self, vm: str, pool: str, holder: Holder) -> OrderOutcome:
        """Move a VM to a pool."""
        await anyio.sleep(self.order_seconds)
        found = self.vms[vm]
        if found.phase is not Phase.UP:
            return OrderOutcome.BUSY
        if found.pool != pool:
            self.moves += 1
            self._leave(found, Phase.MOVING)
            found.pool = pool
        return OrderOutcome.DONE

    async def maintain(self, vm: str, wave: str, holder: Holder) -> OrderOutcome:
        """Begin a VM's maintenance."""
        await anyio.sleep(self.order_seconds)
        found = self.vms[vm]
        done = self.maintained.setdefault(wave, set())
        if vm in done:
            return OrderOutcome.DONE
        if found.phase is not Phase.UP:
            return OrderOutcome.BUSY
        done.add(vm)
        self._leave(found, Phase.MAINTENANCE)
        down = sum(1 for each in self.vms.values() if each.phase is Phase.MAINTENANCE)
        self.most_down = max(self.most_down, down)
        return OrderOutcome.DONE

    def _leave(self, vm: _Vm, phase: Phase) -> None:
        vm.phase = phase
        worker = self.workers.workers.pop(vm.worker_id, None)
        if worker is not None:
            worker.advance()
            self.ended_runs += len(worker.runs)
        if self.listed.pop(vm.worker_id, None) is not None:
            self.changed(dict(self.listed))
        vm.worker_id = ""
        self.tasks.start_soon(self._return, vm)

    async def _return(self, vm: _Vm) -> None:
        await anyio.sleep(self.seconds)
        self._join(vm)

    def _join(self, vm: _Vm) -> None:
        vm.phase = Phase.UP
        if vm.pool in self.off:
            return
        vm.lives += 1
        vm.worker_id = f"{vm.name}-{vm.lives}"
        listed = ListedWorker(
            vm.worker_id, vm.pool, f"{vm.worker_id}:1", 1, self.capacity, vm.name, vm.rack
        )
        self.workers.add(MemoryWorker(listed, self.clock, self.plan, self.started))
        self.listed[vm.worker_id] = listed
        self.changed(dict(self.listed))
