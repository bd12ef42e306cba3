"""What every command needs: the daemon to talk to and how to print."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

import attrs
from rich.console import Console
from rich.table import Table

from ..config import Change
from .client import ExitStatus, OperatorsClient, OperatorsError

__all__ = ["Session"]


@attrs.define
class Session:
    """One run of the command line.

    :param client: the daemon to talk to
    :param as_json: whether to print for programs
    :param wait_seconds: how long to wait for a change to be in force everywhere, 0 not to
    """

    client: OperatorsClient
    as_json: bool = False
    wait_seconds: float = 0.0
    console: Console = attrs.field(factory=lambda: Console(soft_wrap=True))

    def show(self, value: Any) -> None:
        """Print a value as JSON."""
        print(json.dumps(value, indent=2))

    def say(self, text: str) -> None:
        """Print a sentence for people."""
        if not self.as_json:
            self.console.print(text, highlight=False, markup=False)

    def table(self, title: str, columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
        """Print a table for people."""
        table = Table(title=title, title_justify="left")
        for column in columns:
            table.add_column(column)
        for row in rows:
            table.add_row(*(str(cell) for cell in row))
        self.console.print(table)

    def apply(self, changes: Sequence[Change], done: str) -> int:
        """Apply changes, say so, and wait for them if that was asked for.

        :returns: exit status
        :raises OperatorsError: if they are not accepted
        """
        revision = self.client.apply(changes)
        late: list[str] = []
        if self.wait_seconds:
            late = self.client.wait_in_force(revision, self.wait_seconds)
        if self.as_json:
            self.show({"revision": revision, "late": late})
        elif late:
            print(
                f"{done} (revision {revision}); not in force yet on: {', '.join(late)}",
                file=sys.stderr,
            )
        elif self.wait_seconds:
            self.say(f"{done} (revision {revision}), in force on every daemon")
        else:
            self.say(f"{done} (revision {revision})")
        return ExitStatus.NOT_IN_FORCE if late else ExitStatus.OK

    def fail(self, error: OperatorsError) -> int:
        """Print what is wrong; return the exit status."""
        if self.as_json:
            self.show({"error": error.problem})
        else:
            for line in error.problem.get("problems") or [str(error)]:
                print(f"limpetpulley: {line}", file=sys.stderr)
        return error.status
