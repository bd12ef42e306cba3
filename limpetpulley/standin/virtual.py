"""An event loop on virtual time, for discrete-event simulation.

While callbacks are ready, time advances by one short tick per iteration of the loop; otherwise it
jumps to the next timer.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

__all__ = ["VirtualClock", "run_virtual"]

#: least advance of the virtual time per iteration of the loop, in seconds
TICK_SECONDS = 1e-6


class _AdvancingSelector(selectors.SelectSelector):
    """A selector that advances the loop's virtual time instead of blocking."""

    loop: _VirtualLoop

    def select(self, timeout: float | None = None) -> list:
        """Advance the virtual time by the timeout and return no events.

        :raises RuntimeError: if no callback is scheduled, so that the loop would block for ever
        """
        if timeout is None:
            raise RuntimeError(
                "virtual event loop is deadlocked: no callback is ready or scheduled"
            )
        self.loop.now_seconds += max(timeout, TICK_SECONDS)
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that runs on virtual time, so that sleeping takes no real time."""

    def __init__(self) -> None:
        selector = _AdvancingSelector()
        selector.loop = self
        self.now_seconds = 1000.0
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now_seconds


class VirtualClock:
    """A clock on the running loop's virtual time, with a drift and an offset of its own.

    :param rate: seconds that pass on this clock per second of the loop
    :param offset: seconds by which this clock is ahead of the loop at rate 1
    """

    def __init__(self, rate: float = 1.0, offset: float = 0.0):
        self.rate = rate
        self.offset = offset

    def now(self) -> float:
        """Return the time in seconds."""
        return asyncio.get_running_loop().time() * self.rate + self.offset


def run_virtual(function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run a coroutine function on virtual time and return its result.

    Runs are deterministic: the same function with the same random seeds behaves identically.
    """
    return anyio.run(function, *args, backend_options={"loop_factory": _VirtualLoop})
