"""Failure counts of endpoints, and which of them get no jobs for a while."""

from __future__ import annotations

from collections.abc import Collection

import attrs
from absl import logging

from ..clock import Clock

__all__ = ["EndpointHealth"]

FAILURES_TO_EJECT = 3
FAILURE_SHARE_TO_EJECT = 0.5
MEMORY = 0.8
FIRST_EJECTION_SECONDS = 5.0
LONGEST_EJECTION_SECONDS = 120.0
MAX_EJECTED_SHARE = 0.34
TRIAL_SUCCESSES = 3


@attrs.define
class _State:
    weight: float = 0.0
    failed: float = 0.0
    row: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    trial_left: int = 0
    trial_running: int = 0


class EndpointHealth:
    """Takes endpoints that fail out of service and brings them back slowly.

    An endpoint that comes back gets one job at a time until some have succeeded. No more than
    a part of a pool is out at once, so that a fault of the jobs does not empty it.

    :param clock: the daemon's clock
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.states: dict[str, _State] = {}

    def usable(self, vm: str) -> bool:
        """Return whether an endpoint may get a job now."""
        state = self.states.get(vm)
        if state is None:
            return True
        if state.ejected_until > self.clock.now():
            return False
        return not state.trial_left or state.trial_running < 1

    def started(self, vm: str) -> None:
        """Note that a job was sent to an endpoint."""
        state = self.states.get(vm)
        if state is not None and state.trial_left:
            state.trial_running += 1

    def ended(self, vm: str) -> None:
        """Note that a job at an endpoint has ended, however."""
        state = self.states.get(vm)
        if state is not None and state.trial_running:
            state.trial_running -= 1

    def succeeded(self, vm: str) -> None:
        """Count a success."""
        state = self.states.get(vm)
        if state is None:
            return
        state.row = 0
        state.failed *= MEMORY
        state.weight = state.weight * MEMORY + 1
        if state.trial_left:
            state.trial_left -= 1
            if not state.trial_left:
                state.ejections = 0

    def failed(self, vm: str, pool: Collection[str]) -> None:
        """Count a failure and take the endpoint out if it fails too much.

        :param vm: the endpoint's VM
        :param pool: all VMs of its pool
        """
        state = self.states.setdefault(vm, _State())
        state.row += 1
        state.failed = state.failed * MEMORY + 1
        state.weight = state.weight * MEMORY + 1
        share = state.failed / state.weight
        bad = state.row >= FAILURES_TO_EJECT and share >= FAILURE_SHARE_TO_EJECT
        if (bad or state.trial_left) and self._may_eject(vm, pool):
            self._eject(vm, state)

    def refund(self, vm: str) -> None:
        """Take back a failure that was the job's own fault."""
        state = self.states.get(vm)
        if state is None:
            return
        state.row = max(0, state.row - 1)
        state.failed = max(0.0, state.failed - 1)
        if state.ejected_until > self.clock.now() and state.row < FAILURES_TO_EJECT:
            state.ejected_until = 0.0
            state.ejections = max(0, state.ejections - 1)

    def forget(self, vm: str) -> None:
        """Drop what is known of a VM that is gone or was restarted."""
        self.states.pop(vm, None)

    def ejected_vms(self) -> list[str]:
        """Return the VMs that are out now."""
        now = self.clock.now()
        return [vm for vm, state in self.states.items() if state.ejected_until > now]

    def _may_eject(self, vm: str, pool: Collection[str]) -> bool:
        out = sum(1 for other in self.ejected_vms() if other in pool and other != vm)
        return out + 1 <= max(1, int(len(pool) * MAX_EJECTED_SHARE)) and len(pool) > 1

    def _eject(self, vm: str, state: _State) -> None:
        seconds = min(FIRST_EJECTION_SECONDS * 2**state.ejections, LONGEST_EJECTION_SECONDS)
        state.ejections += 1
        state.ejected_until = self.clock.now() + seconds
        state.trial_left = TRIAL_SUCCESSES
        logging.warning(
            "decision=eject vm=%s reason=failures row=%d seconds=%.0f", vm, state.row, seconds
        )
