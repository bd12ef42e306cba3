"""The planner: carries out the decisions on the fleet, on one daemon at a time."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Set
from datetime import UTC, datetime
from typing import Any

import anyio
import attrs
from absl import logging

from ..clock import Clock
from ..config import Budget, Change, ConfigReplica, Pool, Vm, VmPhase, Wave, WaveState
from ..config.writer import ConfigWriter
from ..exception import ConflictError, InvalidConfig, PlatformError, StoreError
from ..keyspace import Keyspace
from ..metrics import Metrics
from ..routing import EndpointSet
from ..store import Compare, Put, Store
from ..vms import VmControl, VmState
from .decide import decide
from .moves import SHORTAGE_UTILIZATION, SURPLUS_UTILIZATION
from .state import FleetState, PoolDemand, Step, StepKind, VmStatus

__all__ = ["FleetPlanner", "VmObservation", "apply_step"]

PLAN_INTERVAL_SECONDS = 0.5
STANDBY_INTERVAL_SECONDS = 2.0
LEASE_SECONDS = 5.0
RENEW_AFTER_SECONDS = 1.5
MAX_LIST_AGE_SECONDS = 10.0


@attrs.define
class VmObservation:
    """Observations of a VM since its phase began.

    :param since: local time since which it has been observed in this phase
    :param was_down: whether it was observed not to be live
    """

    phase: VmPhase
    since: float
    was_down: bool = False


@attrs.define
class _DemandPeriods:
    shortage_since: float = math.inf
    surplus_since: float = math.inf


class FleetPlanner:
    """Observes the fleet, and plans it while it holds the planner's lease.

    Every change is written by a compare-and-swap that also compares the planner's key, so a planner
    that was paused beyond the end of its lease changes nothing when it resumes.

    :param name: this daemon's name
    :param vm_control: the platform's interface for rebooting VMs and stopping their tasks
    :param idle: returns whether no daemon runs a job on a VM, as of a revision of its record
    :param demand: returns the running and waiting jobs of a pool, over all daemons
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        store: Store,
        keyspace: Keyspace,
        replica: ConfigReplica,
        writer: ConfigWriter,
        endpoints: EndpointSet,
        vm_control: VmControl,
        metrics: Metrics,
        idle: Callable[[str, int], bool],
        demand: Callable[[str], tuple[int, int]],
    ):
        self.name = name
        self.clock = clock
        self.store = store
        self.keyspace = keyspace
        self.replica = replica
        self.writer = writer
        self.endpoints = endpoints
        self.vm_control = vm_control
        self.metrics = metrics
        self.idle = idle
        self.demand = demand
        self.lease = 0
        self.lease_revision = 0
        self.renewed_at = -math.inf
        self.listed_at = -math.inf
        self.observed: dict[str, VmObservation] = {}
        self.demand_periods: dict[str, _DemandPeriods] = {}
        self.checkpointed: set[str] = set()
        self.last_step: dict[str, Step] = {}

    @property
    def holds_lease(self) -> bool:
        """Return whether this daemon holds the planner's lease."""
        return self.clock.now() - self.renewed_at < LEASE_SECONDS

    async def run(self) -> None:
        """Acquire the lease when it is free, and plan while holding it, until cancelled."""
        while True:
            await anyio.sleep(
                PLAN_INTERVAL_SECONDS if self.holds_lease else STANDBY_INTERVAL_SECONDS
            )
            try:
                if await self._ensure_lease():
                    await self.step()
            except (StoreError, PlatformError) as error:
                logging.warning("planner: %s", error)

    def observe(self) -> None:
        """Record what the newest list of VMs and configuration show."""
        now = self.clock.now()
        self.listed_at = now
        for vm in self.replica.all(Vm.kind):
            observation = self.observed.get(vm.name)
            if observation is None or observation.phase is not vm.phase:
                observation = self.observed[vm.name] = VmObservation(vm.phase, now)
            if not self.is_up(vm.name):
                observation.was_down = True
        for name in self.observed.keys() - self.endpoints.vms.keys():
            del self.observed[name]

    def is_up(self, name: str) -> bool:
        """Return whether the platform lists a VM as live."""
        return self.endpoints.listed.get(name) is VmState.LIVE

    def state(self) -> FleetState:
        """Return the fleet as this daemon observes it."""
        now = datetime.now(UTC)
        failing = set(self.endpoints.health.ejected_vms())
        return FleetState(
            {vm.name: self._status(vm, failing) for vm in self.replica.all(Vm.kind)},
            {pool.name: pool for pool in self.replica.all(Pool.kind)},
            tuple(self.replica.all(Budget.kind)),
            tuple(self.replica.all(Wave.kind)),
            {pool.name: self._pool_demand(pool.name) for pool in self.replica.all(Pool.kind)},
            60 * now.hour + now.minute,
            now.isoformat(),
        )

    async def step(self) -> None:
        """Decide on the steps to take now and carry them out.

        :raises StoreError: if the store does not answer
        :raises PlatformError: if the platform does not answer
        """
        if self.clock.now() - self.listed_at > MAX_LIST_AGE_SECONDS or not self.endpoints.listed:
            return
        steps = decide(self.state())
        done = await self._write(steps)
        for step in done:
            self._record(step)
            await self._control_vm(step)

    async def release(self) -> None:
        """Release the planner's lease, so that another daemon can plan at once."""
        if self.holds_lease:
            self.renewed_at = -math.inf
            compare = Compare(self.keyspace.planner, self.lease_revision)
            await self.store.commit([compare], [Put(self.keyspace.planner, b"")])

    async def _ensure_lease(self) -> bool:
        """Renew or acquire the planner's lease; return whether it is held."""
        now = self.clock.now()
        if now - self.renewed_at < RENEW_AFTER_SECONDS:
            return True
        if self.holds_lease and await self.store.renew_lease(self.lease):
            self.renewed_at = now
            return True
        self.renewed_at = -math.inf
        snapshot = await self.store.read(self.keyspace.planner)
        entry = next(iter(snapshot.entries), None)
        if entry is not None and entry.value:
            return False
        self.lease = await self.store.grant_lease(LEASE_SECONDS)
        sent_at = self.clock.now()
        result = await self.store.commit(
            [Compare(self.keyspace.planner, entry.revision if entry else 0)],
            [Put(self.keyspace.planner, self.name.encode(), self.lease)],
        )
        if not result.ok:
            return False
        self.lease_revision, self.renewed_at = result.revision, sent_at
        logging.info("decision=plan planner=%s reason=lease-free", self.name)
        return True

    async def _write(self, steps: list[Step]) -> list[Step]:
        """Write the records that steps change; return the steps that took effect.

        Steps that change no record count as taking effect.
        """
        changes, changing, others = [], [], []
        for step in steps:
            change = apply_step(self.replica, step)
            if change is None:
                others.append(step)
            else:
                changes.append(change)
                changing.append(step)
        if not changes:
            return others
        conditions = [Compare(self.keyspace.planner, self.lease_revision)]
        try:
            await self.writer.apply(changes, f"planner {self.name}", conditions)
        except (ConflictError, InvalidConfig) as error:
            logging.info("decision=plan-conflict planner=%s reason=%s", self.name, error)
            return others + await self._write_one_by_one(changing, changes, conditions)
        return others + changing

    async def _write_one_by_one(
        self, steps: list[Step], changes: list[Change], conditions: list[Compare]
    ) -> list[Step]:
        done = []
        for step, change in zip(steps, changes, strict=True):
            try:
                await self.writer.apply([change], f"planner {self.name}", conditions)
            except (ConflictError, InvalidConfig):
                continue
            done.append(step)
        return done

    async def _control_vm(self, step: Step) -> None:
        if step.kind in (StepKind.REBOOT, StepKind.REBOOT_AGAIN):
            observation = self.observed.get(step.name)
            if observation is not None:
                observation.since = self.clock.now()
            await self.vm_control.reboot(step.name)
        elif step.kind is StepKind.CHECKPOINT and step.name not in self.checkpointed:
            self.checkpointed.add(step.name)
            if await self.vm_control.checkpoint(step.name):
                await self.vm_control.stop(step.name)

    def _status(self, vm: Vm, failing: Set[str]) -> VmStatus:
        revision = self.replica.revision_of(Vm.kind, vm.name)
        observation = self.observed.get(vm.name)
        if observation is None or observation.phase is not vm.phase:
            observation = self.observed[vm.name] = VmObservation(vm.phase, self.clock.now())
        return VmStatus(
            vm,
            revision,
            self.is_up(vm.name),
            self.idle(vm.name, revision),
            self.clock.now() - observation.since,
            observation.was_down,
            vm.name in failing,
        )

    def _pool_demand(self, pool: str) -> PoolDemand:
        now = self.clock.now()
        running, waiting = self.demand(pool)
        periods = self.demand_periods.setdefault(pool, _DemandPeriods())
        vms = [self.endpoints.vms[name] for name in self.endpoints.in_pool(pool)]
        slots = sum(vm.slots for vm in vms)
        shortage = waiting > 0 and running >= SHORTAGE_UTILIZATION * slots
        largest = max((vm.slots for vm in vms), default=0)
        surplus = not waiting and running <= SURPLUS_UTILIZATION * (slots - largest)
        periods.shortage_since = min(periods.shortage_since, now) if shortage else math.inf
        periods.surplus_since = min(periods.surplus_since, now) if surplus else math.inf
        return PoolDemand(
            running,
            waiting,
            max(0.0, now - periods.shortage_since),
            max(0.0, now - periods.surplus_since),
        )

    def _record(self, step: Step) -> None:
        self.last_step[step.name] = step
        self.metrics.incr(f"fleet.{step.kind}")
        vm = self.endpoints.vms.get(step.name)
        logging.info(
            "decision=fleet step=%s name=%s pool=%s wave=%s to=%s reason=%s",
            step.kind,
            step.name,
            vm.pool if vm else "-",
            step.wave or "-",
            step.pool or "-",
            step.reason,
        )


