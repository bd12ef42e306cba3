"""Configuration documents: the whole configuration as one JSON file, and diffs of them."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

import attrs

from ..exception import ConfigError, InvalidConfig
from ..json_decoding import parse_json
from .objects import KINDS, ConfigObject, structure_object, unstructure_object

__all__ = ["Change", "diff_documents", "dump_document", "load_document"]


@attrs.frozen
class Change:
    """A change to one object.

    :param kind: kind of the object
    :param name: name of the object
    :param value: the new object, or None to delete it
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
    """Parse a document into its objects.

    :param text: JSON text, a mapping from kind to a list of objects
    :raises InvalidConfig: an exception group of all problems found
    """
    try:
        raw = parse_json(text)
    except ValueError as error:
        raise InvalidConfig("invalid document", [ConfigError(f"not JSON: {error}")]) from None
    if not isinstance(raw, dict):
        raise InvalidConfig("invalid document", [ConfigError("must map kinds to lists of objects")])
    objects, problems = [], []
    for kind, items in raw.items():
        for fields in items if isinstance(items, list) else [items]:
            try:
                objects.append(structure_object(kind, fields))
            except ConfigError as error:
                problems.append(error)
    if problems:
        raise InvalidConfig("invalid document", problems)
    return objects


def dump_document(objects: Iterable[ConfigObject]) -> str:
    """Serialize objects into a document, ordered by kind and name."""
    document: dict[str, list[Any]] = {kind: [] for kind in KINDS}
    for value in sorted(objects, key=lambda value: value.name):
        document[value.kind].append(unstructure_object(value))
    return json.dumps({kind: items for kind, items in document.items() if items}, indent=2) + "\n"


def diff_documents(
    current: Iterable[ConfigObject],
    desired: Iterable[ConfigObject],
    revisions: dict[str, int],
    prune: bool = False,
) -> list[Change]:
    """Return the changes that turn the current objects into the desired ones.

    :param current: objects of the configuration in force
    :param desired: objects of the new configuration
    :param revisions: current revision of each object, by ``kind/name``
    :param prune: whether current objects that are not desired are deleted
    """
    current_by_key = {(value.kind, value.name): value for value in current}
    desired_by_key = {(value.kind, value.name): value for value in desired}
    changes = [
        Change(kind, name, value, revisions.get(f"{kind}/{name}", 0))
        for (kind, name), value in desired_by_key.items()
        if current_by_key.get((kind, name)) != value
    ]
    if prune:
        changes += [
            Change(kind, name, None, revisions.get(f"{kind}/{name}", 0))
            for kind, name in current_by_key
            if (kind, name) not in desired_by_key
        ]
    return changes
