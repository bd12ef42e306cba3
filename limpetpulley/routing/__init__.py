"""Endpoints, their health, connections to them, retries and dispatch."""

from .connections import Connection, Connections, EndpointConnections
from .dispatch import Answer, Dispatcher, JobRequest
from .endpoints import EndpointSet
from .health import Health
from .retries import RetryBudget

__all__ = [
    "Answer",
    "Connection",
    "Connections",
    "Dispatcher",
    "EndpointConnections",
    "EndpointSet",
    "Health",
    "JobRequest",
    "RetryBudget",
]
