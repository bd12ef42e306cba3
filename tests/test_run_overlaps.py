"""Tasks that may have run twice are found in the daemons' logs, and sound restarts are not."""

import gzip
import json

import pytest

from measure.run_overlaps import find_problems, main, parse_lines, read_history

START = 1000.0
TASK = "00000000000000aa.0.0.1"
LIFE, NEXT_LIFE = 1700, 1800


def line(offset, event, daemon="a", **fields):
    return json.dumps({"time": START + offset, "event": event, "at": daemon, **fields})


def run(offset, event, number=1, worker="w1", life=LIFE, daemon="a", **fields):
    return line(
        offset, f"run-{event}", daemon, task=TASK, run=number, worker=worker, life=life, **fields
    )


def ordered(offset, number=1, worker="w1", **fields):
    return run(offset, "ordered", number, worker, **fields)


def ended(offset, number=1, worker="w1", detail="done", position=5, **fields):
    return run(offset, "ended", number, worker, detail=detail, position=position, **fields)


def dropped(offset, detail, number=1, worker="w1", **fields):
    return run(offset, "dropped", number, worker, detail=detail, **fields)


def worker_line(offset, event, daemon="a", worker="w1", **fields):
    return line(offset, f"worker-{event}", daemon, worker=worker, **fields)


AGAIN = ordered(2.0, 2, "w2", daemon="b")


@pytest.mark.parametrize(
    ("rows", "kinds"),
    [
        ([ordered(0.0), AGAIN], ["overlap"]),
        ([ordered(0.0), ended(1.0, detail="failed"), AGAIN], []),
        ([ordered(0.0), ended(3.0, detail="failed"), AGAIN], ["overlap"]),
        ([ordered(0.0), dropped(1.0, "lease-lapsed"), AGAIN], []),
        ([ordered(0.0), dropped(1.0, "not-listed"), AGAIN], []),
        ([ordered(0.0), dropped(1.0, "unheard-of"), AGAIN], ["overlap"]),
        # An order that was rejected began no run, neither as the earlier nor as the later one.
        ([ordered(0.0), dropped(3.0, "rejected-late"), AGAIN], []),
        ([ordered(0.0), AGAIN, dropped(2.1, "rejected-no_room", 2, "w2")], []),
        # The worker ended, in that life or an unknown one, by the owner, the planner or its next.
        ([ordered(0.0), worker_line(1.0, "restarted", life=LIFE, detail="listed"), AGAIN], []),
        ([ordered(0.0), worker_line(1.0, "ended", daemon="p", reason="down"), AGAIN], []),
        ([ordered(0.0), worker_line(1.0, "given-up"), AGAIN], []),
        ([ordered(0.0), worker_line(1.0, "silent", life=NEXT_LIFE), AGAIN], []),
        ([ordered(0.0), worker_line(1.0, "restarted", life=1, next_life=NEXT_LIFE), AGAIN], []),
        ([ordered(0.0), worker_line(1.0, "restarted", life=LIFE - 1), AGAIN], ["overlap"]),
        ([ordered(0.0), worker_line(1.0, "restarted", worker="w3", life=LIFE), AGAIN], ["overlap"]),
        ([ordered(0.0), worker_line(3.0, "restarted", life=LIFE), AGAIN], ["overlap"]),
        # A run that is adopted later was alive, whatever was believed before.
        (
            [ordered(0.0), dropped(1.0, "worker-restarted"), AGAIN, run(2.5, "adopted")],
            ["overlap"],
        ),
        # So was one whose worker answered after it had been said to have ended.
        *(
            (
                [
                    ordered(0.0),
                    dropped(1.0, "worker-restarted"),
                    worker_line(1.0, "restarted", life=LIFE, detail="vm-ordered"),
                    AGAIN,
                    line(2.5, "ended-worker-answers", worker="w1", life=life, detail="hold"),
                ],
                kinds,
            )
            for life, kinds in ((LIFE, ["overlap"]), (NEXT_LIFE, []))
        ),
        # An entry that was written before the end shows nothing.
        (
            [
                ordered(0.0),
                worker_line(1.0, "restarted", life=LIFE, detail="vm-ordered"),
                AGAIN,
                line(2.5, "ended-worker-answers", worker="w1", life=LIFE, detail="entry 1 s"),
            ],
            [],
        ),
        # An owner that takes over finds the run on its worker, or not.
        ([ordered(0.0), worker_line(1.0, "reconciled", "b", life=LIFE), AGAIN], []),
        (
            [
                ordered(0.0),
                worker_line(1.0, "reconciled", "b", life=LIFE),
                run(1.1, "adopted", daemon="b"),
                AGAIN,
            ],
            ["overlap"],
        ),
        (
            [
                ordered(0.0),
                AGAIN,
                worker_line(2.1, "reconciled", "b", life=LIFE),
                run(2.2, "orphaned", daemon="b", detail="run 2 on w2 is current"),
            ],
            ["overlap"],
        ),
        (
            [ordered(0.0), dropped(1.0, "lease-lapsed"), AGAIN, run(2.1, "orphaned")],
            ["overlap"],
        ),
        ([run(0.0, "adopted"), AGAIN], ["overlap"]),
        ([run(0.0, "adopted"), run(1.0, "adopted", 2, "w2")], []),
        ([ordered(0.0), ended(1.0), AGAIN], ["start-after-done"]),
        ([ordered(0.0), ended(1.0), AGAIN, dropped(2.1, "rejected-late", 2, "w2")], []),
        ([ordered(0.0), run(1.0, "copied"), AGAIN], []),
        (
            [worker_line(1.0, "restarted", life=LIFE, worker="w2"), AGAIN],
            ["order-to-ended-worker"],
        ),
        (
            [
                ordered(0.0, 1, "w2"),
                ended(0.5, 1, "w2", "failed"),
                worker_line(1.0, "ended", worker="w2", daemon="p", reason="down"),
                AGAIN,
            ],
            ["order-to-ended-worker"],
        ),
        (
            [
                worker_line(1.0, "restarted", life=LIFE, worker="w2"),
                ordered(2.0, 2, "w2", life=NEXT_LIFE),
            ],
            [],
        ),
        ([worker_line(1.0, "gone", life=LIFE, worker="w2"), AGAIN], []),
        (
            [
                ordered(0.0),
                ended(1.0),
                worker_line(1.1, "restarted", life=LIFE, stored_through=4, unstored=1),
            ],
            ["unstored-end"],
        ),
        (
            [
                ordered(0.0),
                ended(1.0),
                worker_line(1.1, "restarted", life=LIFE, stored_through=5, unstored=0),
            ],
            [],
        ),
        (
            [
                ordered(0.0),
                ended(1.0, position=4),
                worker_line(1.1, "gone", life=LIFE, stored_through=4, unstored=1),
            ],
            [],
        ),
    ],
)
def test_only_runs_that_may_overlap_and_ends_that_may_be_lost_are_found(rows, kinds):
    findings = find_problems(read_history(parse_lines(reversed(rows))))
    assert [finding.kind for finding in findings] == kinds
    assert all(finding.task == TASK for finding in findings)


