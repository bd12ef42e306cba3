"""Finds tasks that may have run twice, in the logs of all daemons of a period.

Findings are places to look at, not proofs: a daemon that is lost writes no more lines, and an end
that nobody lists is not in the logs. Tasks with speculative runs (``run-copied``) are left out.
"""

from __future__ import annotations

import argparse
import gzip
import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

import attrs

from limpetpulley.telemetry.trace import HEADER_FIELDS, TraceLine

__all__ = ["Finding", "RunHistory", "find_problems", "main", "parse_lines", "read_history"]

OBJECT_START = '{"time"'
DONE = "done"
#: text of a finding about a task with a run whose order or adoption is not in the logs
INCOMPLETE = "; lines about the task are missing"
#: events that a run may begin with, in the logs of all its owners
BEGIN_EVENTS = frozenset({"run-adopted", "run-ordered", "run-orphaned"})
#: prefix of the details of ``run-dropped`` for runs that never began
REJECTED = "rejected-"
#: details of ``run-dropped`` for runs that must have ended: by themselves, and if their worker has
SOUND_DROPS = frozenset({"lease-lapsed", "not-listed"})
WORKER_DROP = "worker-restarted"
#: events after which no run of a worker's life is alive; the others leave the worker usable: the
#: leases have expired, or its first list for an owner has no other runs of earlier owners than
#: those that are adopted or orphaned right after it
END_EVENTS = frozenset({"worker-ended", "worker-restarted"})
LAPSE_EVENTS = frozenset({"worker-given-up", "worker-gone", "worker-reconciled"})
#: event of a worker that was said to have ended and has shown itself since
ANSWER_EVENT = "ended-worker-answers"
#: its detail for an entry, which may have been written before the end
ENTRY_SIGN = "entry"
#: events that show a life of a worker alive, and a run
LIFE_EVENTS = frozenset({ANSWER_EVENT, "run-adopted", "run-orphaned", "worker-answers"})
RUN_LIFE_EVENTS = frozenset({"run-adopted", "run-orphaned"})
#: events of workers that are shown beside a task's lines
WORKER_EVENTS = END_EVENTS | LAPSE_EVENTS | {ANSWER_EVENT, "worker-cordoned"}
#: orders that end whatever runs on a worker
VM_EVENTS = frozenset({"vm-maintained", "vm-moved"})
#: events that tell how far a worker's ends are stored, before the owner forgets it
LOSS_EVENTS = frozenset({"worker-gone", "worker-restarted"})


@attrs.frozen
class Place:
    """A line and its place in the order of all lines."""

    index: int
    line: TraceLine


@attrs.define
class TaskRun:
    """A run of a task, as the logs tell of it.

    :param begun: line of its order, or its first line if the order is not in the logs
    :param ordered: whether its order is in the logs
    :param closings: lines after which it is known not to be alive
    :param drops: lines after which it is not, if its worker has ended
    :param alive_at: last place that shows it alive after its order, -1 for none
    """

    task: str
    number: int
    worker: str
    life: int
    begun: Place
    ordered: bool
    rejected: bool = False
    closings: list[Place] = attrs.field(factory=list)
    drops: list[Place] = attrs.field(factory=list)
    alive_at: int = -1

    def format(self) -> str:
        """Return the run, its worker with its life, and when and by whom it was ordered."""
        line = self.begun.line
        verb = "ordered" if self.ordered else "first seen"
        worker = f"{self.worker}/{self.life}"
        return f"run {self.number} on {worker}, {verb} {line.seconds:.3f} by {line.daemon}"


@attrs.frozen
class Finding:
    """A place in the logs where a task may have run twice, or an end may have been lost.

    :param kind: one of ``overlap``, ``start-after-done``, ``order-to-ended-worker`` and
        ``unstored-end``
    :param workers: the workers of the runs that it is about
    """

    kind: str
    seconds: float
    task: str
    text: str
    workers: frozenset[str]


