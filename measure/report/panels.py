"""Panels of plots that share one axis of time."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence

from matplotlib.axes import Axes
from matplotlib.collections import LineCollection, PolyCollection
from matplotlib.figure import Figure

from .figures import Figures

__all__ = [
    "add_marks",
    "add_spans",
    "count_by_second",
    "draw_bins",
    "draw_counts",
    "finish_panel",
    "make_panels",
]

#: the same margins in all plots, so that a time is at the same place in each
FIGURE_WIDTH_INCHES = 12.0
LEFT_MARGIN_INCHES = 2.0
RIGHT_MARGIN_INCHES = 2.2
TOP_MARGIN_INCHES = 0.45
BOTTOM_MARGIN_INCHES = 0.55
PANEL_HEIGHT_INCHES = 1.9
#: space between two panels, as a fraction of a panel's height
PANEL_SPACING = 0.3
FAULT_COLOR = "tab:red"


def make_panels(
    figures: Figures, count: int, panel_height: float = PANEL_HEIGHT_INCHES
) -> tuple[Figure, list[Axes]]:
    """Return a figure with panels above one another that share the axis of time.

    :param panel_height: height of a panel, in inches
    """
    panels_height = panel_height * (count + PANEL_SPACING * (count - 1))
    height = panels_height + TOP_MARGIN_INCHES + BOTTOM_MARGIN_INCHES
    figure = Figure(figsize=(FIGURE_WIDTH_INCHES, height))
    margins = {
        "left": LEFT_MARGIN_INCHES / FIGURE_WIDTH_INCHES,
        "right": 1 - RIGHT_MARGIN_INCHES / FIGURE_WIDTH_INCHES,
        "top": 1 - TOP_MARGIN_INCHES / height,
        "bottom": BOTTOM_MARGIN_INCHES / height,
        "hspace": PANEL_SPACING,
    }
    grid = figure.subplots(count, 1, sharex=True, squeeze=False, gridspec_kw=margins)
    panels = [row[0] for row in grid]
    log = figures.log
    panels[0].set_xlim(log.begin, max(log.end, log.begin + 1.0))
    panels[-1].set_xlabel("seconds")
    for panel in panels:
        add_marks(panel, [fault.begin for fault in figures.faults], FAULT_COLOR, "-")
        add_spans(panel, [(fault.begin, fault.end) for fault in figures.faults], FAULT_COLOR, 0.07)
    for index, fault in enumerate(figures.faults, 1):
        if log.begin <= fault.begin <= log.end:
            panels[0].annotate(
                f"{index}",
                (fault.begin, 1.0),
                xycoords=("data", "axes fraction"),
                color=FAULT_COLOR,
                fontsize=8,
                verticalalignment="bottom",
                horizontalalignment="center",
            )
    return figure, panels


def add_marks(panel: Axes, seconds: Iterable[float], color: str, style: str) -> None:
    """Draw a vertical line over the panel's height at each time."""
    lines = LineCollection(
        [[(second, 0.0), (second, 1.0)] for second in seconds],
        transform=panel.get_xaxis_transform(),
        colors=color,
        linestyles=style,
        linewidths=1.0,
    )
    panel.add_collection(lines, autolim=False)


def add_spans(
    panel: Axes, spans: Iterable[tuple[float, float]], color: str, opacity: float
) -> None:
    """Draw a band over the panel's height for each span of time."""
    bands = PolyCollection(
        [[(begin, 0.0), (begin, 1.0), (end, 1.0), (end, 0.0)] for begin, end in spans],
        transform=panel.get_xaxis_transform(),
        facecolors=color,
        alpha=opacity,
        linewidths=0.0,
        zorder=0,
    )
    panel.add_collection(bands, autolim=False)


def finish_panel(panel: Axes, unit: str, title: str) -> None:
    """Set the labels of a panel, and its legend if it has lines."""
    panel.set_ylabel(unit, fontsize=8)
    panel.set_title(title, fontsize=9, loc="left", pad=14)
    panel.tick_params(labelsize=8)
    panel.grid(alpha=0.3)
    if panel.get_legend_handles_labels()[0]:
        panel.legend(fontsize=7, loc="center left", bbox_to_anchor=(1.0, 0.5))


def draw_counts(
    panel: Axes,
    figures: Figures,
    times: Mapping[str, Iterable[float]],
    colors: Sequence[str] | None = None,
) -> None:
    """Draw how many times of each kind fall into each second, stacked.

    :param times: times by label
    """
    first, last = math.floor(figures.log.begin), math.floor(figures.log.end) + 1
    seconds = range(first, last + 1)
    rows = [count_by_second(row) for row in times.values()]
    if rows:
        stacks = [[counts.get(second, 0) for second in seconds] for counts in rows]
        panel.stackplot(
            seconds, stacks, labels=list(times), colors=colors, step="post", linewidth=0
        )
    panel.set_ylim(bottom=0)


def draw_bins(
    panel: Axes,
    begins: Sequence[float],
    values: Sequence[float],
    width: float,
    label: str,
    marker: str,
) -> None:
    """Draw the values of time bins; a bin without a value interrupts the line."""
    seconds: list[float] = []
    shown: list[float] = []
    for begin, value in zip(begins, values, strict=True):
        middle = begin + width / 2
        if seconds and middle - seconds[-1] > 1.5 * width:
            seconds.append(middle)
            shown.append(math.nan)
        seconds.append(middle)
        shown.append(value)
    panel.plot(seconds, shown, marker=marker, markersize=4, linewidth=0.9, label=label)


def count_by_second(times: Iterable[float]) -> dict[int, int]:
    """Return how many of the times fall into each second that has some."""
    counts: dict[int, int] = {}
    for time in times:
        counts[math.floor(time)] = counts.get(math.floor(time), 0) + 1
    return counts
