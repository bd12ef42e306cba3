"""Daemon processes of the platform's program, each with an address of its own on loopback."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys

import anyio
import attrs

from .system import free_port
from .zone_http import LinkedProxy, LinkedService
from .zone_links import Links
from .zone_workers import HEARTBEAT_SECONDS, MAX_LEASE_SECONDS

__all__ = ["PlatformDaemon", "daemon_host"]

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
SOURCE_ADDRESS = pathlib.Path(__file__).parent / "source_address"
#: second part of the daemons' addresses, so that test processes don't use the same ones
NETWORK = 1 + os.getpid() % 250
BOUNDS = {
    "drainMs": 2000,
    "graceS": 6,
    "configApplyMs": 2000,
    "holdMaxMs": int(MAX_LEASE_SECONDS * 1000),
    "stopMs": 200,
    "status_s": 120,
    "moveS": 1.5,
    "maintenanceS": 2,
    "leaseMs": 3000,
}
#: interval between checks whether a killed process has exited, in seconds
EXIT_POLL_SECONDS = 0.01
LIMITS = {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100, "linkMbps": 1000.0}


def daemon_host(index: int) -> str:
    """Return the address of a daemon, by its number."""
    return f"127.{NETWORK}.{index + 1}.1"


@attrs.define(eq=False)
class PlatformDaemon:
    """A daemon that can be killed and started again with the same name and address.

    :param store: store and list of machines
    :param folder: directory of its settings and its log
    :param proxy: what other daemons call; its ``port`` is that of the address told to them
    """

    name: str
    zone: str
    host: str
    store: LinkedService
    folder: pathlib.Path
    proxy: LinkedProxy
    caller_port: int
    ports: tuple[int, int, int]
    process: subprocess.Popen | None = None

    @classmethod
    def create(
        cls,
        name: str,
        zone: str,
        index: int,
        links: Links,
        store: LinkedService,
        folder: pathlib.Path,
    ) -> PlatformDaemon:
        """Choose a daemon's address and ports."""
        host = daemon_host(index)
        links.names[host] = name
        caller_port, readiness_port, peer_port = free_port(), free_port(), free_port()
        # The port of the metrics is the next one to that for other daemons.
        free_port()
        proxy = LinkedProxy(name, links, (host, peer_port))
        ports = (caller_port, readiness_port, peer_port)
        return cls(name, zone, host, store, folder, proxy, caller_port, ports)

    def start(self) -> None:
        """Start the process."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self._settings()))
        environment = {
            **os.environ,
            "LIMPETPULLEY_CONFIG": str(path),
            "TEST_SOURCE_ADDRESS": self.host,
            "PYTHONPATH": str(SOURCE_ADDRESS),
        }
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "limpetpulley.platform"],
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its exit while the test goes on."""
        self.signal(signal.SIGKILL)
        while self.process is not None and self.process.poll() is None:
            await anyio.sleep(EXIT_POLL_SECONDS)

    def end(self) -> None:
        """Kill the process, whether or not it is suspended, and wait for its exit."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def _settings(self) -> dict:
        caller_port, readiness_port, peer_port = self.ports
        return {
            "nodeName": self.name,
            "role": "entry",
            "zone": self.zone,
            "ip": self.host,
            "listen": {
                "frontend": f"{self.host}:{caller_port}",
                "readiness": f"{self.host}:{readiness_port}",
            },
            "internalPorts": [peer_port, peer_port + 15],
            "limits": LIMITS,
            "heartbeatMs": int(HEARTBEAT_SECONDS * 1000),
            "bounds": BOUNDS,
            "orders": "call",
            "advice": None,
            "platform": {"address": self.store.address, "form": "kv"},
            "cloud": {"address": self.store.address, "ratePerS": 64.0, "dutyPerS": 64.0},
        }
