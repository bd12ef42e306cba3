"""Endpoints that take jobs, from the configuration, the platform's list and their answers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from absl import logging

from ..clock import Clock
from ..config import ConfigReplica, Vm, VmPhase
from ..vms import ListedVm, VmState
from .health import EndpointHealth

__all__ = ["EndpointSet"]

SIGN_LIFETIME_SECONDS = 30.0


class EndpointSet:
    """The fleet's endpoints and whether each takes jobs.

    The first sign that an endpoint is leaving counts: its record's phase, the platform's
    list, or its own answer. A sign from an answer lapses unless it is renewed, because the
    VM may have come back.

    :param data_centre: data centre of this daemon
    :param clock: the daemon's clock
    :param health: failure counts
    """

    def __init__(self, data_centre: str, clock: Clock, health: EndpointHealth):
        self.data_centre = data_centre
        self.clock = clock
        self.health = health
        self.vms: dict[str, Vm] = {}
        self.pools: dict[str, list[str]] = {}
        self.listed: dict[str, VmState] = {}
        self.signs: dict[str, float] = {}

    def update(self, replica: ConfigReplica) -> None:
        """Take the VMs of the configuration."""
        before = self.vms
        self.vms = {vm.name: vm for vm in replica.all(Vm.kind)}
        pools: dict[str, list[str]] = defaultdict(list)
        for vm in self.vms.values():
            pools[vm.pool].append(vm.name)
        self.pools = dict(pools)
        for name in before.keys() - self.vms.keys():
            self.health.forget(name)
            self.signs.pop(name, None)
        for name, vm in self.vms.items():
            held = before.get(name)
            if held is not None and held.phase is not vm.phase:
                logging.info("decision=phase vm=%s phase=%s", name, vm.phase)
                if vm.phase is VmPhase.JOINED:
                    self.health.forget(name)
                    self.signs.pop(name, None)

    def update_listed_vms(self, listed: Iterable[ListedVm]) -> None:
        """Take the platform's list."""
        now = {vm.name: vm.state for vm in listed}
        for name, state in now.items():
            if self.listed.get(name) is not state and state is VmState.LEAVING:
                logging.info("decision=leaving vm=%s reason=list", name)
        self.listed = now

    def note_leaving(self, vm: str) -> None:
        """Note that an endpoint's own answer said that it is leaving."""
        if vm not in self.signs:
            logging.info("decision=leaving vm=%s reason=answer", vm)
        self.signs[vm] = self.clock.now() + SIGN_LIFETIME_SECONDS

    def takes_jobs(self, vm: str) -> bool:
        """Return whether a VM's endpoint takes jobs now."""
        found = self.vms.get(vm)
        if found is None or found.phase is not VmPhase.JOINED:
            return False
        if self.listed.get(vm) is VmState.LEAVING:
            return False
        if self.listed and vm not in self.listed:
            return False
        if self.signs and self.signs.get(vm, 0.0) > self.clock.now():
            return False
        return self.health.usable(vm)

    def in_pool(self, pool: str) -> Iterable[str]:
        """Return the VMs of a pool whose endpoints take jobs now."""
        return [vm for vm in self.pools.get(pool, ()) if self.takes_jobs(vm)]

    def is_near(self, vm: str) -> bool:
        """Return whether a VM is in this daemon's data centre."""
        return self.vms[vm].data_centre == self.data_centre

    def slots(self, pool: str) -> int:
        """Return the slots of a pool's endpoints that take jobs now."""
        return sum(self.vms[vm].slots for vm in self.in_pool(pool))
