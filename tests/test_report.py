"""A report's figures are those of its log lines, whatever else stands between them."""

import json
import math
import pathlib
import re
import subprocess
import sys

import pytest

import limpetpulley
from measure.report.__main__ import main
from measure.report.figures import TROUBLES, make_figures
from measure.report.jobs import Outcome
from measure.report.log import Fault, ReportError, parse_faults, parse_log
from measure.report.service import Share, find_queue_times, find_shares, percentile

PACKAGE = pathlib.Path(limpetpulley.__file__).parent
START = 1000.0
PNG_SIGNATURE = b"\x89PNG"


def line(offset, event, daemon="a", **fields):
    return json.dumps({"time": START + offset, "event": event, "at": daemon, **fields})


def load(offset, daemon="a", moving=0, **pools):
    """Return a line with the VMs, VMs wanted, processors in use and arriving of each pool."""
    rows = {
        pool: {"vms": vms, "room": 10 * vms, "wanted": wanted, "used": used, "arriving": arriving}
        for pool, (vms, wanted, used, arriving) in pools.items()
    }
    return line(offset, "fleet-load", daemon, pools=rows, emptying=1, moving=moving, ordering=0)


def accepted(offset, job, due=5.0, **fields):
    fields = {"queue": "q", "pool": "p", "tasks": 1, "reason": "", "elapsed": 0.0, **fields}
    return line(offset, "job-accepted", job=job, due=due, **fields)


def refused(offset, job, reason="late", **fields):
    fields = {"queue": "q", "tasks": 1, "elapsed": 0.0, **fields}
    return line(offset, "job-refused", job=job, reason=reason, **fields)


def ended(offset, job, reason="completed", past_due=0.0, seconds=1.0):
    return line(
        offset, "job-ended", job=job, queue="q", reason=reason, past_due=past_due, seconds=seconds
    )


def answered(offset, job, status, reason="", method="POST"):
    return line(
        offset,
        "request-answered",
        job=job,
        queue="q",
        method=method,
        status=status,
        reason=reason,
        seconds=0.5,
    )


def figures_of(*texts, origin=START, faults=()):
    return make_figures(parse_log(texts, "log", origin), faults)


LINE = line(1.0, "x")


@pytest.mark.parametrize(
    ("text", "lines", "skipped", "damaged"),
    [
        (LINE, 1, 0, 0),
        (f"  37.6259 edge-baltic-a-2 {LINE}\n", 1, 0, 0),
        (f"{LINE} text behind it", 1, 0, 0),
        (f"{LINE}{LINE}", 2, 0, 0),
        (f"{LINE[:20]}  38.1078 edge-1 {LINE}", 1, 0, 1),
        (f"{LINE}  38.1078 edge-1 {LINE[:20]}", 1, 0, 1),
        (LINE[:-1], 0, 1, 0),
        (LINE[:9], 0, 1, 0),
        ("service   servers arrivals", 0, 1, 0),
        ("\n", 0, 0, 0),
        ('{"time":"noon","event":"x","at":"a"}', 0, 1, 0),
        ('{"time":true,"event":"x","at":"a"}', 0, 1, 0),
        ('{"time":NaN,"event":"x","at":"a"}', 0, 1, 0),
        ('{"time":1' + "0" * 400 + ',"event":"x","at":"a"}', 0, 1, 0),
        ('{"time":1,"at":"a"}', 0, 1, 0),
        ('{"time":1,"event":["x"],"at":"a"}', 0, 1, 0),
        ('{"time":1,"event":"x","at":null}', 0, 1, 0),
        ('{"time":' + "[" * 100_000, 0, 1, 0),
        ('{"event":"x","time":1,"at":"a"}', 0, 1, 0),
    ],
    ids=lambda value: value[:30] if isinstance(value, str) else str(value),
)
def test_lines_that_are_no_log_lines_are_counted(text, lines, skipped, damaged):
    log = parse_log([LINE, text], "log")
    assert (len(log.lines) - 1, log.skipped, log.damaged) == (lines, skipped, damaged)


