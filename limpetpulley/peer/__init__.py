"""The protocol between daemons: messages, client and server.

The messages for direct jobs are in ``peer_pb2`` and ``peer_grpc``, their conversion in ``convert``.
"""

from . import batch_pb2
from .batch_grpc import BatchBase, BatchStub
from .client import PeerCaller, PeerClient
from .server import PeerServer

__all__ = ["BatchBase", "BatchStub", "PeerCaller", "PeerClient", "PeerServer", "batch_pb2"]
