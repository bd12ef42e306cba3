"""The fleet as its planner sees it at one moment."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

from ..config import Budget, Pool, Vm, VmPhase, Wave

__all__ = ["FleetState", "PoolDemand", "Step", "StepKind", "VmStatus"]


@attrs.frozen
class VmStatus:
    """A VM with what was observed of it.

    :param vm: its record
    :param revision: the record's revision
    :param up: whether the platform lists it as live
    :param idle: whether no daemon runs a job on it
    :param phase_seconds: how long the planner has seen it in its phase
    :param was_away: whether it was seen away since its phase began
    :param failing: whether its endpoint is out for failures
    """

    vm: Vm
    revision: int = 0
    up: bool = True
    idle: bool = True
    phase_seconds: float = 0.0
    was_away: bool = False
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
    :param short_seconds: how long demand has been beyond the pool's slots
    :param ample_seconds: how long the pool would have done with one VM fewer
    """

    running: int = 0
    waiting: int = 0
    short_seconds: float = 0.0
    ample_seconds: float = 0.0


@attrs.frozen
class FleetState:
    """Everything that a decision on the fleet rests on.

    :param vms: all VMs by name
    :param pools: all pools by name
    :param budgets: availability budgets
    :param waves: maintenance waves
    :param demand: demand by pool
    :param minute_of_day: minutes since midnight UTC
    :param instant: time now, ISO 8601 in UTC
    """

    vms: Mapping[str, VmStatus]
    pools: Mapping[str, Pool]
    budgets: tuple[Budget, ...] = ()
    waves: tuple[Wave, ...] = ()
    demand: Mapping[str, PoolDemand] = attrs.field(factory=dict)
    minute_of_day: int = 0
    instant: str = ""


class StepKind(enum.StrEnum):
    """What a step does."""

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
    """One thing to do to the fleet.

    :param kind: what
    :param name: the VM, or the wave
    :param reason: why, for the log
    :param wave: wave that a VM leaves for
    :param pool: pool that a VM moves to
    """

    kind: StepKind
    name: str
    reason: str
    wave: str = ""
    pool: str = ""
