"""Command line of the stand-ins."""

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


@cappa.command(name="platform", help="Store, list of VMs and workers on one port.")
@attrs.define
class Platform:
    """Arguments of the platform's stand-in."""

    port: int = attrs.field(metadata={"cappa": cappa.Arg(long=True)}, default=2379)
    vms: str = attrs.field(
        metadata={"cappa": cappa.Arg(long=True, help="names, by comma")},
        default="desk-1,desk-2,desk-3",
    )


@cappa.command(name="endpoint", help="An endpoint that waits and echoes.")
@attrs.define
class Endpoint:
    """Arguments of the endpoint's stand-in."""

    port: int = attrs.field(metadata={"cappa": cappa.Arg(long=True)}, default=9000)


@cappa.command(name="fleet", help="Daemons, workers and VMs in one process, for jobs of steps.")
@attrs.define
class Fleet:
    """Arguments of the stand-in of a whole fleet."""

    port: int = attrs.field(metadata={"cappa": cappa.Arg(long=True)}, default=8400)


@cappa.command(name="workers", help="Workers for jobs of steps and their VMs, on one port.")
@attrs.define
class Workers:
    """Arguments of the stand-in of workers."""

    port: int = attrs.field(metadata={"cappa": cappa.Arg(long=True)}, default=8500)
    store_url: str = attrs.field(
        metadata={"cappa": cappa.Arg(long=True)}, default="http://127.0.0.1:2379"
    )
    prefix: str = attrs.field(
        metadata={"cappa": cappa.Arg(long=True, help="prefix of all keys in the store")},
        default="/limpetpulley/",
    )
    vms: str = attrs.field(
        metadata={"cappa": cappa.Arg(long=True, help="name:pool, by comma")},
        default="desk-1:desk,desk-2:desk,spare-1:spare",
    )
    address: str = attrs.field(
        metadata={
            "cappa": cappa.Arg(long=True, default="", help="host:port to make known, of a proxy")
        },
        default="",
    )
    off: str = attrs.field(
        metadata={"cappa": cappa.Arg(long=True, help="pools whose VMs are off, by comma")},
        default="spare",
    )


@cappa.command(name="limpetpulley-standin", help="Stand-ins for trying limpetpulley out.")
@attrs.define
class Standin:
    """Which stand-in to run."""

    command: cappa.Subcommands[Platform | Endpoint | Fleet | Workers]


async def serve(app, port: int) -> None:
    """Serve an application on loopback until interrupted."""
    server = HttpServer(app, "127.0.0.1", port)
    print(f"listening on 127.0.0.1:{server.port}", flush=True)
    await server.serve()


async def serve_fleet(port: int) -> None:
    """Serve a fleet's callers on loopback until interrupted."""
    async with anyio.create_task_group() as tasks:
        fleet = make_fleet(tasks, SystemClock())
        nodes = [fleet.start_daemon(f"entry-{number + 1}") for number in range(3)]
        await serve(BatchesApp(nodes[0], native_dialect()), port)


async def serve_workers(arguments: Workers) -> None:
    """Serve workers and VMs on loopback until interrupted."""
    async with anyio.create_task_group() as tasks:
        store = EtcdStore(arguments.store_url)
        off = [pool for pool in arguments.off.split(",") if pool]
        host = WorkersHost(store, f"{arguments.prefix}workers/", SystemClock(), tasks, off)
        for number, vm in enumerate(arguments.vms.split(",")):
            name, _, pool = vm.partition(":")
            host.vms.add(name, pool, f"rack-{number % RACKS}")
        host.start(arguments.address or f"127.0.0.1:{arguments.port}")
        await serve(host, arguments.port)


def main() -> None:
    """Run a stand-in."""
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