@pytest.mark.parametrize(
    ("origin", "begin", "end"), [(None, 0.0, 3.0), (START, -1.0, 2.0), (START - 1.0, 0.0, 3.0)]
)
def test_times_count_from_the_first_line_or_the_origin(origin, begin, end):
    log = parse_log([line(2.0, "y"), line(-1.0, "x")], "log", origin)
    assert (log.begin, log.end) == (begin, end)
    assert [entry.event for entry in log.lines] == ["x", "y"]


def test_lines_that_the_daemons_did_not_write_are_counted():
    log = parse_log(
        [
            line(0.0, "lines-left-out", counts={"run-ended": 3, "job-ended": 1}),
            line(1.0, "lines-left-out", counts={"run-ended": 2}),
            line(2.0, "x", lines_dropped=7),
        ],
        "log",
    )
    assert log.left_out() == {"run-ended": 5, "job-ended": 1}
    assert log.dropped() == 7


@pytest.mark.parametrize(
    ("texts", "message"),
    [
        ([], "log holds no log line of a daemon (0 other lines)"),
        (["text", "\n", LINE[:9]], "log holds no log line of a daemon (2 other lines)"),
        ([LINE, line(8 * 86400.0, "x")], "log spans 691199 s, from 1001.0 to 692200.0; "),
    ],
)
def test_files_without_a_usable_period_are_errors(texts, message):
    with pytest.raises(ReportError, match=re.escape(message)):
        parse_log(texts, "log")


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("2.5 owner killed", Fault(2.5, 2.5, "owner killed")),
        ("  -3   4.5  store away ", Fault(-3.0, 4.5, "store away")),
        ("2 2nd owner killed", Fault(2.0, 2.0, "2nd owner killed")),
        ("2 3 4 VMs off", Fault(2.0, 3.0, "4 VMs off")),
        ("2 3", Fault(2.0, 2.0, "3")),
        ("", None),
    ],
)
def test_faults_have_one_or_two_times(text, fault):
    assert parse_faults([text], "faults") == ([fault] if fault else [])


@pytest.mark.parametrize("text", ["2.5", "owner killed", "5 4 store away", "2s store away"])
def test_other_lines_of_faults_are_errors(text):
    with pytest.raises(ReportError, match=re.escape(f"faults:2: {text!r} is no fault")):
        parse_faults(["1 a", text], "faults")


def claim(offset, daemon, token, pool="@planner"):
    return line(offset, "pool-claimed", daemon, pool=pool, token=token)


@pytest.mark.parametrize(
    ("texts", "changes"),
    [
        ([claim(0, "a", 5), load(1), load(2)], [(0, "a", 5)]),
        ([claim(0, "a", 5), line(0, "succession-read", token=5)], [(0, "a", 5)]),
        # A new token of the same daemon.
        ([claim(0, "a", 5), load(1), claim(2, "a", 9), load(3)], [(0, "a", 5), (2, "a", 9)]),
        # Without the claims' lines.
        ([load(0), load(1), load(2, "b"), load(3, "b")], [(0, "a", 0), (2, "b", 0)]),
        ([load(0), line(1, "vm-moved", "b", token=7), load(2, "b")], [(0, "a", 0), (1, "b", 7)]),
        # The former planner writes on for a moment.
        (
            [claim(0, "a", 5), claim(1, "b", 6), load(1.1), load(1.2, "b"), load(2.1)],
            [(0, "a", 5), (1, "b", 6)],
        ),
        (
            [claim(0, "a", 5), claim(1, "b", 6), *(load(at, "b") for at in (2, 3, 4)), load(4.2)],
            [(0, "a", 5), (1, "b", 6)],
        ),
        # A former planner plans again, without its claim's line.
        (
            [claim(0, "a", 5), claim(1, "b", 6), load(1.2, "b"), load(9), load(10)],
            [(0, "a", 5), (1, "b", 6), (9, "a", 0)],
        ),
        ([claim(0, "a", 5), line(1, "planning-ended", "b", token=9)], [(0, "a", 5)]),
        ([claim(0, "a", 5, pool="p")], []),
    ],
)
def test_a_planner_changes_with_its_token_or_daemon(texts, changes):
    found = figures_of(*texts).fleet.planner_changes
    assert [(change.seconds, change.daemon, change.token) for change in found] == changes


