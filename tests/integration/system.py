"""Real processes on loopback: daemons, stand-ins, and proxies between them."""

from __future__ import annotations

import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import anyio
import attrs
import httpcore

from limpetpulley.config import (
    AccessKey,
    Budget,
    Pool,
    Queue,
    Team,
    Vm,
    digest_secret,
    unstructure_object,
)
from limpetpulley.standin import FaultProxy

BIN = pathlib.Path(sys.executable).parent
START_SECONDS = 30.0


#: ports of this process: below those of outgoing connections, and apart from those of others
FIRST_PORT = 20_000 + os.getpid() % 30 * 400
PORTS = itertools.cycle(range(FIRST_PORT, FIRST_PORT + 400))


def free_port() -> int:
    """Return a port that nothing listens on now, below those of outgoing connections."""
    for port in PORTS:
        with socket.socket() as found:
            try:
                found.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no port is free")


@attrs.define
class DaemonProcess:
    """One limpetpulleyd."""

    name: str
    callers: int
    operators: int
    process: subprocess.Popen
    store: FaultProxy
    peers: FaultProxy


@attrs.define
class Answered:
    """One request and how it ended; times on the machine's clock since boot."""

    daemon: str
    team: str
    key: str
    body: bytes
    status: int = 0
    reason: str = ""
    run: str = ""
    job: str = ""
    content: bytes = b""
    sent_at: float = 0.0
    ended_at: float = 0.0
    error: str = ""


