"""Dispatch of jobs to endpoints, with connection reuse, health tracking and retries."""

from .connections import Connection, Connections, EndpointConnections
from .dispatch import Dispatcher, EndpointResponse, JobRequest
from .endpoints import EndpointSet
from .health import EndpointHealth
from .retries import RetryBudget

__all__ = [
    "Connection",
    "Connections",
    "Dispatcher",
    "EndpointConnections",
    "EndpointHealth",
    "EndpointResponse",
    "EndpointSet",
    "JobRequest",
    "RetryBudget",
]
