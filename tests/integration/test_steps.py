"""Step jobs on daemon and worker processes while one daemon is killed and one is stopped."""

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
#: covers the lease of a lost owner, the takeover of its pool, and the work itself
COMPLETION_SECONDS = 30.0
OBJECTS = [
    Team("agents", processors=8.0, memory_mb=16000),
    AccessKey("agents-key", "agents", digest_secret("secret-agents")),
    Pool("desk"),
    Queue("rates", "desk", steps=True, max_attempts=3, stretch=20.0, latency_seconds=30.0),
]


@attrs.define
class StepsSystem(ProcessSystem):
    """Daemons, and workers for step jobs.

    :param worker_port: port of the workers' stand-in
    :param worker_proxy: proxy in front of the workers
    """

    worker_port: int = 0
    worker_proxy: FaultProxy | None = None

    async def start(self, count: int) -> None:
        """Start all processes and write the configuration.

        :param count: number of daemons
        """
        await self.start_platform(0)
        self.worker_port = free_port()
        self.worker_proxy = await self.proxy(self.worker_port)
        self.spawn(
            "limpetpulley-standin",
            "workers",
            f"--port={self.worker_port}",
            f"--store-url=http://127.0.0.1:{self.platform_port}",
            f"--address=127.0.0.1:{self.worker_proxy.port}",
            f"--vms={WORKERS}",
            log="workers",
        )
        await anyio.sleep(1.5)
        for index in range(count):
            await self.start_daemon(f"d{index + 1}", f"dc{index + 1}")
        with anyio.fail_after(30):
            while not await self.status("d1"):
                await anyio.sleep(0.2)
        applied = await self.apply("d1", OBJECTS)
        assert applied["status"] == 200, applied

    async def request(
        self, daemon: str, method: str, job: str, body: object = None, secret: str = "secret-agents"
    ) -> tuple[int, dict]:
        """Return the status and JSON response of a request about a job, 0 if there is none."""
        port = self.daemons[daemon].caller_port
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

    async def submit_until_accepted(self, daemon: str, job: str) -> None:
        """Submit a job repeatedly until it is accepted."""
        with anyio.fail_after(COMPLETION_SECONDS):
            while (await self.request(daemon, "PUT", job, JOB))[0] != 202:
                await anyio.sleep(0.3)

    async def wait_state(self, daemon: str, job: str, state: str) -> None:
        """Wait until a job reaches a state."""
        with anyio.fail_after(COMPLETION_SECONDS):
            while (await self.request(daemon, "GET", job))[1].get("state") != state:
                await anyio.sleep(0.1)

    async def owner(self) -> str:
        """Return the daemon that claimed the pool last, according to the logs."""
        claims = []
        for name in self.daemons:
            for line in (self.logs / f"{name}.log").read_text().splitlines():
                if line.startswith("{") and '"pool-claimed"' in line and '"desk"' in line:
                    claims.append((json.loads(line)["token"], name))
        return max(claims)[1]


async def run_system(tmp_path) -> dict:
    """Submit jobs, kill the owner of the pool, stop another daemon, and return the observations."""
    observed: dict = {}
    async with anyio.create_task_group() as tasks:
        system = StepsSystem(tasks, tmp_path)
        try:
            await system.start(3)
            ids = [f"{number:016x}" for number in range(1, JOBS + 1)]
            observed["refused"] = await system.request("d1", "PUT", ids[0], JOB, "no-such-secret")
            await system.submit_until_accepted("d1", ids[0])
            await system.wait_state("d2", ids[0], "completed")
            for number, job in enumerate(ids[1:6]):
                await system.submit_until_accepted(f"d{number % 3 + 1}", job)
            observed["owner"] = await system.owner()
            os.kill(system.daemons.pop(observed["owner"]).process.pid, signal.SIGKILL)
            killed_at = now()
            remaining = list(system.daemons)
            await system.submit_until_accepted(remaining[0], ids[6])
            observed["accepted_after"] = now() - killed_at
            for job in ids[7:]:
                await system.submit_until_accepted(remaining[1], job)
            leaving = system.daemons.pop(remaining[0])
            leaving.process.send_signal(signal.SIGTERM)
            for job in ids:
                await system.wait_state(remaining[1], job, "completed")
            observed["pending"] = await system.request(remaining[1], "GET", "")
            with anyio.fail_after(10):
                while leaving.process.poll() is None:
                    await anyio.sleep(0.1)
            observed["exit"] = leaving.process.poll()
            observed["runs"] = (await system.call(system.worker_port, "GET", "/runs"))["answer"]
        finally:
            system.stop_all()
            tasks.cancel_scope.cancel()
    return observed


@pytest.mark.integration
def test_step_jobs_survive_the_loss_of_daemons(tmp_path):
    observed = anyio.run(run_system, tmp_path)
    assert observed["refused"][0] == 401
    assert observed["pending"] == (200, {"pending": 0})
    assert observed["exit"] == 0
    assert observed["accepted_after"] < 5.0, "submission took longer than a lease and a takeover"
    runs = Counter(json.dumps([r["order"]["task"], r["order"]["number"]]) for r in observed["runs"])
    assert max(runs.values()) == 1, "a run was started twice"
    tasks = {json.dumps(run["order"]["task"]) for run in observed["runs"]}
    assert len(tasks) == JOBS * TASKS
    assert len(runs) == JOBS * TASKS, "a task ran again though no worker was lost"
