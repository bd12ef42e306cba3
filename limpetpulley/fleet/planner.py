"""The planner: one daemon at a time carries out the decisions on the fleet."""

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
from ..vms import VmState, Workers
from .decide import decide
from .moves import AMPLE_SHARE, SHORT_SHARE
from .state import FleetState, PoolDemand, Step, StepKind, VmStatus

__all__ = ["FleetPlanner", "Observed", "apply_step"]

STEP_SECONDS = 0.5
STANDBY_SECONDS = 2.0
LEASE_SECONDS = 5.0
RENEW_SECONDS = 1.5
LIST_AGE_SECONDS = 10.0


@attrs.define
class Observed:
    """What a daemon has seen of a VM since its phase began."""

    phase: VmPhase
    since: float
    was_away: bool = False


@attrs.define
class _DemandTimes:
    short_since: float = math.inf
    ample_since: float = math.inf


class FleetPlanner:
    """Watches the fleet, and plans it while it holds the planner's lease.

    Every step is a compare-and-swap that also compares the planner's key, so a planner that
    was paused past its lease changes nothing when it wakes.

    :param name: this daemon's name
    :param idle: whether no daemon runs a job on a VM, as of a revision
    :param demand: running and waiting jobs of a pool, across all daemons
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
        workers: Workers,
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
        self.workers = workers
        self.metrics = metrics
        self.idle = idle
        self.demand = demand
        self.lease = 0
        self.lease_revision = 0
        self.renewed_at = -math.inf
        self.listed_at = -math.inf
        self.observed: dict[str, Observed] = {}
        self.demand_times: dict[str, _DemandTimes] = {}
        self.checkpointed: set[str] = set()
        self.last_step: dict[str, Step] = {}

    @property
    def plans(self) -> bool:
        """Return whether this daemon holds the planner's lease."""
        return self.clock.now() - self.renewed_at < LEASE_SECONDS

    async def run(self) -> None:
        """Try to plan until cancelled."""
        while True:
            await anyio.sleep(STEP_SECONDS if self.plans else STANDBY_SECONDS)
            try:
                if await self._hold_lease():
                    await self.step()
            except (StoreError, PlatformError) as error:
                logging.warning("planner: %s", error)

    def observe(self) -> None:
        """Note what the newest list and configuration show."""
        now = self.clock.now()
        self.listed_at = now
        for vm in self.replica.all(Vm.kind):
            seen = self.observed.get(vm.name)
            if seen is None or seen.phase is not vm.phase:
                seen = self.observed[vm.name] = Observed(vm.phase, now)
            if not self.is_up(vm.name):
                seen.was_away = True
        for name in self.observed.keys() - self.endpoints.vms.keys():
            del self.observed[name]

    def is_up(self, name: str) -> bool:
        """Return whether the platform lists a VM as live."""
        return self.endpoints.listed.get(name) is VmState.LIVE

    def state(self) -> FleetState:
        """Return the fleet as it is seen here."""
        now = datetime.now(UTC)
        failing = set(self.endpoints.health.ejected_vms())
        return FleetState(
            {vm.name: self._status(vm, failing) for vm in self.replica.all(Vm.kind)},
            {pool.name: pool for pool in self.replica.all(Pool.kind)},
            tuple(self.replica.all(Budget.kind)),
            tuple(self.replica.all(Wave.kind)),
            {pool.name: self._demand(pool.name) for pool in self.replica.all(Pool.kind)},
            60 * now.hour + now.minute,
            now.isoformat(),
        )

    async def step(self) -> None:
        """Decide and carry out what is due.

        :raises StoreError: if the store does not answer
        :raises PlatformError: if the platform does not answer
        """
        if self.clock.now() - self.listed_at > LIST_AGE_SECONDS or not self.endpoints.listed:
            return
        steps = decide(self.state())
        done = await self._write(steps)
        for step in done:
            self._log(step)
            await self._control(step)

    async def release(self) -> None:
        """Give up the planner's lease."""
        if self.plans:
            self.renewed_at = -math.inf
            compare = Compare(self.keyspace.planner, self.lease_revision)
            await self.store.commit([compare], [Put(self.keyspace.planner, b"")])

    async def _hold_lease(self) -> bool:
        now = self.clock.now()
        if now - self.renewed_at < RENEW_SECONDS:
            return True
        if self.plans and await self.store.renew_lease(self.lease):
            self.renewed_at = now
            return True
        self.renewed_at = -math.inf
        snapshot = await self.store.read(self.keyspace.planner)
        held = next(iter(snapshot.entries), None)
        if held is not None and held.value:
            return False
        self.lease = await self.store.grant_lease(LEASE_SECONDS)
        sent_at = self.clock.now()
        result = await self.store.commit(
            [Compare(self.keyspace.planner, held.revision if held else 0)],
            [Put(self.keyspace.planner, self.name.encode(), self.lease)],
        )
        if not result.ok:
            return False
        self.lease_revision, self.renewed_at = result.revision, sent_at
        logging.info("decision=plan planner=%s reason=lease-free", self.name)
        return True

    async def _write(self, steps: list[Step]) -> list[Step]:
        """Write the records that steps change; return the steps that took effect."""
        changes, written, others = [], [], []
        for step in steps:
            change = apply_step(self.replica, step)
            if change is None:
                others.append(step)
            else:
                changes.append(change)
                written.append(step)
        if not changes:
            return others
        lease = [Compare(self.keyspace.planner, self.lease_revision)]
        try:
            await self.writer.apply(changes, f"planner {self.name}", lease)
        except (ConflictError, InvalidConfig) as error:
            logging.info("decision=plan-conflict planner=%s reason=%s", self.name, error)
            return others + await self._write_singly(written, changes, lease)
        return others + written

    async def _write_singly(
        self, steps: list[Step], changes: list[Change], lease: list[Compare]
    ) -> list[Step]:
        done = []
        for step, change in zip(steps, changes, strict=True):
            try:
                await self.writer.apply([change], f"planner {self.name}", lease)
            except (ConflictError, InvalidConfig):
                continue
            done.append(step)
        return done

    async def _control(self, step: Step) -> None:
        if step.kind in (StepKind.REBOOT, StepKind.REBOOT_AGAIN):
            seen = self.observed.get(step.name)
            if seen is not None:
                seen.since = self.clock.now()
            await self.workers.reboot(step.name)
        elif step.kind is StepKind.CHECKPOINT and step.name not in self.checkpointed:
            self.checkpointed.add(step.name)
            if await self.workers.checkpoint(step.name):
                await self.workers.stop(step.name)

    def _status(self, vm: Vm, failing: Set[str]) -> VmStatus:
        revision = self.replica.revision_of(Vm.kind, vm.name)
        seen = self.observed.get(vm.name)
        if seen is None or seen.phase is not vm.phase:
            seen = self.observed[vm.name] = Observed(vm.phase, self.clock.now())
        return VmStatus(
            vm,
            revision,
            self.is_up(vm.name),
            self.idle(vm.name, revision),
            self.clock.now() - seen.since,
            seen.was_away,
            vm.name in failing,
        )

    def _demand(self, pool: str) -> PoolDemand:
        now = self.clock.now()
        running, waiting = self.demand(pool)
        times = self.demand_times.setdefault(pool, _DemandTimes())
        vms = [self.endpoints.vms[name] for name in self.endpoints.in_pool(pool)]
        slots = sum(vm.slots for vm in vms)
        short = waiting > 0 and running >= SHORT_SHARE * slots
        largest = max((vm.slots for vm in vms), default=0)
        ample = not waiting and running <= AMPLE_SHARE * (slots - largest)
        times.short_since = min(times.short_since, now) if short else math.inf
        times.ample_since = min(times.ample_since, now) if ample else math.inf
        return PoolDemand(
            running,
            waiting,
            max(0.0, now - times.short_since),
            max(0.0, now - times.ample_since),
        )

    def _log(self, step: Step) -> None:
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
    """Return the change that a step makes to the configuration, or None if it makes none."""
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
    changed = attrs.evolve(vm, **_fields(vm, step, replica))
    return Change(Vm.kind, step.name, changed, replica.revision_of(Vm.kind, step.name))


def _fields(vm: Vm, step: Step, replica: ConfigReplica) -> Mapping[str, Any]:
    match step.kind:
        case StepKind.LEAVE:
            pool = replica.get(Pool.kind, vm.pool)
            lends = bool(step.pool) and pool is not None and pool.spare
            return {
                "phase": VmPhase.LEAVING,
                "wave": step.wave,
                "move_to": step.pool,
                "home": vm.pool if lends else vm.home,
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
