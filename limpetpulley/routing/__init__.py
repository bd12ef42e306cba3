"""Endpoints, their health, connections to them, retries and dispatch."""

from .connections import Connection, Connections, EndpointConnections
from .dispatch import Dispatcher, EndpointResponse, JobRequest
from .endpoints import EndpointSet
from .health import EndpointHealth
from .retries import RetryBudget

__all__ = [
    "EndpointResponse",
    "Connection",
    "Connections",
    "Dispatcher",
    "EndpointConnections",
    "EndpointSet",
    "EndpointHealth",
    "JobRequest",
    "RetryBudget",
]