@pytest.mark.parametrize(
    ("times", "gaps"),
    [
        ([0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10], []),
        ([0, 1, 2, 3.9, 5, 6, 7, 8, 9.5], []),
        ([0, 1, 2, 6, 7, 8, 9], [(3.0, 6.0)]),
        ([4, 5, 6], [(0.0, 4.0), (7.0, 10.0)]),
        ([], [(0.0, 10.0)]),
    ],
)
def test_spans_in_which_no_planner_wrote(times, gaps):
    found = figures_of(line(0, "x"), *map(load, times), line(10, "x")).fleet.planner_gaps
    assert [(gap.begin, gap.end) for gap in found] == gaps


def taken(offset, daemon, token):
    return line(offset, "pool-taken-over", daemon, pool="p", token=token)


@pytest.mark.parametrize(
    ("texts", "gaps"),
    [
        ([taken(1, "a", 1)], []),
        ([claim(0.5, "a", 1, "p"), taken(1, "a", 1)], [(0.5, 1.0)]),
        # The owner leaves the pool, and another one takes it over.
        (
            [
                taken(1, "a", 1),
                line(4, "pool-left", pool="p", token=1),
                claim(5, "b", 2, "p"),
                taken(6, "b", 2),
            ],
            [(4.0, 6.0)],
        ),
        ([taken(1, "a", 1), line(4, "owner-deposed", pool="p", token=1)], [(4.0, 10.0)]),
        ([taken(1, "a", 1), line(4, "owner-failed", pool="p", token=1)], [(4.0, 10.0)]),
        # The owner's daemon is lost after its line at 3.
        (
            [taken(1, "a", 1), line(3, "x"), claim(7, "b", 2, "p"), taken(8, "b", 2)],
            [(3.0, 8.0)],
        ),
        ([taken(1, "a", 1), line(3, "x"), line(5, "daemon-started"), taken(6, "a", 2)], [(3, 6)]),
        ([taken(1, "a", 1), line(3, "daemon-stopped")], [(1.0, 10.0)]),
        # A takeover fails; the former owner's line comes after its successor's claim.
        ([taken(1, "a", 1), claim(4, "b", 2, "p"), line(5, "pool-left", pool="p")], [(1, 10)]),
        ([taken(1, "a", 2), line(4, "pool-left", pool="p", token=1)], []),
        ([taken(1, "a", 1), line(4, "pool-left", "b", pool="p", token=9)], []),
        # The log begins with an owner's end.
        ([line(2, "pool-left", pool="p", token=1), taken(5, "b", 2)], [(2.0, 5.0)]),
        ([taken(1, "a", 1), taken(4, "a", 1)], []),
    ],
)
def test_spans_in_which_a_pool_had_no_owner(texts, gaps):
    found = figures_of(line(0, "x", "c"), *texts, line(10, "x", "c")).fleet.owner_gaps
    assert [(gap.begin, gap.end) for gap in found.get("p", [])] == gaps


