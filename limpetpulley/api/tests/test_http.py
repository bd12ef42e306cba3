"""Tests of the HTTP interfaces: access control, problem documents and invalid input."""

import json

import anyio
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from ...config import Pool, Queue, Team, Vm
from ...daemon.status import build_status
from ...standin.cluster import Cluster
from ...standin.network import call_app
from ...standin.virtual import run_virtual
from ..operators import OperatorsApp


async def with_cluster(function, *args):
    """Call a function with a settled cluster of one daemon and one endpoint."""
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(tasks, 1)
        cluster.start("d1", "dc1")
        address = cluster.add_endpoint("vm-1")
        objects = [
            Team("desk", limit=4),
            Cluster.key("desk"),
            Pool("main"),
            Queue("jobs", "main", run_seconds=0.1, max_seconds=10.0),
            Queue("open", "main", open_to="desk", run_seconds=0.1, max_seconds=10.0),
            Vm("vm-1", "main", address, "r", "dc1", 4),
        ]
        await cluster.apply(objects)
        await cluster.settle()
        await anyio.sleep(3)
        result = await function(cluster, *args)
        tasks.cancel_scope.cancel()
    return result


async def post(cluster, path, headers, body=b"x", method="POST"):
    encoded = [(name.encode(), value.encode()) for name, value in headers.items()]
    response = await call_app(cluster.apps["d1"], path, encoded, body, method)
    return response.status, response.content


HEADERS = {"authorization": "Bearer secret-of-desk", "content-length": "1"}


@pytest.mark.parametrize(
    ("path", "headers", "status", "reason"),
    [
        ("/queues/jobs/jobs", HEADERS, 200, None),
        ("/queues/open/jobs", {"content-length": "1"}, 200, None),
        ("/queues/jobs/jobs", {"content-length": "1"}, 401, "key-needed"),
        ("/queues/jobs/jobs", {**HEADERS, "authorization": "Bearer no"}, 401, "key-not-valid"),
        ("/queues/jobs/jobs", {**HEADERS, "authorization": "Basic x"}, 401, "bad-authorization"),
        ("/queues/none/jobs", HEADERS, 404, "no-such-queue"),
        ("/queues/jobs", HEADERS, 404, "not-found"),
        ("/queues/jobs/jobs", {**HEADERS, "time-left": "soon"}, 400, "bad-time-left"),
        ("/queues/jobs/jobs", {**HEADERS, "time-left": "-1"}, 400, "bad-time-left"),
        ("/queues/jobs/jobs", {**HEADERS, "time-left": "nan"}, 400, "bad-time-left"),
        ("/queues/jobs/jobs", {**HEADERS, "time-left": "0.01"}, 422, "deadline-too-short"),
        ("/queues/jobs/jobs", {**HEADERS, "idempotency-key": "a b"}, 400, "bad-idempotency-key"),
        ("/queues/jobs/jobs", {**HEADERS, "idempotent": "maybe"}, 400, "bad-header"),
        ("/queues/jobs/jobs", {**HEADERS, "content-length": "x"}, 400, "bad-content-length"),
        ("/queues/jobs/jobs", {**HEADERS, "content-length": "99999999"}, 413, "body-too-large"),
    ],
)
def test_caller_gets_status_and_reason(path, headers, status, reason):
    found, content = run_virtual(with_cluster, post, path, headers)
    assert_that(found, Equals(status))
    if reason is not None:
        problem = json.loads(content)
        assert_that((problem["reason"], problem["run"]), Equals((reason, "no")))


def test_overloaded_pool_refuses_jobs_that_have_not_run():
    async def submit_many(cluster):
        outcomes = []

        async def submit_one():
            outcomes.append(await cluster.submit("d1", "jobs", "desk", 2.0, run_seconds="1.5"))

        async with anyio.create_task_group() as tasks:
            for _ in range(30):
                tasks.start_soon(submit_one)
        return outcomes

    outcomes = run_virtual(with_cluster, submit_many)
    refused = [outcome for outcome in outcomes if outcome.status == 503]
    assert_that(bool(refused), Equals(True))
    assert_that({outcome.run for outcome in refused}, Equals({"no"}))


async def call_operators(cluster, method, path, body, key=""):
    node = cluster.nodes["d1"]
    app = OperatorsApp(
        node.replica,
        node.writer,
        node.jobs,
        lambda: build_status(node),
        node,
        key,
        node.fleet_report,
    )
    response = await call_app(app, path, [], body, method)
    return response.status, json.loads(response.content)


