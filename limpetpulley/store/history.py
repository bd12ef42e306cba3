"""Earlier values of large entries, to which differences can be sent."""

from __future__ import annotations

from collections import deque

from .store import Entry

__all__ = ["LARGE_VALUE_BYTES", "EntryHistory"]

#: size from which on a value counts as large: smaller ones are sent whole, in bytes
LARGE_VALUE_BYTES = 4096
#: most bytes of earlier values that are kept, of all entries together
MAX_HISTORY_BYTES = 2 << 20


class EntryHistory:
    """The latest replaced values of a mirror's large entries."""

    def __init__(self) -> None:
        self.entries: deque[Entry] = deque()
        self.bytes = 0

    def add(self, entry: Entry) -> None:
        """Keep an entry that has been replaced, in place of the oldest ones."""
        if not LARGE_VALUE_BYTES <= len(entry.value) <= MAX_HISTORY_BYTES:
            return
        self.entries.append(entry)
        self.bytes += len(entry.value)
        while self.bytes > MAX_HISTORY_BYTES:
            self.bytes -= len(self.entries.popleft().value)

    def find(self, key: str, revision: int) -> Entry | None:
        """Return an entry as it was at its modification at a revision, None if it is not kept."""
        for entry in reversed(self.entries):
            if entry.key == key and entry.revision == revision:
                return entry
        return None
