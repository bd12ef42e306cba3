"""Command line of the stand-ins, which emulate the systems around limpetpulley."""

from __future__ import annotations

import anyio
import attrs
import cappa

from ..api.batches import BatchesApp, native_dialect
from ..api.server import HttpServer
from ..clock import SystemClock
from ..store import MemoryStore
from ..store.etcd import EtcdStore
from .batchfleet import make_fleet
from .endpoint import EndpointStandin
from .fleet import MemoryFleet
from .host import WorkersHost
from .platform import PlatformStandin

__all__ = ["main"]

RACKS = 2


@cappa.command(name="platform", help="Store, list of VMs and their controls, on one port.")
@attrs.define
class Platform:
    """Arguments of the emulated platform."""

    port: int = attrs.field(metadata={"cappa": cappa.Arg(long=True)}, default=2379)
    vms: str = attrs.field(
        metadata={"cappa": cappa.Arg(long=True, help="names of the VMs, comma-separated")},
        default="desk-1,desk-2,desk-3",
    )


@cappa.command(
    name="endpoint", help="An endpoint that runs jobs by waiting and echoes their bodies."
)
@attrs.define
class Endpoint:
    """Arguments of the emulated endpoint."""

    port: int = attrs.field(metadata={"cappa": cappa.Arg(long=True)}, default=9000)


@cappa.command(name="fleet", help="Daemons, workers and VMs in one process, for jobs with steps.")
@attrs.define
class Fleet:
    """Arguments of the emulated deployment."""

    port: int = attrs.field(metadata={"cappa": cappa.Arg(long=True)}, default=8400)


@cappa.command(name="workers", help="Workers for jobs with steps, and their VMs, on one port.")
@attrs.define
class Workers:
    """Arguments of the emulated workers."""

    port: int = attrs.field(metadata={"cappa": cappa.Arg(long=True)}, default=8500)
    store_url: str = attrs.field(
        metadata={"cappa": cappa.Arg(long=True)}, default="http://127.0.0.1:2379"
    )
    prefix: str = attrs.field(
        metadata={"cappa": cappa.Arg(long=True, help="prefix of all keys in the store")},
        default="/limpetpulley/",
    )
    vms: str = attrs.field(
        metadata={"cappa": cappa.Arg(long=True, help="name:pool of each VM, comma-separated")},
        default="desk-1:desk,desk-2:desk,spare-1:spare",
    )
    address: str = attrs.field(
        metadata={
            "cappa": cappa.Arg(
                long=True, default="", help="host:port to register, if not the server's own"
            )
        },
        default="",
    )
    off: str = attrs.field(
        metadata={
            "cappa": cappa.Arg(
                long=True, help="standby pools, whose VMs run no worker, comma-separated"
            )
        },
        default="spare",
    )


@cappa.command(
    name="limpetpulley-standin",
    help="Stand-ins that emulate the systems around limpetpulley, for trials.",
)
@attrs.define
class Standin:
    """Arguments of the command: the stand-in to run."""

    command: cappa.Subcommands[Platform | Endpoint | Fleet | Workers]


async def serve(app, port: int) -> None:
    """Serve an application on loopback until interrupted."""
    server = HttpServer(app, "127.0.0.1", port)
    print(f"listening on 127.0.0.1:{server.port}", flush=True)
    await server.serve()


async def serve_fleet(port: int) -> None:
    """Serve the callers of an emulated deployment on loopback until interrupted."""
    async with anyio.create_task_group() as tasks:
        fleet = make_fleet(tasks, SystemClock())
        nodes = [fleet.start_daemon(f"entry-{number + 1}") for number in range(3)]
        await serve(BatchesApp(nodes[0], native_dialect()), port)


async def serve_workers(arguments: Workers) -> None:
    """Serve emulated workers and VMs on loopback until interrupted."""
    async with anyio.create_task_group() as tasks:
        store = EtcdStore(arguments.store_url)
        standby_pools = [pool for pool in arguments.off.split(",") if pool]
        host = WorkersHost(
            store, f"{arguments.prefix}workers/", SystemClock(), tasks, standby_pools
        )
        for number, vm in enumerate(arguments.vms.split(",")):
            name, _, pool = vm.partition(":")
            host.vms.add(name, pool, f"rack-{number % RACKS}")
        host.start(arguments.address or f"127.0.0.1:{arguments.port}")
        await serve(host, arguments.port)


def main() -> None:
    """Run the stand-in that the command line selects."""
    command = cappa.parse(Standin).command
    if isinstance(command, Platform):
        names = tuple(name for name in command.vms.split(",") if name)
        app = PlatformStandin(MemoryStore(), MemoryFleet(names))
        anyio.run(serve, app, command.port)
    elif isinstance(command, Fleet):
        anyio.run(serve_fleet, command.port)
    elif isinstance(command, Workers):
        anyio.run(serve_workers, command)
    else:
        anyio.run(serve, EndpointStandin(), command.port)
