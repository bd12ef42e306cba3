"""Log lines about runs and workers tell which worker, in which life, they are about."""

import anyio
import pytest

from ...fleet.vms import WaveOrder
from ...pool.proofs import Proof
from ...telemetry import EventLog
from .test_daemons import run_scenario, two_step_spec

RUN_EVENTS = {"run-ordered", "run-ended", "run-dropped"}
WORKER_EVENTS = {"worker-silent", "worker-answers", "worker-cordoned", "worker-restarted"}


@pytest.fixture
def lines(monkeypatch):
    """Return the lines that all daemons write, as pairs of an event and its fields."""
    written = []
    monkeypatch.setattr(
        EventLog, "write", lambda log, event, **fields: written.append((event, fields))
    )
    return written


def test_every_line_about_a_run_or_a_worker_names_its_life(lines):
    async def scenario(deployment):
        await anyio.sleep(1.0)
        for _ in range(8):
            await deployment.submit("desk", two_step_spec(2.0))
        await anyio.sleep(0.3)
        silent, restarted, *_ = dict.fromkeys(run.worker_id for run in deployment.fleet.runs)
        workers = deployment.fleet.workers.workers
        workers[silent].alive = False
        await anyio.sleep(2.5)
        workers[silent].alive = True
        workers[restarted].restart()
        deployment.fleet.order_wave(WaveOrder("7", ("desk-0", "desk-1"), 40.0, 2))
        await anyio.sleep(6.0)

    run_scenario(scenario)
    about = [(event, fields) for event, fields in lines if event in RUN_EVENTS | WORKER_EVENTS]
    assert {event for event, _ in about} == RUN_EVENTS | WORKER_EVENTS
    assert [event for event, fields in about if not fields.get("life")] == []
    told_ends = {event for event, fields in about if "unstored" in fields}
    assert told_ends == {"run-dropped", "worker-cordoned", "worker-restarted"}
    dropped = [fields for event, fields in about if event == "run-dropped"]
    assert {fields["reason"] for fields in dropped} <= {proof.value for proof in Proof}
    assert [fields for fields in dropped if fields["known_seconds"] is None] == []
    [reconciled, *_] = [fields for event, fields in lines if event == "worker-reconciled"]
    assert reconciled["worker_seconds"] > 0 == reconciled["known_seconds"]
