"""Rows of measured values, printed as Markdown tables."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

__all__ = ["Row", "print_rows"]


@attrs.frozen
class Row:
    """One measured value.

    :param name: what was measured
    :param value: measured value
    :param unit: unit of the value
    :param target: required value, empty if there is none
    """

    name: str
    value: float
    unit: str = ""
    target: str = ""


def print_rows(title: str, rows: Iterable[Row]) -> None:
    """Print rows as a Markdown table under a heading."""
    print(f"\n### {title}\n")
    print("| measurement | value | unit | target |")
    print("|---|---:|---|---|")
    for row in rows:
        print(f"| {row.name} | {row.value:.4g} | {row.unit} | {row.target} |")
