"""Traces of a job or request, merged from the logs of several daemons."""

from __future__ import annotations

import json
import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

__all__ = ["Trace", "TraceLine", "read_lines", "trace"]

#: events of a pool, a daemon or the store that belong to no single job and are shown as context
CONTEXT_EVENTS = frozenset(
    {
        "advice-missing",
        "claim-failed",
        "config-away",
        "directory-away",
        "owner-deposed",
        "owner-failed",
        "owner-failure-recorded",
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
#: events of a worker that end or delay the tasks that run on it
WORKER_EVENTS = frozenset(
    {
        "ended-worker-answers",
        "worker-avoided",
        "worker-clock-behind",
        "worker-cordoned",
        "worker-crashed",
        "worker-ended",
        "worker-given-up",
        "worker-gone",
        "worker-restarted",
        "worker-silent",
    }
)
REQUEST_END_EVENT = "request-answered"
OWNER_DECISION_EVENTS = frozenset({"job-accepted", "job-refused", "job-cancelled"})
#: time before the first line and after the last line of a job in which context events are shown,
#: in seconds
CONTEXT_MARGIN_SECONDS = 3.0
#: fields that every log line has: its time, its event and the daemon that wrote it
HEADER_FIELDS = ("time", "event", "at")


@attrs.frozen
class TraceLine:
    """One line of a daemon's log.

    :param daemon: the daemon that wrote it
    :param seconds: its time in seconds since 1970, after correction of the daemon's clock
    :param event: name of the event
    :param fields: all other fields of the line
    """

    daemon: str
    seconds: float
    event: str
    fields: dict[str, Any]

    def format_fields(self) -> str:
        """Return the non-empty fields as ``name=value`` text."""
        present = ((name, value) for name, value in self.fields.items() if value not in ("", None))
        return " ".join(f"{name}={value}" for name, value in present)


@attrs.frozen
class Trace:
    """The log lines of a job or request, with their context.

    :param lines: the lines, ordered by corrected time
    :param clock_corrections: seconds added to the times of each daemon whose clock was off
    :param suppressed: number of lines that rate limits suppressed during the trace, by event
    """

    lines: list[TraceLine]
    clock_corrections: dict[str, float]
    suppressed: dict[str, int]


def read_lines(texts: Iterable[str]) -> Iterator[TraceLine]:
    """Yield the parsed lines of logs; text that is not a daemon's log line is skipped.

    A prefix before the JSON object, such as a host name, is ignored.

    >>> [line.event for line in read_lines(['d1 | {"time": 1, "event": "x", "at": "d1"}', "?"])]
    ['x']
    """
    for text in texts:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            header = [fields.pop(name) for name in HEADER_FIELDS]
            yield TraceLine(str(header[2]), float(header[0]), str(header[1]), fields)
        except (ValueError, KeyError, TypeError):
            continue


def trace(lines: Iterable[TraceLine], subject: str) -> Trace:
    """Return the trace of a job, task, worker, VM, wave or request.

    :param subject: id of a job, task, worker, VM or wave, or id or path of a request
    """
    all_lines = list(lines)
    corrections = find_clock_corrections(all_lines)
    all_lines = [
        attrs.evolve(line, seconds=line.seconds + corrections.get(line.daemon, 0.0))
        for line in all_lines
    ]
    matching = [line for line in all_lines if _matches(line, subject)]
    if not matching:
        return Trace([], corrections, _sum_suppressed(all_lines, -math.inf, math.inf))
    begin = min(line.seconds for line in matching) - CONTEXT_MARGIN_SECONDS
    end = max(line.seconds for line in matching) + CONTEXT_MARGIN_SECONDS
    pools = {line.fields["pool"] for line in matching if line.fields.get("pool")}
    workers = {line.fields["worker"] for line in matching if line.fields.get("worker")}
    daemons = {line.daemon for line in matching}
    context = [
        line
        for line in all_lines
        if begin <= line.seconds <= end and _is_context(line, pools, workers, daemons)
    ]
    selected = {id(line): line for line in [*matching, *context]}
    ordered = sorted(selected.values(), key=lambda line: line.seconds)
    return Trace(ordered, corrections, _sum_suppressed(all_lines, begin, end))


def find_clock_corrections(lines: Iterable[TraceLine]) -> dict[str, float]:
    """Return clock corrections by daemon, in seconds, that put each decision inside its request.

    A pool's owner decides on a job after another daemon has received the request and before that
    daemon answers it. Clocks that are consistent with this order are not corrected.
    """
    request_spans: dict[str, tuple[float, float, str]] = {}
    decisions: dict[str, TraceLine] = {}
    for line in lines:
        job = line.fields.get("job")
        if not job:
            continue
        if line.event == REQUEST_END_EVENT and line.fields.get("status"):
            started_at = line.seconds - float(line.fields.get("seconds", 0.0))
            request_spans.setdefault(job, (started_at, line.seconds, line.daemon))
        elif line.event in OWNER_DECISION_EVENTS:
            decisions.setdefault(job, line)
    bounds: dict[str, tuple[float, float]] = defaultdict(lambda: (-math.inf, math.inf))
    for job, decision in decisions.items():
        if job in request_spans and request_spans[job][2] != decision.daemon:
            started_at, answered_at, _ = request_spans[job]
            low, high = bounds[decision.daemon]
            bounds[decision.daemon] = (
                max(low, started_at - decision.seconds),
                min(high, answered_at - decision.seconds),
            )
    corrections = {}
    for daemon, (low, high) in bounds.items():
        if low > high:
            corrections[daemon] = (low + high) / 2
        elif low > 0 or high < 0:
            corrections[daemon] = low if low > 0 else high
    return corrections


def _matches(line: TraceLine, subject: str) -> bool:
    fields = line.fields
    task = str(fields.get("task", ""))
    return (
        subject in (fields.get("job"), fields.get("worker"), fields.get("path"), task)
        or subject in (fields.get("wave"), fields.get("vm"), fields.get("request"))
        or task.startswith(subject + ".")
    )


def _is_context(line: TraceLine, pools: set, workers: set, daemons: set) -> bool:
    if line.event in WORKER_EVENTS:
        return line.fields.get("worker") in workers
    if line.event not in CONTEXT_EVENTS:
        return False
    pool = line.fields.get("pool")
    return pool in pools if pool else line.daemon in daemons


def _sum_suppressed(lines: Iterable[TraceLine], begin: float, end: float) -> dict[str, int]:
    total: dict[str, int] = defaultdict(int)
    for line in lines:
        if line.event == "lines-left-out" and begin <= line.seconds <= end:
            for event, count in line.fields.get("counts", {}).items():
                total[event] += count
    return dict(total)
