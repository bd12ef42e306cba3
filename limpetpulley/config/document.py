"""Configuration documents: the whole configuration as one JSON file, and differences."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

import attrs

from ..exception import ConfigError, InvalidConfig
from .objects import KINDS, ConfigObject, structure_object, unstructure_object

__all__ = ["Change", "diff_documents", "dump_document", "load_document"]


@attrs.frozen
class Change:
    """A change of one object.

    :param kind: kind of the object
    :param name: name of the object
    :param value: the new object, None to delete it
    :param base_revision: revision that the change is based on, 0 if the object does not exist
    """

    kind: str
    name: str
    value: ConfigObject | None
    base_revision: int = 0

    @property
    def key(self) -> str:
        """Return ``kind/name``."""
        return f"{self.kind}/{self.name}"


def load_document(text: str | bytes) -> list[ConfigObject]:
    """Return the objects of a document.

    :param text: JSON text: a mapping from kind to a list of objects
    :raises InvalidConfig: a group with each problem found
    """
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise InvalidConfig("unreadable document", [ConfigError(f"not JSON: {error}")]) from None
    if not isinstance(raw, dict):
        raise InvalidConfig("unreadable document", [ConfigError("must map kinds to lists")])
    objects, problems = [], []
    for kind, items in raw.items():
        for fields in items if isinstance(items, list) else [items]:
            try:
                objects.append(structure_object(kind, fields))
            except ConfigError as error:
                problems.append(error)
    if problems:
        raise InvalidConfig("unreadable document", problems)
    return objects


def dump_document(objects: Iterable[ConfigObject]) -> str:
    """Return the document of some objects as JSON text, ordered by kind and name."""
    document: dict[str, list[Any]] = {kind: [] for kind in KINDS}
    for value in sorted(objects, key=lambda value: value.name):
        document[value.kind].append(unstructure_object(value))
    return json.dumps({kind: items for kind, items in document.items() if items}, indent=2) + "\n"


def diff_documents(
    held: Iterable[ConfigObject],
    wanted: Iterable[ConfigObject],
    revisions: dict[str, int],
    prune: bool = False,
) -> list[Change]:
    """Return the changes that lead from one set of objects to another.

    :param held: the objects in force
    :param wanted: the objects to reach
    :param revisions: revision in force of each object, by ``kind/name``
    :param prune: whether objects in force that are not wanted are deleted
    """
    before = {(value.kind, value.name): value for value in held}
    after = {(value.kind, value.name): value for value in wanted}
    changes = [
        Change(kind, name, value, revisions.get(f"{kind}/{name}", 0))
        for (kind, name), value in after.items()
        if before.get((kind, name)) != value
    ]
    if prune:
        changes += [
            Change(kind, name, None, revisions.get(f"{kind}/{name}", 0))
            for kind, name in before
            if (kind, name) not in after
        ]
    return changes
