"""Emulator of the platform's list of VMs and of its controls, in memory."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import attrs

from ..clock import Clock, SystemClock
from ..vms import ListedVm, VmState

__all__ = ["MemoryFleet"]

DEFAULT_REBOOT_SECONDS = 1.0
#: number of past lists that are kept for the emulated lag
HISTORY_LENGTH = 512


@attrs.define
class _Vm:
    state: VmState = VmState.LIVE
    up_at: float = 0.0
    reboots: int = 0
    stuck: bool = False


class MemoryFleet:
    """A :class:`~limpetpulley.vms.VmList` and :class:`~limpetpulley.vms.VmControl` in memory.

    :param names: names of the initial VMs
    :param clock: clock by which reboots and the lag of the list are timed
    :param reboot_seconds: duration of a reboot, in seconds
    """

    def __init__(
        self,
        names: tuple[str, ...] = (),
        clock: Clock | None = None,
        reboot_seconds: float = DEFAULT_REBOOT_SECONDS,
    ):
        self.clock = clock or SystemClock()
        self.reboot_seconds = reboot_seconds
        self.list_lag_seconds = 0.0
        self.vms = {name: _Vm() for name in names}
        self.snapshots: deque[tuple[float, tuple[ListedVm, ...]]] = deque(maxlen=HISTORY_LENGTH)
        self.running_tasks: dict[str, int] = {}
        self.on_reboot: Callable[[str], None] = lambda name: None

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the oldest list that was recorded within the lag."""
        now = self.clock.now()
        current = self._list_current(now)
        self.snapshots.append((now, current))
        for listed_at, listed in self.snapshots:
            if listed_at >= now - self.list_lag_seconds:
                return listed
        return current

    async def drain(self, vm: str) -> None:
        """Set a VM's state to leaving."""
        self.get_or_add(vm).state = VmState.LEAVING

    async def reboot(self, vm: str) -> None:
        """Reboot a VM: it is not listed before the reboot ends, or ever if it is stuck."""
        rebooted = self.get_or_add(vm)
        rebooted.reboots += 1
        rebooted.up_at = self.clock.now() + self.reboot_seconds
        rebooted.state = VmState.LIVE
        self.on_reboot(vm)

    async def checkpoint(self, vm: str) -> bool:
        """Return False: this platform cannot save tasks."""
        self.get_or_add(vm)
        return False

    async def throttle(self, vm: str, fraction: float) -> None:
        """Do nothing."""
        self.get_or_add(vm)

    async def stop(self, vm: str) -> None:
        """Do nothing."""
        self.get_or_add(vm)

    async def usage(self) -> dict[str, int]:
        """Return the number of running tasks per VM."""
        return dict(self.running_tasks)

    def get_or_add(self, vm: str) -> _Vm:
        """Return a VM, after adding it if it does not exist."""
        return self.vms.setdefault(vm, _Vm())

    def remove(self, vm: str) -> None:
        """Remove a VM from the list."""
        self.vms.pop(vm, None)

    def _list_current(self, now: float) -> tuple[ListedVm, ...]:
        return tuple(
            ListedVm(name, vm.state)
            for name, vm in sorted(self.vms.items())
            if vm.up_at <= now and not (vm.stuck and vm.reboots)
        )