@pytest.mark.parametrize(
    ("texts", "vm_seconds", "used"),
    [
        ([load(0, p=(2, 2, 5, 0)), load(1, p=(4, 4, 20, 10)), load(3, p=(9, 9, 0, 0))], 10, 4.5),
        # The pool is not in the planner's line meanwhile.
        ([load(0, p=(2, 2, 5, 0)), load(1), load(4, p=(4, 4, 0, 0))], 8, 2),
        # A pool without VMs has its VMs' last size, or none.
        ([load(0, p=(1, 1, 5, 0)), load(1, p=(0, 1, 5, 0)), load(2, p=(0, 1, 0, 0))], 1, 1),
        ([load(0, p=(0, 1, 5, 0)), load(1, p=(0, 1, 5, 0))], 0, 0),
        ([load(0, p=(2, 2, 5, 0))], 0, 0),
    ],
)
def test_vm_seconds_of_a_pool(texts, vm_seconds, used):
    fleet = figures_of(*texts).fleet
    assert fleet.vm_seconds("p") == pytest.approx(vm_seconds)
    assert fleet.used_vm_seconds("p") == pytest.approx(used)


def test_samples_hold_vms_worth_of_processors_and_vms_on_their_way():
    fleet = figures_of(load(0, moving=3, p=(2, 4, 5, 30))).fleet
    (sample,) = fleet.pools["p"]
    assert (sample.vms, sample.wanted, sample.used, sample.arriving) == (2, 4, 0.5, 3)
    assert (fleet.samples[0].emptying, fleet.samples[0].moving) == (1, 3)


def test_moves_are_counted_by_pool_and_outcome():
    def move(event, outcome, pool="p", target="r"):
        return line(0, event, pool=pool, target=target, outcome=outcome, token=1)

    moves = figures_of(
        move("vm-moved", "done"),
        move("vm-moved", "done", "r", "p"),
        move("vm-moved", "done"),
        move("vm-moved", "too_many"),
        move("vm-maintained", "done"),
        move("vm-maintained", "unknown"),
    ).fleet.moves
    assert (moves.total, moves.maintained) == (3, 1)
    assert (moves.arrived, moves.departed) == ({"r": 2, "p": 1}, {"p": 2, "r": 1})
    assert moves.failed == {"vm-moved: too_many": 1, "vm-maintained: unknown": 1}


BEHIND = {"reason": "behind-others", "elapsed": 1.0}


@pytest.mark.parametrize(
    ("texts", "outcome", "submitted_at", "refusals"),
    [
        ([accepted(1, "j"), ended(3, "j")], Outcome.IN_TIME, 1, []),
        ([accepted(1, "j", elapsed=0.25), ended(3, "j")], Outcome.IN_TIME, 0.75, []),
        ([accepted(1, "j"), ended(9, "j", past_due=3)], Outcome.LATE, 1, []),
        ([accepted(1, "j"), ended(2, "j", "failed")], Outcome.FAILED, 1, []),
        ([accepted(1, "j"), ended(2, "j", "cancelled")], Outcome.CANCELLED, 1, []),
        (
            [accepted(1, "j"), line(2, "job-cancelled", job="j", queue="q")],
            Outcome.CANCELLED,
            1,
            [],
        ),
        ([accepted(1, "j", due=5)], Outcome.NO_END, 1, []),
        ([accepted(1, "j", due=15)], Outcome.OPEN, 1, []),
        ([accepted(1, "j", due=0.0)], Outcome.OPEN, 1, []),
        # Submitted at 1 and due at 9, three times as late as it was due before, at 3.667.
        ([accepted(2, "j", due=7, **BEHIND), ended(3.6, "j")], Outcome.IN_TIME, 1, []),
        ([accepted(2, "j", due=7, **BEHIND), ended(3.7, "j")], Outcome.BEHIND, 1, []),
        ([accepted(2, "j", due=7, **BEHIND), ended(9.5, "j", past_due=0.5)], Outcome.LATE, 1, []),
        ([accepted(2, "j", due=7, **BEHIND)], Outcome.NO_END, 1, []),
        ([accepted(2, "j", due=12, **BEHIND)], Outcome.OPEN, 1, []),
        ([refused(1, "j")], Outcome.REFUSED, 1, ["late"]),
        ([refused(1, "j"), answered(1.1, "j", 503, "late")], Outcome.REFUSED, 0.6, ["late"]),
        (
            [refused(1, "j"), refused(2, "j", elapsed=1.0), accepted(3, "j"), ended(4, "j")],
            Outcome.IN_TIME,
            1,
            ["late", "late"],
        ),
        ([answered(2, "j", 503, "no-owner")], Outcome.REFUSED, 1.5, ["no-owner"]),
        ([answered(2, "j", 504, "owner-silent")], Outcome.UNKNOWN, 1.5, ["owner-silent"]),
        (
            [answered(2, "j", 504, "owner-silent"), ended(5, "j", seconds=2.0)],
            Outcome.IN_TIME,
            1.5,
            ["owner-silent"],
        ),
        (
            [accepted(1, "j"), answered(2, "j", 503, "not-stored")],
            Outcome.REFUSED,
            1,
            ["not-stored"],
        ),
        (
            [accepted(1, "j"), line(3, "doubt-settled", job="j", queue="q", stored=False)],
            Outcome.REFUSED,
            1,
            ["not-stored"],
        ),
        (
            [accepted(1, "j"), line(3, "doubt-settled", job="j", queue="q", stored=True)],
            Outcome.NO_END,
            1,
            [],
        ),
        # Lines of the decision were left out.
        ([answered(2, "j", 200)], Outcome.OPEN, 1.5, []),
        ([ended(5, "j", seconds=2.0)], Outcome.IN_TIME, 3, []),
    ],
)
def test_outcome_of_a_job(texts, outcome, submitted_at, refusals):
    figures = figures_of(line(0, "x"), *texts, line(10, "x"))
    ((job, found, _),) = figures.jobs
    assert found is outcome
    assert job.submitted_at == pytest.approx(submitted_at)
    assert [reason for _, reason in job.refusals] == refusals


