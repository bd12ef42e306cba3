"""Tests of the HTTP interface for jobs of steps and of its commands."""

import json
import subprocess
import sys

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from ...batch import Amount
from ...cli.main import run
from ...standin.batchfleet import BatchFleet, sample_config
from ...standin.network import call_app
from ...standin.virtual import VirtualClock, run_virtual
from ..batches import BatchesApp, native_dialect

PATH = "/queues/sheets/batches/00000000000000ab"
JOB = {
    "payload": "0.3",
    "steps": [
        {"count": 2, "need": {"cpu_millicores": 1000, "memory_mb": 10}, "estimate_seconds": 0.3},
        {"count": 1, "need": {"cpu_millicores": 1000, "memory_mb": 10}, "after": [0]},
    ],
}


def run_scenario(scenario):
    """Run a scenario against a daemon in a fleet of three VMs; return its result."""

    async def run_in_fleet():
        async with anyio.create_task_group() as tasks:
            fleet = BatchFleet(tasks, VirtualClock(), sample_config(), Amount(4000, 8000))
            for number in range(3):
                fleet.vms.add(f"desk-{number}", "desk", "r0")
            app = BatchesApp(fleet.start_daemon("entry-1"), native_dialect())
            while fleet.owner_of("desk") is None:
                await anyio.sleep(0.1)
            result = await scenario(app)
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(run_in_fleet)


async def send_request(app, method, path, document=None, headers=()):
    content = b"" if document is None else json.dumps(document).encode()
    response = await call_app(app, path, list(headers), content, method)
    return response.status, json.loads(response.content)


def test_job_is_submitted_queried_and_completed():
    async def scenario(app):
        responses = [await send_request(app, "PUT", PATH, JOB)]
        responses.append(await send_request(app, "GET", "/queues/sheets/batches"))
        await anyio.sleep(3.0)
        responses.append(await send_request(app, "GET", PATH))
        responses.append(await send_request(app, "PUT", PATH, JOB))
        responses.append(await send_request(app, "DELETE", PATH))
        return responses

    accepted, pending, state, resubmitted, cancelled = run_scenario(scenario)
    assert_that(accepted, Equals((202, {"job": PATH[-16:], "state": "queued"})))
    assert_that(pending, Equals((200, {"pending": 1})))
    assert_that(state, Equals((200, {"state": "completed"})))
    assert_that(resubmitted[0], Equals(202))
    assert_that(cancelled, Equals((200, {"state": "completed"})))


LARGE = {"steps": [{"count": 1, "need": {"cpu_millicores": 99_000}}]}


@pytest.mark.parametrize(
    ("method", "path", "document", "headers", "status", "reason"),
    [
        ("GET", PATH, None, (), 404, "no-such-job"),
        ("DELETE", PATH, None, (), 404, "no-such-job"),
        ("GET", "/queues/none/batches", None, (), 404, "not-found"),
        ("GET", "/queues/sheets/batches/short", None, (), 404, "not-found"),
        ("POST", PATH, JOB, (), 405, "method"),
        ("PUT", "/queues/sheets/batches", JOB, (), 405, "method"),
        ("PUT", PATH, {}, (), 422, "bad-job"),
        ("PUT", PATH, {"steps": []}, (), 422, "bad-job"),
        ("PUT", PATH, {"payload": "", "steps": []}, (), 422, "bad-job"),
        ("PUT", PATH, {"payload": "", "steps": [{"count": 0}]}, (), 422, "bad-job"),
        ("PUT", PATH, {"payload": "", "steps": [{"count": 1, "after": [0]}]}, (), 422, "bad-job"),
        ("PUT", PATH, JOB, [(b"time-left", b"soon")], 400, "bad-time-left"),
        ("PUT", PATH, JOB, [(b"time-left", b"-1")], 400, "bad-time-left"),
        ("PUT", PATH, {"payload": "", **LARGE}, (), 503, "fits-nowhere"),
    ],
)
def test_refusal_names_its_reason(method, path, document, headers, status, reason):
    response = run_scenario(lambda app: send_request(app, method, path, document, headers))
    assert_that((response[0], response[1]["reason"]), Equals((status, reason)))


FLEET_SCRIPT = """
import sys
from limpetpulley.standin.main import main
sys.argv = ["limpetpulley-standin", "fleet", "--port", "0"]
main()
"""


@pytest.mark.integration
def test_commands_submit_follow_and_cancel(tmp_path, capsys):
    job_file = tmp_path / "job.json"
    job_file.write_text(json.dumps(JOB))
    command = [sys.executable, "-c", FLEET_SCRIPT]
    fleet = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        address = fleet.stdout.readline().split()[-1]
        options = ["--callers", address]
        assert_that(submit_until_accepted(options, job_file), Equals(0))
        assert_that(capsys.readouterr().out, Contains("is completed"))
        assert_that(run(["batch", "pending", "sheets", *options]), Equals(0))
        assert_that(run(["batch", "state", "sheets", "00000000000000cd", *options]), Equals(7))
        assert_that(run(["batch", "cancel", "sheets", "00000000000000cd", *options]), Equals(7))
        job_file.write_text("nonsense")
        assert_that(run(["batch", "submit", "sheets", str(job_file), *options]), Equals(4))
    finally:
        fleet.terminate()
        fleet.wait()


def submit_until_accepted(options, job_file):
    """Submit a job repeatedly until the fleet has started and accepts it."""
    for _ in range(20):
        status = run(["batch", "submit", "sheets", str(job_file), "--follow", *options])
        if status != 5:
            break
    return status
