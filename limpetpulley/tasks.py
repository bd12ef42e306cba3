"""Background tasks whose errors are logged instead of terminating the daemon."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from types import ModuleType
from typing import Any

import anyio

__all__ = ["absorb_cancellation", "keep_running", "start_guarded"]

RESTART_SECONDS = 1.0


def start_guarded(
    tasks: anyio.abc.TaskGroup, function: Callable[..., Awaitable[Any]], *args: Any
) -> None:
    """Start a task whose failure does not cancel its task group."""
    tasks.start_soon(_guard, function, *args)


def _load_log() -> ModuleType:
    """Return the module that logs failed tasks; a daemon does not need it to start serving."""
    from absl import logging

    return logging


async def keep_running(function: Callable[[], Awaitable[Any]]) -> None:
    """Run a loop until cancelled; restart it after a failure."""
    while True:
        await _guard(function)
        await anyio.sleep(RESTART_SECONDS)


async def _guard(function: Callable[..., Awaitable[Any]], *args: Any) -> None:
    name = getattr(function, "__qualname__", function)
    try:
        await function(*args)
    except Exception:
        _load_log().exception("a task failed: %s", name)
    except anyio.get_cancelled_exc_class():
        if not absorb_cancellation():
            raise
        _load_log().error("a task was cancelled from outside: %s", name)


def absorb_cancellation() -> bool:
    """Undo a cancellation that no cancel scope requested; return whether it was one.

    A library may cancel the task that waits for it when a connection is lost. If this is not
    undone, every task of the group ends.
    """
    if anyio.current_effective_deadline() == -math.inf:
        return False
    task = asyncio.current_task()
    if task is not None:
        task.uncancel()
    return True