@pytest.mark.parametrize(
    "text",
    [
        answered(1, "j", 401, "bad-key"),
        answered(1, "j", 404, "no-such-job", "GET"),
        answered(1, "j", 503, "unavailable", "GET"),
        answered(1, "", 503, "no-config"),
        answered(1, "j", 0),
    ],
)
def test_other_answers_are_no_submissions(text):
    assert figures_of(text).jobs == []


JOBS = (
    accepted(0.1, "1", tasks=10),
    ended(1, "1"),
    accepted(0.2, "2", tasks=30),
    ended(8, "2", past_due=2),
    accepted(0.9, "3", tasks=5),
    ended(2, "3", "cancelled"),
    refused(1.5, "4", tasks=40),
    accepted(1.6, "5", due=1.0, tasks=50),
    accepted(1.7, "6", due=30.0, tasks=60),
    answered(5.5, "7", 503, "no-owner"),
    accepted(4.2, "8", tasks=10),
    ended(4.6, "8"),
    accepted(7.0, "9", tasks=3),
    ended(7.5, "9"),
    line(10, "x"),
)


@pytest.mark.parametrize(
    ("width", "shares"),
    [
        (2.0, {0.0: (10, 40, 80), 4.0: (10, 10, 10 + 26), 6.0: (3, 3, 3)}),
        (
            1.0,
            {
                0.0: (10, 40, 40),
                1.0: (0, 0, 40),
                4.0: (10, 10, 10),
                5.0: (0, 0, 26),
                7.0: (3, 3, 3),
            },
        ),
    ],
)
def test_shares_in_time_are_weighted_by_tasks(width, shares):
    found = find_shares(figures_of(*JOBS).jobs, width)
    assert list(found) == list(shares)
    for begin, share in found.items():
        assert (share.in_time, share.finished, share.submitted) == pytest.approx(shares[begin])


