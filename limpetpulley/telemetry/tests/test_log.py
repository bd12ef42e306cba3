"""Tests of the structured log: rate limits, bounded memory and non-blocking writes."""

import json
import os
import time

import pytest

from ..log import (
    MAX_EVENT_BYTES_PER_SECOND,
    MAX_PENDING_LINES,
    MAX_RUN_EVENT_BYTES_PER_SECOND,
    MAX_WRITE_BYTES,
    EventLog,
)

#: longest time that a flush may block the event loop, in seconds
MAX_FLUSH_SECONDS = 0.05
#: starts of tasks by one daemon at the peak of a day, per second
PEAK_STARTS_PER_SECOND = 500


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]


def flush_and_read(log, reader):
    """Return the lines of a log as written, once all are flushed through the pipe."""
    os.set_blocking(reader, False)
    data = b""
    while log.pending or log.partial:
        log.flush()
        data += os.read(reader, 1 << 20)
    return data.splitlines(keepends=True)


def test_line_has_time_event_daemon_and_fields(pipe):
    log = EventLog("entry-1", pipe[1])
    log.write("job-refused", job="ab", reason="late", end=1.5)
    log.flush()
    line = read_lines(pipe[0])[0]
    assert abs(line.pop("time") - time.time()) < 5
    assert line == {
        "event": "job-refused",
        "at": "entry-1",
        "job": "ab",
        "reason": "late",
        "end": 1.5,
    }


@pytest.mark.parametrize(
    ("event", "limit"),
    [
        ("job-refused", MAX_EVENT_BYTES_PER_SECOND),
        ("run-ordered", MAX_RUN_EVENT_BYTES_PER_SECOND),
    ],
)
def test_rate_limit_applies_to_each_event_and_counts_suppressed_lines(
    pipe, monkeypatch, event, limit
):
    now = [1000.0]
    monkeypatch.setattr("limpetpulley.telemetry.log.time.time", lambda: now[0])
    counted_events = []
    log = EventLog("entry-1", pipe[1], on_event=lambda event, reason: counted_events.append(event))
    for _ in range(5000):
        log.write(event, reason="late")
    log.write("pool-claimed")
    now[0] += 1.0
    log.write("daemon-stopping")
    rows = flush_and_read(log, pipe[0])
    lines = [json.loads(row) for row in rows]
    limited = [row for row, line in zip(rows, lines, strict=True) if line["event"] == event]
    # The limit is reached by the last line that is written.
    assert limit <= sum(map(len, limited)) < limit + len(limited[-1])
    assert [line["event"] for line in lines].count("pool-claimed") == 1
    summary = next(line for line in lines if line["event"] == "lines-left-out")
    assert summary["counts"] == {event: 5000 - len(limited)}
    assert counted_events.count(event) == 5000


def test_all_runs_of_a_peak_are_written(pipe, monkeypatch):
    now = [1000.0]
    monkeypatch.setattr("limpetpulley.telemetry.log.time.time", lambda: now[0])
    log = EventLog("edge-perth-north-2", pipe[1])
    names = {"pool": "dexa4c", "worker": "i-ee27c11bff", "life": 1796414400123}
    for number in range(PEAK_STARTS_PER_SECOND):
        run = {"task": f"98837ec0f07af228.0.0.{number}", "run": 277873247 + number}
        log.write("run-ordered", **run, **names)
        log.write("run-ended", **run, **names, position=1000 + number, detail="done")
    now[0] += 1.0
    log.write("daemon-stopping")
    events = [json.loads(row)["event"] for row in flush_and_read(log, pipe[0])]
    assert events.count("run-ordered") == events.count("run-ended") == PEAK_STARTS_PER_SECOND
    assert "lines-left-out" not in events


@pytest.mark.parametrize(("line_bytes", "count"), [(100, 500), (1500, 50), (3000, 40), (10_000, 3)])
def test_each_write_holds_whole_lines_of_bounded_size(pipe, monkeypatch, line_bytes, count):
    """A reader may cut a longer write, and mix it with the writes of other processes."""
    chunks = []
    monkeypatch.setattr(
        "limpetpulley.telemetry.log.os.write",
        lambda descriptor, chunk: chunks.append(bytes(chunk)) or len(chunk),
    )
    log = EventLog("entry-1", pipe[1])
    for _ in range(count):
        log.write("run-ordered", detail="x" * line_bytes)
    log.flush()
    assert sum(chunk.count(b"\n") for chunk in chunks) == count
    assert all(chunk.endswith(b"\n") for chunk in chunks)
    assert all(len(chunk) <= MAX_WRITE_BYTES or chunk.count(b"\n") == 1 for chunk in chunks)
    assert MAX_WRITE_BYTES <= 4096


def test_stalled_reader_does_not_block_the_writer(pipe, monkeypatch):
    now = [1000.0]
    monkeypatch.setattr("limpetpulley.telemetry.log.time.time", lambda: now[0])
    log = EventLog("entry-1", pipe[1])
    longest = 0.0
    for _ in range(300):
        now[0] += 1.0
        for _ in range(PEAK_STARTS_PER_SECOND):
            log.write("run-ordered", detail="x" * 200)
            log.write("job-refused", detail="x" * 200)
        started_at = time.perf_counter()
        log.flush()
        longest = max(longest, time.perf_counter() - started_at)
    assert longest < MAX_FLUSH_SECONDS
    assert len(log.pending) <= MAX_PENDING_LINES
    assert log.dropped_lines > 0
    check_recovery(log, pipe[0])


def check_recovery(log, reader):
    """Check that lines are whole once the reader resumes, and that dropped lines are counted."""
    lines = [json.loads(row) for row in flush_and_read(log, reader)]
    log.write("after")
    log.flush()
    assert all("event" in line for line in lines)
    assert read_lines(reader)[-1]["lines_dropped"] > 0


def test_closed_reader_raises_no_error():
    reader, writer = os.pipe()
    log = EventLog("entry-1", writer)
    os.close(reader)
    log.write("job-refused")
    log.flush()
    assert not log.pending
    os.close(writer)
