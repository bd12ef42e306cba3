"""The page of a report, in HTML."""

from __future__ import annotations

import html
from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime

from .figures import WINDOW_SECONDS, Figures, Window
from .jobs import Outcome
from .owners import CLAIMED, TAKEN_OVER, Change

__all__ = ["make_page"]

STYLE = (
    "body{font-family:sans-serif;margin:1.5em;max-width:75em}"
    "table{border-collapse:collapse;margin:.5em 0}"
    "td,th{border:1px solid #bbb;padding:.2em .5em;text-align:left;vertical-align:top}"
    "img{max-width:100%}"
)
LEGENDS = {
    "pools.png": "Violet dashes: another planner begins. Brown: the pool is claimed (dots) and "
    "taken over (line). Grey bands: no planner wrote. Brown bands: the pool had no owner, at most. "
    "VMs in the pool are without those that are moved or drained for maintenance; processors are "
    "shown in VMs' worth.",
    "jobs.png": "Submissions are counted once, refusals each time. Jobs are submitted if they were "
    "decided on, or answered without a decision. A job accepted behind others is in time if it "
    "ends by the due time that it had before.",
    "times.png": "By the second of submission, in bins of 2 s, for completed jobs; questions that "
    "were answered well are not in the log.",
    "troubles.png": "The area of a mark grows with the root of the number of lines in that second.",
}
SHARE_NOTE = (
    "Jobs by the two seconds in which they were submitted; the share of submitted jobs in time, "
    "weighted by tasks. Cancelled jobs, jobs not due yet and jobs without an end in the log count "
    "neither for nor against it."
)
MISSING_NOTE = (
    "What such lines told is missing in all figures. A job without an end in the log may have "
    "ended: its line may be left out, cut off or lost with its daemon."
)
GAP_NOTE = (
    "A pool's owner that is lost counts until the last line of its daemon, so that the seconds "
    "without an owner are at most these; before the first line that tells of an owner nothing is "
    "counted. VM-seconds are without VMs that are moved or drained for maintenance."
)
Cell = str | int | float


def make_page(figures: Figures, source: str, plots: Mapping[str, str]) -> str:
    """Return the page.

    :param source: name of the log
    :param plots: name of the file and title of each plot
    """
    parts = [
        f"<h1>Report of {html.escape(source)}</h1>",
        *_paragraphs(_describe_source(figures)),
        "<h2>Summary</h2>",
        _table(("", "value"), _totals(figures)),
        _table(
            (
                "pool",
                "VM-seconds",
                "VM-seconds in use",
                "seconds without an owner, at most",
                "claims",
                "moves in",
                "moves out",
            ),
            _pool_rows(figures),
        ),
        *_paragraphs([GAP_NOTE]),
        _table(("jobs", "number", "tasks"), _outcome_rows(figures)),
        "<h2>Windows with the worst service</h2>",
        *_paragraphs([SHARE_NOTE]),
        _table(
            (
                "seconds",
                "in time",
                "tasks lost",
                "jobs",
                "events",
                "owners, planner",
                "until the last of the jobs ended",
                "faults",
            ),
            map(_window_row, figures.worst),
        ),
    ]
    if figures.faults:
        rows = [
            (index, f"{fault.begin:g}", f"{fault.end:g}", fault.label)
            for index, fault in enumerate(figures.faults, 1)
        ]
        parts += ["<h2>Given faults</h2>", _table(("mark", "from", "to", "fault"), rows)]
    for name, title in plots.items():
        parts += [
            f"<h2>{html.escape(title)}</h2>",
            *_paragraphs([LEGENDS.get(name, "")]),
            f'<img src="{html.escape(name)}" alt="{html.escape(title)}">',
        ]
    body = "\n".join(parts)
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>Report of {html.escape(source)}</title><style>{STYLE}</style></head>\n"
        f"<body>\n{body}\n</body></html>\n"
    )


def _describe_source(figures: Figures) -> list[str]:
    log = figures.log
    try:
        origin = datetime.fromtimestamp(log.origin, UTC).isoformat(timespec="milliseconds")
    except (ValueError, OverflowError, OSError):
        origin = "no date"
    left_out = ", ".join(f"{count} of {event}" for event, count in sorted(log.left_out().items()))
    return [
        f"{len(log.lines)} log lines from second {log.begin:.3f} to {log.end:.3f}; second 0 is "
        f"{log.origin:.3f} ({origin}), by the daemons' clocks, which are not corrected.",
        f"Skipped: {log.skipped} lines without a whole log line. {log.damaged} more lines hold a "
        "cut-off one beside a whole one.",
        f"Left out by the daemons' rate limit: {left_out or 'no lines'}; lost to a slow reader: "
        f"{log.dropped()}. {MISSING_NOTE}",
    ]


