"""The deploy file, and its program when started with a generated settings file."""

import asyncio
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import subprocess
import sys
import tomllib

import anyio
import httpcore
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from ...api.server import HttpServer
from ...batch import Amount
from ...clock import SystemClock
from ...standin.workers import MemoryWorker, RunPlan
from ...store import Put
from ...workers import ListedWorker
from ..settings import METRICS_PORT_OFFSET
from .standin import PlatformStandin

ROOT = pathlib.Path(__file__).parents[3]
START_SECONDS = 20.0
#: ports of this test process: below the ephemeral ports, which any connection may take, and below
#: those of tests/integration
FIRST_PORT = 10_000 + os.getpid() % 500 * 20
PORTS = range(FIRST_PORT, FIRST_PORT + 20)
JOB = {"spec": "text", "phases": [{"count": 2, "cpu": 100}, {"count": 1, "after": [0]}]}
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r-1",
            "host": "desk.example",
            "pathPrefix": "/q/",
            "service": "desk",
            "maxAttempts": 2,
            "stretch": 2,
            "targetLatencyMs": 2000,
            "timeoutMs": 3000,
        }
    ],
    "services": [{"name": "desk", "admissionCheck": True}],
    "tenants": [{"name": "t-1", "apiKeys": ["secret"], "weight": 1}],
}


def load_deploy_file():
    return tomllib.loads((ROOT / "deploy/system.toml").read_text())


def test_deploy_file_has_one_role_on_every_entry_vm():
    deploy = load_deploy_file()
    assert_that(list(deploy["roles"]), Equals(["entry"]))
    role = deploy["roles"]["entry"]
    assert_that((role["on"], role["share"], role["serves"]), Equals(("edge", 1.0, ["edge"])))
    assert_that(deploy["build"], Contains("target/deps"))


def test_build_requirements_are_pinned():
    pinned = {
        line.partition("==")[0].lower()
        for line in (ROOT / "constraints.txt").read_text().splitlines()
    }
    requirements = (ROOT / "deploy/requirements.txt").read_text().splitlines()[1:]
    missing = {re.split(r"\[", line)[0].lower() for line in requirements} - pinned
    assert_that(missing, Equals(set()))


def is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_ports():
    """Return the ports for callers, for readiness and between daemons.

    The metrics port, which follows from the last one, is free as well and none of the others.
    """
    free = [port for port in PORTS if is_free(port)]
    peers = next(port for port in free[2:] if port + METRICS_PORT_OFFSET in free)
    return free[0], free[1], peers


def test_port_between_daemons_is_passed_over_if_its_metrics_port_is_taken():
    callers, readiness, peers = free_ports()
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", peers + METRICS_PORT_OFFSET))
        found = free_ports()
    assert_that(found, Equals((callers, readiness, peers + METRICS_PORT_OFFSET + 1)))


def render_settings(platform_port, callers, readiness, peers):
    platform = f"127.0.0.1:{platform_port}"
    return {
        "nodeName": "edge-dc-1-1",
        "zone": "dc-1",
        "ip": "127.0.0.1",
        "listen": {
            "frontend": f"127.0.0.1:{callers}",
            "readiness": f"127.0.0.1:{readiness}",
        },
        "internalPorts": [peers, peers + 15],
        "bounds": {
            "holdMaxMs": 10000,
            "stopMs": 200,
            "gangTimeoutMs": 3000,
            "status_s": 120,
            "graceS": 1,
            "moveS": 1.5,
            "maintenanceS": 2,
            "leaseMs": 300,
        },
        "platform": {"address": platform, "ttlMinMs": 1000},
        "cloud": {"address": platform},
        "later": {"unknown": True},
    }


async def request(http, method, port, path, content=b"", key="secret"):
    headers = {"Host": "desk.example", "Authorization": f"Bearer {key}", "Deadline-Ms": "3000"}
    response = await http.request(
        method, f"http://127.0.0.1:{port}{path}", headers=headers, content=content
    )
    return response.status, response.content, dict(response.headers)


async def wait_until_ready(http, port):
    with anyio.fail_after(START_SECONDS):
        while True:
            try:
                if (await request(http, "GET", port, "/api/readyz"))[0] == 200:
                    return
            except httpcore.NetworkError:
                pass
            await anyio.sleep(0.05)


async def run_daemon_with_job(tmp_path):
    callers, readiness, peers = free_ports()
    async with anyio.create_task_group() as tasks:
        platform = PlatformStandin()
        server = HttpServer(platform, "127.0.0.1", 0)
        await tasks.start(server.serve)
        address = f"127.0.0.1:{server.port}"
        listed = ListedWorker("i-1", "desk", address, 7, Amount(4000, 4000))
        platform.workers["i-1"] = MemoryWorker(listed, SystemClock(), lambda order: RunPlan(0.1))
        entry = {
            "service": "desk",
            "address": address,
            "state": "ready",
            "capacity": {"cpu": 4000, "memMb": 4000, "gpu": 0},
            "labels": ["a", "r1"],
            "machine": "m-1",
            "born": 7,
        }
        await platform.store.commit([], [Put("op/config", json.dumps(CONFIG).encode())])
        await platform.store.commit([], [Put("servers/i-1", json.dumps(entry).encode())])
        settings = tmp_path / "boot.json"
        settings.write_text(json.dumps(render_settings(server.port, callers, readiness, peers)))
        command = shlex.split(load_deploy_file()["roles"]["entry"]["run"])
        process = subprocess.Popen(
            [sys.executable, *command[1:]],
            cwd=ROOT,
            env={"LIMPETPULLEY_CONFIG": str(settings), "PATH": os.environ["PATH"]},
            stdout=subprocess.PIPE,
        )
        try:
            async with httpcore.AsyncConnectionPool() as http:
                await wait_until_ready(http, readiness)
                results = await send_test_requests(http, callers)
            early_output = await change_settings(settings, process.stdout)
            process.send_signal(signal.SIGTERM)
            output, _ = await asyncio.to_thread(process.communicate, timeout=START_SECONDS)
        finally:
            if process.poll() is None:
                process.kill()
        tasks.cancel_scope.cancel()
    return results, process.returncode, early_output + output