def change(kind, name, fields, seen=0):
    return {"kind": kind, "name": name, "object": fields, "seen": seen}


@pytest.mark.parametrize(
    ("document", "status", "text"),
    [
        ({"by": "x", "changes": [change("team", "new", {"name": "new"})]}, 200, ""),
        ({"by": "x", "changes": [change("team", "desk", {"name": "desk"})]}, 409, "scenario"),
        ({"by": "x", "changes": [change("key", "k", {"name": "k"})]}, 422, "team is missing"),
        ({"by": "x", "changes": [change("nothing", "k", {})]}, 422, "unknown kind"),
        ({"by": "x", "changes": [change("pool", "a", {"name": "b"})]}, 422, "named b"),
        ({"by": "x", "changes": [change("pool", "A!", {"name": "A!"})]}, 422, "lower-case"),
        ({"by": "x", "changes": [change("team", "t", {"name": "t", "limit": "9"})]}, 422, "int"),
        ({"by": "x", "changes": []}, 422, "1 to"),
        ({"changes": [change("team", "t", {"name": "t"})]}, 422, "operator"),
        (
            {"by": "x", "changes": [change("queue", "q", {"name": "q", "pool": "none"})]},
            422,
            "pool 'none' does not exist",
        ),
        ([], 422, "object"),
    ],
)
def test_operators_get_status_and_explanation(document, status, text):
    body = json.dumps(document).encode()
    found, response = run_virtual(with_cluster, call_operators, "POST", "/config", body)
    assert_that(found, Equals(status))
    assert_that(json.dumps(response), Contains(text))


@pytest.mark.parametrize(
    ("path", "status"),
    [
        ("/status", 200),
        ("/config", 200),
        ("/explain/vm/vm-1", 200),
        ("/explain/vm/none", 404),
        ("/explain/job/none", 404),
        ("/nothing", 404),
    ],
)
def test_operators_can_read(path, status):
    found, _ = run_virtual(with_cluster, call_operators, "GET", path, b"")
    assert_that(found, Equals(status))


def test_operators_must_present_their_key():
    found, _ = run_virtual(with_cluster, call_operators, "GET", "/status", b"", "secret")
    assert_that(found, Equals(401))


def test_store_outage_is_reported_to_operators():
    async def apply_during_outage(cluster):
        cluster.faults.outage = True
        body = json.dumps({"by": "x", "changes": [change("team", "n", {"name": "n"})]}).encode()
        return await call_operators(cluster, "POST", "/config", body)

    found, problem = run_virtual(with_cluster, apply_during_outage)
    assert_that((found, problem["reason"]), Equals((503, "store-unavailable")))


SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
JSON_VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=8,
)


@settings(max_examples=60, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    kind=st.sampled_from(["team", "key", "pool", "queue", "vm", "budget", "wave", "x"]),
    fields=st.dictionaries(
        st.sampled_from(["name", "pool", "limit", "weight", "address", "phase", "pools", "z"]),
        JSON_VALUES,
    ),
    raw=st.binary(max_size=40),
)
def test_invalid_input_from_operators_is_refused(kind, fields, raw):
    async def send_invalid(cluster):
        document = {"by": "x", "changes": [change(kind, "n", fields)]}
        body = json.dumps(document).encode()
        first = await call_operators(cluster, "POST", "/config", body)
        second = await call_operators(cluster, "POST", "/config", raw)
        return first[0], second[0], await post(cluster, "/queues/jobs/jobs", HEADERS)

    first, second, later = run_virtual(with_cluster, send_invalid)
    assert_that(first in (200, 409, 422) and second in (200, 422), Equals(True))
    assert_that(later[0], Equals(200))


@settings(max_examples=60, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    headers=st.dictionaries(
        st.sampled_from(
            ["authorization", "time-left", "idempotency-key", "idempotent", "content-length"]
        ),
        st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=20),
    ),
    path=st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=30),
)
def test_invalid_input_from_callers_is_refused(headers, path):
    async def send_invalid(cluster):
        first = await post(cluster, "/queues/jobs/jobs", headers)
        second = await post(cluster, "/" + path, headers)
        return first[0], second[0], await post(cluster, "/queues/jobs/jobs", HEADERS)

    first, second, later = run_virtual(with_cluster, send_invalid)
    assert_that(400 <= first < 500 and 400 <= second < 500, Equals(True))
    assert_that(later[0], Equals(200))
