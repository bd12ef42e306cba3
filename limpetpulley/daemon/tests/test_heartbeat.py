"""Tests that a configuration from a peer is applied like one from the store."""

from types import SimpleNamespace

import anyio

from ...config import ConfigReplica
from ...peer import peer_pb2 as pb
from ..heartbeat import Heartbeats


def test_configuration_fetched_from_peer_notifies_listeners_of_the_store_sync():
    notified = []

    async def call(address, method, message):
        return pb.ConfigReply(revision=7, full=True)

    node = SimpleNamespace(
        replica=ConfigReplica(),
        peer_client=SimpleNamespace(call=call),
        store_sync=SimpleNamespace(
            config_loaded=False, on_config=lambda: notified.append("store_sync")
        ),
        on_config=lambda: notified.append("node"),
    )
    anyio.run(Heartbeats(node).fetch_config, "10.0.0.1:7700")
    assert node.store_sync.config_loaded
    assert notified == ["store_sync"]
