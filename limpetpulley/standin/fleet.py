"""The platform's list of VMs and workers, kept in memory."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import attrs

from ..clock import Clock, SystemClock
from ..vms import ListedVm, VmState

__all__ = ["MemoryFleet"]

DEFAULT_REBOOT_SECONDS = 1.0
HISTORY = 512


@attrs.define
class _Machine:
    state: VmState = VmState.LIVE
    back_at: float = 0.0
    reboots: int = 0
    stuck: bool = False


class MemoryFleet:
    """A :class:`VmList` and :class:`VmControl` in one process's memory.

    :param names: the VMs
    :param clock: clock that reboots and lags are timed by
    :param reboot_seconds: how long a reboot takes
    """

    def __init__(
        self,
        names: tuple[str, ...] = (),
        clock: Clock | None = None,
        reboot_seconds: float = DEFAULT_REBOOT_SECONDS,
    ):
        self.clock = clock or SystemClock()
        self.reboot_seconds = reboot_seconds
        self.lag_seconds = 0.0
        self.machines = {name: _Machine() for name in names}
        self.history: deque[tuple[float, tuple[ListedVm, ...]]] = deque(maxlen=HISTORY)
        self.running: dict[str, int] = {}
        self.on_reboot: Callable[[str], None] = lambda name: None

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the VMs as they were some time ago."""
        now = self.clock.now()
        current = self._current(now)
        self.history.append((now, current))
        for at, listed in self.history:
            if at >= now - self.lag_seconds:
                return listed
        return current

    async def drain(self, vm: str) -> None:
        """List a VM as leaving."""
        self.machine(vm).state = VmState.LEAVING

    async def reboot(self, vm: str) -> None:
        """Take a VM away for a while."""
        machine = self.machine(vm)
        machine.reboots += 1
        machine.back_at = self.clock.now() + self.reboot_seconds
        machine.state = VmState.LIVE
        self.on_reboot(vm)

    async def checkpoint(self, vm: str) -> bool:
        """Return that nothing was saved: this platform cannot."""
        self.machine(vm)
        return False

    async def throttle(self, vm: str, fraction: float) -> None:
        """Do nothing."""
        self.machine(vm)

    async def stop(self, vm: str) -> None:
        """Do nothing."""
        self.machine(vm)

    async def usage(self) -> dict[str, int]:
        """Return the running tasks per VM."""
        return dict(self.running)

    def machine(self, vm: str) -> _Machine:
        """Return a VM, adding it if it is new."""
        return self.machines.setdefault(vm, _Machine())

    def remove(self, vm: str) -> None:
        """Let a VM be gone."""
        self.machines.pop(vm, None)

    def _current(self, now: float) -> tuple[ListedVm, ...]:
        return tuple(
            ListedVm(name, machine.state)
            for name, machine in sorted(self.machines.items())
            if machine.back_at <= now and not (machine.stuck and machine.reboots)
        )
