"""Modules that a daemon on the platform loads at its start, while its pools have no owner."""

import subprocess
import sys

import pytest

PRINT_MODULES = "import sys, limpetpulley.platform.daemon; print(*sys.modules, sep='\\n')"


@pytest.fixture(scope="module")
def loaded_modules():
    process = subprocess.run([sys.executable, "-c", PRINT_MODULES], capture_output=True, check=True)
    return set(process.stdout.decode().split())


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
def test_modules_for_direct_jobs_are_not_loaded(loaded_modules, module):
    assert module not in loaded_modules
