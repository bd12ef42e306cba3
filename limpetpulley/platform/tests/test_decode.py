"""Decoding of the platform's formats into the project's types."""

import json

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from ...api.batches import validate_spec
from ...batch import Amount, JobSpec, Step, TaskId
from ...exception import RecordError, SettingsError
from ...fleet.vms import WaveOrder
from ..callers import decode_job_spec
from ..config import decode_config
from ..settings import read_settings
from ..vms import decode_wave, encode_wave_state
from ..workers import decode_task, decode_worker, encode_task

WORKER = {
    "service": "desk",
    "address": "127.0.0.1:8080",
    "zone": "dc-1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "machine": "m-1",
    "born": 1700000000000,
    "seq": 4,
}


def test_worker_entry_is_decoded():
    worker = decode_worker("servers/i-1", json.dumps(WORKER).encode())
    assert_that(
        (worker.worker_id, worker.pool, worker.vm, worker.rack, worker.incarnation),
        Equals(("i-1", "desk", "m-1", "r1-3", 1700000000000)),
    )
    assert_that((worker.capacity, worker.draining), Equals((Amount(16000, 32768, 0), False)))


@pytest.mark.parametrize(
    "change",
    [
        {"service": None},
        {"address": 7},
        {"state": "asleep"},
        {"capacity": "much"},
        {"capacity": {"cpu": "16"}},
        {"labels": "a"},
        {"born": 1.5},
        {"born": True},
    ],
)
def test_invalid_worker_entry_is_rejected(change):
    with pytest.raises(RecordError):
        decode_worker("servers/i-1", json.dumps({**WORKER, **change}).encode())


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"null", b'"x"'])
def test_worker_entry_that_is_no_json_object_is_rejected(value):
    with pytest.raises(RecordError):
        decode_worker("servers/i-1", value)


@pytest.mark.parametrize("name", ["", "a.b", "a.0.0", "a.0.0.x", "a.0.0.0.0", None])
def test_malformed_task_name_is_rejected(name):
    with pytest.raises(RecordError):
        decode_task(name)


def test_task_name_round_trip():
    task = TaskId("5c0e7a21d94b36f8", 2, 1, 17)
    assert_that(decode_task(encode_task(task)), Equals(task))


def test_configuration_is_decoded():
    source = {
        "version": 7,
        "routes": [
            {
                "name": "r-1",
                "host": "Pule25.example",
                "pathPrefix": "/a/",
                "service": "desk",
                "priority": 1,
                "maxAttempts": 4,
                "stretch": 1.6,
                "targetLatencyMs": 600,
                "timeoutMs": 3000,
                "public": True,
                "advice": {"decideMs": 20, "perItemMs": 1, "validMs": 3000},
            },
            {"name": "r-2", "host": "pule25.example", "pathPrefix": "/a/b/", "service": "off"},
        ],
        "services": [{"name": "desk", "admissionCheck": True}, {"name": "off", "standby": True}],
        "tenants": [
            {
                "name": "t-1",
                "apiKeys": ["k1", "k2"],
                "weight": 26,
                "upperBound": {"cpu": 34000, "memMb": 0, "gpu": 0},
            }
        ],
    }
    config = decode_config(json.dumps(source).encode())
    assert_that(config.find_queue("pule25.example", "/a/1").name, Equals("r-1"))
    assert_that(config.find_queue("PULE25.example", "/a/b/1").name, Equals("r-2"))
    assert_that(config.find_queue("other", "/a/1"), Is(None))
    assert_that((config.find_team("k2"), config.find_team("k3")), Equals(("t-1", None)))
    assert_that(config.teams["t-1"].limit, Equals(Amount(34000, 0, 0)))
    queue = config.queues["r-1"]
    assert_that(
        (queue.latency_target_seconds, queue.timeout_seconds, queue.public),
        Equals((0.6, 3.0, True)),
    )
    assert_that(queue.advice.valid_seconds, Equals(3.0))
    assert_that((config.pools["off"].standby, config.pools["desk"].guards), Equals((True, True)))


def test_wave_is_decoded_and_its_state_encoded():
    value = b'{"wave": 1, "machines": ["m-1", "m-2"], "durationS": 20, "upperBound": 1}'
    assert_that(decode_wave("op/wave/1", value), Equals(WaveOrder("1", ("m-1", "m-2"), 20, 1)))
    assert_that(json.loads(encode_wave_state("1", True)), Equals({"wave": 1, "state": "completed"}))


def test_job_is_decoded():
    value = {
        "spec": "(text)",
        "phases": [
            {"count": 4, "cpu": 500, "memMb": 256, "estimateMs": 900, "affinity": "r1-3"},
            {"count": 2, "cpu": 2000, "after": [0], "checkpointing": True, "antiAffinity": 1},
            {"count": 1, "longRunning": True, "targetMs": 50, "mayMiss": 1, "fills": True},
        ],
    }
    assert_that(
        decode_job_spec(json.dumps(value).encode()),
        Equals(
            JobSpec(
                "(text)",
                (
                    Step(4, Amount(500, 256), 0.9, near_rack="r1-3"),
                    Step(2, Amount(2000), after=(0,), checkpoints=True, max_per_worker=1),
                    Step(1, lasting=True, latency_target_seconds=0.05, may_miss=1, filler=True),
                ),
            )
        ),
    )


@pytest.mark.parametrize(
    "value",
    [
        {},
        {"phases": []},
        {"phases": [{}]},
        {"phases": [{"count": 0}]},
        {"phases": [{"count": "2"}]},
        {"phases": [{"count": 2, "cpu": "x"}]},
        {"phases": [{"count": 1, "after": [0]}]},
        {"phases": [{"count": 1}, {"count": 1, "after": [5]}]},
        {"phases": [{"count": 1_000_000}]},
        {"phases": "x"},
        {"phases": [7]},
        {"spec": 7, "phases": [{"count": 1}]},
    ],
)
def test_invalid_job_is_rejected(value):
    with pytest.raises(RecordError):
        validate_spec(decode_job_spec(json.dumps(value).encode()))


@pytest.mark.parametrize("content", [None, "", "{}", '{"listen": {}}', "[]"])
def test_invalid_settings_are_rejected(tmp_path, content):
    path = tmp_path / "boot.json"
    if content is not None:
        path.write_text(content)
    with pytest.raises(SettingsError):
        read_settings(str(path))
