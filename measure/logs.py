"""Cost of the structured log: time per line, and the longest pause with a stopped reader."""

from __future__ import annotations

import os
import time

from limpetpulley.telemetry import BatchMetrics, EventLog

LINES = 20_000
#: seconds of log flood while the reader is stopped, with each of these events at its line limit
FLOOD_SECONDS = 60
EVENTS = ("run-ordered", "run-ended", "job-refused", "request-answered")
LINES_PER_SECOND = 60


def write_lines(log: EventLog, count: int, event: str) -> None:
    """Write lines like those of a busy pool owner."""
    for number in range(count):
        log.write(event, task=f"00000000000000ab.0.1.{number}", run=number, worker="w", pool="desk")


def measure_line_time() -> float:
    """Return the processor time of writing one line, in microseconds."""
    metrics = BatchMetrics()
    log = EventLog("entry-1", os.open(os.devnull, os.O_WRONLY), metrics.count_event)
    started_at = time.process_time()
    for number in range(LINES // LINES_PER_SECOND):
        log.event_counts.clear()
        write_lines(log, LINES_PER_SECOND, EVENTS[number % len(EVENTS)])
        log.flush()
    return (time.process_time() - started_at) / LINES * 1e6


def measure_longest_pause() -> tuple[float, int]:
    """Return the longest time to write one second's lines while the reader is stopped.

    :return: that time in milliseconds, and the number of dropped lines
    """
    reader, writer = os.pipe()
    log = EventLog("entry-1", writer)
    longest_pause = 0.0
    for _ in range(FLOOD_SECONDS):
        started_at = time.perf_counter()
        log.event_counts.clear()
        for event in EVENTS:
            write_lines(log, LINES_PER_SECOND, event)
        log.flush()
        longest_pause = max(longest_pause, time.perf_counter() - started_at)
    os.close(reader)
    os.close(writer)
    return longest_pause * 1000, log.dropped_lines


def main() -> None:
    """Print the time per line and the longest pause."""
    print(f"one line: {measure_line_time():.1f} us of processor time, including its counter")
    pause, dropped_lines = measure_longest_pause()
    print(f"reader stopped: {pause:.1f} ms for a second's {len(EVENTS) * LINES_PER_SECOND} lines")
    print(f"lines dropped and counted in {FLOOD_SECONDS} s: {dropped_lines}")


if __name__ == "__main__":
    main()
