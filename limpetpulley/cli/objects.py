"""Commands that list, set and remove objects; made from the fields of each kind."""

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
from .client import ExitStatus, OperatorsError
from .session import Session

__all__ = ["object_command"]

OPTIONAL_TEXT: Any = str | None
HIDDEN_FIELDS = frozenset(("phase", "wave", "move_to", "home", "maintained_in"))
HELP = {
    Team: "Teams: shares and upper limits.",
    Pool: "Pools of VMs.",
    Queue: "Queues that jobs come in through.",
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
            session.show(items)
            return ExitStatus.OK
        columns = list(items[0]["object"]) if items else ["name"]
        rows = [[*item["object"].values(), item["revision"], item["changed_by"]] for item in items]
        session.table(f"{self.kind}s", [*columns, "revision", "changed by"], rows)
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
            raise OperatorsError(f"{self.kind} {self.name} does not exist", ExitStatus.NOT_FOUND)
        change = Change(self.kind, self.name, None, seen)
        return session.apply([change], f"{self.kind} {self.name} is removed")


def object_command(cls: type, *further: type) -> type:
    """Return the command for a kind of object.

    :param cls: class of the objects
    :param further: further subcommands
    """
    kind = cls.kind  # type: ignore[attr-defined]
    subcommands = [
        _named(List, kind, "list", "List them."),
        _set_command(cls),
        _named(Remove, kind, "remove", "Remove one."),
        *further,
    ]
    union: Any = cappa.Subcommands[functools.reduce(operator.or_, subcommands)]  # type: ignore[misc]
    made = attrs.make_class(kind.title(), {"command": attrs.field(type=union)})
    return cappa.command(name=kind, help=HELP[cls])(made)


def _named(base: type, kind: str, name: str, help_text: str) -> type:
    made: Any = types.new_class(f"{base.__name__}{kind.title()}", (base,))
    made.kind = kind
    return cappa.command(name=name, help=help_text)(attrs.define(made))


def _set_command(cls: type) -> type:
    fields: dict[str, Any] = {"name": attrs.field(type=str)}
    for field in attrs.fields(cls):
        if field.name != "name" and field.name not in HIDDEN_FIELDS:
            text = "" if field.default is attrs.NOTHING else f"default {field.default}"
            fields[field.name] = attrs.field(
                default=None,
                type=OPTIONAL_TEXT,
                metadata={"cappa": cappa.Arg(long="--" + field.name.replace("_", "-"), help=text)},
            )
    made: Any = attrs.make_class(f"Set{cls.__name__}", fields)

    def run(self: Any, session: Session) -> int:
        return _set(cls, attrs.asdict(self), session)

    made.run = run
    return cappa.command(name="set", help="Create one, or change the fields given.")(made)


def _set(cls: Any, given: dict[str, str | None], session: Session) -> int:
    name = given["name"]
    items = session.client.get("/config")["objects"]
    held = next((i for i in items if i["kind"] == cls.kind and i["name"] == name), None)
    fields = dict(held["object"]) if held else {"name": name}
    hints = typing.get_type_hints(cls)
    for field, text in given.items():
        if text is not None and field != "name":
            fields[field] = _read(cls.kind, field, text, hints[field])
    try:
        value = structure_object(cls.kind, fields)
    except ConfigError as error:
        raise OperatorsError(str(error), ExitStatus.INVALID) from None
    change = Change(cls.kind, value.name, value, held["revision"] if held else 0)
    return session.apply([change], f"{cls.kind} {name} is {'changed' if held else 'created'}")


def _read(kind: str, field: str, text: str, wanted: Any) -> Any:
    flag = "--" + field.replace("_", "-")
    try:
        if wanted is bool:
            if text not in ("true", "false"):
                raise ValueError
            return text == "true"
        return wanted(text) if wanted in (int, float) else text
    except ValueError:
        names = {int: "a whole number", float: "a number", bool: "true or false"}
        raise OperatorsError(
            f"{kind} {flag}: {text!r} is not {names[wanted]}", ExitStatus.USAGE
        ) from None
