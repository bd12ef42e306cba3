"""A daemon's replica of the configuration: each object at the highest revision received."""

from __future__ import annotations

import hmac
import json
from collections.abc import Iterable
from typing import Any

import attrs

from ..exception import ConfigError
from ..json_decoding import parse_json
from .objects import AccessKey, ConfigObject, structure_object, unstructure_object

__all__ = ["ConfigReplica", "Record", "decode_record", "encode_record"]


@attrs.frozen
class Record:
    """A configuration object at one revision.

    :param kind: kind of the object
    :param name: name of the object
    :param revision: store revision of its last change
    :param value: the object, or None for a tombstone of a deleted object
    :param changed_by: operator that made the change
    :param changed_at: time of the change, as ISO 8601 text
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
    """Serialize a record into its value in the store."""
    fields: dict[str, Any] = {
        "object": None if record.value is None else unstructure_object(record.value),
        "changed_by": record.changed_by,
        "changed_at": record.changed_at,
        "change_id": record.change_id,
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_record(kind: str, name: str, revision: int, data: bytes | None) -> Record:
    """Parse a record from its value in the store.

    :param data: the value, or None if the object is deleted, which makes the record a tombstone
    :raises ConfigError: if the value is malformed
    """
    if data is None:
        return Record(kind, name, revision, None)
    try:
        fields = parse_json(data)
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
        raise ConfigError(f"{kind}/{name}: malformed value: {error}") from None


class ConfigReplica:
    """The newest known record of each object, with tombstones for deleted objects.

    A record is applied only if its revision is higher than the stored one, so that delayed,
    duplicated or reordered updates never revert an object.

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
        self.snapshot_revision = 0
        self.keys_by_digest: dict[str, AccessKey] = {}
        self.generation = 0

    def apply(self, record: Record) -> bool:
        """Apply a record if it is newer than the stored one; return whether it was applied."""
        stored = self.records.get(record.key)
        if stored is not None and stored.revision >= record.revision:
            return False
        self.records[record.key] = record
        self.generation += 1
        if record.kind == AccessKey.kind:
            self._index_key(stored, record)
        return True

    def advance(self, revision: int) -> None:
        """Record that all changes up to a store revision have been applied."""
        self.revision = max(self.revision, revision)

    def apply_snapshot(self, records: Iterable[Record], revision: int) -> None:
        """Apply a full read of the store; objects that it does not contain become tombstones.

        :param records: all objects at the time of the read
        :param revision: store revision at the time of the read
        """
        present = set()
        for record in records:
            present.add(record.key)
            self.apply(record)
        for key, stored in list(self.records.items()):
            if key not in present and stored.value is not None and stored.revision <= revision:
                self.apply(Record(stored.kind, stored.name, revision, None))
        self.advance(revision)
        self.snapshot_revision = max(self.snapshot_revision, revision)

    def changes_since(self, revision: int) -> tuple[list[Record], bool]:
        """Return the changes since a revision.

        :returns: the records of later revisions, tombstones included, and False; or the records of
            all objects and True, if this replica may not know all deletions since that revision
        """
        if revision < self.snapshot_revision:
            present = [record for record in self.records.values() if record.value is not None]
            return present, True
        return [record for record in self.records.values() if record.revision > revision], False

    def get(self, kind: str, name: str) -> Any:
        """Return an object, or None if it does not exist."""
        record = self.records.get(f"{kind}/{name}")
        return record.value if record else None

    def revision_of(self, kind: str, name: str) -> int:
        """Return the revision of an object, 0 if it does not exist."""
        record = self.records.get(f"{kind}/{name}")
        return record.revision if record and record.value is not None else 0

    def all(self, kind: str) -> list[Any]:
        """Return the objects of a kind, ordered by name."""
        values = [
            record.value
            for record in self.records.values()
            if record.kind == kind and record.value is not None
        ]
        return sorted(values, key=lambda value: value.name)

    def objects(self) -> list[ConfigObject]:
        """Return all objects that are not deleted."""
        return [record.value for record in self.records.values() if record.value is not None]

    def find_key(self, digest: str) -> AccessKey | None:
        """Return the access key with a digest, or None if there is none or it is withdrawn."""
        key = self.keys_by_digest.get(digest)
        if key is None or key.withdrawn or not hmac.compare_digest(key.digest, digest):
            return None
        return key

    def _index_key(self, stored: Record | None, record: Record) -> None:
        if stored is not None and isinstance(stored.value, AccessKey):
            self.keys_by_digest.pop(stored.value.digest, None)
        if isinstance(record.value, AccessKey):
            self.keys_by_digest[record.value.digest] = record.value
