"""Maintenance waves: when each VM leaves its pool, is rebooted and joins again."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from datetime import UTC, datetime

from ..config import VmPhase, Wave, WaveState
from .budgets import BudgetTracker
from .state import FleetState, Step, StepKind, VmStatus

__all__ = ["advance_vms", "advance_waves", "failed_vms", "in_window", "remaining_vms"]

CHECKPOINT_AFTER_SECONDS = 30.0
REBOOT_TIMEOUT_SECONDS = 300.0
REBOOT_RETRY_SECONDS = 45.0
SLOWDOWN_FAILURES = 1


def advance_vms(state: FleetState) -> Iterator[Step]:
    """Yield the next steps of VMs in transition: drained, rebooted, or live again."""
    waves = {wave.name: wave for wave in state.waves}
    for status in state.vms.values():
        if status.vm.phase is VmPhase.JOINED:
            continue
        wave = waves.get(status.vm.wave)
        aborted = wave is not None and wave.state is WaveState.ABORTED
        step = _next_step(status, aborted)
        if step is not None:
            yield step


def advance_waves(state: FleetState, budgets: BudgetTracker) -> Iterator[Step]:
    """Yield the steps of running waves.

    :param state: the fleet
    :param budgets: unavailable VMs; VMs that leave for a wave are added to them
    """
    for wave in state.waves:
        if wave.state is WaveState.RUNNING:
            yield from _advance_wave(state, wave, budgets)


def remaining_vms(state: FleetState, wave: Wave) -> list[VmStatus]:
    """Return the VMs that a wave has still to drain, those of the pools with the most first."""
    in_scope = [status for status in state.vms.values() if _is_in_scope(status, wave)]
    remaining = [status for status in in_scope if status.vm.phase is VmPhase.JOINED]
    sizes = Counter(status.vm.pool for status in remaining)
    return sorted(remaining, key=lambda status: (-sizes[status.vm.pool], status.vm.name))


def failed_vms(state: FleetState, wave: Wave) -> list[str]:
    """Return the VMs that did not come back from a wave, or fail after their maintenance in it."""
    return [
        status.vm.name
        for status in state.vms.values()
        if _reboot_timed_out(status, wave) or _fails_after_maintenance(status, wave)
    ]


def in_window(state: FleetState, wave: Wave) -> bool:
    """Return whether a wave may drain VMs now: in its daily window and before its end."""
    if wave.finish_by and state.instant and state.instant >= _to_utc(wave.finish_by):
        return False
    if not wave.window_start or not wave.window_end:
        return True
    start, end = _parse_minutes(wave.window_start), _parse_minutes(wave.window_end)
    now = state.minute_of_day
    return start <= now < end if start <= end else now >= start or now < end


def _next_step(status: VmStatus, aborted: bool) -> Step | None:
    vm = status.vm
    if aborted and vm.phase is not VmPhase.REBOOTING:
        return Step(StepKind.JOIN, vm.name, "wave-aborted", pool=vm.pool)
    if vm.phase is VmPhase.LEAVING:
        if status.idle:
            return Step(StepKind.DRAINED, vm.name, "no-job-runs", wave=vm.wave, pool=vm.move_to)
        if vm.wave and status.phase_seconds > CHECKPOINT_AFTER_SECONDS:
            return Step(StepKind.CHECKPOINT, vm.name, "drain-takes-long", wave=vm.wave)
    if vm.phase is VmPhase.DRAINED:
        if vm.move_to:
            return Step(StepKind.JOIN, vm.name, "moved", pool=vm.move_to)
        if vm.wave:
            return Step(StepKind.REBOOT, vm.name, "drained", wave=vm.wave)
    if vm.phase is VmPhase.REBOOTING:
        if status.was_down and status.up:
            return Step(StepKind.JOIN, vm.name, "back", wave=vm.wave, pool=vm.pool)
        if not status.was_down and status.phase_seconds > REBOOT_RETRY_SECONDS:
            return Step(StepKind.REBOOT_AGAIN, vm.name, "never-away", wave=vm.wave)
    return None


def _advance_wave(state: FleetState, wave: Wave, budgets: BudgetTracker) -> Iterator[Step]:
    failed = failed_vms(state, wave)
    if len(failed) >= wave.max_failures:
        yield Step(StepKind.STOP_WAVE, wave.name, f"failed: {', '.join(sorted(failed))}")
        return
    remaining = remaining_vms(state, wave)
    in_progress = [status for status in state.vms.values() if status.vm.wave == wave.name]
    if not remaining and not in_progress:
        yield Step(StepKind.FINISH_WAVE, wave.name, "all-maintained")
        return
    if not in_window(state, wave):
        return
    limit = _max_in_progress(state, wave, len(failed))
    for status in remaining:
        if len(in_progress) >= limit:
            return
        if status.available and budgets.blocking_budget(status.vm) is None:
            budgets.mark_unavailable(status.vm)
            in_progress.append(status)
            yield Step(StepKind.LEAVE, status.vm.name, "budgets-allow", wave=wave.name)


def _max_in_progress(state: FleetState, wave: Wave, failed: int) -> int:
    """Return how many VMs of a wave may be in progress: one until the first is available again."""
    first_done = any(
        status.vm.maintained_in == wave.name and status.available for status in state.vms.values()
    )
    if not first_done:
        return 1
    return failed + 1 if failed >= SLOWDOWN_FAILURES else len(state.vms)


def _is_in_scope(status: VmStatus, wave: Wave) -> bool:
    vm = status.vm
    in_pools = not wave.pools or vm.pool in wave.pools or vm.home in wave.pools
    return in_pools and vm.maintained_in != wave.name


def _reboot_timed_out(status: VmStatus, wave: Wave) -> bool:
    vm = status.vm
    return (
        vm.wave == wave.name
        and vm.phase is VmPhase.REBOOTING
        and status.phase_seconds > REBOOT_TIMEOUT_SECONDS
    )


def _fails_after_maintenance(status: VmStatus, wave: Wave) -> bool:
    vm = status.vm
    return vm.maintained_in == wave.name and (status.failing or not status.up)


def _parse_minutes(text: str) -> int:
    hours, minutes = text.split(":")
    return 60 * int(hours) + int(minutes)


def _to_utc(text: str) -> str:
    return datetime.fromisoformat(text).astimezone(UTC).isoformat()
