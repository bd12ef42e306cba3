"""The command that tells the story of a job from daemons' logs."""

from __future__ import annotations

import pathlib
import sys
from collections.abc import Iterator
from datetime import UTC, datetime

import attrs
import cappa

from ..telemetry.trace import Trace, TraceLine, read_lines, trace
from .client import ExitStatus, OperatorsError
from .session import Session

__all__ = ["TraceJob"]


@cappa.command(name="trace", help="Tell what daemons' logs say of a job, request, task or worker.")
@attrs.define
class TraceJob:
    """Reads logs and prints the lines on one id in order of time."""

    id: str = attrs.field(
        metadata={"cappa": cappa.Arg(help="id of a job, task, worker, VM or wave, or a path")}
    )
    logs: list[str] = attrs.field(
        factory=list,
        metadata={
            "cappa": cappa.Arg(
                long=True, num_args=-1, help="files of log lines; standard input without it"
            )
        },
    )

    def run(self, session: Session) -> int:
        """Print the story; the exit status tells whether there is one."""
        story = trace(read_lines(_read_files(self.logs)), self.id)
        if session.as_json:
            session.show(_plain(story))
        else:
            self._print(session, story)
        return ExitStatus.OK if story.lines else ExitStatus.FAILURE

    def _print(self, session: Session, story: Trace) -> None:
        for line in story.lines:
            session.say(f"{_clock(line)} {line.daemon:<18} {line.event:<18} {line.format_fields()}")
        for daemon, seconds in story.clock_corrections.items():
            session.say(f"The clock of {daemon} was corrected by {seconds:+.3f} s.")
        if not story.lines:
            session.say(f"No line is about {self.id}.")
        if story.suppressed:
            counts = ", ".join(f"{count} of {event}" for event, count in story.suppressed.items())
            session.say(f"Lines left out of the logs meanwhile: {counts}.")


def _clock(line: TraceLine) -> str:
    return datetime.fromtimestamp(line.seconds, UTC).strftime("%H:%M:%S.%f")[:-3]


def _plain(story: Trace) -> dict:
    return {
        "lines": [
            {"time": line.seconds, "at": line.daemon, "event": line.event, **line.fields}
            for line in story.lines
        ],
        "shifts": story.clock_corrections,
        "left_out": story.suppressed,
    }


def _read_files(names: list[str]) -> Iterator[str]:
    if not names:
        yield from sys.stdin
    for name in names:
        try:
            with pathlib.Path(name).open(errors="replace") as file:
                yield from file
        except OSError as error:
            raise OperatorsError(f"{name}: {error}", ExitStatus.INVALID) from None
