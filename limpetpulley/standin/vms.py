"""Emulator of VMs that are moved between pools and maintained, for tests and the demonstration."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import anyio
import attrs

from ..address import Address
from ..batch import Amount
from ..clock import Clock
from ..fleet.vms import FleetVm, Holder, OrderOutcome, Phase, WaveOrder
from ..workers import ListedWorker, StartOrder
from .workers import MemoryWorker, MemoryWorkers, RunPlan

__all__ = ["MemoryVms"]

#: time for which earlier lists are kept, in seconds
LIST_HISTORY_SECONDS = 5.0
#: port in the address of the first worker
FIRST_PORT = 1024


@attrs.define(eq=False)
class _Vm:
    name: str
    pool: str
    rack: str
    phase: Phase = Phase.DOWN
    worker_id: str = ""
    incarnations: int = 0
    labels: frozenset[str] = frozenset()


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
        self.ports = itertools.count(FIRST_PORT)
        self.most_down = 0
        self.interrupted_runs = 0
        self.moves = 0
        self.on_run_started: Callable[[str, StartOrder], None] = lambda worker_id, order: None
        self.make_worker_clock: Callable[[], Clock] = lambda: clock
        self.hidden_workers: set[str] = set()
        # Returns the age of the next list, in seconds.
        self.choose_list_age: Callable[[], float] = lambda: 0.0
        self.past_lists: list[tuple[float, list[FleetVm]]] = []

    def add(self, name: str, pool: str, rack: str) -> None:
        """Add a VM and bring it up."""
        vm = self.vms[name] = _Vm(name, pool, rack)
        self._bring_up(vm)

    def set_labels(self, name: str, labels: frozenset[str]) -> None:
        """Set the labels of a VM's workers, also of the one that runs now."""
        vm = self.vms[name]
        vm.labels = labels
        listed = self.listed_workers.get(vm.worker_id)
        if listed is not None:
            listed = attrs.evolve(listed, labels=labels)
            self.listed_workers[vm.worker_id] = self.workers.workers[vm.worker_id].listed = listed
            self.on_workers_changed(self.visible_workers())

    async def list_vms(self) -> list[FleetVm]:
        """Return all VMs, as they were a moment ago if lists lag."""
        shown_at = self.clock.now() - self.choose_list_age()
        if self.past_lists and self.past_lists[0][0] <= shown_at < self.past_lists[-1][0]:
            return [vms for at, vms in self.past_lists if at <= shown_at][-1]
        return self._current_list()

    def visible_workers(self) -> dict[str, ListedWorker]:
        """Return the workers whose entries have not expired."""
        return {
            name: worker
            for name, worker in self.listed_workers.items()
            if name not in self.hidden_workers
        }

    def hide(self, worker_id: str) -> None:
        """Let a worker's entry expire although the worker lives."""
        self.hidden_workers.add(worker_id)
        self.on_workers_changed(self.visible_workers())

    def show(self, worker_id: str) -> None:
        """List a hidden worker again."""
        self.hidden_workers.discard(worker_id)
        self.on_workers_changed(self.visible_workers())

    def _current_list(self) -> list[FleetVm]:
        cores = self.capacity.cpu_millicores / 1000
        return [
            FleetVm(vm.name, vm.pool, vm.phase, vm.worker_id, vm.rack, "", cores, labels=vm.labels)
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

    def crash(
        self,
        worker_id: str,
        down_seconds: float,
        entry_seconds: float = 0.0,
        same_identifier: bool = False,
    ) -> None:
        """Crash a worker; its VM comes up again later, with another worker.

        :param down_seconds: time until the VM is up again, in seconds
        :param entry_seconds: time until the worker's entry expires, in seconds
        :param same_identifier: whether the next worker has the same identifier, as a new
            incarnation
        """
        for vm in self.vms.values():
            if vm.worker_id == worker_id:
                old = self.workers.workers[worker_id].listed if same_identifier else None
                self._take_down(vm, Phase.DOWN, down_seconds, entry_seconds, old)

    def restart(self, worker_id: str, entry_seconds: float) -> None:
        """Restart a worker at once under its identifier, as a new incarnation.

        :param entry_seconds: time until its entry tells of the new incarnation, in seconds
        """
        old = self.workers.workers[worker_id]
        old.advance()
        old.crash()
        listed = attrs.evolve(old.listed, incarnation=old.listed.incarnation + 1)
        self._add_worker(listed)
        self.tasks.start_soon(self._list_later, listed, entry_seconds)

    async def _list_later(self, listed: ListedWorker, seconds: float) -> None:
        await anyio.sleep(seconds)
        worker = self.workers.workers.get(listed.worker_id)
        if worker is not None and worker.listed.incarnation == listed.incarnation:
            self.listed_workers[listed.worker_id] = worker.listed
            self.on_workers_changed(self.visible_workers())

    def drain(self, worker_id: str, seconds: float, down_seconds: float) -> None:
        """Drain a worker, which leaves after a time in seconds; its VM comes up again later."""
        listed = attrs.evolve(self.listed_workers[worker_id], draining=True)
        self.listed_workers[worker_id] = self.workers.workers[worker_id].listed = listed
        self.on_workers_changed(self.visible_workers())
        self.tasks.start_soon(self._crash_later, worker_id, seconds, down_seconds)

    async def _crash_later(self, worker_id: str, seconds: float, down_seconds: float) -> None:
        await anyio.sleep(seconds)
        self.crash(worker_id, down_seconds)

    def _take_down(
        self,
        vm: _Vm,
        phase: Phase,
        seconds: float | None = None,
        entry_seconds: float = 0.0,
        successor_of: ListedWorker | None = None,
    ) -> None:
        """Take a VM down.

        :param seconds: time until it is up again, None for the usual duration of a transition
        :param entry_seconds: time until the worker's entry expires, in seconds
        :param successor_of: worker whose identifier the next one has, None for a new identifier
        """
        vm.phase = phase
        worker = self.workers.workers.pop(vm.worker_id, None)
        if worker is not None:
            worker.advance()
            if phase is not Phase.DOWN:
                self.interrupted_runs += len(worker.runs)
            worker.crash(phase.value)
        entry = self.listed_workers.get(vm.worker_id)
        if entry is not None and entry_seconds:
            self.tasks.start_soon(self._expire_later, entry, entry_seconds)
        elif entry is not None:
            self._expire(entry)
        vm.worker_id = ""
        self._record_list()
        delay = self.transition_seconds if seconds is None else seconds
        self.tasks.start_soon(self._bring_up_later, vm, delay, successor_of)

    async def _expire_later(self, entry: ListedWorker, seconds: float) -> None:
        await anyio.sleep(seconds)
        self._expire(entry)

    def _expire(self, entry: ListedWorker) -> None:
        """Remove a worker's entry unless a newer incarnation has replaced it."""
        if self.listed_workers.get(entry.worker_id) is entry:
            del self.listed_workers[entry.worker_id]
            self.on_workers_changed(self.visible_workers())

    async def _bring_up_later(
        self, vm: _Vm, seconds: float, successor_of: ListedWorker | None
    ) -> None:
        await anyio.sleep(seconds)
        self._bring_up(vm, successor_of)

    def _bring_up(self, vm: _Vm, successor_of: ListedWorker | None = None) -> None:
        vm.phase = Phase.UP
        if vm.pool in self.standby_pools:
            self._record_list()
            return
        if successor_of is not None:
            listed = attrs.evolve(
                successor_of, incarnation=successor_of.incarnation + 1, draining=False
            )
        else:
            vm.incarnations += 1
            worker_id = f"{vm.name}-{vm.incarnations}"
            listed = ListedWorker(
                worker_id,
                vm.pool,
                self._make_address(),
                1,
                self.capacity,
                vm.name,
                vm.rack,
                labels=vm.labels,
            )
        vm.worker_id = listed.worker_id
        self._add_worker(listed)
        self.listed_workers[vm.worker_id] = listed
        self._record_list()
        self.on_workers_changed(self.visible_workers())

    def _add_worker(self, listed: ListedWorker) -> None:
        self.workers.add(
            MemoryWorker(listed, self.make_worker_clock(), self.plan_run, self.on_run_started)
        )

    def _make_address(self) -> Address:
        """Return an address that no other worker has; nothing listens on it."""
        return Address(f"127.0.0.1:{next(self.ports)}")

    def _record_list(self) -> None:
        now = self.clock.now()
        self.past_lists = [
            *(each for each in self.past_lists if each[0] >= now - LIST_HISTORY_SECONDS),
            (now, self._current_list()),
        ]
