"""Maintenance waves: which VMs are taken, maintained and brought back when."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from datetime import UTC, datetime

from ..config import VmPhase, Wave, WaveState
from .budgets import BudgetCount
from .state import FleetState, Step, StepKind, VmStatus

__all__ = ["advance_vms", "drive_waves", "failures", "in_window", "remaining"]

CHECKPOINT_SECONDS = 30.0
RETURN_SECONDS = 300.0
UNSEEN_REBOOT_SECONDS = 45.0
SLOW_FAILURES = 1


def advance_vms(state: FleetState) -> Iterator[Step]:
    """Yield the steps of VMs that are on their way: drained, rebooted, back."""
    waves = {wave.name: wave for wave in state.waves}
    for status in state.vms.values():
        if status.vm.phase is VmPhase.JOINED:
            continue
        wave = waves.get(status.vm.wave)
        aborted = wave is not None and wave.state is WaveState.ABORTED
        step = _next_step(status, aborted)
        if step is not None:
            yield step


def drive_waves(state: FleetState, count: BudgetCount) -> Iterator[Step]:
    """Yield the steps that running waves begin.

    :param state: the fleet
    :param count: what is down; VMs that are taken here are added to it
    """
    for wave in state.waves:
        if wave.state is WaveState.RUNNING:
            yield from _drive(state, wave, count)


def remaining(state: FleetState, wave: Wave) -> list[VmStatus]:
    """Return the VMs that a wave has still to take, those of the fullest pools first."""
    found = [status for status in state.vms.values() if _belongs(status, wave)]
    left = [status for status in found if status.vm.phase is VmPhase.JOINED]
    sizes = Counter(status.vm.pool for status in left)
    return sorted(left, key=lambda status: (-sizes[status.vm.pool], status.vm.name))


def failures(state: FleetState, wave: Wave) -> list[str]:
    """Return the VMs that did not come back from a wave, or fail since it maintained them."""
    return [
        status.vm.name
        for status in state.vms.values()
        if _is_lost(status, wave) or _fails_since(status, wave)
    ]


def in_window(state: FleetState, wave: Wave) -> bool:
    """Return whether a wave may take VMs at this time of day and before its end."""
    if wave.finish_by and state.instant and state.instant >= _utc(wave.finish_by):
        return False
    if not wave.window_start or not wave.window_end:
        return True
    start, end = _minutes(wave.window_start), _minutes(wave.window_end)
    now = state.minute_of_day
    return start <= now < end if start <= end else now >= start or now < end


def _next_step(status: VmStatus, aborted: bool) -> Step | None:
    vm = status.vm
    if aborted and vm.phase is not VmPhase.REBOOTING:
        return Step(StepKind.JOIN, vm.name, "wave-aborted", pool=vm.pool)
    if vm.phase is VmPhase.LEAVING:
        if status.idle:
            return Step(StepKind.DRAINED, vm.name, "no-job-runs", wave=vm.wave, pool=vm.move_to)
        if vm.wave and status.phase_seconds > CHECKPOINT_SECONDS:
            return Step(StepKind.CHECKPOINT, vm.name, "drain-takes-long", wave=vm.wave)
    if vm.phase is VmPhase.DRAINED:
        if vm.move_to:
            return Step(StepKind.JOIN, vm.name, "moved", pool=vm.move_to)
        if vm.wave:
            return Step(StepKind.REBOOT, vm.name, "drained", wave=vm.wave)
    if vm.phase is VmPhase.REBOOTING:
        if status.was_away and status.up:
            return Step(StepKind.JOIN, vm.name, "back", wave=vm.wave, pool=vm.pool)
        if not status.was_away and status.phase_seconds > UNSEEN_REBOOT_SECONDS:
            return Step(StepKind.REBOOT_AGAIN, vm.name, "never-away", wave=vm.wave)
    return None


def _drive(state: FleetState, wave: Wave, count: BudgetCount) -> Iterator[Step]:
    failed = failures(state, wave)
    if len(failed) >= wave.max_failures:
        yield Step(StepKind.STOP_WAVE, wave.name, f"failed: {', '.join(sorted(failed))}")
        return
    left = remaining(state, wave)
    flying = [status for status in state.vms.values() if status.vm.wave == wave.name]
    if not left and not flying:
        yield Step(StepKind.FINISH_WAVE, wave.name, "all-maintained")
        return
    if not in_window(state, wave):
        return
    allowed = _allowed_at_once(state, wave, len(failed))
    for status in left:
        if len(flying) >= allowed:
            return
        if status.available and count.blocking(status.vm) is None:
            count.take(status.vm)
            flying.append(status)
            yield Step(StepKind.LEAVE, status.vm.name, "budgets-allow", wave=wave.name)


def _allowed_at_once(state: FleetState, wave: Wave, failed: int) -> int:
    """Return how many VMs a wave may have on their way: one until the first is back."""
    done = any(
        status.vm.maintained_in == wave.name and status.available for status in state.vms.values()
    )
    if not done:
        return 1
    return failed + 1 if failed >= SLOW_FAILURES else len(state.vms)


def _belongs(status: VmStatus, wave: Wave) -> bool:
    vm = status.vm
    in_pools = not wave.pools or vm.pool in wave.pools or vm.home in wave.pools
    return in_pools and vm.maintained_in != wave.name


def _is_lost(status: VmStatus, wave: Wave) -> bool:
    vm = status.vm
    return (
        vm.wave == wave.name
        and vm.phase is VmPhase.REBOOTING
        and status.phase_seconds > RETURN_SECONDS
    )


def _fails_since(status: VmStatus, wave: Wave) -> bool:
    vm = status.vm
    return vm.maintained_in == wave.name and (status.failing or not status.up)


def _minutes(text: str) -> int:
    hours, minutes = text.split(":")
    return 60 * int(hours) + int(minutes)


def _utc(text: str) -> str:
    return datetime.fromisoformat(text).astimezone(UTC).isoformat()
