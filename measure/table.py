"""Rows of measured figures and how they are printed."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

__all__ = ["Row", "print_rows"]


@attrs.frozen
class Row:
    """One figure.

    :param name: what was measured
    :param value: the figure
    :param unit: its unit
    :param target: the stated target, if there is one
    """

    name: str
    value: float
    unit: str = ""
    target: str = ""


def print_rows(title: str, rows: Iterable[Row]) -> None:
    """Print figures as a Markdown table."""
    print(f"\n### {title}\n")
    print("| figure | value | unit | target |")
    print("|---|---:|---|---|")
    for row in rows:
        print(f"| {row.name} | {row.value:.4g} | {row.unit} | {row.target} |")
