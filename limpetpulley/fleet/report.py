"""What operators are told of the fleet."""

from __future__ import annotations

from typing import Any

from ..config import ConfigReplica, Pool, Vm
from ..exception import ConfigError
from ..routing import EndpointSet

__all__ = ["FleetReport"]


class FleetReport:
    """Tells operators of pools and VMs.

    :param replica: configuration in force
    :param endpoints: the fleet's endpoints as routing sees them
    """

    def __init__(self, replica: ConfigReplica, endpoints: EndpointSet):
        self.replica = replica
        self.endpoints = endpoints

    def explain_vm(self, name: str) -> dict[str, Any] | None:
        """Return why a VM is where it is, or None if there is no such VM."""
        record = self.replica.records.get(f"{Vm.kind}/{name}")
        if record is None or record.value is None:
            return None
        vm = self.replica.get(Vm.kind, name)
        return {
            "vm": name,
            "pool": vm.pool,
            "phase": str(vm.phase),
            "takes_jobs": self.endpoints.takes_jobs(name),
            "listed": str(self.endpoints.listed.get(name, "not listed")),
            "changed_by": record.changed_by,
            "changed_at": record.changed_at,
            "maintained_in": vm.maintained_in,
        }

    def fleet_status(self) -> dict[str, Any]:
        """Return the state of pools."""
        pools = []
        for pool in self.replica.all(Pool.kind):
            vms = [vm for vm in self.replica.all(Vm.kind) if vm.pool == pool.name]
            pools.append(
                {
                    "pool": pool.name,
                    "vms": len(vms),
                    "taking_jobs": sum(self.endpoints.takes_jobs(vm.name) for vm in vms),
                    "slots": self.endpoints.slots(pool.name),
                }
            )
        return {"pools": pools}

    def preview_wave(self, pools: tuple[str, ...]) -> dict[str, Any]:
        """Return what a maintenance wave would do."""
        raise ConfigError("maintenance waves are not part of this version")
