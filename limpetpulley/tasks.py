"""Background tasks whose errors are logged instead of terminating the daemon."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from types import ModuleType
from typing import Any, Protocol

import anyio

__all__ = ["absorb_cancellation", "keep_running", "load_log", "start_guarded"]

#: delay before a loop that has ended is started again, doubled up to the maximum with each end of
#: it in a row, in seconds
RESTART_SECONDS = 0.1
MAX_RESTART_SECONDS = 2.0
#: time for which a loop must have run for its next end not to count as one in a row, in seconds
SOUND_SECONDS = 10.0
#: most doublings of the delay
MAX_DOUBLINGS = 10


class FailureLog(Protocol):
    """Log in which operators see the ends of loops."""

    def write(self, event: str, **fields: Any) -> None:
        """Write an event."""


def start_guarded(
    tasks: anyio.abc.TaskGroup, function: Callable[..., Awaitable[Any]], *args: Any
) -> None:
    """Start a task whose failure does not cancel its task group."""
    tasks.start_soon(_guard, function, *args)


def load_log() -> ModuleType:
    """Return the module that logs failed tasks; a daemon does not need it to start serving."""
    from absl import logging

    return logging


async def keep_running(
    function: Callable[[], Awaitable[Any]], log: FailureLog | None = None
) -> None:
    """Run a loop until cancelled; start it again after a growing delay when it has ended.

    :param log: told of each end as ``loop-ended``, with how many there were in a row
    """
    ends, name = 0, _task_name(function)
    while True:
        started_at = anyio.current_time()
        reason = await _guard(function)
        ends = 1 if anyio.current_time() - started_at >= SOUND_SECONDS else ends + 1
        delay = min(RESTART_SECONDS * 2 ** min(ends - 1, MAX_DOUBLINGS), MAX_RESTART_SECONDS)
        if log is not None:
            log.write("loop-ended", loop=name, reason=reason, ends=ends, delay=delay)
        await anyio.sleep(delay)


def _task_name(function: Callable[..., Awaitable[Any]]) -> str:
    return getattr(function, "__qualname__", repr(function))


async def _guard(function: Callable[..., Awaitable[Any]], *args: Any) -> str:
    """Run a task; return why it has ended."""
    name = _task_name(function)
    try:
        await function(*args)
    except Exception as error:
        load_log().exception("a task failed: %s", name)
        return repr(error)
    except anyio.get_cancelled_exc_class():
        if not absorb_cancellation():
            raise
        load_log().error("a task was cancelled from outside: %s", name)
        return "cancelled from outside"
    return "returned"


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
