"""Plots of a report, drawn with matplotlib."""

from __future__ import annotations

import math
import pathlib
from collections.abc import Sequence

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from .figures import TROUBLES, WINDOW_SECONDS, Figures
from .fleet import PoolSample
from .jobs import Outcome
from .owners import CLAIMED, TAKEN_OVER
from .panels import (
    add_marks,
    add_spans,
    count_by_second,
    draw_bins,
    draw_counts,
    finish_panel,
    make_panels,
)
from .service import count_answers, find_queue_times, find_shares

__all__ = ["MAX_PANELS", "draw_plots"]

#: most panels of pools or of queues; more would make an image too high to draw
MAX_PANELS = 40
#: height of a row of events
ROW_HEIGHT_INCHES = 0.24
DOTS_PER_INCH = 90
#: largest area of a mark of events, in square points, and its number of events
MAX_MARK_AREA = 120.0
MAX_MARK_EVENTS = 60
END_COLORS = {
    Outcome.IN_TIME: "tab:green",
    Outcome.BEHIND: "tab:olive",
    Outcome.LATE: "tab:orange",
    Outcome.FAILED: "tab:red",
    Outcome.CANCELLED: "tab:gray",
    Outcome.NO_END: "black",
}
END_LABELS = {
    Outcome.BEHIND: "completed, later due time",
    Outcome.NO_END: "no end in the log",
}
PLANNER_COLOR = "tab:purple"
PLANNER_GAP_COLOR = "gray"
OWNER_COLOR = "tab:brown"
OWNER_STYLES = {CLAIMED: ":", TAKEN_OVER: "-"}


def draw_plots(figures: Figures, folder: pathlib.Path) -> dict[str, str]:
    """Draw all plots as PNG files.

    :return: name of the file and title of each plot
    """
    pools, queues = len(figures.fleet.pools), len({job.queue for job, _, _ in figures.jobs})
    plots = {
        "pools.png": (f"VMs by pool{_describe_limit(pools, 'pools')}", draw_pools),
        "jobs.png": ("Jobs by second", draw_jobs),
        "times.png": (f"Times of jobs and answers{_describe_limit(queues, 'queues')}", draw_times),
        "troubles.png": ("Events by second", draw_troubles),
    }
    for name, (_, draw) in plots.items():
        draw(figures).savefig(folder / name, dpi=DOTS_PER_INCH)
    return {name: title for name, (title, _) in plots.items()}


def _describe_limit(count: int, kind: str) -> str:
    return f" (the {MAX_PANELS} largest of {count} {kind})" if count > MAX_PANELS else ""


def draw_pools(figures: Figures) -> Figure:
    """Draw each pool's VMs, the planner's and the owners' changes."""
    fleet = figures.fleet
    largest = sorted(fleet.pools, key=lambda pool: -fleet.vm_seconds(pool))[:MAX_PANELS]
    shown = [pool for pool in fleet.pools if pool in largest]
    figure, panels = make_panels(figures, len(shown) + 1)
    for panel, pool in zip(panels, shown, strict=False):
        draw_pool(panel, fleet.pools[pool])
        for event, style in OWNER_STYLES.items():
            changes = [
                change.seconds
                for change in fleet.owner_changes
                if change.pool == pool and change.event == event
            ]
            add_marks(panel, changes, OWNER_COLOR, style)
        gaps = [(gap.begin, gap.end) for gap in fleet.owner_gaps.get(pool, ())]
        add_spans(panel, gaps, OWNER_COLOR, 0.2)
    samples = fleet.samples
    seconds = [sample.seconds for sample in samples]
    for name, label in (
        ("moving", "moving"),
        ("ordering", "ordered, not answered"),
        ("emptying", "emptying"),
    ):
        values = [getattr(sample, name) for sample in samples]
        panels[-1].step(seconds, values, where="post", label=label)
    titles = [*(f"pool {pool}" for pool in shown), "VMs on their way, all pools"]
    for panel, title in zip(panels, titles, strict=True):
        changes = [change.seconds for change in fleet.planner_changes]
        add_marks(panel, changes, PLANNER_COLOR, "--")
        gaps = [(gap.begin, gap.end) for gap in fleet.planner_gaps]
        add_spans(panel, gaps, PLANNER_GAP_COLOR, 0.5)
        finish_panel(panel, "VMs", title)
    return figure


