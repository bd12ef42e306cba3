"""Structured logs: one line of JSON for each decision, written without blocking."""

from __future__ import annotations

import json
import os
import time
from collections import deque
from collections.abc import Callable
from typing import Any

__all__ = ["EventLog", "null_log"]

#: most lines buffered while standard output accepts no data; further lines are dropped and counted
MAX_PENDING_LINES = 5000
#: rate limit of each event, in bytes per second; further lines are suppressed and counted
MAX_EVENT_BYTES_PER_SECOND = 20_000
#: the same for each event of a run, so that no run is missing from the logs
MAX_RUN_EVENT_BYTES_PER_SECOND = 150_000
#: prefix of the events of runs
RUN_EVENT_PREFIX = "run-"
#: largest chunk of several lines that is passed to one ``os.write`` call, in bytes: up to
#: ``PIPE_BUF``, it is not mixed with the writes of other processes to the same pipe
MAX_WRITE_BYTES = 4096

encode_line = json.JSONEncoder(default=str, separators=(",", ":")).encode


class EventLog:
    """Writes events as lines of JSON to a file descriptor.

    :param source: name of the daemon, included in every line
    :param descriptor: file descriptor to write to; it is switched to non-blocking mode
    :param on_event: called with the name and reason of each event, also if its line is suppressed
    """

    def __init__(
        self,
        source: str,
        descriptor: int = 1,
        on_event: Callable[[str, object], None] = lambda event, reason: None,
    ):
        self.source = source
        self.on_event = on_event
        self.dropped_lines = 0
        self.descriptor = descriptor
        self.pending: deque[bytes] = deque()
        self.partial = b""
        self.unreported_drops = 0
        self.suppressed: dict[str, int] = {}
        self.event_bytes: dict[str, int] = {}
        self.current_second = 0
        os.set_blocking(descriptor, False)

    def write(self, event: str, **fields: Any) -> None:
        """Buffer one line, unless the event has reached its rate limit for this second.

        :param event: name of the event
        :param fields: inputs of the decision with their age or version, and the outcome
        """
        self.on_event(event, fields.get("reason", ""))
        now = time.time()
        if int(now) != self.current_second:
            self._start_second(int(now))
        written = self.event_bytes.get(event, 0)
        if written >= MAX_EVENT_BYTES_PER_SECOND and written >= _rate_limit(event):
            self.suppressed[event] = self.suppressed.get(event, 0) + 1
            return
        line = {"time": round(now, 3), "event": event, "at": self.source, **fields}
        self.event_bytes[event] = written + self._append(line)

    def flush(self) -> None:
        """Write as many pending lines as the descriptor accepts without blocking."""
        while self.pending or self.partial:
            chunk = bytearray(self.partial)
            while self.pending and (
                not chunk or len(chunk) + len(self.pending[0]) <= MAX_WRITE_BYTES
            ):
                chunk += self.pending.popleft()
            try:
                written = os.write(self.descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                self.partial = b""
                self.pending.clear()
                return
            self.partial = bytes(chunk[written:])
            if self.partial:
                return

    def _append(self, line: dict[str, Any]) -> int:
        """Buffer one line; return its size in bytes, 0 if it is dropped."""
        if len(self.pending) >= MAX_PENDING_LINES:
            self.unreported_drops += 1
            self.dropped_lines += 1
            return 0
        if self.unreported_drops:
            line["lines_dropped"], self.unreported_drops = self.unreported_drops, 0
        encoded = encode_line(line).encode() + b"\n"
        self.pending.append(encoded)
        return len(encoded)

    def _start_second(self, second: int) -> None:
        self.current_second = second
        self.event_bytes.clear()
        if self.suppressed:
            suppressed, self.suppressed = self.suppressed, {}
            self._append(
                {"time": second, "event": "lines-left-out", "at": self.source, "counts": suppressed}
            )


def _rate_limit(event: str) -> int:
    """Return the rate limit of an event, in bytes per second."""
    if event.startswith(RUN_EVENT_PREFIX):
        return MAX_RUN_EVENT_BYTES_PER_SECOND
    return MAX_EVENT_BYTES_PER_SECOND


def null_log(source: str) -> EventLog:
    """Return a log that discards its lines."""
    return EventLog(source, os.open(os.devnull, os.O_WRONLY))
