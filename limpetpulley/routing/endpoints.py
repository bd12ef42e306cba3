"""Availability of endpoints, from the configuration, the platform's VM list and responses."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from absl import logging

from ..clock import Clock
from ..config import ConfigReplica, Vm, VmPhase
from ..vms import ListedVm, VmState
from .health import EndpointHealth

__all__ = ["EndpointSet"]

LEAVING_LIFETIME_SECONDS = 30.0


class EndpointSet:
    """The fleet's endpoints and whether each of them takes jobs.

    An endpoint counts as leaving on the first of these signs: the phase of its configuration
    object, the platform's VM list, or a header of its own response. The sign from a response
    expires unless another response renews it, because the VM may have come back.

    :param data_centre: data centre of this daemon
    :param clock: the daemon's clock
    :param health: health of the endpoints
    """

    def __init__(self, data_centre: str, clock: Clock, health: EndpointHealth):
        self.data_centre = data_centre
        self.clock = clock
        self.health = health
        self.vms: dict[str, Vm] = {}
        self.pools: dict[str, list[str]] = {}
        self.listed: dict[str, VmState] = {}
        self.leaving_until: dict[str, float] = {}

    def update(self, replica: ConfigReplica) -> None:
        """Apply the VMs of the configuration."""
        previous = self.vms
        self.vms = {vm.name: vm for vm in replica.all(Vm.kind)}
        pools: dict[str, list[str]] = defaultdict(list)
        for vm in self.vms.values():
            pools[vm.pool].append(vm.name)
        self.pools = dict(pools)
        for name in previous.keys() - self.vms.keys():
            self.health.forget(name)
            self.leaving_until.pop(name, None)
        for name, vm in self.vms.items():
            old = previous.get(name)
            if old is not None and old.phase is not vm.phase:
                logging.info("decision=phase vm=%s phase=%s", name, vm.phase)
                if vm.phase is VmPhase.JOINED:
                    self.health.forget(name)
                    self.leaving_until.pop(name, None)

    def update_listed_vms(self, listed: Iterable[ListedVm]) -> None:
        """Apply the platform's VM list."""
        states = {vm.name: vm.state for vm in listed}
        for name, state in states.items():
            if self.listed.get(name) is not state and state is VmState.LEAVING:
                logging.info("decision=leaving vm=%s reason=list", name)
        self.listed = states

    def mark_leaving(self, vm: str) -> None:
        """Record that an endpoint announced in a response that it is leaving."""
        if vm not in self.leaving_until:
            logging.info("decision=leaving vm=%s reason=answer", vm)
        self.leaving_until[vm] = self.clock.now() + LEAVING_LIFETIME_SECONDS

    def takes_jobs(self, vm: str) -> bool:
        """Return whether a VM's endpoint takes jobs now."""
        if not self._is_in_service(vm):
            return False
        return self.health.is_available(vm) or vm in self.in_pool(self.vms[vm].pool)

    def _is_in_service(self, vm: str) -> bool:
        """Return whether a VM has joined its pool, is listed and is not leaving."""
        configured = self.vms.get(vm)
        if configured is None or configured.phase is not VmPhase.JOINED:
            return False
        if self.listed.get(vm) is VmState.LEAVING:
            return False
        if self.listed and vm not in self.listed:
            return False
        return not self.leaving_until or self.leaving_until.get(vm, 0.0) <= self.clock.now()

    def in_pool(self, pool: str) -> Iterable[str]:
        """Return the VMs of a pool whose endpoints take jobs now.

        If all are ejected or on trial, for example because the others have left, these are used.
        """
        in_service = [vm for vm in self.pools.get(pool, ()) if self._is_in_service(vm)]
        return [vm for vm in in_service if self.health.is_available(vm)] or in_service

    def is_near(self, vm: str) -> bool:
        """Return whether a VM is in this daemon's data centre."""
        return self.vms[vm].data_centre == self.data_centre

    def slots(self, pool: str) -> int:
        """Return the total slots of a pool's endpoints that take jobs now."""
        return sum(self.vms[vm].slots for vm in self.in_pool(pool))
