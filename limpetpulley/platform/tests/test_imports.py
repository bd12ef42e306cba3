"""Modules that a daemon on the platform loads at its start, while its pools have no owner."""

import json
import os
import re
import signal
import subprocess
import sys

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from ...api.server import HttpServer
from ...http_client import PooledHttpClient
from ...loading import GC_THRESHOLD
from ...store import Put
from .standin import PlatformStandin
from .test_deploy import CONFIG, ROOT, START_SECONDS, free_ports, render_settings

PRINT_MODULES = "import sys, limpetpulley.platform.daemon; print(*sys.modules, sep='\\n')"
#: a module in the output of Python's option ``-X importtime``
IMPORTED_MODULE = re.compile(r"^import time: .*\| +([\w.]+)$", re.MULTILINE)

NOT_AT_START = [
    "absl",
    "cattrs",
    "encodings.idna",
    "http.server",
    "httpcore",
    "limpetpulley.api.operators",
    "limpetpulley.config",
    "limpetpulley.fleet.planner",
    "limpetpulley.membership",
    "limpetpulley.peer.peer_pb2",
    "limpetpulley.quota.adviser",
    "limpetpulley.routing",
    "prometheus_client",
    "stringprep",
    "wsgiref",
    "xml.dom.minidom",
]
#: what only the daemon needs that plans for the fleet
FOR_THE_PLANNER = [
    "limpetpulley.fleet.demand",
    "limpetpulley.fleet.planner_record",
    "limpetpulley.ownership.planner",
    "limpetpulley.ownership.pool_reports",
    "limpetpulley.ownership.vm_inventory",
    "limpetpulley.ownership.vm_selector",
    "limpetpulley.ownership.vmorders",
    "limpetpulley.ownership.wave_tracker",
    "statistics",
]
#: what the daemon needs later, which shows that the table of loaded modules is complete
AT_START = ["grpclib.server", "limpetpulley.ownership.owner", "uvicorn.server"]


#: runs the program without settings, so that it ends after it was loaded
PRINT_COLLECTIONS = """
import gc, runpy, limpetpulley.platform
gc.collect()
phases = []
gc.callbacks.append(lambda phase, info: phases.append(phase))
try:
    runpy.run_module("limpetpulley.platform", run_name="__main__")
except SystemExit:
    print(len(phases), gc.get_freeze_count() > 0, gc.isenabled(), gc.get_threshold()[0])
"""


@pytest.fixture(scope="module")
def loaded_modules():
    process = subprocess.run([sys.executable, "-c", PRINT_MODULES], capture_output=True, check=True)
    return set(process.stdout.decode().split())


@pytest.mark.parametrize("module", NOT_AT_START + FOR_THE_PLANNER)
def test_modules_not_needed_at_start_are_not_loaded(loaded_modules, module):
    assert module not in loaded_modules


def test_garbage_is_not_collected_until_the_daemon_is_loaded():
    process = subprocess.run(
        [sys.executable, "-c", PRINT_COLLECTIONS],
        env={"PATH": os.environ["PATH"]},
        cwd=ROOT,
        capture_output=True,
        check=True,
    )
    assert_that(process.stdout.decode().split(), Equals(["0", "True", "True", str(GC_THRESHOLD)]))


async def run_until_pools_are_owned(settings_path):
    """Start the daemon with a store that has a configuration and end it once it owns its pool.

    :returns: the names of the modules that it loaded
    """
    callers, readiness, peers = free_ports()
    async with anyio.create_task_group() as tasks:
        platform = PlatformStandin()
        server = HttpServer(platform, "127.0.0.1", 0)
        await tasks.start(server.serve)
        await platform.store.commit([], [Put("op/config", json.dumps(CONFIG).encode())])
        settings = render_settings(server.port, callers, readiness, peers)
        settings_path.write_text(json.dumps(settings))
        async with await anyio.open_process(
            [sys.executable, "-X", "importtime", "-m", "limpetpulley.platform"],
            cwd=ROOT,
            env={"LIMPETPULLEY_CONFIG": str(settings_path), "PATH": os.environ["PATH"]},
        ) as process:
            errors = []
            tasks.start_soon(read_all, process.stderr, errors)
            with anyio.fail_after(START_SECONDS):
                await wait_for_event(process.stdout, "pool-taken-over")
                await wait_until_ready(PooledHttpClient(), f"127.0.0.1:{readiness}")
            process.send_signal(signal.SIGKILL)
            await process.wait()
        tasks.cancel_scope.cancel()
    return set(IMPORTED_MODULE.findall(b"".join(errors).decode()))


async def read_all(stream, chunks):
    async for chunk in stream:
        chunks.append(chunk)


async def wait_for_event(stream, event):
    output = b""
    async for chunk in stream:
        output += chunk
        if f'"event":"{event}"'.encode() in output:
            return
    raise AssertionError(f"the daemon ended without {event}: {output}")


async def wait_until_ready(http, address):
    while (await http.request("GET", address, "/api/readyz", {}, b"", 1.0)).status != 200:
        await anyio.sleep(0.01)


@pytest.fixture(scope="module")
def modules_until_ownership(tmp_path_factory):
    return anyio.run(run_until_pools_are_owned, tmp_path_factory.mktemp("start") / "boot.json")


@pytest.mark.integration
@pytest.mark.parametrize("module", NOT_AT_START)
def test_modules_are_not_loaded_until_the_daemon_owns_its_pools(modules_until_ownership, module):
    for needed_module in AT_START:
        assert_that(modules_until_ownership, Contains(needed_module))
    assert module not in modules_until_ownership
