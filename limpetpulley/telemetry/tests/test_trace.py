"""Tests of traces: logs of several daemons are merged although their clocks differ."""

import json

import pytest

from ...cli.main import run
from ..trace import find_clock_corrections, read_lines, trace

JOB = "00000000000000ab"


def log_line(offset, daemon, event, **fields):
    return json.dumps({"time": 1000.0 + offset, "event": event, "at": daemon, **fields})


def make_logs(skew=0.0):
    """Return the logs of a job that an edge daemon forwarded to an owner whose clock is off.

    :param skew: seconds by which the owner's clock is ahead
    """
    owner, edge = "entry-2", "entry-1"
    return [
        log_line(0.0, edge, "pool-claimed", pool="other"),
        log_line(1.5 + skew, owner, "pool-taken-over", pool="desk", token=7),
        log_line(2.02 + skew, owner, "job-accepted", job=JOB, pool="desk", end=1.0, due=3.0),
        log_line(2.04, edge, "request-answered", job=JOB, status=202, seconds=0.04, path="/q"),
        log_line(
            2.1 + skew, owner, "run-ordered", task=f"{JOB}.0.0.0", run=1, worker="w", pool="desk"
        ),
        log_line(2.5 + skew, owner, "worker-silent", worker="w", pool="desk", reason="no answer"),
        log_line(2.6 + skew, owner, "worker-silent", worker="v", pool="desk", reason="no answer"),
        log_line(
            3.0 + skew, owner, "run-ended", task=f"{JOB}.0.0.0", run=1, worker="w", pool="desk"
        ),
        log_line(3.0, edge, "lines-left-out", counts={"run-ordered": 12}),
        log_line(90.0 + skew, owner, "pool-left", pool="desk"),
        "no line of a log",
    ]


EVENTS = [
    "pool-taken-over",
    "job-accepted",
    "request-answered",
    "run-ordered",
    "worker-silent",
    "run-ended",
]


@pytest.mark.parametrize("skew", [0.0, 0.3, -0.3, 5.0, -40.0])
def test_trace_is_in_order_despite_clock_skew(skew):
    result = trace(read_lines(make_logs(skew)), JOB)
    assert [line.event for line in result.lines] == EVENTS
    assert result.suppressed == {"run-ordered": 12}


@pytest.mark.parametrize(
    ("skew", "corrections"), [(0.0, {}), (0.01, {}), (5.0, {"entry-2": -4.98})]
)
def test_only_inconsistent_clocks_are_corrected(skew, corrections):
    found = find_clock_corrections(read_lines(make_logs(skew)))
    assert found == pytest.approx(corrections)


@pytest.mark.parametrize(
    ("wanted", "count"), [(JOB, 6), (f"{JOB}.0.0.0", 4), ("w", 4), ("/q", 1), ("nothing", 0)]
)
def test_trace_of_each_kind_of_subject(wanted, count):
    assert len(trace(read_lines(make_logs()), wanted).lines) == count


@pytest.mark.parametrize(
    ("flags", "expected"),
    [([], "job-accepted"), (["--json"], '"event": "job-accepted"')],
)
def test_trace_command_reads_log_files(tmp_path, capsys, flags, expected):
    lines = make_logs()
    (tmp_path / "a.log").write_text("\n".join(lines[:5]))
    (tmp_path / "b.log").write_text("\n".join(f"entry | {text}" for text in lines[5:]))
    files = [str(tmp_path / name) for name in ("a.log", "b.log")]
    assert run([*flags, "trace", JOB, "--logs", *files]) == 0
    out = capsys.readouterr().out
    assert expected in out
    assert "run-ended" in out
    assert run(["trace", "nothing", "--logs", *files]) == 1
    assert run(["trace", JOB, "--logs", str(tmp_path / "none")]) == 4
