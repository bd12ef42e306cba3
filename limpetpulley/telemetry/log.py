"""Structured logs: one line of JSON for each decision, without ever blocking."""

from __future__ import annotations

import json
import os
import time
from collections import deque
from collections.abc import Callable
from typing import Any

__all__ = ["EventLog", "null_log"]

#: lines kept while standard output takes no more; further ones are dropped and counted
MAX_PENDING_LINES = 5000
#: lines of one event in a second; further ones are left out and counted
LINES_PER_SECOND = 60
#: most bytes handed to the system in one call
WRITE_BYTES = 60_000


class EventLog:
    """Writes events as lines of JSON to a file descriptor.

    :param source: name of the daemon, in every line
    :param descriptor: where lines go; it is set not to block
    :param on_event: told of each event and its reason, also of those that are left out
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
        self.dropped = 0
        self.left_out: dict[str, int] = {}
        self.event_counts: dict[str, int] = {}
        self.second = 0
        os.set_blocking(descriptor, False)

    def write(self, event: str, **fields: Any) -> None:
        """Write one line, unless the event's lines of this second are used up.

        :param event: name of the event
        :param fields: inputs of the decision with their age or version, and the outcome
        """
        self.on_event(event, fields.get("reason", ""))
        now = time.time()
        if int(now) != self.second:
            self._next_second(int(now))
        count = self.event_counts[event] = self.event_counts.get(event, 0) + 1
        if count > LINES_PER_SECOND:
            self.left_out[event] = self.left_out.get(event, 0) + 1
            return
        self._append({"time": round(now, 3), "event": event, "at": self.source, **fields})

    def flush(self) -> None:
        """Write as many pending lines as standard output takes now."""
        while self.pending or self.partial:
            chunk = self.partial
            while self.pending and len(chunk) < WRITE_BYTES:
                chunk += self.pending.popleft()
            try:
                written = os.write(self.descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                self.partial = b""
                self.pending.clear()
                return
            self.partial = chunk[written:]
            if self.partial:
                return

    def _append(self, line: dict[str, Any]) -> None:
        if len(self.pending) >= MAX_PENDING_LINES:
            self.dropped += 1
            self.dropped_lines += 1
            return
        if self.dropped:
            line["lines_dropped"], self.dropped = self.dropped, 0
        self.pending.append(json.dumps(line, default=str, separators=(",", ":")).encode() + b"\n")

    def _next_second(self, second: int) -> None:
        self.second = second
        self.event_counts.clear()
        if self.left_out:
            left_out, self.left_out = self.left_out, {}
            self._append(
                {"time": second, "event": "lines-left-out", "at": self.source, "counts": left_out}
            )


def null_log(source: str) -> EventLog:
    """Return a log whose lines go nowhere."""
    return EventLog(source, os.open(os.devnull, os.O_WRONLY))
