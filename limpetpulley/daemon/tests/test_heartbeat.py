"""A configuration that a daemon gets from another one is used like one from the store."""

from types import SimpleNamespace

import anyio

from ...config import ConfigReplica
from ...peer import peer_pb2 as pb
from ..heartbeat import Heartbeats


def test_whoever_uses_the_configuration_hears_of_one_that_a_peer_sent():
    told = []

    async def call(address, method, message):
        return pb.ConfigReply(revision=7, full=True)

    node = SimpleNamespace(
        replica=ConfigReplica(),
        client=SimpleNamespace(call=call),
        store_sync=SimpleNamespace(
            config_loaded=False, on_config=lambda: told.append("store_sync")
        ),
        on_config=lambda: told.append("node"),
    )
    anyio.run(Heartbeats(node).fetch_config, "10.0.0.1:7700")
    assert node.store_sync.config_loaded
    assert told == ["store_sync"]
