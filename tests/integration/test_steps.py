"""Jobs of steps through daemons and workers as processes: one daemon is killed, one is stopped."""

from __future__ import annotations

import json
import os
import signal
from collections import Counter

import anyio
import attrs
import httpcore
import pytest

from limpetpulley.config import AccessKey, Pool, Queue, Team, digest_secret
from limpetpulley.standin import FaultProxy

from .system import ProcessSystem, free_port, now

WORKERS = "desk-1:desk,desk-2:desk,desk-3:desk"
STEP = {"count": 2, "need": {"cpu_millicores": 1000, "memory_mb": 1000}, "estimate_seconds": 0.3}
JOB = {"payload": "0.3", "steps": [STEP, {**STEP, "after": [0]}]}
JOBS = 12
TASKS = 4
#: a lost owner's lease, its takeover, and the work itself
DONE_SECONDS = 30.0
OBJECTS = [
    Team("agents", processors=8.0, memory_mb=16000),
    AccessKey("agents-key", "agents", digest_secret("secret-agents")),
    Pool("desk"),
    Queue("rates", "desk", steps=True, max_attempts=3, stretch=20.0, latency_seconds=30.0),
]


@attrs.define
class StepsSystem(ProcessSystem):
    """Daemons, and workers for jobs of steps."""

    workers: int = 0
    way: FaultProxy | None = None

    async def start(self, count: int) -> None:
        """Start everything and write the configuration."""
        await self.start_platform(0)
        self.workers = free_port()
        self.way = await self.proxy(self.workers)
        self.spawn(
            "limpetpulley-standin",
            "workers",
            f"--port={self.workers}",
            f"--store-url=http://127.0.0.1:{self.platform}",
            f"--address=127.0.0.1:{self.way.port}",
            f"--vms={WORKERS}",
            log="workers",
        )
        await anyio.sleep(1.5)
        for index in range(count):
            await self.start_daemon(f"d{index + 1}", f"dc{index + 1}")
        with anyio.fail_after(30):
            while not await self.status("d1"):
                await anyio.sleep(0.2)
        written = await self.apply("d1", OBJECTS)
        assert written["status"] == 200, written

    async def ask(
        self, daemon: str, method: str, job: str, body: object = None, secret: str = "secret-agents"
    ) -> tuple[int, dict]:
        """Return the status and answer to a request about a job."""
        port = self.daemons[daemon].callers
        path = f"/queues/rates/batches/{job}" if job else "/queues/rates/batches"
        headers = {"authorization": f"Bearer {secret}", "time-left": "3"}
        content = b"" if body is None else json.dumps(body).encode()
        try:
            response = await self.http.request(
                method,
                f"http://127.0.0.1:{port}{path}",
                headers=list(headers.items()),
                content=content,
                extensions={"timeout": {"read": 5.0, "connect": 1.0, "pool": 5.0}},
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return 0, {}
        return response.status, json.loads(response.content)

    async def hand_in(self, daemon: str, job: str) -> None:
        """Hand a job in again and again until it is accepted."""
        with anyio.fail_after(DONE_SECONDS):
            while (await self.ask(daemon, "PUT", job, JOB))[0] != 202:
                await anyio.sleep(0.3)

    async def wait_state(self, daemon: str, job: str, state: str) -> None:
        """Wait until a job has a state."""
        with anyio.fail_after(DONE_SECONDS):
            while (await self.ask(daemon, "GET", job))[1].get("state") != state:
                await anyio.sleep(0.1)

    async def owner(self) -> str:
        """Return the daemon whose log claims the pool last."""
        claims = []
        for name in self.daemons:
            for line in (self.logs / f"{name}.log").read_text().splitlines():
                if line.startswith("{") and '"pool-claimed"' in line and '"desk"' in line:
                    claims.append((json.loads(line)["token"], name))
        return max(claims)[1]


async def run_system(tmp_path) -> dict:
    """Hand jobs in, kill the owner, stop another daemon; return what was seen."""
    seen: dict = {}
    async with anyio.create_task_group() as tasks:
        system = StepsSystem(tasks, tmp_path)
        try:
            await system.start(3)
            ids = [f"{number:016x}" for number in range(1, JOBS + 1)]
            seen["refused"] = await system.ask("d1", "PUT", ids[0], JOB, "no-such-secret")
            await system.hand_in("d1", ids[0])
            await system.wait_state("d2", ids[0], "completed")
            for number, job in enumerate(ids[1:6]):
                await system.hand_in(f"d{number % 3 + 1}", job)
            seen["owner"] = await system.owner()
            os.kill(system.daemons.pop(seen["owner"]).process.pid, signal.SIGKILL)
            killed_at = now()
            left = list(system.daemons)
            await system.hand_in(left[0], ids[6])
            seen["accepted_after"] = now() - killed_at
            for job in ids[7:]:
                await system.hand_in(left[1], job)
            leaving = system.daemons.pop(left[0])
            leaving.process.send_signal(signal.SIGTERM)
            for job in ids:
                await system.wait_state(left[1], job, "completed")
            seen["pending"] = await system.ask(left[1], "GET", "")
            with anyio.fail_after(10):
                while leaving.process.poll() is None:
                    await anyio.sleep(0.1)
            seen["exit"] = leaving.process.poll()
            seen["runs"] = (await system.call(system.workers, "GET", "/runs"))["answer"]
        finally:
            system.stop_all()
            tasks.cancel_scope.cancel()
    return seen


@pytest.mark.integration
def test_jobs_of_steps_outlive_their_daemons(tmp_path):
    seen = anyio.run(run_system, tmp_path)
    assert seen["refused"][0] == 401
    assert seen["pending"] == (200, {"pending": 0})
    assert seen["exit"] == 0
    assert seen["accepted_after"] < 5.0, "a lease and a takeover are shorter"
    runs = Counter(json.dumps([r["order"]["task"], r["order"]["number"]]) for r in seen["runs"])
    assert max(runs.values()) == 1, "a run began twice"
    tasks = {json.dumps(run["order"]["task"]) for run in seen["runs"]}
    assert len(tasks) == JOBS * TASKS
    assert len(runs) == JOBS * TASKS, "a task ran again though no worker was lost"
