"""One daemon against calling the endpoint directly: latency, throughput, memory, idle time."""

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

LIGHT_JOBS = 400
FULL_SECONDS = 6.0
FULL_CALLERS = 24
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
    """Sends jobs over plain sockets, so that the load itself costs little."""

    port: int
    path: str
    idle: list[anyio.abc.SocketStream] = attrs.field(factory=list)

    async def call(self) -> float:
        """Return the seconds that one job takes."""
        began = time.perf_counter()
        stream = self.idle.pop() if self.idle else await anyio.connect_tcp("127.0.0.1", self.port)
        await stream.send(REQUEST % self.path.encode() + BODY)
        answer = b""
        while (end := answer.find(b"\r\n\r\n")) < 0 or len(answer) < end + 4 + len(BODY):
            answer += await stream.receive()
        assert answer.startswith(b"HTTP/1.1 200"), answer
        self.idle.append(stream)
        return time.perf_counter() - began

    async def light(self) -> list[float]:
        """Return the times of jobs sent one after another."""
        for _ in range(30):
            await self.call()
        return [await self.call() for _ in range(LIGHT_JOBS)]

    async def full(self) -> float:
        """Return the jobs a second with many callers at once."""
        done = 0
        until = time.perf_counter() + FULL_SECONDS

        async def keep_calling() -> None:
            nonlocal done
            while time.perf_counter() < until:
                await self.call()
                done += 1

        async with anyio.create_task_group() as tasks:
            for _ in range(FULL_CALLERS):
                tasks.start_soon(keep_calling)
        return done / FULL_SECONDS


def measure_daemon() -> list[Row]:
    """Return the figures of one daemon, and of a change on nine."""
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
            endpoint = next(iter(system.endpoints.values())).target_port
            rows += await _measure_one(daemon.callers, endpoint, daemon.process.pid)
            rows += await _measure_changes(system)
        finally:
            system.stop_all()
            tasks.cancel_scope.cancel()
    return rows


async def _measure_one(callers: int, endpoint: int, pid: int) -> list[Row]:
    process = psutil.Process(pid)
    direct, through = _Caller(endpoint, "/"), _Caller(callers, "/queues/safe/jobs")
    plain, added = await direct.light(), await through.light()
    busy = process.cpu_times()
    rate = await through.full()
    spent = process.cpu_times()
    direct_rate = await direct.full()
    memory = process.memory_info().rss / 2**20
    before = process.cpu_times()
    await anyio.sleep(IDLE_SECONDS)
    after = process.cpu_times()
    idle = (after.user + after.system - before.user - before.system) / IDLE_SECONDS
    used = (spent.user + spent.system - busy.user - busy.system) / FULL_SECONDS
    p50, p99 = _difference(plain, added)
    return [
        Row("added latency, p50, light load", p50 * 1000, "ms", "under 3"),
        Row("added latency, p99, light load", p99 * 1000, "ms", "under 10"),
        Row(
            "latency against direct, p50", statistics.median(added) / statistics.median(plain), "x"
        ),
        Row("jobs a second through one daemon", rate, "1/s", "at least 500"),
        Row("jobs a second against direct", rate / direct_rate, "x"),
        Row("processor share of the daemon then", used, "cores"),
        Row("memory after the load", memory, "MB", "under 64"),
        Row("processor share of an idle daemon", idle * 100, "%"),
    ]


def _difference(plain: list[float], added: list[float]) -> tuple[float, float]:
    low, high = sorted(plain), sorted(added)
    at = int(len(low) * 0.99)
    return statistics.median(high) - statistics.median(low), high[at] - low[at]


async def _measure_changes(system: ProcessSystem) -> list[Row]:
    """Time how long a change takes to be in force on nine daemons."""
    for index in range(1, DAEMONS):
        await system.start_daemon(f"d{index + 1}", f"dc{index % 3 + 1}")
    await system.wait_members(DAEMONS, 60)
    heard = await _time_changes(system)
    await system.call(system.platform, "POST", "/faults", {"silent_watch": True})
    await anyio.sleep(1)
    silent = await _time_changes(system)
    await system.call(system.platform, "POST", "/faults", {"silent_watch": False})
    counts = (await system.call(system.platform, "GET", "/counts"))["answer"]
    await anyio.sleep(20)
    later = (await system.call(system.platform, "GET", "/counts"))["answer"]
    writes = (later["/v3/kv/txn"] - counts["/v3/kv/txn"]) / 20
    reads = (later["/v3/kv/range"] - counts["/v3/kv/range"]) / 20
    pids = [daemon.process.pid for daemon in system.daemons.values()]
    memory = max(psutil.Process(pid).memory_info().rss for pid in pids) / 2**20
    return [
        Row("change in force on 9 daemons, worst of 10", max(heard), "s", "under 2"),
        Row("the same with the watch silent", max(silent), "s", "under 5"),
        Row("writes at the store, 9 idle daemons", writes, "1/s", "at most 20"),
        Row("reads at the store, 9 idle daemons", reads, "1/s", "at most 100"),
        Row("memory of the largest of 9 daemons", memory, "MB", "under 64"),
    ]


async def _time_changes(system: ProcessSystem) -> list[float]:
    times = []
    for index in range(CHANGES):
        objects = system.objects({"large": 200 + index % 2, "small": 6}, 16, True)[:1]
        answer = await system.apply("d1", objects)
        began = time.perf_counter()
        revision = answer["answer"]["revision"]
        while not await _in_force(system, revision):
            await anyio.sleep(0.01)
        times.append(time.perf_counter() - began)
    return times


async def _in_force(system: ProcessSystem, revision: int) -> bool:
    for name in system.daemons:
        if (await system.status(name)).get("config_revision", 0) < revision:
            return False
    return True
