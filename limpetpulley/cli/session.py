"""Context that commands run in: the client of a daemon and the output."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

import attrs
from rich.console import Console
from rich.table import Table

from ..config import Change
from .client import CommandError, ExitStatus, OperatorClient

__all__ = ["Session"]


@attrs.define
class Session:
    """One invocation of the command line.

    :param client: client of the daemon
    :param as_json: whether to print JSON
    :param wait_seconds: time limit for a change to be in force on all daemons, 0 for no wait
    :param console: console for text and tables
    """

    client: OperatorClient
    as_json: bool = False
    wait_seconds: float = 0.0
    console: Console = attrs.field(factory=lambda: Console(soft_wrap=True))

    def print_json(self, value: Any) -> None:
        """Print a value as JSON."""
        print(json.dumps(value, indent=2))

    def print_text(self, text: str) -> None:
        """Print a line of text, unless the output is JSON."""
        if not self.as_json:
            self.console.print(text, highlight=False, markup=False)

    def print_table(
        self, title: str, columns: Sequence[str], rows: Iterable[Sequence[Any]]
    ) -> None:
        """Print a table."""
        table = Table(title=title, title_justify="left")
        for column in columns:
            table.add_column(column)
        for row in rows:
            table.add_row(*(str(cell) for cell in row))
        self.console.print(table)

    def apply(self, changes: Sequence[Change], message: str) -> int:
        """Apply changes, wait until they are in force if requested, and print the result.

        :param message: what is printed on success
        :returns: exit status
        :raises CommandError: if the changes are rejected
        """
        revision = self.client.apply(changes)
        lagging: list[str] = []
        if self.wait_seconds:
            lagging = self.client.wait_until_in_force(revision, self.wait_seconds)
        if self.as_json:
            self.print_json({"revision": revision, "late": lagging})
        elif lagging:
            print(
                f"{message} (revision {revision}); not in force yet on: {', '.join(lagging)}",
                file=sys.stderr,
            )
        elif self.wait_seconds:
            self.print_text(f"{message} (revision {revision}), in force on every daemon")
        else:
            self.print_text(f"{message} (revision {revision})")
        return ExitStatus.NOT_IN_FORCE if lagging else ExitStatus.OK

    def report_error(self, error: CommandError) -> int:
        """Print an error and return its exit status."""
        if self.as_json:
            self.print_json({"error": error.problem})
        else:
            for line in error.problem.get("problems") or [str(error)]:
                print(f"limpetpulley: {line}", file=sys.stderr)
        return error.status