@attrs.define
class RunHistory:
    """The runs of all tasks and the ends of workers, by the logs."""

    lines_by_task: dict[str, list[Place]] = attrs.field(factory=lambda: defaultdict(list))
    worker_lines: dict[str, list[Place]] = attrs.field(factory=lambda: defaultdict(list))
    runs: dict[str, dict[int, TaskRun]] = attrs.field(factory=lambda: defaultdict(dict))
    done: dict[str, Place] = attrs.field(factory=dict)
    copied: set[str] = attrs.field(factory=set)
    # Places where a life of a worker ended, or the leases on it expired; life 0 if not told.
    ended_lives: dict[tuple[str, int], list[Place]] = attrs.field(factory=lambda: defaultdict(list))
    lapsed_lives: dict[tuple[str, int], list[Place]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    latest_life: dict[str, int] = attrs.field(factory=dict)
    # Lives of workers that answered after they were said to have ended.
    answered: set[tuple[str, int]] = attrs.field(factory=set)
    # The last place that shows a life of a worker alive.
    alive_at: dict[tuple[str, int], int] = attrs.field(factory=dict)
    left_out: Counter[str] = attrs.field(factory=Counter)

    def add(self, place: Place) -> None:
        """Add the next line."""
        line = place.line
        worker, life = text(line, "worker"), number(line, "life")
        latest = max(life, number(line, "next_life"))
        if worker and latest > self.latest_life.get(worker, 0):
            self._end_earlier_life(worker, place)
            self.latest_life[worker] = latest
        if line.event in LIFE_EVENTS and not text(line, "detail").startswith(ENTRY_SIGN):
            self.alive_at[worker, life] = place.index
        if line.event == "lines-left-out":
            self.left_out.update(
                {name: int(count) for name, count in line.fields.get("counts", {}).items()}
            )
        elif "task" in line.fields:
            self._add_task_line(place, text(line, "task"))
        elif line.event in END_EVENTS:
            self.ended_lives[worker, life or self.latest_life.get(worker, 0)].append(place)
        elif line.event in LAPSE_EVENTS:
            self.lapsed_lives[worker, life or self.latest_life.get(worker, 0)].append(place)
        elif line.event == ANSWER_EVENT and not text(line, "detail").startswith(ENTRY_SIGN):
            self.answered.add((worker, life))
        if worker and (line.event in WORKER_EVENTS or line.event in VM_EVENTS):
            self.worker_lines[worker].append(place)

    def _end_earlier_life(self, worker: str, place: Place) -> None:
        earlier = self.latest_life.get(worker, 0)
        if earlier:
            self.lapsed_lives[worker, earlier].append(place)

    def _add_task_line(self, place: Place, task: str) -> None:
        line = place.line
        self.lines_by_task[task].append(place)
        if line.event == "run-copied":
            self.copied.add(task)
        if "run" not in line.fields or not line.event.startswith("run-"):
            return
        runs, run_number = self.runs[task], number(line, "run")
        run = runs.get(run_number)
        if run is None:
            ordered = line.event == "run-ordered"
            worker, life = text(line, "worker"), number(line, "life")
            run = runs[run_number] = TaskRun(task, run_number, worker, life, place, ordered)
        detail = text(line, "detail")
        if line.event in RUN_LIFE_EVENTS:
            run.alive_at = place.index
        elif line.event == "run-ended":
            run.closings.append(place)
            if detail == DONE:
                self.done.setdefault(task, place)
        elif line.event == "run-dropped":
            run.rejected |= detail.startswith(REJECTED)
            if run.rejected or detail in SOUND_DROPS:
                run.closings.append(place)
            elif detail == WORKER_DROP:
                run.drops.append(place)

    def closed_at(self, run: TaskRun) -> int | None:
        """Return the place from which on a run is known not to be alive, None if it never is.

        An end of its worker that the worker has outlived does not count.
        """
        since = max(run.begun.index, run.alive_at)
        lives = {run.life, 0} if run.life else {0, self.latest_life.get(run.worker, 0)}
        ends = run.drops + [
            place for life in lives for place in self.ended_lives.get((run.worker, life), ())
        ]
        alive_at = self.alive_at.get((run.worker, run.life), -1)
        closings = [*run.closings, *(place for place in ends if place.index > alive_at)]
        for life in lives:
            closings += self.lapsed_lives.get((run.worker, life), ())
        return min((place.index for place in closings if place.index >= since), default=None)


def text(line: TraceLine, name: str) -> str:
    """Return a field as text, empty if it is absent."""
    return str(line.fields.get(name, ""))


def number(line: TraceLine, name: str) -> int:
    """Return a field as a whole number, 0 if it is absent or none."""
    value = line.fields.get(name)
    return value if isinstance(value, int) else 0


def parse_lines(rows: Iterable[str]) -> Iterator[TraceLine]:
    """Yield the daemons' lines of a log, of which several may share a line of text.

    Text that is not a whole line of a daemon is skipped.

    >>> [line.event for line in parse_lines(['a {"time":1,"event":"x","at":"d"}{"time":2,"e'])]
    ['x']
    """
    decoder = json.JSONDecoder()
    for row in rows:
        start = row.find(OBJECT_START)
        while start >= 0:
            end = start + 1
            try:
                fields, end = decoder.raw_decode(row, start)
                header = [fields.pop(name) for name in HEADER_FIELDS]
                yield TraceLine(str(header[2]), float(header[0]), str(header[1]), fields)
            except (ValueError, KeyError, TypeError, RecursionError):
                pass
            start = row.find(OBJECT_START, end)


def read_file(path: str) -> Iterator[TraceLine]:
    """Yield the lines of a plain or gzipped log.

    :raises OSError: if it cannot be read
    """
    opener = gzip.open if path.endswith(".gz") else open
    with opener(path, "rt", encoding="utf-8", errors="replace") as rows:
        yield from parse_lines(rows)


def read_history(lines: Iterable[TraceLine]) -> RunHistory:
    """Return the runs and ends of workers that lines tell of, whatever their order."""
    history = RunHistory()
    for index, line in enumerate(sorted(lines, key=lambda line: line.seconds)):
        history.add(Place(index, line))
    return history


def find_problems(history: RunHistory) -> list[Finding]:
    """Return the findings in the order of time."""
    findings = [
        finding
        for task, runs in history.runs.items()
        if task not in history.copied
        for finding in _check_task(history, task, list(runs.values()))
    ]
    findings += _find_unstored_ends(history)
    return sorted(findings, key=lambda finding: finding.seconds)


def _check_task(history: RunHistory, task: str, runs: list[TaskRun]) -> Iterator[Finding]:
    done = history.done.get(task)
    missing = any(run.begun.line.event not in BEGIN_EVENTS for run in runs)
    note = INCOMPLETE if missing else ""
    real_runs = sorted((run for run in runs if not run.rejected), key=lambda run: run.begun.index)
    for place, run in enumerate(real_runs):
        if not run.ordered:
            continue
        begun = run.begun
        for earlier in real_runs[:place]:
            closed_at = history.closed_at(earlier)
            if closed_at is None or closed_at > begun.index:
                reason = f"{run.format()}, while {earlier.format()} is not known to have ended"
                yield _make_finding("overlap", run, reason + note, earlier.worker)
        if done is not None and done.index < begun.index:
            line = done.line
            reason = (
                f"{run.format()}, after run {number(line, 'run')} ended {DONE}, taken note of "
                f"{line.seconds:.3f} by {line.daemon}"
            )
            yield _make_finding("start-after-done", run, reason, text(line, "worker"))
        ended = history.ended_lives.get((run.worker, run.life), []) if run.life else []
        if ended and ended[0].index < begun.index:
            line = ended[0].line
            why = text(line, "detail") or text(line, "reason")
            reason = (
                f"{run.format()}, after {line.daemon} said {line.seconds:.3f} that this life of "
                f"the worker had ended: {line.event} {why}"
            )
            yield _make_finding("order-to-ended-worker", run, reason)


def _make_finding(kind: str, run: TaskRun, reason: str, *workers: str) -> Finding:
    names = frozenset({run.worker, *workers})
    return Finding(kind, run.begun.line.seconds, run.task, reason, names)


def _find_unstored_ends(history: RunHistory) -> Iterator[Finding]:
    """Yield the ends that an owner had not stored when it found their worker to have ended.

    Where only some of a worker's ends are unstored, those behind the first of them are told too.
    """
    ends: dict[tuple[str, str, int], list[TraceLine]] = defaultdict(list)
    for places in history.lines_by_task.values():
        for place in places:
            line = place.line
            if line.event == "run-ended":
                ends[line.daemon, text(line, "worker"), number(line, "life")].append(line)
    for worker, worker_places in history.worker_lines.items():
        for place in worker_places:
            line = place.line
            unstored = number(line, "unstored")
            if line.event not in LOSS_EVENTS or not unstored:
                continue
            for end in ends.get((line.daemon, worker, number(line, "life")), ()):
                position = number(end, "position")
                if position > number(line, "stored_through") and end.seconds <= line.seconds:
                    why = f"{line.event} {text(line, 'detail')}".strip()
                    reason = (
                        f"run {number(end, 'run')} on {worker}/{number(end, 'life')} ended "
                        f"{text(end, 'detail')}, taken note of {end.seconds:.3f} by {end.daemon}, "
                        f"{unstored} ends not stored at {why}"
                    )
                    yield Finding(
                        "unstored-end",
                        line.seconds,
                        text(end, "task"),
                        reason,
                        frozenset({worker}),
                    )


def trace_lines(history: RunHistory, finding: Finding) -> list[TraceLine]:
    """Return all lines about a finding's task, and those about its workers in that time."""
    own = history.lines_by_task[finding.task]
    begin, end = own[0].index, own[-1].index
    beside = [
        place
        for worker in finding.workers
        for place in history.worker_lines.get(worker, ())
        if begin <= place.index <= end or place.line.seconds == finding.seconds
    ]
    return [place.line for place in sorted([*own, *beside], key=lambda place: place.index)]


def main(arguments: list[str] | None = None) -> int:
    """Print the findings of logs and their number by kind; return the exit status."""
    parser = argparse.ArgumentParser(
        prog="python -m measure.run_overlaps", description=str(__doc__).split("\n", maxsplit=1)[0]
    )
    parser.add_argument("logs", nargs="+", metavar="LOG", help="log of one or more daemons")
    parser.add_argument("--trace", action="store_true", help="print all lines of each such task")
    options = parser.parse_args(arguments)
    try:
        history = read_history(line for path in options.logs for line in read_file(path))
    except OSError as error:
        print(f"cannot read {error.filename}: {error.strerror or error}", file=sys.stderr)
        return 2
    findings = find_problems(history)
    for finding in findings:
        print(f"{finding.kind} {finding.seconds:.3f} task {finding.task}: {finding.text}")
        if options.trace:
            for line in trace_lines(history, finding):
                fields = line.format_fields()
                print(f"    {line.seconds:.3f} {line.daemon} {line.event} {fields}")
            print()
    counts = Counter(finding.kind for finding in findings)
    runs = sum(map(len, history.runs.values()))
    print(
        f"{len(history.runs)} tasks, {runs} runs, {len(history.copied)} tasks with copies left out"
    )
    print("findings:", ", ".join(f"{kind} {n}" for kind, n in sorted(counts.items())) or "none")
    if history.answered:
        print(f"workers that answered after they were said to have ended: {len(history.answered)}")
    missing = {name: n for name, n in history.left_out.items() if name.startswith("run-")}
    if missing:
        told = ", ".join(f"{n} of {name}" for name, n in sorted(missing.items()))
        print(f"lines left out of the logs: {told}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
