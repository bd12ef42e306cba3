"""A daemon's copy of the configuration, object by object at the highest revision seen."""

from __future__ import annotations

import hmac
import json
from collections.abc import Iterable
from typing import Any

import attrs

from ..exception import ConfigError
from .objects import AccessKey, ConfigObject, structure_object, unstructure_object

__all__ = ["ConfigReplica", "Record", "decode_record", "encode_record"]


@attrs.frozen
class Record:
    """One object at one revision.

    :param kind: kind of the object
    :param name: name of the object
    :param revision: the store's revision of its last change
    :param value: the object, or None once it is deleted
    :param changed_by: operator that made the change
    :param changed_at: when, as ISO 8601 text
    :param change_id: identifier of the change
    """

    kind: str
    name: str
    revision: int
    value: ConfigObject | None
    changed_by: str = ""
    changed_at: str = ""
    change_id: str = ""

    @property
    def key(self) -> str:
        """Return ``kind/name``."""
        return f"{self.kind}/{self.name}"


def encode_record(record: Record) -> bytes:
    """Return the store's value for a record."""
    fields: dict[str, Any] = {
        "object": None if record.value is None else unstructure_object(record.value),
        "changed_by": record.changed_by,
        "changed_at": record.changed_at,
        "change_id": record.change_id,
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_record(kind: str, name: str, revision: int, data: bytes | None) -> Record:
    """Return the record for a store's value, a tombstone if there is none.

    :raises ConfigError: if the value cannot be read
    """
    if data is None:
        return Record(kind, name, revision, None)
    try:
        fields = json.loads(data)
        raw = fields["object"]
        value = None if raw is None else structure_object(kind, raw)
        return Record(
            kind,
            name,
            revision,
            value,
            str(fields.get("changed_by", "")),
            str(fields.get("changed_at", "")),
            str(fields.get("change_id", "")),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ConfigError(f"{kind}/{name}: unreadable value: {error}") from None


class ConfigReplica:
    """The newest known record of each object, deleted ones included.

    A record is taken only if its revision is higher than the one held, so late, doubled or
    reordered news never takes an object back.

    >>> from .objects import Pool
    >>> replica = ConfigReplica()
    >>> replica.apply(Record("pool", "a", 5, Pool("a")))
    True
    >>> replica.apply(Record("pool", "a", 4, None))
    False
    """

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.revision = 0
        self.base = 0
        self.keys_by_digest: dict[str, AccessKey] = {}
        self.generation = 0

    def apply(self, record: Record) -> bool:
        """Take a record if it is newer than the one held; return whether it was taken."""
        held = self.records.get(record.key)
        if held is not None and held.revision >= record.revision:
            return False
        self.records[record.key] = record
        self.generation += 1
        if record.kind == AccessKey.kind:
            self._index_key(held, record)
        return True

    def advance(self, revision: int) -> None:
        """Note that everything up to a store revision has been taken."""
        self.revision = max(self.revision, revision)

    def apply_snapshot(self, records: Iterable[Record], revision: int) -> None:
        """Take a full read of the store, with a tombstone for each object it lacks.

        :param records: all objects at the time of the read
        :param revision: the store's revision at the time of the read
        """
        present = set()
        for record in records:
            present.add(record.key)
            self.apply(record)
        for key, held in list(self.records.items()):
            if key not in present and held.value is not None and held.revision <= revision:
                self.apply(Record(held.kind, held.name, revision, None))
        self.advance(revision)
        self.base = max(self.base, revision)

    def changes_since(self, revision: int) -> tuple[list[Record], bool]:
        """Return what a replica at a revision lacks.

        :returns: the records of later revisions with their tombstones and False; or all
            objects and True, if deletions after that revision may not be known here
        """
        if revision < self.base:
            present = [record for record in self.records.values() if record.value is not None]
            return present, True
        return [record for record in self.records.values() if record.revision > revision], False

    def get(self, kind: str, name: str) -> Any:
        """Return an object, or None if there is none."""
        record = self.records.get(f"{kind}/{name}")
        return record.value if record else None

    def revision_of(self, kind: str, name: str) -> int:
        """Return the revision of an object in force, 0 if there is none."""
        record = self.records.get(f"{kind}/{name}")
        return record.revision if record and record.value is not None else 0

    def all(self, kind: str) -> list[Any]:
        """Return the objects of a kind, ordered by name."""
        found = [
            record.value
            for record in self.records.values()
            if record.kind == kind and record.value is not None
        ]
        return sorted(found, key=lambda value: value.name)

    def objects(self) -> list[ConfigObject]:
        """Return all objects in force."""
        return [record.value for record in self.records.values() if record.value is not None]

    def find_key(self, digest: str) -> AccessKey | None:
        """Return the access key with a digest, unless it is withdrawn."""
        key = self.keys_by_digest.get(digest)
        if key is None or key.withdrawn or not hmac.compare_digest(key.digest, digest):
            return None
        return key

    def _index_key(self, held: Record | None, record: Record) -> None:
        if held is not None and isinstance(held.value, AccessKey):
            self.keys_by_digest.pop(held.value.digest, None)
        if isinstance(record.value, AccessKey):
            self.keys_by_digest[record.value.digest] = record.value
