"""Snapshot of the fleet that decisions are based on, and the steps that they yield."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

from ..config import Budget, Pool, Vm, VmPhase, Wave

__all__ = ["FleetState", "PoolDemand", "Step", "StepKind", "VmStatus"]


@attrs.frozen
class VmStatus:
    """A VM's configuration record and what was observed of the VM.

    :param vm: its record
    :param revision: the record's revision
    :param up: whether the platform lists it as live
    :param idle: whether no daemon runs a job on it
    :param phase_seconds: how long the planner has observed it in its phase
    :param was_down: whether it was observed not to be live since its phase began
    :param failing: whether its endpoint is ejected because of failures
    """

    vm: Vm
    revision: int = 0
    up: bool = True
    idle: bool = True
    phase_seconds: float = 0.0
    was_down: bool = False
    failing: bool = False

    @property
    def available(self) -> bool:
        """Return whether it serves its pool now."""
        return self.up and self.vm.phase is VmPhase.JOINED


@attrs.frozen
class PoolDemand:
    """Demand on a pool.

    :param running: running jobs
    :param waiting: waiting jobs
    :param shortage_seconds: how long demand has exceeded the pool's slots
    :param surplus_seconds: how long one VM fewer would have been enough
    """

    running: int = 0
    waiting: int = 0
    shortage_seconds: float = 0.0
    surplus_seconds: float = 0.0


@attrs.frozen
class FleetState:
    """Everything that a decision on the fleet depends on.

    :param vms: all VMs by name
    :param pools: all pools by name
    :param budgets: availability budgets
    :param waves: maintenance waves
    :param demand: demand by pool
    :param minute_of_day: minutes since midnight UTC
    :param instant: current time, ISO 8601 in UTC
    """

    vms: Mapping[str, VmStatus]
    pools: Mapping[str, Pool]
    budgets: tuple[Budget, ...] = ()
    waves: tuple[Wave, ...] = ()
    demand: Mapping[str, PoolDemand] = attrs.field(factory=dict)
    minute_of_day: int = 0
    instant: str = ""


class StepKind(enum.StrEnum):
    """Kind of a step."""

    LEAVE = "leave"
    DRAINED = "drained"
    CHECKPOINT = "checkpoint"
    REBOOT = "reboot"
    REBOOT_AGAIN = "reboot-again"
    JOIN = "join"
    STOP_WAVE = "stop-wave"
    FINISH_WAVE = "finish-wave"


@attrs.frozen
class Step:
    """One action on a VM or on a wave.

    :param kind: the action
    :param name: name of the VM or the wave
    :param reason: reason for the step, as logged
    :param wave: wave for which a VM leaves its pool
    :param pool: pool to which a VM moves
    """

    kind: StepKind
    name: str
    reason: str
    wave: str = ""
    pool: str = ""