@pytest.mark.parametrize(
    ("share", "of_finished", "of_submitted"),
    [((10, 40, 80), 0.25, 0.125), ((0, 0, 40), math.nan, 0.0), ((0, 0, 0), math.nan, math.nan)],
)
def test_shares_without_jobs_are_nan(share, of_finished, of_submitted):
    found = Share(*share)
    assert found.of_finished == pytest.approx(of_finished, nan_ok=True)
    assert found.of_submitted == pytest.approx(of_submitted, nan_ok=True)


def test_number_of_jobs_and_tasks_by_outcome():
    outcomes = figures_of(*JOBS).outcomes()
    assert outcomes == {
        Outcome.IN_TIME: (3, 23),
        Outcome.BEHIND: (0, 0),
        Outcome.LATE: (1, 30),
        Outcome.FAILED: (0, 0),
        Outcome.REFUSED: (2, pytest.approx(40 + 26)),
        Outcome.UNKNOWN: (0, 0),
        Outcome.NO_END: (1, 50),
        Outcome.CANCELLED: (1, 5),
        Outcome.OPEN: (1, 60),
    }


def test_worst_windows_name_what_happened_in_them():
    faults = [Fault(1.0, 3.0, "store away"), Fault(8.5, 9.0, "after all jobs")]
    figures = figures_of(
        *JOBS,
        claim(0.5, "a", 5),
        claim(1.9, "b", 6, "p"),
        taken(2.1, "b", 6),
        claim(8.5, "c", 7, "p"),
        line(0.3, "worker-silent"),
        line(0.4, "worker-silent"),
        line(2.5, "session-lost"),
        faults=faults,
    )
    worst = figures.worst
    assert [window.begin for window in worst] == [0.0, 4.0]
    assert worst[0].troubles == {"worker-silent": 2}
    assert [change.seconds for change in worst[0].changes] == [0.5, 1.9]
    assert worst[0].last_end == 8.0
    assert [change.seconds for change in worst[0].later_changes] == [2.1]
    assert worst[0].faults == faults[:1]
    assert worst[0].jobs == {
        Outcome.IN_TIME: 1,
        Outcome.LATE: 1,
        Outcome.CANCELLED: 1,
        Outcome.REFUSED: 1,
        Outcome.NO_END: 1,
        Outcome.OPEN: 1,
    }
    assert (worst[1].troubles, worst[1].changes, worst[1].faults) == ({}, [], [])


def test_windows_with_the_same_share_are_ordered_by_lost_tasks():
    texts = [refused(2 * number, str(number), tasks=1 + number % 4) for number in range(8)]
    assert [window.begin for window in figures_of(*texts).worst] == [6.0, 14.0, 4.0, 12.0, 2.0]


def test_times_by_queue_in_bins_of_submission():
    texts = [
        text
        for number, seconds in enumerate([1.0, 3.0, 2.0, 9.0])
        for text in (accepted(number, f"{number}"), ended(number + seconds, f"{number}"))
    ]
    jobs = [job for job, _, _ in figures_of(*texts).jobs]
    (times,) = find_queue_times(jobs, 2.0)
    assert (times.queue, times.count, times.bins) == ("q", 4, [0.0, 2.0])
    assert times.medians == pytest.approx([1.0, 2.0])
    assert times.high == pytest.approx([3.0, 9.0])


@pytest.mark.parametrize(
    ("values", "fraction", "result"),
    [
        ([7.0], 0.95, 7.0),
        (range(1, 101), 0.95, 95),
        (range(1, 101), 0.5, 50),
        ([3.0, 1.0], 0.0, 1.0),
    ],
)
def test_percentile_is_one_of_the_values(values, fraction, result):
    assert percentile(values, fraction) == result


@pytest.mark.parametrize("event", [event for events in TROUBLES.values() for event in events])
def test_troubles_are_events_of_the_daemons(event):
    sources = [path for path in PACKAGE.rglob("*.py") if "tests" not in path.parts]
    assert any(f'"{event}"' in path.read_text() for path in sources)


