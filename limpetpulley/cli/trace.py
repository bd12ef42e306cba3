"""Command that reconstructs the history of a job from the logs of daemons."""

from __future__ import annotations

import pathlib
import sys
from collections.abc import Iterator
from datetime import UTC, datetime

import attrs
import cappa

from ..telemetry.trace import Trace, TraceLine, read_lines, trace
from .client import CommandError, ExitStatus
from .session import Session

__all__ = ["TraceJob"]


@cappa.command(
    name="trace", help="Show the log lines of daemons on a job, request, task or worker."
)
@attrs.define
class TraceJob:
    """Prints the log lines on one id in chronological order."""

    id: str = attrs.field(
        metadata={"cappa": cappa.Arg(help="id of a job, task, worker, VM or wave, or a path")}
    )
    logs: list[str] = attrs.field(
        factory=list,
        metadata={
            "cappa": cappa.Arg(long=True, num_args=-1, help="log files; standard input by default")
        },
    )

    def run(self, session: Session) -> int:
        """Print the lines; the exit status tells whether any was found."""
        timeline = trace(read_lines(_read_files(self.logs)), self.id)
        if session.as_json:
            session.print_json(_to_json(timeline))
        else:
            self._print(session, timeline)
        return ExitStatus.OK if timeline.lines else ExitStatus.FAILURE

    def _print(self, session: Session, timeline: Trace) -> None:
        for line in timeline.lines:
            session.print_text(
                f"{_format_time(line)} {line.daemon:<18} {line.event:<18} {line.format_fields()}"
            )
        for daemon, seconds in timeline.clock_corrections.items():
            session.print_text(f"The timestamps of {daemon} were shifted by {seconds:+.3f} s.")
        if not timeline.lines:
            session.print_text(f"No log line mentions {self.id}.")
        if timeline.suppressed:
            counts = ", ".join(
                f"{count} of {event}" for event, count in timeline.suppressed.items()
            )
            session.print_text(f"Lines left out of the logs in this period: {counts}.")


def _format_time(line: TraceLine) -> str:
    return datetime.fromtimestamp(line.seconds, UTC).strftime("%H:%M:%S.%f")[:-3]


def _to_json(timeline: Trace) -> dict:
    return {
        "lines": [
            {"time": line.seconds, "at": line.daemon, "event": line.event, **line.fields}
            for line in timeline.lines
        ],
        "shifts": timeline.clock_corrections,
        "left_out": timeline.suppressed,
    }


def _read_files(paths: list[str]) -> Iterator[str]:
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            with pathlib.Path(path).open(errors="replace") as file:
                yield from file
        except OSError as error:
            raise CommandError(f"{path}: {error}", ExitStatus.INVALID) from None