def draw_pool(panel: Axes, samples: Sequence[PoolSample]) -> None:
    """Draw the VMs of one pool."""
    seconds = [sample.seconds for sample in samples]
    lines = (
        ("vms", "in the pool", {"color": "black", "linewidth": 1.8}),
        ("wanted", "wanted", {"color": "tab:blue"}),
        ("used", "processors in use", {"color": "tab:green"}),
        ("arriving", "processors for what arrives", {"color": "tab:orange", "linewidth": 0.9}),
    )
    for name, label, style in lines:
        values = [getattr(sample, name) for sample in samples]
        panel.step(seconds, values, where="post", label=label, **style)


def draw_jobs(figures: Figures) -> Figure:
    """Draw submissions, decisions, ends and the share in time by second."""
    jobs = figures.jobs
    figure, panels = make_panels(figures, 5)
    draw_counts(panels[0], figures, {"submitted": [job.submitted_at for job, _, _ in jobs]})
    decisions: dict[str, list[float]] = {"accepted": [], "accepted behind others": []}
    for job, _, _ in jobs:
        if job.accepted_at is not None:
            name = "accepted behind others" if job.is_behind else "accepted"
            decisions[name].append(job.accepted_at)
    draw_counts(panels[1], figures, decisions)
    draw_counts(panels[2], figures, figures.refusals())
    ends: dict[Outcome, list[float]] = {end: [] for end in END_COLORS}
    for job, outcome, _ in jobs:
        ended_at = job.latest_end_at if outcome is Outcome.NO_END else job.ended_at
        if outcome in ends and ended_at is not None:
            ends[outcome].append(ended_at)
    labels = {END_LABELS.get(end, str(end)): times for end, times in ends.items()}
    draw_counts(panels[3], figures, labels, list(END_COLORS.values()))
    shares = find_shares(jobs, 1.0)
    for name, label, marker in (
        ("of_finished", "of finished jobs", "o"),
        ("of_submitted", "of submitted jobs", "x"),
    ):
        values = [getattr(share, name) for share in shares.values()]
        draw_bins(panels[4], list(shares), values, 1.0, label, marker)
    panels[4].set_ylim(-0.05, 1.05)
    titles = (
        "jobs submitted, by their first attempt",
        "jobs accepted",
        "refusals by reason",
        "jobs ended; jobs without an end in the log by their latest end",
        "share of jobs in time, weighted by tasks, by second of submission",
    )
    for panel, title in zip(panels, titles, strict=True):
        finish_panel(panel, "share" if panel is panels[4] else "jobs", title)
    return figure


def draw_times(figures: Figures) -> Figure:
    """Draw the queues' times, and the answers by status."""
    queues = find_queue_times((job for job, _, _ in figures.jobs), WINDOW_SECONDS)[:MAX_PANELS]
    figure, panels = make_panels(figures, len(queues) + 1)
    for panel, queue in zip(panels, queues, strict=False):
        draw_bins(panel, queue.bins, queue.medians, WINDOW_SECONDS, "median", "o")
        draw_bins(panel, queue.bins, queue.high, WINDOW_SECONDS, "95th centile", "^")
        panel.set_ylim(bottom=0)
        title = f"queue {queue.queue}: from submission to the end, {queue.count} jobs"
        finish_panel(panel, "seconds", title)
    answers = count_answers(figures.log.lines)
    draw_counts(panels[-1], figures, {f"status {status}": row for status, row in answers.items()})
    finish_panel(panels[-1], "answers", "answered requests")
    return figure


def draw_troubles(figures: Figures) -> Figure:
    """Draw the events that an on-call engineer looks for, one row for each kind."""
    kinds = list(figures.troubles)
    rows = max(1, len(kinds))
    figure, panels = make_panels(figures, 1, ROW_HEIGHT_INCHES * rows)
    groups = {event: group for group, events in TROUBLES.items() for event in events}
    colors = {group: f"C{index}" for index, group in enumerate(TROUBLES)}
    for row, event in enumerate(kinds):
        counts = count_by_second(figures.troubles[event])
        areas = [
            MAX_MARK_AREA * min(1.0, math.sqrt(count / MAX_MARK_EVENTS))
            for count in counts.values()
        ]
        panels[0].scatter(
            [second + 0.5 for second in counts], [row] * len(counts), areas, colors[groups[event]]
        )
    panels[0].set_yticks(range(len(kinds)), [f"{event} ({groups[event]})" for event in kinds])
    panels[0].tick_params(axis="y", labelsize=8)
    panels[0].set_ylim(rows - 0.5, -0.5)
    panels[0].grid(alpha=0.3)
    return figure
