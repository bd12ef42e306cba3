"""A system of real processes on loopback: daemons, stand-ins and proxies between them."""

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


#: ports of this test process: below the ephemeral ports, and apart from those of other processes
FIRST_PORT = 20_000 + os.getpid() % 30 * 400
PORTS = itertools.cycle(range(FIRST_PORT, FIRST_PORT + 400))


def free_port() -> int:
    """Return a port that nothing listens on, below the ephemeral ports."""
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no free port left for this test process")


@attrs.define
class DaemonProcess:
    """A limpetpulleyd process with its ports and the proxies in front of its connections."""

    name: str
    caller_port: int
    operator_port: int
    process: subprocess.Popen
    store_proxy: FaultProxy
    peer_proxy: FaultProxy


@attrs.define
class RequestResult:
    """A request and its result; times in seconds since boot."""

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
    """The processes of one test."""

    tasks: anyio.abc.TaskGroup
    logs: pathlib.Path
    daemons: dict[str, DaemonProcess] = attrs.field(factory=dict)
    endpoints: dict[str, FaultProxy] = attrs.field(factory=dict)
    processes: list[subprocess.Popen] = attrs.field(factory=list)
    requests: list[RequestResult] = attrs.field(factory=list)
    platform_port: int = 0
    http: httpcore.AsyncConnectionPool = attrs.field(
        factory=lambda: httpcore.AsyncConnectionPool(max_connections=500)
    )

    def spawn(self, *command: str, log: str) -> subprocess.Popen:
        """Start a process with its own log file."""
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
        """Start the platform stand-in and the endpoints."""
        self.platform_port = free_port()
        names = [f"vm-{index + 1}" for index in range(endpoints)]
        vm_list = ",".join([*names, *(f"d{index + 1}" for index in range(12))])
        self.spawn(
            "limpetpulley-standin",
            "platform",
            f"--port={self.platform_port}",
            f"--vms={vm_list}",
            log="platform",
        )
        for name in names:
            port = free_port()
            self.spawn("limpetpulley-standin", "endpoint", f"--port={port}", log=name)
            self.endpoints[name] = await self.proxy(port)

    async def start_daemon(self, name: str, data_centre: str) -> DaemonProcess:
        """Start a daemon with its own proxies for the store and its peers."""
        caller_port, operator_port, peer_port = free_port(), free_port(), free_port()
        store_proxy, peer_proxy = await self.proxy(self.platform_port), await self.proxy(peer_port)
        peer_addresses = [f"127.0.0.1:{daemon.peer_proxy.port}" for daemon in self.daemons.values()]
        process = self.spawn(
            "limpetpulleyd",
            f"--name={name}",
            f"--data-centre={data_centre}",
            f"--callers-port={caller_port}",
            f"--operators-port={operator_port}",
            f"--peers-port={peer_port}",
            f"--peer-address=127.0.0.1:{peer_proxy.port}",
            f"--store-url=http://127.0.0.1:{store_proxy.port}",
            f"--platform-url=http://127.0.0.1:{self.platform_port}",
            "--stop-seconds=20",
            *([f"--peers={','.join(peer_addresses)}"] if peer_addresses else []),
            log=name,
        )
        daemon = DaemonProcess(name, caller_port, operator_port, process, store_proxy, peer_proxy)
        self.daemons[name] = daemon
        return daemon

    def objects(self, limits: dict[str, int], slots: int, direct: bool = False) -> list:
        """Return the configuration objects of the test.

        :param limits: limit of running jobs, by team
        :param slots: slots of each VM
        :param direct: whether daemons connect to endpoints without proxies
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
        """Return the status and JSON response of an operator or stand-in port."""
        content = b"" if document is None else json.dumps(document).encode()
        response = await self.http.request(
            method, f"http://127.0.0.1:{port}{path}", content=content
        )
        return {"status": response.status, "answer": json.loads(response.content)}

    async def apply(self, daemon: str, objects: list) -> dict:
        """Write configuration objects through a daemon."""
        port = self.daemons[daemon].operator_port
        current = (await self.call(port, "GET", "/config"))["answer"]["objects"]
        revisions = {(item["kind"], item["name"]): item["revision"] for item in current}
        changes = [
            {
                "kind": value.kind,
                "name": value.name,
                "object": unstructure_object(value),
                "seen": revisions.get((value.kind, value.name), 0),
            }
            for value in objects
        ]
        return await self.call(port, "POST", "/config", {"by": "test", "changes": changes})

    async def wait_members(self, count: int, seconds: float = START_SECONDS) -> None:
        """Wait until every daemon is valid and has an open view of a number of members."""
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
        """Return the status of a daemon, empty if it does not respond."""
        try:
            return (await self.call(self.daemons[name].operator_port, "GET", "/status"))["answer"]
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return {}

    async def submit(
        self, daemon: str, queue: str, team: str, body: bytes, key: str = "", **headers: str
    ) -> RequestResult:
        """Submit a job and record its result."""
        result = RequestResult(daemon, team, key, body, sent_at=now())
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
                f"http://127.0.0.1:{self.daemons[daemon].caller_port}/queues/{queue}/jobs",
                headers=list(fields.items()),
                content=body,
                extensions={"timeout": {"read": 20.0, "connect": 2.0, "pool": 5.0}},
            )
            result.status, result.content = response.status, response.content
            names = {name.lower(): value for name, value in response.headers}
            result.job = names.get(b"job-id", b"").decode()
            if response.status >= 400 and response.content.startswith(b"{"):
                problem = json.loads(response.content)
                result.reason, result.run = problem["reason"], problem["run"]
                result.job = problem["job"]
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            result.error = repr(error)
        result.ended_at = now()
        self.requests.append(result)
        return result

    async def records(self) -> dict[str, list[dict]]:
        """Return the runs recorded by each endpoint."""
        runs = {}
        for name, proxy in self.endpoints.items():
            response = await self.call(proxy.target_port, "GET", "/records")
            runs[name] = response["answer"]
        return runs

    def stop_all(self) -> None:
        """Kill all processes of the test and wait for their exit."""
        for process in self.processes:
            if process.poll() is None:
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()


def now() -> float:
    """Return the time since boot in seconds, on the clock of the endpoints' records."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
