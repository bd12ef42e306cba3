"""Prometheus metrics of jobs of steps: counters, histograms and gauges."""

from __future__ import annotations

import re
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from .instruments import Instruments

__all__ = ["BatchMetrics"]

#: reasons that may become label values; free text, such as an error message, would create too many
#: time series
LABEL_PATTERN = re.compile(r"[a-z][a-z-]{0,30}")
#: most observations that are kept in memory until the instruments are loaded
MAX_PENDING_OBSERVATIONS = 10_000
Result = TypeVar("Result")


def _ignore(instruments: Instruments) -> None:
    """Update no gauge."""


def _import_instruments() -> type[Instruments]:
    from .instruments import Instruments

    return Instruments


class BatchMetrics:
    """The metrics that one daemon exports.

    A daemon does not load the instruments at its start, when its pools have no owner. What is
    observed before they are loaded is kept and passed on to them.

    :param refresh: called before each export to update the gauges
    """

    def __init__(self, refresh: Callable[[Instruments], None] = _ignore):
        self.refresh = refresh
        self.instruments: Instruments | None = None
        # Name, labels and seconds of observations; the seconds are None for a counter.
        self.pending: list[tuple[str, tuple[object, ...], float | None]] = []

    def load(self) -> None:
        """Load the instruments, unless they have been loaded."""
        self._get_instruments()

    def count_request(self, method: str, status: int, reason: str) -> None:
        """Count a caller's request by its answer."""
        self._record("requests", (method, status, reason))

    def observe_request(self, queue: str, method: str, seconds: float) -> None:
        """Record the time until a caller's answer."""
        self._record("request_seconds", (queue, method), seconds)

    def observe_start(self, queue: str, seconds: float) -> None:
        """Record the time from a job's acceptance to its first start."""
        self._record("start_seconds", (queue,), seconds)

    def observe_loop_lag(self, seconds: float) -> None:
        """Record how late the event loop woke a task."""
        self._record("loop_lag_seconds", (), seconds)

    def count_event(self, event: str, reason: object) -> None:
        """Count an event.

        :param reason: the label value if it matches :data:`LABEL_PATTERN`; otherwise the
            label is empty
        """
        label = reason if isinstance(reason, str) and LABEL_PATTERN.fullmatch(reason) else ""
        self._record("events", (event, label))

    async def measure(self, target: str, call: str, pending: Awaitable[Result]) -> Result:
        """Await a call and return its result; record its duration and outcome.

        :param target: the service that is called, such as ``store``
        :param call: name of the call
        :param pending: the awaitable of the call
        """
        started_at = time.perf_counter()
        result = "cancelled"  # remains set on cancellation, which is not an ``Exception``
        try:
            value = await pending
            result = "answered"
            return value
        except Exception as error:
            result = type(error).__name__
            raise
        finally:
            self._record("calls", (target, call, result))
            self._record("call_seconds", (target, call), time.perf_counter() - started_at)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        instruments = self._get_instruments()
        self.refresh(instruments)
        return instruments.render()

    def _record(self, name: str, labels: tuple[object, ...], seconds: float | None = None) -> None:
        if self.instruments is None:
            self.pending.append((name, labels, seconds))
            if len(self.pending) >= MAX_PENDING_OBSERVATIONS:
                self._get_instruments()
        elif seconds is None:
            self.instruments.count(name, labels)
        else:
            self.instruments.observe(name, labels, seconds)

    def _get_instruments(self) -> Instruments:
        if self.instruments is None:
            self.instruments = _import_instruments()()
            pending, self.pending = self.pending, []
            for observation in pending:
                self._record(*observation)
        return self.instruments
