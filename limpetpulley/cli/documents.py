"""Commands for whole configurations."""

from __future__ import annotations

import sys

import attrs
import cappa

from ..config import Change, ConfigObject, diff_documents, dump_document, load_document
from ..config.objects import structure_object
from ..exception import InvalidConfig
from .client import ExitStatus, OperatorsError
from .session import Session

__all__ = ["ConfigCommand", "read_file"]


def read_file(path: str) -> str:
    """Return the text of a file, or of standard input for ``-``.

    :raises OperatorsError: if it cannot be read
    """
    try:
        if path == "-":
            return sys.stdin.read()
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorsError(f"{path}: {error}", ExitStatus.USAGE) from None


def load(path: str) -> list[ConfigObject]:
    """Return the objects of a document.

    :raises OperatorsError: with each problem found
    """
    try:
        return load_document(read_file(path))
    except InvalidConfig as group:
        problems = [str(problem) for problem in group.exceptions]
        raise OperatorsError(
            f"{path}: {group.message}", ExitStatus.INVALID, {"problems": problems}
        ) from None


def held_objects(session: Session) -> tuple[list[ConfigObject], dict[str, int]]:
    """Return the objects in force and their revisions by ``kind/name``."""
    items = session.client.get("/config")["objects"]
    objects = [structure_object(item["kind"], item["object"]) for item in items]
    return objects, {f"{item['kind']}/{item['name']}": item["revision"] for item in items}


def differences(session: Session, path: str, prune: bool) -> list[Change]:
    """Return the changes that lead from the configuration in force to a document."""
    held, revisions = held_objects(session)
    return diff_documents(held, load(path), revisions, prune)


def describe(change: Change) -> str:
    """Return one line on a change."""
    if change.value is None:
        return f"- {change.key}"
    return f"{'~' if change.base_revision else '+'} {change.key}"


@cappa.command(name="export", help="Print the configuration in force.")
@attrs.define
class Export:
    """Exports the configuration."""

    def run(self, session: Session) -> int:
        """Print the document."""
        objects, _ = held_objects(session)
        print(dump_document(objects), end="")
        return ExitStatus.OK


@cappa.command(name="diff", help="Show what applying a document would change.")
@attrs.define
class Diff:
    """Compares a document with the configuration in force."""

    file: str
    prune: bool = attrs.field(
        default=False, metadata={"cappa": cappa.Arg(long=True, help="delete what it lacks")}
    )

    def run(self, session: Session) -> int:
        """Print a line for each object that differs."""
        changes = differences(session, self.file, self.prune)
        if session.as_json:
            session.show([describe(change) for change in changes])
        else:
            for change in changes:
                session.say(describe(change))
            session.say(f"{len(changes)} objects differ")
        return ExitStatus.OK


@cappa.command(name="apply", help="Apply a document, all of it or nothing.")
@attrs.define
class Apply:
    """Applies a document."""

    file: str
    prune: bool = attrs.field(
        default=False, metadata={"cappa": cappa.Arg(long=True, help="delete what it lacks")}
    )

    def run(self, session: Session) -> int:
        """Apply the differences."""
        changes = differences(session, self.file, self.prune)
        if not changes:
            session.say("nothing differs")
            return ExitStatus.OK
        return session.apply(changes, f"{len(changes)} objects are changed")


@cappa.command(name="config", help="Whole configurations.")
@attrs.define
class ConfigCommand:
    """Commands for whole configurations."""

    command: cappa.Subcommands[Export | Diff | Apply]