def apply_step(replica: ConfigReplica, step: Step) -> Change | None:
    """Return the change that a step makes to the configuration, or None if it changes nothing."""
    if step.kind in (StepKind.STOP_WAVE, StepKind.FINISH_WAVE):
        wave = replica.get(Wave.kind, step.name)
        if wave is None:
            return None
        state = WaveState.DONE if step.kind is StepKind.FINISH_WAVE else WaveState.STOPPED
        changed: Any = attrs.evolve(wave, state=state, reason=step.reason)
        return Change(Wave.kind, step.name, changed, replica.revision_of(Wave.kind, step.name))
    vm = replica.get(Vm.kind, step.name)
    if vm is None or step.kind in (StepKind.CHECKPOINT, StepKind.REBOOT_AGAIN):
        return None
    changed = attrs.evolve(vm, **_changed_fields(vm, step, replica))
    return Change(Vm.kind, step.name, changed, replica.revision_of(Vm.kind, step.name))


def _changed_fields(vm: Vm, step: Step, replica: ConfigReplica) -> Mapping[str, Any]:
    match step.kind:
        case StepKind.LEAVE:
            pool = replica.get(Pool.kind, vm.pool)
            lent = bool(step.pool) and pool is not None and pool.spare
            return {
                "phase": VmPhase.LEAVING,
                "wave": step.wave,
                "move_to": step.pool,
                "home": vm.pool if lent else vm.home,
            }
        case StepKind.DRAINED:
            return {"phase": VmPhase.DRAINED}
        case StepKind.REBOOT:
            return {"phase": VmPhase.REBOOTING}
        case _:
            pool_name = step.pool or vm.pool
            rebooted = vm.phase is VmPhase.REBOOTING
            return {
                "phase": VmPhase.JOINED,
                "pool": pool_name,
                "wave": "",
                "move_to": "",
                "home": "" if pool_name == vm.home else vm.home,
                "maintained_in": vm.wave if rebooted else vm.maintained_in,
            }
