"""Ejection of failing endpoints, based on failure rates that decay."""

from __future__ import annotations

from collections.abc import Collection

import attrs
from absl import logging

from ..clock import Clock

__all__ = ["EndpointHealth"]

CONSECUTIVE_FAILURES_TO_EJECT = 3
FAILURE_RATE_TO_EJECT = 0.5
DECAY_FACTOR = 0.8
MIN_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 120.0
MAX_EJECTED_FRACTION = 0.34
TRIAL_SUCCESSES = 3


@attrs.define
class _EndpointState:
    total_weight: float = 0.0
    failed_weight: float = 0.0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    trial_successes_left: int = 0
    trial_jobs_running: int = 0


class EndpointHealth:
    """Ejects failing endpoints for a while and readmits them gradually.

    A readmitted endpoint gets one job at a time until several of them have succeeded. Only a
    fraction of a pool can be ejected at once, so that faulty jobs do not empty the pool.

    :param clock: the daemon's clock
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.states: dict[str, _EndpointState] = {}

    def is_available(self, vm: str) -> bool:
        """Return whether an endpoint may be sent a job now."""
        state = self.states.get(vm)
        if state is None:
            return True
        if state.ejected_until > self.clock.now():
            return False
        return not state.trial_successes_left or state.trial_jobs_running < 1

    def record_start(self, vm: str) -> None:
        """Record that a job was sent to an endpoint."""
        state = self.states.get(vm)
        if state is not None and state.trial_successes_left:
            state.trial_jobs_running += 1

    def record_end(self, vm: str) -> None:
        """Record that a job at an endpoint has ended, successfully or not."""
        state = self.states.get(vm)
        if state is not None and state.trial_jobs_running:
            state.trial_jobs_running -= 1

    def record_success(self, vm: str) -> None:
        """Count a success of an endpoint."""
        state = self.states.get(vm)
        if state is None:
            return
        state.consecutive_failures = 0
        state.failed_weight *= DECAY_FACTOR
        state.total_weight = state.total_weight * DECAY_FACTOR + 1
        if state.trial_successes_left:
            state.trial_successes_left -= 1
            if not state.trial_successes_left:
                state.ejections = 0

    def record_failure(self, vm: str, pool: Collection[str]) -> None:
        """Count a failure of an endpoint and eject it if it fails too often.

        :param vm: the endpoint's VM
        :param pool: all VMs of the endpoint's pool
        """
        state = self.states.setdefault(vm, _EndpointState())
        state.consecutive_failures += 1
        state.failed_weight = state.failed_weight * DECAY_FACTOR + 1
        state.total_weight = state.total_weight * DECAY_FACTOR + 1
        failure_rate = state.failed_weight / state.total_weight
        over_threshold = (
            state.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
            and failure_rate >= FAILURE_RATE_TO_EJECT
        )
        if (over_threshold or state.trial_successes_left) and self._may_eject(vm, pool):
            self._eject(vm, state)

    def retract_failure(self, vm: str) -> None:
        """Retract a failure that turned out to be the fault of the job."""
        state = self.states.get(vm)
        if state is None:
            return
        state.consecutive_failures = max(0, state.consecutive_failures - 1)
        state.failed_weight = max(0.0, state.failed_weight - 1)
        if (
            state.ejected_until > self.clock.now()
            and state.consecutive_failures < CONSECUTIVE_FAILURES_TO_EJECT
        ):
            state.ejected_until = 0.0
            state.ejections = max(0, state.ejections - 1)

    def forget(self, vm: str) -> None:
        """Discard the state of a VM that was removed or restarted."""
        self.states.pop(vm, None)

    def ejected_vms(self) -> list[str]:
        """Return the VMs whose endpoints are ejected now."""
        now = self.clock.now()
        return [vm for vm, state in self.states.items() if state.ejected_until > now]

    def _may_eject(self, vm: str, pool: Collection[str]) -> bool:
        ejected_count = sum(1 for other in self.ejected_vms() if other in pool and other != vm)
        return ejected_count + 1 <= max(1, int(len(pool) * MAX_EJECTED_FRACTION)) and len(pool) > 1

    def _eject(self, vm: str, state: _EndpointState) -> None:
        seconds = min(MIN_EJECTION_SECONDS * 2**state.ejections, MAX_EJECTION_SECONDS)
        state.ejections += 1
        state.ejected_until = self.clock.now() + seconds
        state.trial_successes_left = TRIAL_SUCCESSES
        logging.warning(
            "decision=eject vm=%s reason=failures row=%d seconds=%.0f",
            vm,
            state.consecutive_failures,
            seconds,
        )