def _totals(figures: Figures) -> list[tuple[Cell, ...]]:
    fleet = figures.fleet
    gaps = fleet.planner_gaps
    spans = ", ".join(f"{gap.begin:.1f} to {gap.end:.1f}" for gap in gaps)
    moves = fleet.moves
    failed = ", ".join(f"{count} {name}" for name, count in sorted(moves.failed.items()))
    planners = ", ".join(
        f"{change.daemon} at {change.seconds:.1f} (token {change.token or 'not in the log'})"
        for change in fleet.planner_changes
    )
    used = sum(fleet.used_vm_seconds(pool) for pool in fleet.pools)
    return [
        ("VM-seconds in pools", f"{sum(map(fleet.vm_seconds, fleet.pools)):.1f}"),
        ("VM-seconds in use", f"{used:.1f}"),
        (
            "seconds without a planner",
            _with_detail(f"{sum(gap.seconds for gap in gaps):.1f}", spans),
        ),
        ("planners", planners or "none in the log"),
        ("moves", _with_detail(str(moves.total), failed and f"not done: {failed}")),
        ("VMs maintained", str(moves.maintained)),
    ]


def _pool_rows(figures: Figures) -> list[tuple[Cell, ...]]:
    fleet = figures.fleet
    claims = [change.pool for change in fleet.owner_changes if change.event == CLAIMED]
    pools = {*fleet.pools, *fleet.owner_gaps, *claims, *fleet.moves.arrived, *fleet.moves.departed}
    rows: list[tuple[Cell, ...]] = []
    for pool in sorted(pools):
        is_planned = pool in fleet.pools
        gaps = fleet.owner_gaps.get(pool, ())
        spans = ", ".join(f"{gap.begin:.1f} to {gap.end:.1f}" for gap in gaps)
        rows.append(
            (
                pool,
                f"{fleet.vm_seconds(pool):.1f}" if is_planned else "not in fleet-load",
                f"{fleet.used_vm_seconds(pool):.1f}" if is_planned else "",
                _with_detail(f"{sum(gap.seconds for gap in gaps):.1f}", spans),
                claims.count(pool),
                fleet.moves.arrived.get(pool, 0),
                fleet.moves.departed.get(pool, 0),
            )
        )
    return rows


def _outcome_rows(figures: Figures) -> list[tuple[Cell, ...]]:
    rows: list[tuple[Cell, ...]] = [
        (str(outcome), count, f"{tasks:.0f}")
        for outcome, (count, tasks) in figures.outcomes().items()
    ]
    behind = [
        (outcome, weight)
        for job, outcome, weight in figures.jobs
        if job.is_behind and job.accepted_at is not None
    ]
    in_time = [weight for outcome, weight in behind if outcome is Outcome.IN_TIME]
    rows.append(
        (
            "accepted behind others, of all these",
            len(behind),
            f"{sum(weight for _, weight in behind):.0f}",
        )
    )
    rows.append(("accepted behind others, completed in time", len(in_time), f"{sum(in_time):.0f}"))
    for reason, times in figures.refusals().items():
        rows.append((f"refusals: {reason}", len(times), ""))
    return rows


def _window_row(window: Window) -> tuple[Cell, ...]:
    share = window.share
    jobs = ", ".join(f"{count} {outcome}" for outcome, count in sorted(window.jobs.items()))
    troubles = ", ".join(f"{count} {event}" for event, count in window.troubles.items())
    later = _describe_changes(window.later_changes)
    return (
        f"{window.begin:g} to {window.begin + WINDOW_SECONDS:g}",
        f"{share.of_submitted:.2f}",
        f"{share.submitted - share.in_time:.0f} of {share.submitted:.0f}",
        jobs,
        troubles,
        _describe_changes(window.changes),
        f"{window.last_end:.1f}{': ' if later else ''}{later}",
        "; ".join(fault.label for fault in window.faults),
    )


def _describe_changes(changes: Iterable[Change]) -> str:
    """Return changes as text; a claim is left out if its takeover follows."""
    changes = list(changes)
    taken = {(change.pool, change.token) for change in changes if change.event == TAKEN_OVER}
    return "; ".join(
        f"{change.describe()} at {change.seconds:.1f}"
        for change in changes
        if change.event == TAKEN_OVER or (change.pool, change.token) not in taken
    )


def _with_detail(value: str, detail: str) -> str:
    return f"{value} ({detail})" if detail else value


def _paragraphs(texts: Iterable[str]) -> list[str]:
    return [f"<p>{html.escape(text)}</p>" for text in texts if text]


def _table(head: Sequence[str], rows: Iterable[Sequence[Cell]]) -> str:
    lines = ["".join(f"<th>{html.escape(name)}</th>" for name in head)]
    lines += ["".join(f"<td>{html.escape(str(cell))}</td>" for cell in row) for row in rows]
    return "<table>\n" + "\n".join(f"<tr>{line}</tr>" for line in lines) + "\n</table>"
