"""Commands that list, set and remove configuration objects, generated from their classes."""

from __future__ import annotations

import functools
import operator
import types
import typing
from typing import Any

import attrs
import cappa

from ..config import Budget, Change, Pool, Queue, Team, Vm, structure_object
from ..exception import ConfigError
from .client import CommandError, ExitStatus
from .session import Session

__all__ = ["make_object_command"]

OPTIONAL_TEXT: Any = str | None
UNSETTABLE_FIELDS = frozenset(("phase", "wave", "move_to", "home", "maintained_in"))
HELP_TEXTS = {
    Team: "Teams, with their shares and limits.",
    Pool: "Pools of VMs.",
    Queue: "Queues that accept jobs.",
    Vm: "VMs and their endpoints.",
    Budget: "Availability budgets.",
}


@attrs.define
class List:
    """Lists the objects of a kind."""

    kind = ""

    def run(self, session: Session) -> int:
        """Print the objects."""
        items = [
            item for item in session.client.get("/config")["objects"] if item["kind"] == self.kind
        ]
        if session.as_json:
            session.print_json(items)
            return ExitStatus.OK
        columns = list(items[0]["object"]) if items else ["name"]
        rows = [[*item["object"].values(), item["revision"], item["changed_by"]] for item in items]
        session.print_table(f"{self.kind}s", [*columns, "revision", "changed by"], rows)
        return ExitStatus.OK


@attrs.define
class Remove:
    """Removes an object."""

    kind = ""
    name: str

    def run(self, session: Session) -> int:
        """Remove the object."""
        seen = session.client.revisions().get(f"{self.kind}/{self.name}")
        if seen is None:
            raise CommandError(f"{self.kind} {self.name} does not exist", ExitStatus.NOT_FOUND)
        change = Change(self.kind, self.name, None, seen)
        return session.apply([change], f"{self.kind} {self.name} is removed")


def make_object_command(cls: type, *extra: type) -> type:
    """Return the command for a kind of configuration objects.

    :param cls: class of the objects
    :param extra: additional subcommands
    """
    kind = cls.kind  # type: ignore[attr-defined]
    subcommands = [
        _make_kind_command(List, kind, "list", "List the objects."),
        _make_set_command(cls),
        _make_kind_command(Remove, kind, "remove", "Remove an object."),
        *extra,
    ]
    union: Any = cappa.Subcommands[functools.reduce(operator.or_, subcommands)]  # type: ignore[misc]
    command_class = attrs.make_class(kind.title(), {"command": attrs.field(type=union)})
    return cappa.command(name=kind, help=HELP_TEXTS[cls])(command_class)


def _make_kind_command(base: type, kind: str, name: str, help_text: str) -> type:
    """Return a subclass of a command for one kind of objects."""
    command_class: Any = types.new_class(f"{base.__name__}{kind.title()}", (base,))
    command_class.kind = kind
    return cappa.command(name=name, help=help_text)(attrs.define(command_class))


def _make_set_command(cls: type) -> type:
    """Return the command that creates or changes objects of a class, with a flag for each field."""
    fields: dict[str, Any] = {"name": attrs.field(type=str)}
    for field in attrs.fields(cls):
        if field.name != "name" and field.name not in UNSETTABLE_FIELDS:
            text = "" if field.default is attrs.NOTHING else f"default {field.default}"
            fields[field.name] = attrs.field(
                default=None,
                type=OPTIONAL_TEXT,
                metadata={"cappa": cappa.Arg(long="--" + field.name.replace("_", "-"), help=text)},
            )
    command_class: Any = attrs.make_class(f"Set{cls.__name__}", fields)

    def run(self: Any, session: Session) -> int:
        return _set_fields(cls, attrs.asdict(self), session)

    command_class.run = run
    return cappa.command(name="set", help="Create an object, or change the given fields.")(
        command_class
    )


def _set_fields(cls: Any, arguments: dict[str, str | None], session: Session) -> int:
    """Create or change an object.

    :param arguments: texts of the flags by field name, None for flags that are not given
    """
    name = arguments["name"]
    items = session.client.get("/config")["objects"]
    existing = next((i for i in items if i["kind"] == cls.kind and i["name"] == name), None)
    fields = dict(existing["object"]) if existing else {"name": name}
    hints = typing.get_type_hints(cls)
    for field, text in arguments.items():
        if text is not None and field != "name":
            fields[field] = _parse_value(cls.kind, field, text, hints[field])
    try:
        value = structure_object(cls.kind, fields)
    except ConfigError as error:
        raise CommandError(str(error), ExitStatus.INVALID) from None
    change = Change(cls.kind, value.name, value, existing["revision"] if existing else 0)
    return session.apply([change], f"{cls.kind} {name} is {'changed' if existing else 'created'}")


def _parse_value(kind: str, field: str, text: str, expected_type: Any) -> Any:
    """Parse the text of a flag as a value of the type of its field."""
    flag = "--" + field.replace("_", "-")
    try:
        if expected_type is bool:
            if text not in ("true", "false"):
                raise ValueError
            return text == "true"
        return expected_type(text) if expected_type in (int, float) else text
    except ValueError:
        type_names = {int: "an integer", float: "a number", bool: "true or false"}
        raise CommandError(
            f"{kind} {flag}: {text!r} is not {type_names[expected_type]}", ExitStatus.USAGE
        ) from None
