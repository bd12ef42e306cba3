"""The protocol between daemons: messages, client and server."""

from . import batch_pb2, convert, peer_pb2
from .batch_grpc import BatchBase, BatchStub
from .client import PeerCaller, PeerClient
from .peer_grpc import PeerBase, PeerStub
from .server import PeerServer

__all__ = [
    "BatchBase",
    "BatchStub",
    "PeerBase",
    "PeerCaller",
    "PeerClient",
    "PeerServer",
    "PeerStub",
    "batch_pb2",
    "convert",
    "peer_pb2",
]
