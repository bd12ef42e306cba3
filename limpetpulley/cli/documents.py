"""Commands that export, compare and apply configuration documents."""

from __future__ import annotations

import sys

import attrs
import cappa

from ..config import Change, ConfigObject, diff_documents, dump_document, load_document
from ..config.objects import structure_object
from ..exception import InvalidConfig
from .client import CommandError, ExitStatus
from .session import Session

__all__ = ["ConfigCommand", "read_file"]


def read_file(path: str) -> str:
    """Return the text of a file, or of standard input for ``-``.

    :raises CommandError: if it cannot be read
    """
    try:
        if path == "-":
            return sys.stdin.read()
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(f"{path}: {error}", ExitStatus.USAGE) from None


def read_objects(path: str) -> list[ConfigObject]:
    """Return the objects of a configuration document.

    :raises CommandError: with all problems of the document
    """
    try:
        return load_document(read_file(path))
    except InvalidConfig as group:
        problems = [str(problem) for problem in group.exceptions]
        raise CommandError(
            f"{path}: {group.message}", ExitStatus.INVALID, {"problems": problems}
        ) from None


def fetch_objects(session: Session) -> tuple[list[ConfigObject], dict[str, int]]:
    """Return the objects in force, and their revisions by ``kind/name``."""
    items = session.client.get("/config")["objects"]
    objects = [structure_object(item["kind"], item["object"]) for item in items]
    return objects, {f"{item['kind']}/{item['name']}": item["revision"] for item in items}


def compute_changes(session: Session, path: str, prune: bool) -> list[Change]:
    """Return the changes that turn the configuration in force into that of a document.

    :param path: file of the document, ``-`` for standard input
    :param prune: whether to delete the objects that the document does not contain
    """
    current, revisions = fetch_objects(session)
    return diff_documents(current, read_objects(path), revisions, prune)


def format_change(change: Change) -> str:
    """Return one line that describes a change."""
    if change.value is None:
        return f"- {change.key}"
    return f"{'~' if change.base_revision else '+'} {change.key}"


@cappa.command(name="export", help="Print the configuration in force.")
@attrs.define
class Export:
    """Exports the configuration."""

    def run(self, session: Session) -> int:
        """Print the configuration as a document."""
        objects, _ = fetch_objects(session)
        print(dump_document(objects), end="")
        return ExitStatus.OK


@cappa.command(name="diff", help="Show the changes that applying a document would make.")
@attrs.define
class Diff:
    """Compares a document with the configuration in force."""

    file: str
    prune: bool = attrs.field(
        default=False,
        metadata={"cappa": cappa.Arg(long=True, help="delete objects missing from it")},
    )

    def run(self, session: Session) -> int:
        """Print one line for each object that differs."""
        changes = compute_changes(session, self.file, self.prune)
        if session.as_json:
            session.print_json([format_change(change) for change in changes])
        else:
            for change in changes:
                session.print_text(format_change(change))
            session.print_text(f"{len(changes)} objects differ")
        return ExitStatus.OK


@cappa.command(name="apply", help="Apply a document atomically.")
@attrs.define
class Apply:
    """Applies a document."""

    file: str
    prune: bool = attrs.field(
        default=False,
        metadata={"cappa": cappa.Arg(long=True, help="delete objects missing from it")},
    )

    def run(self, session: Session) -> int:
        """Apply the changes."""
        changes = compute_changes(session, self.file, self.prune)
        if not changes:
            session.print_text("nothing differs")
            return ExitStatus.OK
        return session.apply(changes, f"{len(changes)} objects are changed")


@cappa.command(name="config", help="Configuration documents.")
@attrs.define
class ConfigCommand:
    """Commands for configuration documents."""

    command: cappa.Subcommands[Export | Diff | Apply]
