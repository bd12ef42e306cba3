"""Command line of the stand-ins."""

from __future__ import annotations

import anyio
import attrs
import cappa

from ..api.server import HttpServer
from ..store import MemoryStore
from .endpoint import EndpointStandin
from .fleet import MemoryFleet
from .platform import PlatformStandin

__all__ = ["main"]


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


@cappa.command(name="limpetpulley-standin", help="Stand-ins for trying limpetpulley out.")
@attrs.define
class Standin:
    """Which stand-in to run."""

    command: cappa.Subcommands[Platform | Endpoint]


async def serve(app, port: int) -> None:
    """Serve an application on loopback until interrupted."""
    server = HttpServer(app, "127.0.0.1", port)
    print(f"listening on 127.0.0.1:{server.port}", flush=True)
    await server.serve()


def main() -> None:
    """Run a stand-in."""
    command = cappa.parse(Standin).command
    if isinstance(command, Platform):
        names = tuple(name for name in command.vms.split(",") if name)
        app = PlatformStandin(MemoryStore(), MemoryFleet(names))
        anyio.run(serve, app, command.port)
    else:
        anyio.run(serve, EndpointStandin(), command.port)
