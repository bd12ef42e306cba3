"""The protocol between daemons: messages, client and server."""

from . import convert, peer_pb2
from .client import PeerCaller, PeerClient
from .peer_grpc import PeerBase, PeerStub
from .server import PeerServer

__all__ = ["PeerBase", "PeerCaller", "PeerClient", "PeerServer", "PeerStub", "convert", "peer_pb2"]
