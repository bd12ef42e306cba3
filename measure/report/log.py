"""Reads the daemons' log lines and the list of faults of a report."""

from __future__ import annotations

import json
import math
import pathlib
import re
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import attrs

from limpetpulley.telemetry.trace import HEADER_FIELDS, TraceLine

__all__ = [
    "Fault",
    "Log",
    "ReportError",
    "number",
    "parse_faults",
    "parse_log",
    "read_faults",
    "read_log",
    "text",
]

OBJECT_START = '{"time"'
#: longest period of one report, in seconds; a line with a wrong clock would make it longer
MAX_PERIOD_SECONDS = 7 * 86400.0
#: decimal digits of a time in seconds, so that times on the border of a bin stay there
TIME_DIGITS = 6
FAULT_PATTERN = re.compile(r"(-?\d+(?:\.\d+)?)(?:\s+(-?\d+(?:\.\d+)?))?\s+(\S.*)")


class ReportError(Exception):
    """No report can be made from a file."""


@attrs.frozen
class Fault:
    """A fault that was caused or seen by others, marked in the plots.

    :param begin: seconds after the origin
    :param end: seconds after the origin, the same as ``begin`` for a moment
    """

    begin: float
    end: float
    label: str


@attrs.frozen
class Log:
    """The log lines of a period.

    :param lines: ordered by time; their ``seconds`` count from the origin
    :param origin: time of second 0, in seconds since 1970
    :param skipped: lines of text that hold no whole object of the log
    :param damaged: lines of text that hold a whole object and a cut-off one, which is skipped
    """

    lines: list[TraceLine]
    origin: float
    skipped: int = 0
    damaged: int = 0

    @property
    def begin(self) -> float:
        """Return the time of the first line, in seconds after the origin."""
        return self.lines[0].seconds

    @property
    def end(self) -> float:
        """Return the time of the last line, in seconds after the origin."""
        return self.lines[-1].seconds

    def left_out(self) -> dict[str, int]:
        """Return how many lines of each event the daemons left out because of their rate limit."""
        total: Counter[str] = Counter()
        for line in self.lines:
            counts = line.fields.get("counts")
            if line.event == "lines-left-out" and isinstance(counts, dict):
                total.update({event: int(number(counts, event)) for event in counts})
        return dict(total)

    def dropped(self) -> int:
        """Return how many lines the daemons lost to a slow reader."""
        return int(sum(number(line.fields, "lines_dropped") for line in self.lines))


def number(fields: Mapping[str, Any], name: str, default: float = 0.0) -> float:
    """Return a field as a number, or the default if it is absent or no finite number."""
    value = fields.get(name)
    if not isinstance(value, int | float) or isinstance(value, bool):
        return default
    try:
        return float(value) if math.isfinite(value) else default
    except OverflowError:
        return default


def text(fields: Mapping[str, Any], name: str) -> str:
    """Return a field, or an empty text if it is absent or no text."""
    value = fields.get(name)
    return value if isinstance(value, str) else ""


def read_log(path: pathlib.Path, origin: float | None = None) -> Log:
    """Return the log lines of a file.

    :param origin: time of second 0, in seconds since 1970; None for the first line's time
    :raises ReportError: if the file cannot be read, holds no log line or spans too long a period
    """
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            return parse_log(file, str(path), origin)
    except OSError as error:
        raise ReportError(f"cannot read {path}: {error.strerror}") from None


def parse_log(texts: Iterable[str], name: str, origin: float | None = None) -> Log:
    """Return the log lines of a text; see :func:`read_log`.

    :param name: what the error message calls the text
    """
    lines: list[TraceLine] = []
    skipped = damaged = 0
    for row in texts:
        found = list(_parse_objects(row))
        whole = [line for line in found if line is not None]
        lines += whole
        if row.strip() and not whole:
            skipped += 1
        elif len(whole) < len(found):
            damaged += 1
    if not lines:
        raise ReportError(f"{name} holds no log line of a daemon ({skipped} other lines)")
    lines.sort(key=lambda line: line.seconds)
    begin, end = lines[0].seconds, lines[-1].seconds
    if end - begin > MAX_PERIOD_SECONDS:
        raise ReportError(
            f"{name} spans {end - begin:.0f} s, from {begin} to {end}; "
            f"at most {MAX_PERIOD_SECONDS:.0f} s fit a report"
        )
    zero = begin if origin is None else origin
    shifted = [
        TraceLine(line.daemon, round(line.seconds - zero, TIME_DIGITS), line.event, line.fields)
        for line in lines
    ]
    return Log(shifted, zero, skipped, damaged)


def _parse_objects(row: str) -> Iterator[TraceLine | None]:
    """Yield the log lines in a line of text, None for each object that is cut off or malformed."""
    decoder = json.JSONDecoder()
    start = row.find(OBJECT_START)
    while start >= 0:
        end = start + 1
        try:
            fields, end = decoder.raw_decode(row, start)
            yield _make_line(fields)
        except (ValueError, RecursionError):
            yield None
        start = row.find(OBJECT_START, end)


def _make_line(fields: dict[str, Any]) -> TraceLine | None:
    seconds, event, daemon = (fields.pop(name, None) for name in HEADER_FIELDS)
    if not isinstance(event, str) or not isinstance(daemon, str):
        return None
    time = number({"time": seconds}, "time", math.nan)
    return None if math.isnan(time) else TraceLine(daemon, time, event, fields)


def read_faults(path: pathlib.Path) -> list[Fault]:
    """Return the faults of a file.

    :raises ReportError: if the file cannot be read or a line is no fault
    """
    try:
        return parse_faults(path.read_text(encoding="utf-8").splitlines(), str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise ReportError(f"cannot read {path}: {error}") from None


def parse_faults(texts: Iterable[str], name: str) -> list[Fault]:
    """Return the faults of lines ``SECOND LABEL`` or ``FROM TO LABEL``, ordered by time.

    A label that begins with a number needs the form with two times. Empty lines are skipped.

    :param name: what the error message calls the text
    :raises ReportError: if a line is no fault

    >>> parse_faults(["2.5 owner killed", "3 4.5 store away"], "faults")[1]
    Fault(begin=3.0, end=4.5, label='store away')
    """
    faults = []
    for number_of_row, row in enumerate(texts, 1):
        if not row.strip():
            continue
        match = FAULT_PATTERN.fullmatch(row.strip())
        begin = float(match[1]) if match else 0.0
        end = float(match[2]) if match and match[2] else begin
        if not match or end < begin:
            raise ReportError(
                f"{name}:{number_of_row}: {row.strip()!r} is no fault: SECOND [TO] LABEL"
            )
        faults.append(Fault(begin, end, match[3]))
    return sorted(faults, key=lambda fault: fault.begin)
