"""All figures of a report: fleet, jobs, troubles and the windows with the worst service."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

import attrs

from limpetpulley.telemetry.trace import TraceLine

from .fleet import Fleet, make_fleet
from .jobs import JudgedJob, Outcome, collect_jobs, judge
from .log import Fault, Log
from .owners import Change
from .service import Share, find_shares

__all__ = ["Figures", "TROUBLES", "WINDOW_SECONDS", "Window", "make_figures"]

#: width of the time bins of queues' times and of the windows, in seconds
WINDOW_SECONDS = 2.0
#: number of windows with the worst service that are listed
WORST_WINDOWS = 5
#: events that an on-call engineer looks for, by what they concern
TROUBLES = {
    "workers": (
        "worker-silent",
        "worker-gone",
        "worker-restarted",
        "worker-given-up",
        "worker-avoided",
        "order-unanswered",
        "run-dropped",
    ),
    "daemons": (
        "daemon-started",
        "daemon-stopping",
        "lease-not-renewed",
        "session-lost",
        "settings-unreadable",
        "message-unreadable",
    ),
    "owners": (
        "pool-taken-over",
        "pool-left",
        "owner-deposed",
        "owner-failed",
        "owner-silent",
        "owner-unreachable",
        "takeover-failed",
        "claim-failed",
        "claims-not-released",
        "job-in-doubt",
        "doubts-left",
    ),
    "store": (
        "directory-away",
        "config-away",
        "entries-borrowed",
        "entries-not-borrowed",
        "store-write-failed",
        "shares-not-stored",
        "roster-not-stored",
        "records-not-removed",
        "record-unreadable",
        "worker-unreadable",
        "operator-unreadable",
    ),
    "planner": (
        "planner-silent",
        "planning-ended",
        "orders-withheld",
        "orders-put-off",
        "vm-order-unanswered",
        "vm-order-given-up",
        "vms-unknown",
        "intents-not-stored",
        "wave-not-stored",
        "advice-missing",
    ),
}


@attrs.frozen
class Window:
    """A span of two seconds in which jobs were submitted.

    :param begin: in seconds after the origin
    :param share: tasks of the jobs submitted in it
    :param jobs: number of these jobs by outcome
    :param troubles: number of lines in it by event
    :param changes: changes of owners and of the planner in it
    :param last_end: when the last of its jobs ended, at least the window's end
    :param later_changes: changes of owners and of the planner from the window's end until then
    :param faults: given faults from the window's begin until then
    """

    begin: float
    share: Share
    jobs: dict[Outcome, int]
    troubles: dict[str, int]
    changes: list[Change]
    last_end: float
    later_changes: list[Change]
    faults: list[Fault]


@attrs.frozen
class Figures:
    """All figures of a report.

    :param jobs: jobs with their outcomes and weights
    :param troubles: times of the lines of each event of :data:`TROUBLES` that occurred
    :param worst: the windows with the worst service, the worst first
    """

    log: Log
    faults: list[Fault]
    fleet: Fleet
    jobs: list[JudgedJob]
    troubles: dict[str, list[float]]
    worst: list[Window]

    def outcomes(self) -> dict[Outcome, tuple[int, float]]:
        """Return the number of jobs and their tasks by outcome."""
        rows = {}
        for outcome in Outcome:
            weights = [weight for _, found, weight in self.jobs if found is outcome]
            rows[outcome] = (len(weights), sum(weights))
        return rows

    def refusals(self) -> dict[str, list[float]]:
        """Return the times of refusals by reason, the most frequent first."""
        times: dict[str, list[float]] = {}
        for job, _, _ in self.jobs:
            for seconds, reason in job.refusals:
                times.setdefault(reason, []).append(seconds)
        return dict(sorted(times.items(), key=lambda row: -len(row[1])))


def make_figures(log: Log, faults: Sequence[Fault] = ()) -> Figures:
    """Return the figures of a log."""
    fleet = make_fleet(log)
    jobs = judge(collect_jobs(log), log.end)
    worst = find_worst_windows(jobs, log.lines, fleet, faults)
    return Figures(log, list(faults), fleet, jobs, find_troubles(log.lines), worst)


def find_troubles(lines: Sequence[TraceLine]) -> dict[str, list[float]]:
    """Return the times of each event of :data:`TROUBLES` that occurred, in its order."""
    times: dict[str, list[float]] = {event: [] for events in TROUBLES.values() for event in events}
    for line in lines:
        if line.event in times:
            times[line.event].append(line.seconds)
    return {event: found for event, found in times.items() if found}


def find_worst_windows(
    jobs: Sequence[JudgedJob],
    lines: Sequence[TraceLine],
    fleet: Fleet,
    faults: Sequence[Fault],
) -> list[Window]:
    """Return the windows with the smallest share of submitted jobs in time.

    Of windows with the same share the one that lost more tasks is the worse one. Windows without
    a loss are left out.
    """
    shares = find_shares(jobs, WINDOW_SECONDS)
    losses = [
        (share.of_submitted, share.in_time - share.submitted, begin)
        for begin, share in shares.items()
        if share.in_time < share.submitted
    ]
    changes = sorted(
        [*fleet.planner_changes, *fleet.owner_changes], key=lambda change: change.seconds
    )
    return [
        make_window(begin, shares[begin], jobs, lines, changes, faults)
        for _, _, begin in sorted(losses)[:WORST_WINDOWS]
    ]


def make_window(
    begin: float,
    share: Share,
    jobs: Sequence[JudgedJob],
    lines: Sequence[TraceLine],
    changes: Sequence[Change],
    faults: Sequence[Fault],
) -> Window:
    """Return a window with what happened in it and until its last job ended."""
    end = begin + WINDOW_SECONDS
    inside = [row for row in jobs if begin <= row[0].submitted_at < end]
    last_end = max([end, *(job.ended_at for job, _, _ in inside if job.ended_at is not None)])
    in_window = [line for line in lines if begin <= line.seconds < end]
    troubles = {event: len(times) for event, times in find_troubles(in_window).items()}
    return Window(
        begin,
        share,
        dict(Counter(outcome for _, outcome, _ in inside)),
        troubles,
        [change for change in changes if begin <= change.seconds < end],
        last_end,
        [change for change in changes if end <= change.seconds <= last_end],
        [fault for fault in faults if fault.begin <= last_end and fault.end >= begin],
    )
