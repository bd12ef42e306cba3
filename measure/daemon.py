"""Overhead of one daemon over direct calls to the endpoint, and of changes on nine daemons."""

from __future__ import annotations

import pathlib
import statistics
import tempfile
import time

import anyio
import attrs
import psutil

from tests.integration.system import ProcessSystem

from .table import Row

__all__ = ["measure_daemon"]

LATENCY_JOBS = 400
THROUGHPUT_SECONDS = 6.0
CONCURRENT_CALLERS = 24
IDLE_SECONDS = 5.0
CHANGES = 10
DAEMONS = 9
BODY = b"x" * 200
REQUEST = (
    b"POST %s HTTP/1.1\r\nhost: measure\r\nauthorization: Bearer secret-large\r\n"
    b"time-left: 8\r\ncontent-length: 200\r\n\r\n"
)


@attrs.define
class _Caller:
    """Submits jobs over plain sockets, so that generating the load costs little."""

    port: int
    path: str
    idle_streams: list[anyio.abc.SocketStream] = attrs.field(factory=list)

    async def call(self) -> float:
        """Submit one job and return its response time in seconds."""
        started_at = time.perf_counter()
        stream = (
            self.idle_streams.pop()
            if self.idle_streams
            else await anyio.connect_tcp("127.0.0.1", self.port)
        )
        await stream.send(REQUEST % self.path.encode() + BODY)
        response = b""
        while (end := response.find(b"\r\n\r\n")) < 0 or len(response) < end + 4 + len(BODY):
            response += await stream.receive()
        assert response.startswith(b"HTTP/1.1 200"), response
        self.idle_streams.append(stream)
        return time.perf_counter() - started_at

    async def measure_latencies(self) -> list[float]:
        """Return the response times of jobs submitted one after another, in seconds."""
        for _ in range(30):
            await self.call()
        return [await self.call() for _ in range(LATENCY_JOBS)]

    async def measure_throughput(self) -> float:
        """Return the jobs per second that concurrent callers reach."""
        completed = 0
        deadline = time.perf_counter() + THROUGHPUT_SECONDS

        async def keep_calling() -> None:
            nonlocal completed
            while time.perf_counter() < deadline:
                await self.call()
                completed += 1

        async with anyio.create_task_group() as tasks:
            for _ in range(CONCURRENT_CALLERS):
                tasks.start_soon(keep_calling)
        return completed / THROUGHPUT_SECONDS


def measure_daemon() -> list[Row]:
    """Return the figures of one daemon, and of configuration changes on nine."""
    with tempfile.TemporaryDirectory() as logs:
        return anyio.run(_run, pathlib.Path(logs))


async def _run(logs: pathlib.Path) -> list[Row]:
    rows: list[Row] = []
    async with anyio.create_task_group() as tasks:
        system = ProcessSystem(tasks, logs)
        try:
            await system.start_platform(4)
            await anyio.sleep(1.5)
            daemon = await system.start_daemon("d1", "dc1")
            await anyio.sleep(2.5)
            await system.apply("d1", system.objects({"large": 200, "small": 6}, 16, True))
            await system.wait_members(1)
            await anyio.sleep(1)
            endpoint_port = next(iter(system.endpoints.values())).target_port
            rows += await _measure_single_daemon(
                daemon.caller_port, endpoint_port, daemon.process.pid
            )
            rows += await _measure_changes(system)
        finally:
            system.stop_all()
            tasks.cancel_scope.cancel()
    return rows


