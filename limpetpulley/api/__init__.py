"""HTTP interfaces for callers and operators."""

from .callers import CallersApp
from .operators import OperatorsApp
from .server import HttpServer

__all__ = ["CallersApp", "HttpServer", "OperatorsApp"]
