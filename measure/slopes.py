"""Linear fits of memory and processor time against the number of objects."""

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
    """A linear fit.

    :param name: what was measured
    :param unit: unit of the slope
    :param sizes: numbers of objects at which it was measured
    :param values: measured values at these sizes, in the unit
    :param slope: cost of each further object
    :param intercept: fixed cost
    :param residual: largest distance from the line, as a fraction of the largest value
    """

    name: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    residual: float


def fit(name: str, unit: str, sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """Return the least-squares line through the measured points.

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
    """Return the fit of allocated bytes to the number of objects.

    :param make: creates a number of objects
    """
    values = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        objects = make(size)
        gc.collect()
        values.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del objects
    return fit(name, "B", sizes, values)


def measure_time(
    name: str, make: Callable[[int], Callable[[], Any]], sizes: Sequence[int], repeats: int = 30
) -> Slope:
    """Return the fit of a call's processor time, in microseconds, to the size of its input.

    :param make: returns the call for a size
    :param repeats: measured calls at each size, of which the median is used
    """
    values = []
    for size in sizes:
        call = make(size)
        call()
        durations = []
        for _ in range(repeats):
            started_at = time.process_time_ns()
            call()
            durations.append((time.process_time_ns() - started_at) / 1000)
        values.append(statistics.median(durations))
    return fit(name, "us", sizes, values)


def print_slopes(slopes: Sequence[Slope]) -> None:
    """Print linear fits as a Markdown table."""
    print("| measurement | sizes | values | slope | intercept | unit | residual |")
    print("|---|---|---|---:|---:|---|---:|")
    for slope in slopes:
        sizes = " ".join(f"{size:g}" for size in slope.sizes)
        values = " ".join(f"{value:.4g}" for value in slope.values)
        print(
            f"| {slope.name} | {sizes} | {values} | {slope.slope:.4g} | {slope.intercept:.4g} "
            f"| {slope.unit} | {slope.residual:.1%} |"
        )
