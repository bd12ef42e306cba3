"""The log is bounded under a flood and never waits for its reader."""

import json
import os
import time

import pytest

from ..log import LINES_PER_SECOND, MAX_PENDING_LINES, EventLog

#: longest pause that a flush may cost the event loop, in seconds
PAUSE_SECONDS = 0.05


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_all(reader):
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]


def test_lines_have_time_event_daemon_and_fields(pipe):
    log = EventLog("entry-1", pipe[1])
    log.write("job-refused", job="ab", reason="late", end=1.5)
    log.flush()
    line = read_all(pipe[0])[0]
    assert abs(line.pop("time") - time.time()) < 5
    assert line == {
        "event": "job-refused",
        "at": "entry-1",
        "job": "ab",
        "reason": "late",
        "end": 1.5,
    }


def test_a_flood_of_one_event_is_bounded_counted_and_leaves_others_alone(pipe, monkeypatch):
    now = [1000.0]
    monkeypatch.setattr("limpetpulley.telemetry.log.time.time", lambda: now[0])
    counted = []
    log = EventLog("entry-1", pipe[1], on_event=lambda event, reason: counted.append(event))
    for _ in range(1000):
        log.write("job-refused", reason="late")
    log.write("pool-claimed")
    now[0] += 1.0
    log.write("daemon-stopping")
    log.flush()
    lines = read_all(pipe[0])
    events = [line["event"] for line in lines]
    assert events.count("job-refused") == LINES_PER_SECOND
    assert events.count("pool-claimed") == 1
    left_out = next(line for line in lines if line["event"] == "lines-left-out")
    assert left_out["counts"] == {"job-refused": 1000 - LINES_PER_SECOND}
    assert counted.count("job-refused") == 1000


def test_a_reader_that_has_stopped_never_holds_the_writer_up(pipe, monkeypatch):
    now = [1000.0]
    monkeypatch.setattr("limpetpulley.telemetry.log.time.time", lambda: now[0])
    log = EventLog("entry-1", pipe[1])
    longest = 0.0
    for _ in range(300):
        now[0] += 1.0
        for _ in range(LINES_PER_SECOND):
            log.write("job-refused", detail="x" * 200)
        began = time.perf_counter()
        log.flush()
        longest = max(longest, time.perf_counter() - began)
    assert longest < PAUSE_SECONDS
    assert len(log.pending) <= MAX_PENDING_LINES
    assert log.dropped_lines > 0
    read_all_when_it_reads_again(log, pipe[0])


def read_all_when_it_reads_again(log, reader):
    """Check that lines come whole once the reader goes on, and that the loss is told."""
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
    assert read_all(reader)[-1]["lines_dropped"] > 0


def test_a_closed_reader_ends_nothing():
    reader, writer = os.pipe()
    log = EventLog("entry-1", writer)
    os.close(reader)
    log.write("job-refused")
    log.flush()
    assert not log.pending
    os.close(writer)
