"""Command line for operators."""

from .client import OperatorClient
from .main import main

__all__ = ["OperatorClient", "main"]
