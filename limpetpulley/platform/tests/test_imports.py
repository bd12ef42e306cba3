"""What a daemon on the platform loads at its start, when all its pools wait for an owner."""

import subprocess
import sys

import pytest

LOADED = "import sys, limpetpulley.platform.daemon; print(*sys.modules, sep='\\n')"


@pytest.fixture(scope="module")
def loaded():
    told = subprocess.run([sys.executable, "-c", LOADED], capture_output=True, check=True)
    return set(told.stdout.decode().split())


@pytest.mark.parametrize(
    "module",
    [
        "httpcore",
        "limpetpulley.api.operators",
        "limpetpulley.config",
        "limpetpulley.fleet.planner",
        "limpetpulley.membership",
        "limpetpulley.peer.peer_pb2",
        "limpetpulley.quota.adviser",
        "limpetpulley.routing",
    ],
)
def test_what_direct_jobs_need_is_not_loaded(loaded, module):
    assert module not in loaded
