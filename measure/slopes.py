"""Straight-line fits of what things cost as their number grows."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any

import attrs

__all__ = ["Slope", "fit", "measure_memory", "measure_time", "print_slopes"]


@attrs.frozen
class Slope:
    """A fitted line.

    :param name: what was measured
    :param unit: unit of the slope
    :param sizes: sizes at which it was measured
    :param values: the figures, in the unit
    :param slope: cost of one more
    :param intercept: cost of none
    :param residual: largest distance from the line, as a part of the largest value
    """

    name: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    residual: float


def fit(name: str, unit: str, sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """Return the line through some points by least squares.

    >>> fit("x", "s", [1, 2, 3, 4], [2, 4, 6, 8]).slope
    2.0
    """
    line = statistics.linear_regression(sizes, values)
    distances = [
        abs(value - line.slope * size - line.intercept)
        for size, value in zip(sizes, values, strict=True)
    ]
    largest = max(abs(value) for value in values) or 1.0
    return Slope(
        name,
        unit,
        tuple(sizes),
        tuple(values),
        line.slope,
        line.intercept,
        max(distances) / largest,
    )


def measure_memory(name: str, make: Callable[[int], Any], sizes: Sequence[int]) -> Slope:
    """Return the bytes that objects take, by their number.

    :param make: returns an object that holds so many
    """
    values = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        held = make(size)
        gc.collect()
        values.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del held
    return fit(name, "B", sizes, values)


def measure_time(
    name: str, make: Callable[[int], Callable[[], Any]], sizes: Sequence[int], times: int = 30
) -> Slope:
    """Return the microseconds of processor time of a call, by the size that it works on.

    :param make: returns the call for a size
    :param times: calls at each size, of which the median counts
    """
    values = []
    for size in sizes:
        call = make(size)
        call()
        spent = []
        for _ in range(times):
            began = time.process_time_ns()
            call()
            spent.append((time.process_time_ns() - began) / 1000)
        values.append(statistics.median(spent))
    return fit(name, "us", sizes, values)


def print_slopes(slopes: Sequence[Slope]) -> None:
    """Print fits as a Markdown table."""
    print("| what | sizes | values | per unit | of none | unit | residual |")
    print("|---|---|---|---:|---:|---|---:|")
    for found in slopes:
        sizes = " ".join(f"{size:g}" for size in found.sizes)
        values = " ".join(f"{value:.4g}" for value in found.values)
        print(
            f"| {found.name} | {sizes} | {values} | {found.slope:.4g} | {found.intercept:.4g} "
            f"| {found.unit} | {found.residual:.1%} |"
        )
