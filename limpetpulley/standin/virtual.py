"""An event loop whose time stands still until nothing is left to do, then jumps."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

__all__ = ["VirtualClock", "run_virtual"]

TICK_SECONDS = 1e-6


class _JumpingSelector(selectors.SelectSelector):
    """A selector that moves the loop's time on in place of waiting."""

    loop: _VirtualLoop

    def select(self, timeout: float | None = None) -> list:
        """Return at once, with the loop's time moved on by the timeout."""
        if timeout is None:
            raise RuntimeError("nothing is left to do, and nothing to wait for")
        self.loop.seconds += max(timeout, TICK_SECONDS)
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in which waiting takes no time."""

    def __init__(self) -> None:
        selector = _JumpingSelector()
        selector.loop = self
        self.seconds = 1000.0
        super().__init__(selector)

    def time(self) -> float:
        """Return the loop's own time in seconds."""
        return self.seconds


class VirtualClock:
    """The time of the running virtual loop, with a rate and a start of its own.

    :param rate: seconds that pass on this clock in one second of the loop
    :param offset: seconds that this clock is ahead
    """

    def __init__(self, rate: float = 1.0, offset: float = 0.0):
        self.rate = rate
        self.offset = offset

    def now(self) -> float:
        """Return the time in seconds."""
        return asyncio.get_running_loop().time() * self.rate + self.offset


def run_virtual(function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run a coroutine function on a virtual loop and return its result.

    The same function with the same random seeds does the same every time.
    """
    return anyio.run(function, *args, backend_options={"loop_factory": _VirtualLoop})
