"""Emulators of the platform and of endpoints, for the demonstration and for tests."""

from .endpoint import EndpointStandin
from .faults import Faults
from .fleet import MemoryFleet
from .platform import PlatformStandin
from .proxy import FaultProxy

__all__ = ["EndpointStandin", "FaultProxy", "Faults", "MemoryFleet", "PlatformStandin"]