async def change_settings(settings, output):
    """Damage the settings, then change a bound; wait for the log event of each.

    :returns: the log lines that were read
    """
    lines = []
    source = json.loads(settings.read_text())
    source["bounds"]["stopMs"] = 350
    for text, event in (("{", "settings-unreadable"), (json.dumps(source), "settings-read")):
        settings.write_text(text)
        with anyio.fail_after(START_SECONDS):
            line = {}
            while line.get("event") != event:
                lines.append(await asyncio.to_thread(output.readline))
                line = json.loads(lines[-1])
    assert_that(line["stop"], Equals(0.35))
    return b"".join(lines)


async def send_test_requests(http, port):
    path = "/q/00000000000000ab"
    results = {
        "unknown": (await request(http, "GET", port, path))[0],
        "no key": (await request(http, "POST", port, path, json.dumps(JOB).encode(), "wrong"))[0],
        "no queue": (await request(http, "GET", port, "/other/"))[0],
        "nonsense": (await request(http, "POST", port, path, b"{}"))[0],
        "accepted": (await request(http, "POST", port, path, json.dumps(JOB).encode()))[0],
        "again": (await request(http, "POST", port, path, json.dumps(JOB).encode()))[0],
        "too large": (
            await request(
                http,
                "POST",
                port,
                "/q/00000000000000ac",
                json.dumps({"phases": [{"count": 1, "cpu": 99000}]}).encode(),
            )
        )[::2],
    }
    with anyio.fail_after(START_SECONDS):
        while True:
            content = (await request(http, "GET", port, path))[1]
            if json.loads(content) == {"state": "completed"}:
                break
            await anyio.sleep(0.02)
    results["pending"] = json.loads((await request(http, "GET", port, "/q/"))[1])
    results["cancelled"] = (await request(http, "DELETE", port, path))[0]
    return results


@pytest.mark.integration
def test_daemon_runs_a_job_and_stops_gracefully(tmp_path):
    results, code, output = anyio.run(run_daemon_with_job, tmp_path)
    status, headers = results.pop("too large")
    assert_that(status, Equals(503))
    assert int(headers[b"retry-after"]) > 0
    assert_that(
        results,
        Equals(
            {
                "unknown": 410,
                "no key": 401,
                "no queue": 404,
                "nonsense": 400,
                "accepted": 200,
                "again": 200,
                "pending": {"pending": 0},
                "cancelled": 200,
            }
        ),
    )
    assert_that(code, Equals(0))
    events = [json.loads(line)["event"] for line in output.splitlines()]
    for event in ("daemon-started", "pool-taken-over", "job-accepted", "daemon-stopped"):
        assert_that(events, Contains(event))


@pytest.mark.integration
def test_daemon_without_settings_exits_with_an_error_message(tmp_path):
    command = shlex.split(load_deploy_file()["roles"]["entry"]["run"])
    process = subprocess.run(
        [sys.executable, *command[1:]],
        cwd=ROOT,
        env={"LIMPETPULLEY_CONFIG": str(tmp_path / "none"), "PATH": os.environ["PATH"]},
        capture_output=True,
        timeout=START_SECONDS,
    )
    assert_that(process.returncode, Equals(2))
    assert_that(process.stderr.decode(), Contains("LIMPETPULLEY_CONFIG"))


#: names of calls, headers and fields that are specific to the platform, without ordinary words
PLATFORM_NAMES = re.compile(
    r"kv-(key|range|txn|watch|lease|keep)|run-(start|stop)\b|/api/hold|machine-(move|upkeep)"
    r"|Lease-Holder|Fencing-Token|Expect-Instance|LIMPETPULLEY_CONFIG|pathPrefix|ackedThrough"
    r"|untilMs|clockMs|currentRev|morePages|antiAffinity|longRunning|mayMiss|admissionCheck"
    r"|coldRemainingMs|apiKeys|upperBound|servers/|op/config|internalPorts|nodeName"
)


def test_platform_names_occur_only_in_the_adapter():
    found = [
        f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
        for path in sorted((ROOT / "limpetpulley").rglob("*.py"))
        if "platform" not in path.relative_to(ROOT).parts
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if PLATFORM_NAMES.search(line)
    ]
    assert_that(found, Equals([]))


def test_adapter_stays_small():
    lines = sum(
        len(path.read_text().splitlines()) for path in (ROOT / "limpetpulley/platform").glob("*.py")
    )
    assert lines < 900, f"the adapter has {lines} lines"