async def _measure_single_daemon(caller_port: int, endpoint_port: int, pid: int) -> list[Row]:
    process = psutil.Process(pid)
    direct, proxied = _Caller(endpoint_port, "/"), _Caller(caller_port, "/queues/safe/jobs")
    direct_times, daemon_times = await direct.measure_latencies(), await proxied.measure_latencies()
    load_start = process.cpu_times()
    rate = await proxied.measure_throughput()
    load_end = process.cpu_times()
    direct_rate = await direct.measure_throughput()
    memory = process.memory_info().rss / 2**20
    idle_start = process.cpu_times()
    await anyio.sleep(IDLE_SECONDS)
    idle_end = process.cpu_times()
    idle_cores = (
        idle_end.user + idle_end.system - idle_start.user - idle_start.system
    ) / IDLE_SECONDS
    load_cores = (
        load_end.user + load_end.system - load_start.user - load_start.system
    ) / THROUGHPUT_SECONDS
    p50, p99 = _added_latency(direct_times, daemon_times)
    return [
        Row("added latency, p50, light load", p50 * 1000, "ms", "under 3"),
        Row("added latency, p99, light load", p99 * 1000, "ms", "under 10"),
        Row(
            "latency relative to direct calls, p50",
            statistics.median(daemon_times) / statistics.median(direct_times),
            "x",
        ),
        Row("jobs per second through one daemon", rate, "1/s", "at least 500"),
        Row("jobs per second relative to direct calls", rate / direct_rate, "x"),
        Row("CPU use of the daemon under that load", load_cores, "cores"),
        Row("memory after the load", memory, "MB", "under 64"),
        Row("CPU use of an idle daemon", idle_cores * 100, "%"),
    ]


def _added_latency(direct_times: list[float], daemon_times: list[float]) -> tuple[float, float]:
    direct, through_daemon = sorted(direct_times), sorted(daemon_times)
    p99 = int(len(direct) * 0.99)
    return (
        statistics.median(through_daemon) - statistics.median(direct),
        through_daemon[p99] - direct[p99],
    )


async def _measure_changes(system: ProcessSystem) -> list[Row]:
    """Measure how long a configuration change takes to be in force on nine daemons."""
    for index in range(1, DAEMONS):
        await system.start_daemon(f"d{index + 1}", f"dc{index % 3 + 1}")
    await system.wait_members(DAEMONS, 60)
    live_watch = await _time_changes(system)
    await system.call(system.platform_port, "POST", "/faults", {"silent_watch": True})
    await anyio.sleep(1)
    silent_watch = await _time_changes(system)
    await system.call(system.platform_port, "POST", "/faults", {"silent_watch": False})
    counts = (await system.call(system.platform_port, "GET", "/counts"))["answer"]
    await anyio.sleep(20)
    later_counts = (await system.call(system.platform_port, "GET", "/counts"))["answer"]
    writes = (later_counts["/v3/kv/txn"] - counts["/v3/kv/txn"]) / 20
    reads = (later_counts["/v3/kv/range"] - counts["/v3/kv/range"]) / 20
    pids = [daemon.process.pid for daemon in system.daemons.values()]
    memory = max(psutil.Process(pid).memory_info().rss for pid in pids) / 2**20
    return [
        Row(
            "time until a change is in force on 9 daemons, worst of 10",
            max(live_watch),
            "s",
            "under 2",
        ),
        Row("the same while the watch is silent", max(silent_watch), "s", "under 5"),
        Row("store writes, 9 idle daemons", writes, "1/s", "at most 20"),
        Row("store reads, 9 idle daemons", reads, "1/s", "at most 100"),
        Row("memory of the largest of 9 daemons", memory, "MB", "under 64"),
    ]


async def _time_changes(system: ProcessSystem) -> list[float]:
    times = []
    for index in range(CHANGES):
        objects = system.objects({"large": 200 + index % 2, "small": 6}, 16, True)[:1]
        response = await system.apply("d1", objects)
        started_at = time.perf_counter()
        revision = response["answer"]["revision"]
        while not await _is_in_force(system, revision):
            await anyio.sleep(0.01)
        times.append(time.perf_counter() - started_at)
    return times


async def _is_in_force(system: ProcessSystem, revision: int) -> bool:
    for name in system.daemons:
        if (await system.status(name)).get("config_revision", 0) < revision:
            return False
    return True
