"""A daemon's configuration counts as current from the time at which it was read from the store."""

import math

import anyio
import pytest

from ...api.batches import JobRefused, denial
from ...config import AccessKey, Change, Pool, Queue, Team, digest_secret
from ...exception import StoreUnavailable
from ...ownership.freshness import ReplicaFreshness
from ...peer import peer_pb2 as pb
from ...standin.cluster import Cluster
from ...standin.virtual import run_virtual
from ..heartbeat import Heartbeats

OBJECTS = [
    Team("agents"),
    AccessKey("agents-key", "agents", digest_secret("secret-of-agents")),
    Pool("desk"),
    Queue("rates", "desk"),
]
#: time between a read of the store and the arrival of its answer, in seconds
ANSWER_SECONDS = 0.5


class LateStore:
    """A store whose reads are answered late, or not at all.

    :param store: the store
    :param answers: whether reads are answered
    """

    def __init__(self, store):
        self.store = store
        self.answers = True

    async def read(self, prefix):
        snapshot = await self.store.read(prefix)
        await anyio.sleep(ANSWER_SECONDS)
        if not self.answers:
            raise StoreUnavailable("no answer")
        return snapshot


def run_with_sync(scenario):
    """Run a scenario with the store synchronization of a daemon that is not running."""

    async def run():
        async with anyio.create_task_group() as tasks:
            cluster = Cluster(tasks)
            node = cluster.start("d1", "dc1")
            node.run_scope.cancel()
            sync = node.store_sync
            sync.store = LateStore(cluster.store)
            result = await scenario(node, sync)
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(run)


def deny(node, sync):
    """Return the status with which a request for batch jobs with an unknown key is denied."""
    freshness = ReplicaFreshness(sync.config_age, node.is_config_fresh)
    return denial(JobRefused(401, "bad-key", "the access key is unknown"), freshness).status


def test_read_of_the_store_confirms_from_the_time_at_which_it_was_sent():
    async def scenario(node, sync):
        statuses = []
        sync.on_config = lambda: statuses.append(deny(node, sync))
        await sync.load_config()
        return statuses, sync.config_age()

    statuses, age = run_with_sync(scenario)
    assert statuses == [401]
    assert age == pytest.approx(ANSWER_SECONDS, abs=0.01)


@pytest.mark.parametrize("loaded_before", [False, True])
def test_read_without_an_answer_confirms_nothing(loaded_before):
    async def scenario(node, sync):
        if loaded_before:
            await sync.load_config()
        sync.store.answers = False
        with pytest.raises(StoreUnavailable):
            await sync.load_config()
        return sync.config_age()

    expected = 2 * ANSWER_SECONDS if loaded_before else math.inf
    assert run_with_sync(scenario) == pytest.approx(expected, abs=0.01)


def test_copy_is_not_used_for_denials_once_its_read_is_too_old():
    async def scenario(node, sync):
        await sync.load_config()
        await anyio.sleep(node.settings.freshness_seconds - 2 * ANSWER_SECONDS)
        before = deny(node, sync)
        await anyio.sleep(2 * ANSWER_SECONDS)
        return before, deny(node, sync)

    assert run_with_sync(scenario) == (401, 503)


def test_changes_of_a_watch_confirm_nothing():
    async def scenario(node, sync):
        await sync.load_config()
        sync.store.watch = sync.store.store.watch
        age, revision = sync.config_age(), sync.replica.revision
        with anyio.move_on_after(1.0):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(sync._watch_config)
                await anyio.sleep(0.1)
                await node.writer.apply([Change("team", "agents", Team("agents"), 0)], "test")
                await anyio.sleep_forever()
        assert sync.replica.revision > revision
        return sync.config_age() - age

    assert run_with_sync(scenario) == pytest.approx(1.0, abs=0.01)


def test_copy_from_another_daemon_confirms_nothing():
    async def scenario(node, sync):
        async def call(address, method, message):
            return pb.ConfigReply(revision=7, full=True)

        node.peer_client.call = call
        await Heartbeats(node).fetch_config("10.0.0.1:7700")
        assert sync.config_loaded
        return sync.config_age(), deny(node, sync)

    assert run_with_sync(scenario) == (math.inf, 503)


def test_probe_that_was_sent_before_a_read_does_not_make_the_copy_older():
    async def scenario(node, sync):
        await sync.load_config()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(sync.probe)
            await anyio.sleep(0.3)
            # This read is answered at once, before the probe.
            sync.store = sync.store.store
            await sync.load_config()
        return sync.config_age()

    assert run_with_sync(scenario) == pytest.approx(ANSWER_SECONDS - 0.3, abs=0.01)


@pytest.mark.parametrize("seed", [1, 2])
def test_unknown_key_is_denied_as_soon_as_the_configuration_is_in_force(seed):
    async def run():
        async with anyio.create_task_group() as tasks:
            cluster = Cluster(tasks, seed=seed)
            node = cluster.start("d1", "dc1")
            await cluster.apply(OBJECTS)
            with anyio.fail_after(5.0):
                while node.replica.get("queue", "rates") is None:
                    await anyio.sleep(0.001)
            outcome = await cluster.submit("d1", "rates", "strangers")
            tasks.cancel_scope.cancel()
        return outcome.status, outcome.reason

    assert run_virtual(run) == (401, "key-not-valid")
