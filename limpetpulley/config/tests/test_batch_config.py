"""Tests of the conversion of configuration objects into rules for jobs of steps."""

import pytest

from ...batch import Amount
from .. import AccessKey, Pool, Queue, Team, Vm, Wave, digest_secret, find_problems
from ..batch_config import make_batch_config
from ..replica import ConfigReplica, Record

OBJECTS = [
    Team("agents", 2.0, processors=1.5, memory_mb=900, accelerators=1),
    Team("visitors"),
    AccessKey("agents-1", "agents", digest_secret("one")),
    AccessKey("agents-2", "agents", digest_secret("two"), withdrawn=True),
    Pool("desk"),
    Pool("spare", off=True),
    Pool("direct"),
    Queue("rates", "desk", steps=True, priority=2, max_attempts=4, stretch=3.0, latency_seconds=7),
    Queue("open", "desk", steps=True, open_to="visitors"),
    Queue("jobs", "direct"),
]


def make_replica(objects):
    replica = ConfigReplica()
    for revision, value in enumerate(objects, 1):
        replica.apply(Record(value.kind, value.name, revision, value))
    return replica


@pytest.fixture
def config():
    return make_batch_config(make_replica(OBJECTS), 5)


def test_pools_of_queues_with_steps_and_standby_pools_are_included(config):
    assert {name: pool.standby for name, pool in config.pools.items()} == {
        "desk": False,
        "spare": True,
    }


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("pool", "desk"),
        ("priority", 2),
        ("max_attempts", 4),
        ("stretch", 3.0),
        ("latency_target_seconds", 7),
        ("public", False),
    ],
)
def test_queue_fields_are_copied(config, field, value):
    assert getattr(config.queues["rates"], field) == value


def test_open_queue_attributes_jobs_to_its_team(config):
    assert (config.queues["open"].public, config.queues["open"].open_to) == (True, "visitors")
    assert "jobs" not in config.queues


@pytest.mark.parametrize(("secret", "team"), [("one", "agents"), ("two", None), ("three", None)])
def test_team_is_found_by_key_digest(config, secret, team):
    assert config.find_team(digest_secret(secret)) == team


def test_team_limits_are_converted_to_amounts(config):
    assert config.teams["agents"].limit == Amount(1500, 900, 1)
    assert config.teams["visitors"].limit == Amount()


@pytest.mark.parametrize(
    ("added", "problem"),
    [
        (Queue("mixed", "desk"), "queue mixed: pool 'desk' serves jobs of steps"),
        (
            Vm("vm-1", "desk", "192.0.2.1:80", "r-1", "dc-1"),
            "vm vm-1: pool 'desk' serves jobs of steps; its workers register themselves",
        ),
        (
            Wave("w-1", ("desk",)),
            "wave w-1: the VMs of pool 'desk' are not part of the configuration",
        ),
        (
            Wave("w-1", ("spare",)),
            "wave w-1: the VMs of pool 'spare' are not part of the configuration",
        ),
    ],
)
def test_invalid_combination_is_reported(added, problem):
    assert [str(error) for error in find_problems([*OBJECTS, added])] == [problem]
