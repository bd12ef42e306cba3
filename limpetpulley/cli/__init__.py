"""The operators' command line."""

from .client import OperatorsClient
from .main import main

__all__ = ["OperatorsClient", "main"]