FIELDS = (
    *("pool", "token", "pools", "emptying", "moving", "ordering", "counts", "lines_dropped"),
    *("job", "queue", "tasks", "reason", "due", "elapsed", "seconds", "past_due", "stored"),
    *("method", "status", "target", "outcome", "vm", "worker"),
)
EVENTS = (
    *("fleet-load", "vm-moved", "vm-maintained", "pool-claimed", "pool-taken-over", "pool-left"),
    *("job-accepted", "job-refused", "job-ended", "job-cancelled", "doubt-settled"),
    *("request-answered", "lines-left-out", "succession-read", "daemon-started"),
)


@pytest.mark.parametrize(
    "value",
    [None, "text", "", -1, 1e300, 10**400, True, [], [1], {}, {"p": 1}, {"p": {"vms": "x"}}],
    ids=lambda value: str(value)[:12],
)
def test_fields_of_other_types_make_no_error(value, tmp_path):
    known = {"job": "j", "queue": "q", "pool": "p", "method": "POST", "status": 503}
    texts = [line(0, event) for event in EVENTS]
    texts += [line(1, event, **dict.fromkeys(FIELDS, value)) for event in EVENTS]
    texts += [line(2, event, **{**dict.fromkeys(FIELDS, value), **known}) for event in EVENTS]
    write_report(tmp_path, texts)


def write_report(folder, texts, *options):
    log, output = folder / "day.log", folder / "made" / "report"
    log.write_text("\n".join(texts))
    main([str(log), "--output", str(output), *options])
    return output


@pytest.mark.parametrize(
    "texts",
    [
        [LINE],
        JOBS,
        [
            *JOBS,
            load(1, p=(2, 2, 5, 0), r=(0, 1, 0, 0)),
            load(2, "b", p=(3, 2, 5, 9)),
            claim(1.9, "b", 6, "p"),
            taken(2.1, "b", 6),
            line(3, "pool-left", "b", pool="p"),
            line(3, "worker-silent"),
            "<b>not a line</b>",
        ],
    ],
    ids=["one line", "jobs", "all"],
)
def test_page_shows_summary_and_plots(texts, tmp_path, capsys):
    faults = tmp_path / "faults"
    faults.write_text("1.5 <store> away\n3 400 VM off\n")
    folder = write_report(tmp_path, texts, "--faults", str(faults), "--origin", str(START))
    page = (folder / "index.html").read_text()
    images = re.findall(r'<img src="([^"]+)"', page)
    assert images == ["pools.png", "jobs.png", "times.png", "troubles.png"]
    assert all((folder / image).read_bytes().startswith(PNG_SIGNATURE) for image in images)
    skipped = sum("not a line" in text for text in texts)
    assert f"Skipped: {skipped} lines" in page
    assert "&lt;store&gt; away" in page
    assert "<store>" not in page
    assert f"{skipped} lines skipped" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("content", "faults", "message"),
    [
        ("", None, "day.log holds no log line of a daemon (0 other lines)"),
        ("text\n", None, "day.log holds no log line of a daemon (1 other lines)"),
        (None, None, "day.log: No such file or directory"),
        (LINE, "noon store away\n", "faults:1: 'noon store away' is no fault"),
    ],
)
def test_unusable_files_end_with_one_line(content, faults, message, tmp_path):
    log, faults_file, output = tmp_path / "day.log", tmp_path / "faults", tmp_path / "report"
    if content is not None:
        log.write_text(content)
    arguments = [str(log), "--output", str(output)]
    if faults is not None:
        faults_file.write_text(faults)
        arguments += ["--faults", str(faults_file)]
    with pytest.raises(SystemExit, match=re.escape(message)) as error:
        main(arguments)
    assert "\n" not in str(error.value)
    assert not output.exists()


def test_figures_need_no_matplotlib():
    code = "import sys, measure.report.page; sys.exit('matplotlib' in sys.modules)"
    root = PACKAGE.parent
    assert subprocess.run([sys.executable, "-c", code], cwd=root, check=False).returncode == 0
