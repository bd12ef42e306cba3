"""The story of a job is put together from several logs, also when clocks differ."""

import json

import pytest

from ...cli.main import run
from ..trace import find_shifts, read_lines, trace

JOB = "00000000000000ab"


def line(after, at, event, **fields):
    return json.dumps({"time": 1000.0 + after, "event": event, "at": at, **fields})


def logs(skew=0.0):
    """Return a job that an edge daemon passed on to an owner whose clock is ahead."""
    owner, edge = "entry-2", "entry-1"
    return [
        line(0.0, edge, "pool-claimed", pool="other"),
        line(1.5 + skew, owner, "pool-taken-over", pool="desk", token=7),
        line(2.02 + skew, owner, "job-accepted", job=JOB, pool="desk", end=1.0, due=3.0),
        line(2.04, edge, "request-answered", job=JOB, status=202, seconds=0.04, path="/q"),
        line(2.1 + skew, owner, "run-ordered", task=f"{JOB}.0.0.0", run=1, worker="w", pool="desk"),
        line(2.5 + skew, owner, "worker-silent", worker="w", pool="desk", reason="no answer"),
        line(2.6 + skew, owner, "worker-silent", worker="v", pool="desk", reason="no answer"),
        line(3.0 + skew, owner, "run-ended", task=f"{JOB}.0.0.0", run=1, worker="w", pool="desk"),
        line(3.0, edge, "lines-left-out", counts={"run-ordered": 12}),
        line(90.0 + skew, owner, "pool-left", pool="desk"),
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
def test_a_story_is_in_order_whatever_the_clocks_say(skew):
    story = trace(read_lines(logs(skew)), JOB)
    assert [found.event for found in story.lines] == EVENTS
    assert story.suppressed == {"run-ordered": 12}


@pytest.mark.parametrize(("skew", "shift"), [(0.0, {}), (0.01, {}), (5.0, {"entry-2": -4.98})])
def test_clocks_are_corrected_only_where_they_contradict(skew, shift):
    found = find_shifts(read_lines(logs(skew)))
    assert found == pytest.approx(shift)


@pytest.mark.parametrize(
    ("wanted", "count"), [(JOB, 6), (f"{JOB}.0.0.0", 4), ("w", 4), ("/q", 1), ("nothing", 0)]
)
def test_ids_of_all_kinds_are_found(wanted, count):
    assert len(trace(read_lines(logs()), wanted).lines) == count


@pytest.mark.parametrize(
    ("flags", "shown"),
    [([], "job-accepted"), (["--json"], '"event": "job-accepted"')],
)
def test_the_command_reads_files(tmp_path, capsys, flags, shown):
    whole = logs()
    (tmp_path / "a.log").write_text("\n".join(whole[:5]))
    (tmp_path / "b.log").write_text("\n".join(f"entry | {text}" for text in whole[5:]))
    files = [str(tmp_path / name) for name in ("a.log", "b.log")]
    assert run([*flags, "trace", JOB, "--logs", *files]) == 0
    out = capsys.readouterr().out
    assert shown in out
    assert "run-ended" in out
    assert run(["trace", "nothing", "--logs", *files]) == 1
    assert run(["trace", JOB, "--logs", str(tmp_path / "none")]) == 4
