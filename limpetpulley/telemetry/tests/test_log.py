"""Tests of the structured log: rate limits, bounded memory and non-blocking writes."""

import json
import os
import time

import pytest

from ..log import MAX_EVENT_LINES_PER_SECOND, MAX_PENDING_LINES, EventLog

#: longest time that a flush may block the event loop, in seconds
MAX_FLUSH_SECONDS = 0.05


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


def test_rate_limit_applies_to_each_event_and_counts_suppressed_lines(pipe, monkeypatch):
    now = [1000.0]
    monkeypatch.setattr("limpetpulley.telemetry.log.time.time", lambda: now[0])
    counted_events = []
    log = EventLog("entry-1", pipe[1], on_event=lambda event, reason: counted_events.append(event))
    for _ in range(1000):
        log.write("job-refused", reason="late")
    log.write("pool-claimed")
    now[0] += 1.0
    log.write("daemon-stopping")
    log.flush()
    lines = read_lines(pipe[0])
    events = [line["event"] for line in lines]
    assert events.count("job-refused") == MAX_EVENT_LINES_PER_SECOND
    assert events.count("pool-claimed") == 1
    summary = next(line for line in lines if line["event"] == "lines-left-out")
    assert summary["counts"] == {"job-refused": 1000 - MAX_EVENT_LINES_PER_SECOND}
    assert counted_events.count("job-refused") == 1000


def test_stalled_reader_does_not_block_the_writer(pipe, monkeypatch):
    now = [1000.0]
    monkeypatch.setattr("limpetpulley.telemetry.log.time.time", lambda: now[0])
    log = EventLog("entry-1", pipe[1])
    longest = 0.0
    for _ in range(300):
        now[0] += 1.0
        for _ in range(MAX_EVENT_LINES_PER_SECOND):
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
    lines = []
    os.set_blocking(reader, False)
    data = b""
    while log.pending or log.partial:
        log.flush()
        data += os.read(reader, 1 << 20)
    lines = [json.loads(line) for line in data.splitlines()]
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
