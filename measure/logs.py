"""Cost of the structured log: time per line, and the longest pause with a stopped reader."""

from __future__ import annotations

import os
import time

from limpetpulley.telemetry import BatchMetrics, EventLog

LINES = 20_000
#: seconds of log flood while the reader is stopped
FLOOD_SECONDS = 60
#: lines of each event in a second of a peak
LINES_PER_SECOND = {
    "run-ordered": 500,
    "run-ended": 500,
    "job-refused": 60,
    "request-answered": 60,
}
#: lines between two flushes when the time per line is measured
FLUSH_LINES = 100


def write_lines(log: EventLog, count: int, event: str) -> None:
    """Write lines like those of a busy pool owner."""
    for number in range(count):
        log.write(
            event,
            task=f"98837ec0f07af228.0.1.{number}",
            run=277873247 + number,
            worker="i-ee27c11bff",
            life=1796414400123,
            pool="dexa4c",
        )


def measure_line_time() -> float:
    """Return the processor time of writing one line, in microseconds."""
    metrics = BatchMetrics()
    log = EventLog("entry-1", os.open(os.devnull, os.O_WRONLY), metrics.count_event)
    events = tuple(LINES_PER_SECOND)
    started_at = time.process_time()
    for number in range(LINES // FLUSH_LINES):
        log.event_bytes.clear()
        write_lines(log, FLUSH_LINES, events[number % len(events)])
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
        log.event_bytes.clear()
        for event, count in LINES_PER_SECOND.items():
            write_lines(log, count, event)
        log.flush()
        longest_pause = max(longest_pause, time.perf_counter() - started_at)
    os.close(reader)
    os.close(writer)
    return longest_pause * 1000, log.dropped_lines


def main() -> None:
    """Print the time per line and the longest pause."""
    print(f"one line: {measure_line_time():.1f} us of processor time, including its counter")
    pause, dropped_lines = measure_longest_pause()
    print(f"reader stopped: {pause:.1f} ms for a second's {sum(LINES_PER_SECOND.values())} lines")
    print(f"lines dropped and counted in {FLOOD_SECONDS} s: {dropped_lines}")


if __name__ == "__main__":
    main()
