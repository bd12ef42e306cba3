"""The story of a job or request, put together from several daemons' logs."""

from __future__ import annotations

import json
import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

__all__ = ["Trace", "TraceLine", "read_lines", "trace"]

#: events that tell about a pool or the store, not about one job
SURROUNDINGS = frozenset(
    {
        "advice-missing",
        "claim-failed",
        "config-away",
        "directory-away",
        "owner-deposed",
        "owner-failed",
        "owner-silent",
        "owner-unreachable",
        "pool-claimed",
        "pool-left",
        "pool-taken-over",
        "session-lost",
        "store-write-failed",
        "takeover-failed",
    }
)
#: events on a worker that end or hold up what runs there
WORKER_EVENTS = frozenset(
    {
        "worker-avoided",
        "worker-cordoned",
        "worker-given-up",
        "worker-gone",
        "worker-restarted",
        "worker-silent",
    }
)
ENDS_OF_REQUESTS = "request-answered"
OWNER_DECISIONS = frozenset({"job-accepted", "job-refused", "job-cancelled"})
#: time before a job's first line and after its last in which surroundings are shown, in seconds
MARGIN_SECONDS = 3.0
#: fields that stand at the start of a printed line, or that say nothing
HEAD_FIELDS = ("time", "event", "at")


@attrs.frozen
class TraceLine:
    """One line of a log.

    :param at: the daemon that wrote it
    :param seconds: its time of day in seconds since 1970, corrected if it was shifted
    :param fields: everything else in the line
    """

    daemon: str
    seconds: float
    event: str
    fields: dict[str, Any]

    def format_fields(self) -> str:
        """Return the fields as text."""
        shown = ((name, value) for name, value in self.fields.items() if value not in ("", None))
        return " ".join(f"{name}={value}" for name, value in shown)


@attrs.frozen
class Trace:
    """What the logs tell of a job or request.

    :param lines: in order of time
    :param shifts: seconds that were added to the times of daemons whose clocks differ
    :param left_out: lines of the job's kinds that were left out of the logs meanwhile
    """

    lines: list[TraceLine]
    clock_corrections: dict[str, float]
    suppressed: dict[str, int]


def read_lines(texts: Iterable[str]) -> Iterator[TraceLine]:
    """Yield the lines of logs; what is no line of a daemon's log is passed over.

    A line may have something before the object, such as the name of the machine.

    >>> [line.event for line in read_lines(['d1 | {"time": 1, "event": "x", "at": "d1"}', "?"])]
    ['x']
    """
    for text in texts:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            head = [fields.pop(name) for name in HEAD_FIELDS]
            yield TraceLine(str(head[2]), float(head[0]), str(head[1]), fields)
        except (ValueError, KeyError, TypeError):
            continue


def trace(lines: Iterable[TraceLine], wanted: str) -> Trace:
    """Return the story of a job, request, run or worker.

    :param wanted: id of a job, a task, a worker, or the path of a request
    """
    known = list(lines)
    clock_corrections = find_shifts(known)
    known = [
        attrs.evolve(line, seconds=line.seconds + clock_corrections.get(line.daemon, 0.0))
        for line in known
    ]
    own = [line for line in known if _is_about(line, wanted)]
    if not own:
        return Trace([], clock_corrections, _left_out(known, -math.inf, math.inf))
    begin = min(line.seconds for line in own) - MARGIN_SECONDS
    end = max(line.seconds for line in own) + MARGIN_SECONDS
    pools = {line.fields["pool"] for line in own if line.fields.get("pool")}
    workers = {line.fields["worker"] for line in own if line.fields.get("worker")}
    daemons = {line.daemon for line in own}
    around = [
        line
        for line in known
        if begin <= line.seconds <= end and _surrounds(line, pools, workers, daemons)
    ]
    chosen = {id(line): line for line in [*own, *around]}
    ordered = sorted(chosen.values(), key=lambda line: line.seconds)
    return Trace(ordered, clock_corrections, _left_out(known, begin, end))


def find_shifts(lines: Iterable[TraceLine]) -> dict[str, float]:
    """Return what to add to daemons' times so that no answer comes before its decision.

    An owner decides on a job between the moment when another daemon received the request and the
    moment when that one answered. Clocks that agree with this are left as they are.
    """
    windows: dict[str, tuple[float, float, str]] = {}
    decisions: dict[str, TraceLine] = {}
    for line in lines:
        job = line.fields.get("job")
        if not job:
            continue
        if line.event == ENDS_OF_REQUESTS and line.fields.get("status"):
            begun = line.seconds - float(line.fields.get("seconds", 0.0))
            windows.setdefault(job, (begun, line.seconds, line.daemon))
        elif line.event in OWNER_DECISIONS:
            decisions.setdefault(job, line)
    bounds: dict[str, tuple[float, float]] = defaultdict(lambda: (-math.inf, math.inf))
    for job, decision in decisions.items():
        if job in windows and windows[job][2] != decision.daemon:
            begun, ended, _ = windows[job]
            low, high = bounds[decision.daemon]
            bounds[decision.daemon] = (
                max(low, begun - decision.seconds),
                min(high, ended - decision.seconds),
            )
    clock_corrections = {}
    for daemon, (low, high) in bounds.items():
        if low > high:
            clock_corrections[daemon] = (low + high) / 2
        elif low > 0 or high < 0:
            clock_corrections[daemon] = low if low > 0 else high
    return clock_corrections


def _is_about(line: TraceLine, wanted: str) -> bool:
    fields = line.fields
    task = str(fields.get("task", ""))
    return (
        wanted in (fields.get("job"), fields.get("worker"), fields.get("path"), task)
        or wanted in (fields.get("wave"), fields.get("vm"), fields.get("request"))
        or task.startswith(wanted + ".")
    )


def _surrounds(line: TraceLine, pools: set, workers: set, daemons: set) -> bool:
    if line.event in WORKER_EVENTS:
        return line.fields.get("worker") in workers
    if line.event not in SURROUNDINGS:
        return False
    pool = line.fields.get("pool")
    return pool in pools if pool else line.daemon in daemons


def _left_out(lines: Iterable[TraceLine], begin: float, end: float) -> dict[str, int]:
    total: dict[str, int] = defaultdict(int)
    for line in lines:
        if line.event == "lines-left-out" and begin <= line.seconds <= end:
            for event, count in line.fields.get("counts", {}).items():
                total[event] += count
    return dict(total)