@attrs.define
class ProcessSystem:
    """All processes of one test."""

    tasks: anyio.abc.TaskGroup
    logs: pathlib.Path
    daemons: dict[str, DaemonProcess] = attrs.field(factory=dict)
    endpoints: dict[str, FaultProxy] = attrs.field(factory=dict)
    processes: list[subprocess.Popen] = attrs.field(factory=list)
    answered: list[Answered] = attrs.field(factory=list)
    platform: int = 0
    http: httpcore.AsyncConnectionPool = attrs.field(
        factory=lambda: httpcore.AsyncConnectionPool(max_connections=500)
    )

    def spawn(self, *command: str, log: str) -> subprocess.Popen:
        """Start a process that writes to a log of its own."""
        with open(self.logs / f"{log}.log", "ab") as file:
            process = subprocess.Popen(
                [str(BIN / command[0]), *command[1:]], stdout=file, stderr=file
            )
        self.processes.append(process)
        return process

    async def proxy(self, port: int) -> FaultProxy:
        """Start a proxy in front of a port."""
        proxy = FaultProxy(port)
        await self.tasks.start(proxy.serve)
        return proxy

    async def start_platform(self, endpoints: int) -> None:
        """Start the platform's stand-in and the endpoints."""
        self.platform = free_port()
        names = [f"vm-{index + 1}" for index in range(endpoints)]
        listed = ",".join([*names, *(f"d{index + 1}" for index in range(12))])
        self.spawn(
            "limpetpulley-standin",
            "platform",
            f"--port={self.platform}",
            f"--vms={listed}",
            log="platform",
        )
        for name in names:
            port = free_port()
            self.spawn("limpetpulley-standin", "endpoint", f"--port={port}", log=name)
            self.endpoints[name] = await self.proxy(port)

    async def start_daemon(self, name: str, data_centre: str) -> DaemonProcess:
        """Start a daemon behind proxies of its own."""
        callers, operators, peers = free_port(), free_port(), free_port()
        store_proxy, peer_proxy = await self.proxy(self.platform), await self.proxy(peers)
        known = [f"127.0.0.1:{daemon.peers.port}" for daemon in self.daemons.values()]
        process = self.spawn(
            "limpetpulleyd",
            f"--name={name}",
            f"--data-centre={data_centre}",
            f"--callers-port={callers}",
            f"--operators-port={operators}",
            f"--peers-port={peers}",
            f"--peer-address=127.0.0.1:{peer_proxy.port}",
            f"--store-url=http://127.0.0.1:{store_proxy.port}",
            f"--platform-url=http://127.0.0.1:{self.platform}",
            "--stop-seconds=20",
            *([f"--peers={','.join(known)}"] if known else []),
            log=name,
        )
        daemon = DaemonProcess(name, callers, operators, process, store_proxy, peer_proxy)
        self.daemons[name] = daemon
        return daemon

    def objects(self, limits: dict[str, int], slots: int, direct: bool = False) -> list:
        """Return the configuration of the test.

        :param direct: whether endpoints are reached without their proxies
        """
        teams = [Team(name, 1.0, limit) for name, limit in limits.items()]
        keys = [AccessKey(f"{n}-key", n, digest_secret(f"secret-{n}")) for n in limits]
        vms = [
            Vm(
                name,
                "main",
                f"127.0.0.1:{proxy.target_port if direct else proxy.port}",
                f"rack-{index // 2}",
                f"dc{index % 3 + 1}",
                slots,
            )
            for index, (name, proxy) in enumerate(self.endpoints.items())
        ]
        return [
            *teams,
            *keys,
            Pool("main"),
            Queue("jobs", "main", run_seconds=0.1, max_seconds=10.0),
            Queue("safe", "main", idempotent=True, run_seconds=0.1, max_seconds=10.0),
            Budget("pools", "pool", "*", 2),
            *vms,
        ]

    async def call(self, port: int, method: str, path: str, document=None) -> dict:
        """Return the JSON answer of an operators' or stand-in's port."""
        content = b"" if document is None else json.dumps(document).encode()
        response = await self.http.request(
            method, f"http://127.0.0.1:{port}{path}", content=content
        )
        return {"status": response.status, "answer": json.loads(response.content)}

    async def apply(self, daemon: str, objects: list) -> dict:
        """Write objects through a daemon."""
        port = self.daemons[daemon].operators
        held = (await self.call(port, "GET", "/config"))["answer"]["objects"]
        seen = {(item["kind"], item["name"]): item["revision"] for item in held}
        changes = [
            {
                "kind": value.kind,
                "name": value.name,
                "object": unstructure_object(value),
                "seen": seen.get((value.kind, value.name), 0),
            }
            for value in objects
        ]
        return await self.call(port, "POST", "/config", {"by": "test", "changes": changes})

    async def wait_members(self, count: int, seconds: float = START_SECONDS) -> None:
        """Wait until every daemon knows one open view of so many members and is valid."""
        with anyio.fail_after(seconds):
            while True:
                states = [await self.status(name) for name in self.daemons]
                if all(
                    state.get("valid")
                    and state["epoch_state"] == "open"
                    and sum(daemon["in_view"] for daemon in state["daemons"]) == count
                    for state in states
                ):
                    return
                await anyio.sleep(0.2)

    async def status(self, name: str) -> dict:
        """Return a daemon's state, empty if it does not answer."""
        try:
            return (await self.call(self.daemons[name].operators, "GET", "/status"))["answer"]
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return {}

    async def submit(
        self, daemon: str, queue: str, team: str, body: bytes, key: str = "", **headers: str
    ) -> Answered:
        """Hand in a job and note how it ended."""
        found = Answered(daemon, team, key, body, sent_at=now())
        fields = {
            "authorization": f"Bearer secret-{team}",
            "time-left": "8",
            "team": team,
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if key:
            fields["idempotency-key"] = key
        try:
            response = await self.http.request(
                "POST",
                f"http://127.0.0.1:{self.daemons[daemon].callers}/queues/{queue}/jobs",
                headers=list(fields.items()),
                content=body,
                extensions={"timeout": {"read": 20.0, "connect": 2.0, "pool": 5.0}},
            )
            found.status, found.content = response.status, response.content
            names = {name.lower(): value for name, value in response.headers}
            found.job = names.get(b"job-id", b"").decode()
            if response.status >= 400 and response.content.startswith(b"{"):
                problem = json.loads(response.content)
                found.reason, found.run = problem["reason"], problem["run"]
                found.job = problem["job"]
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            found.error = repr(error)
        found.ended_at = now()
        self.answered.append(found)
        return found

    async def records(self) -> dict[str, list[dict]]:
        """Return the runs that each endpoint recorded."""
        found = {}
        for name, proxy in self.endpoints.items():
            answer = await self.call(proxy.target_port, "GET", "/records")
            found[name] = answer["answer"]
        return found

    def stop_all(self) -> None:
        """End every process that was started here."""
        for process in self.processes:
            if process.poll() is None:
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()


def now() -> float:
    """Return the time since boot in seconds, as the endpoints record it."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
