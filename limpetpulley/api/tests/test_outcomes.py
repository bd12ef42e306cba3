"""Each outcome that a caller of jobs of steps can see has a log line with its reason."""

import ast
import json
import os
import pathlib

import anyio
import pytest

from ...batch import Amount
from ...exception import StoreUnavailable
from ...ownership import Outcome, SubmitResult
from ...standin.batchfleet import BatchFleet, sample_config
from ...standin.network import call_app
from ...standin.virtual import VirtualClock, run_virtual
from ..batches import MAX_BODY_BYTES, BatchesApp, native_dialect

PACKAGE = pathlib.Path(__file__).parents[2]
OPERATIONS = PACKAGE.parent / "docs/OPERATIONS.md"
#: where outcomes are decided
SOURCES = [
    "api/batches.py",
    "api/http.py",
    "ownership/handlers.py",
    "ownership/intake.py",
    "ownership/service.py",
    "scheduling/batch_admission.py",
]
PATH = "/queues/sheets/batches/00000000000000ab"
JOB = {"payload": "", "steps": [{"count": 1}]}
#: reasons that ``submit`` of the service gives, with the status that the caller sees
RESULTS = {
    "late": (Outcome.REFUSED, 503),
    "harms-others": (Outcome.REFUSED, 503),
    "fits-nowhere": (Outcome.REFUSED, 503),
    "no-workers": (Outcome.REFUSED, 503),
    "id-in-use": (Outcome.REFUSED, 503),
    "not-stored": (Outcome.REFUSED, 503),
    "store-away": (Outcome.REFUSED, 503),
    "refused": (Outcome.REFUSED, 503),
    "no-owner": (Outcome.UNAVAILABLE, 503),
    "owner-silent": (Outcome.UNKNOWN, 504),
    "not-known-to-be-stored": (Outcome.UNKNOWN, 504),
    "unreadable": (Outcome.UNKNOWN, 504),
}
#: requests whose own fields decide, with the status that the caller sees
REQUESTS = {
    "not-found": ("GET", "/queues/none/batches", JOB, (), 404),
    "no-such-job": ("DELETE", PATH, None, (), 404),
    "method": ("POST", PATH, JOB, (), 405),
    "bad-job": ("PUT", PATH, {}, (), 422),
    "bad-key": ("PUT", PATH, JOB, [(b"authorization", b"Bearer none")], 401),
    "bad-time-left": ("PUT", PATH, JOB, [(b"time-left", b"soon")], 400),
    "body-too-large": ("PUT", PATH, {"payload": "x" * MAX_BODY_BYTES}, (), 413),
}
#: what only a slow or vanished caller, or a daemon that has just started, sees
OTHERS = {"body-too-slow", "caller-gone", "no-config", "unavailable"}


class FixedService:
    """Answers each submission in the same way."""

    def __init__(self, result):
        self.result = result

    async def submit(self, submission, time_left):
        return self.result

    async def find(self, queue, job_id, time_left):
        raise StoreUnavailable("pool desk has no owner")


def play(request, service=None, public=True):
    """Return the status of a request, and the lines on answered requests."""
    reader, writer = os.pipe()

    async def start():
        async with anyio.create_task_group() as tasks:
            config = sample_config()
            if not public:
                object.__setattr__(config.queues["sheets"], "public", False)
            clock = VirtualClock()
            fleet = BatchFleet(tasks, clock, config, Amount(4000, 8000), log_descriptor=writer)
            fleet.vms.add("desk-1", "desk", "r0")
            node = fleet.start_daemon("entry-1")
            while fleet.owner_of("desk") is None:
                await anyio.sleep(0.1)
            if service is not None:
                node.service = service
            app = BatchesApp(node, native_dialect())
            method, path, document, headers = request
            content = b"" if document is None else json.dumps(document).encode()
            response = await call_app(app, path, list(headers), content, method)
            node.context.log.flush()
            tasks.cancel_scope.cancel()
        return response.status

    status = run_virtual(start)
    os.close(writer)
    with os.fdopen(reader) as file:
        lines = [json.loads(line) for line in file]
    return status, [line for line in lines if line["event"] == "request-answered"]


@pytest.mark.parametrize("reason", RESULTS)
def test_a_decision_of_the_owner_is_logged_where_it_is_answered(reason):
    outcome, wanted = RESULTS[reason]
    request = ("PUT", PATH, JOB, ())
    status, lines = play(request, FixedService(SubmitResult(outcome, reason)))
    assert status == wanted
    found = [(line["job"], line["status"], line["reason"]) for line in lines]
    assert found == [(PATH[-16:], wanted, reason)]


@pytest.mark.parametrize("reason", REQUESTS)
def test_a_request_that_makes_no_sense_is_logged(reason):
    *request, wanted = REQUESTS[reason]
    status, lines = play(request, public=reason != "bad-key")
    assert status == wanted
    assert [(line["status"], line["reason"]) for line in lines] == [(wanted, reason)]


def test_a_state_that_cannot_be_told_is_logged():
    status, lines = play(("GET", PATH, None, ()), FixedService(None))
    assert status == 503
    assert [(line["reason"], line["detail"]) for line in lines] == [
        ("unavailable", "pool desk has no owner")
    ]


def test_an_accepted_job_is_logged_with_its_inputs():
    status, lines = play(("PUT", PATH, JOB, [(b"time-left", b"4")]))
    assert status == 202
    assert (lines[0]["queue"], lines[0]["time_left"], lines[0]["config"]) == ("sheets", 4.0, 1)


def find_reasons():
    """Return the reasons in the code: of refusals, verdicts and replies."""
    found = set()
    for source in SOURCES:
        for node in ast.walk(ast.parse((PACKAGE / source).read_text())):
            if isinstance(node, ast.Call):
                found |= set(_reasons_of(node))
    return found


def _reasons_of(call):
    name = getattr(call.func, "id", getattr(call.func, "attr", ""))
    if name in ("JobRefused", "SubmitResult") and len(call.args) > 1:
        yield from _texts(call.args[1])
    if name == "Verdict" and len(call.args) > 1 and isinstance(call.args[-1], ast.Constant):
        yield from _texts(call.args[-1])
    accepts = bool(call.args) and getattr(call.args[0], "value", None) is True
    if name in ("Verdict", "SubmitReply") and not accepts:
        for keyword in call.keywords:
            if keyword.arg == "reason":
                yield from _texts(keyword.value)


def _texts(node):
    for part in ast.walk(node):
        if isinstance(part, ast.Constant) and isinstance(part.value, str) and part.value:
            yield part.value


def test_every_reason_in_the_code_is_played_here_and_explained_to_operators():
    known = {*RESULTS, *REQUESTS, *OTHERS}
    found = {reason for reason in find_reasons() if reason != "bad-"}
    assert found - known == set()
    page = OPERATIONS.read_text()
    assert {reason for reason in known if f"| `{reason}` |" not in page} == set()