def test_several_objects_in_a_row_and_damaged_ones_are_read():
    rows = ["host | " + ordered(0.0) + AGAIN + '{"time":1,"ev', "text", '{"time":"x","event":1}']
    assert [found.event for found in parse_lines(rows)] == ["run-ordered", "run-ordered"]


def test_a_finding_says_that_lines_about_its_task_are_missing():
    rows = [ordered(0.0), ended(1.0, 2, "w3", "failed"), ordered(2.0, 3, "w2")]
    for texts, missing in ((rows, True), ([rows[0], rows[2]], False)):
        (finding,) = find_problems(read_history(parse_lines(texts)))
        assert ("missing" in finding.text) == missing


@pytest.mark.parametrize("zipped", [False, True])
def test_logs_of_all_daemons_are_merged_and_traced(zipped, tmp_path, capsys):
    rows = {
        "a": [ordered(0.0), line(0.5, "job-accepted", job="b"), line(1, "lines-left-out")],
        "b": [AGAIN, line(3.0, "lines-left-out", "b", counts={"run-ended": 4, "job-ended": 2})],
        "p": [
            worker_line(1.5, "cordoned", daemon="p"),
            worker_line(1.5, "cordoned", worker="w9"),
            line(1.6, "ended-worker-answers", "p", worker="w1", life=LIFE, detail="hold"),
        ],
    }
    paths = []
    for name, texts in rows.items():
        path = tmp_path / (f"{name}.log.gz" if zipped else f"{name}.log")
        data = "\n".join(texts).encode()
        path.write_bytes(gzip.compress(data) if zipped else data)
        paths.append(str(path))
    assert main(["--trace", *paths]) == 0
    output = capsys.readouterr().out.splitlines()
    assert output[0].startswith(f"overlap 1002.000 task {TASK}: run 2 on w2/{LIFE}")
    events = [row.split()[2] for row in output if row.startswith("    ")]
    assert events == [
        "run-ordered",
        "worker-cordoned",
        "ended-worker-answers",
        "run-ordered",
    ]
    assert output[-4:] == [
        "1 tasks, 2 runs, 0 tasks with copies left out",
        "findings: overlap 1",
        "workers that answered after they were said to have ended: 1",
        "lines left out of the logs: 4 of run-ended",
    ]


def test_a_log_that_cannot_be_read_is_an_error(tmp_path, capsys):
    assert main([str(tmp_path / "missing.log")]) == 2
    assert "missing.log" in capsys.readouterr().err
