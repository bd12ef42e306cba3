"""Tasks whose errors are logged instead of ending the daemon."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from absl import logging

__all__ = ["keep_running", "start_guarded"]

RESTART_SECONDS = 1.0


def start_guarded(
    tasks: anyio.abc.TaskGroup, function: Callable[..., Awaitable[Any]], *args: Any
) -> None:
    """Start a task that ends alone if it fails."""
    tasks.start_soon(_guard, function, *args)


async def keep_running(function: Callable[[], Awaitable[Any]]) -> None:
    """Run a loop until cancelled, and again if it fails."""
    while True:
        await _guard(function)
        await anyio.sleep(RESTART_SECONDS)


async def _guard(function: Callable[..., Awaitable[Any]], *args: Any) -> None:
    try:
        await function(*args)
    except Exception:
        logging.exception("a task failed: %s", getattr(function, "__qualname__", function))
