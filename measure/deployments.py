"""The two sample deployments of the measurements."""

from __future__ import annotations

import attrs

from limpetpulley.config import Budget, ConfigObject, Pool, Queue, Team, Vm

__all__ = ["DEPLOYMENTS", "Deployment"]


@attrs.frozen
class Deployment:
    """Size and layout of one deployment.

    :param name: name of the deployment
    :param data_centres: names of the data centres
    :param delay_seconds: one-way network delay between data centres
    :param pools: pools that serve one queue each
    :param vms: VMs in each pool, including the spare pool
    :param teams: weight and limit of running jobs of each team
    :param daemons: daemons, on one entry VM each
    :param slots: slots of each VM
    """

    name: str
    data_centres: tuple[str, ...]
    delay_seconds: float
    pools: tuple[str, ...]
    vms: int
    teams: dict[str, tuple[float, int]]
    daemons: int
    slots: int = 8

    def objects(
        self, addresses: dict[str, str] | None = None, run_seconds: float = 1.0
    ) -> list[ConfigObject]:
        """Return the configuration objects of the deployment.

        :param addresses: endpoint address by VM; default addresses are made up for others
        :param run_seconds: expected run time of the queues' jobs
        """
        objects: list[ConfigObject] = [
            Team(name, weight, limit, 400) for name, (weight, limit) in self.teams.items()
        ]
        for index, pool in enumerate((*self.pools, "spare")):
            objects.append(Pool(pool, spare=pool == "spare"))
            if pool != "spare":
                objects.append(Queue(pool, pool, run_seconds=run_seconds, max_seconds=30.0))
            for number in range(self.vms):
                name = f"{pool}-{number + 1}"
                address = (addresses or {}).get(name, f"192.0.2.{index * 20 + number + 1}:9000")
                rack = f"rack-{(index * self.vms + number) // 4 + 1}"
                data_centre = self.data_centres[
                    ((index * self.vms + number) // 4) % len(self.data_centres)
                ]
                objects.append(Vm(name, pool, address, rack, data_centre, self.slots))
        objects.append(Budget("pools", "pool", "*", 2))
        objects.append(Budget("racks", "rack", "*", 2))
        return objects

    def vm_names(self) -> list[str]:
        """Return the names of all VMs, including spare ones."""
        return [f"{pool}-{n + 1}" for pool in (*self.pools, "spare") for n in range(self.vms)]


TRUST = Deployment(
    "trust",
    ("almaty-1", "almaty-2", "astana-1"),
    0.0014,
    ("quotes", "sheets", "residuals", "members", "invoices"),
    6,
    {
        "studio-a": (4.0, 120),
        "studio-b": (3.0, 100),
        "agents": (1.0, 60),
        "guild": (1.0, 60),
        "audit": (1.0, 40),
        "night": (1.0, 40),
    },
    7,
)
OFFICE = Deployment(
    "office",
    ("perth-1", "perth-2", "perth-3", "bunbury-1"),
    0.0005,
    ("menus", "shifts", "orders", "stores", "reports"),
    8,
    {
        "perth": (4.0, 160),
        "north": (2.0, 120),
        "south": (1.0, 80),
        "kitchens": (1.0, 80),
        "orders": (1.0, 60),
        "night": (1.0, 60),
    },
    9,
)
DEPLOYMENTS = {deployment.name: deployment for deployment in (TRUST, OFFICE)}
