"""An event loop on virtual time, for discrete-event simulation.

While callbacks are ready, time advances by one short tick per iteration of the loop; otherwise it
jumps to the next timer.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from contextvars import Context, ContextVar
from typing import Any

import anyio

__all__ = ["HOST", "VirtualClock", "pause_host", "resume_host", "run_virtual"]

#: host whose code runs in a task, empty for none
HOST: ContextVar[str] = ContextVar("host", default="")

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
        self.paused: dict[str, list[_HostCallback]] = {}
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now_seconds

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback, which waits while its host is paused."""
        host = HOST.get() if context is None else context.get(HOST, "")
        if not host:
            return super().call_soon(callback, *args, context=context)
        guarded = _HostCallback(self, host, callback, args, context)
        guarded.handle = super().call_soon(guarded, context=context)
        return guarded.handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback at a time; it waits while its host is paused."""
        host = HOST.get() if context is None else context.get(HOST, "")
        if not host:
            return super().call_at(when, callback, *args, context=context)
        guarded = _HostCallback(self, host, callback, args, context)
        handle = guarded.handle = super().call_at(when, guarded, context=context)
        return handle


class _HostCallback:
    """A callback of a host, which is kept back while the host is paused."""

    handle: asyncio.Handle

    def __init__(
        self,
        loop: _VirtualLoop,
        host: str,
        callback: Callable,
        args: tuple,
        context: Context | None,
    ):
        self.loop = loop
        self.host = host
        self.callback = callback
        self.args = args
        self.context = context

    def __call__(self) -> None:
        waiting = self.loop.paused.get(self.host)
        if waiting is None:
            self.callback(*self.args)
        else:
            waiting.append(self)

    def run_late(self) -> None:
        """Run the callback unless it was cancelled since its host went on."""
        if not self.handle.cancelled():
            self()


def pause_host(host: str) -> None:
    """Pause all code of a host, as a stopped process; time goes on."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, _VirtualLoop)
    loop.paused.setdefault(host, [])


def resume_host(host: str) -> None:
    """Let a paused host go on with what has become due meanwhile."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, _VirtualLoop)
    for waiting in loop.paused.pop(host, []):
        asyncio.SelectorEventLoop.call_soon(loop, waiting.run_late, context=waiting.context)


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
