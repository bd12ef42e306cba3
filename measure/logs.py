"""What the structured log costs: time of a line, and the longest pause with a stopped reader."""

from __future__ import annotations

import os
import time

from limpetpulley.telemetry import BatchMetrics, EventLog

LINES = 20_000
#: seconds of a flood with a reader that has stopped, at the bound of each of these events
FLOOD_SECONDS = 60
EVENTS = ("run-ordered", "run-ended", "job-refused", "request-answered")
LINES_A_SECOND = 60


def write_lines(log: EventLog, count: int, event: str) -> None:
    """Write lines such as a busy owner's."""
    for number in range(count):
        log.write(event, task=f"00000000000000ab.0.1.{number}", run=number, worker="w", pool="desk")


def measure_line() -> float:
    """Return the processor time of one line that is written, in microseconds."""
    metrics = BatchMetrics()
    log = EventLog("entry-1", os.open(os.devnull, os.O_WRONLY), metrics.count_event)
    begun = time.process_time()
    for number in range(LINES // LINES_A_SECOND):
        log.event_counts.clear()
        write_lines(log, LINES_A_SECOND, EVENTS[number % len(EVENTS)])
        log.flush()
    return (time.process_time() - begun) / LINES * 1e6


def measure_pause() -> tuple[float, int]:
    """Return the longest pause of a second's lines in milliseconds, and the lines lost."""
    reader, writer = os.pipe()
    log = EventLog("entry-1", writer)
    longest = 0.0
    for _ in range(FLOOD_SECONDS):
        begun = time.perf_counter()
        log.event_counts.clear()
        for event in EVENTS:
            write_lines(log, LINES_A_SECOND, event)
        log.flush()
        longest = max(longest, time.perf_counter() - begun)
    os.close(reader)
    os.close(writer)
    return longest * 1000, log.dropped_lines


def main() -> None:
    """Print both."""
    print(f"one line: {measure_line():.1f} us of processor time, its counter included")
    pause, dropped_lines = measure_pause()
    print(f"reader stopped: {pause:.1f} ms for a second's {len(EVENTS) * LINES_A_SECOND} lines")
    print(f"lines lost and counted in {FLOOD_SECONDS} s: {dropped_lines}")


if __name__ == "__main__":
    main()
