"""Transactional writes of configuration changes to the platform's store."""

from __future__ import annotations

import json
import random
from collections.abc import Sequence
from datetime import UTC, datetime

import attrs
from absl import logging

from ..exception import ChangeUnknown, ConfigError, ConflictError, StoreUnavailable
from ..json_decoding import parse_json
from ..keyspace import Keyspace
from ..store import Compare, Delete, Put, Store
from .check import check_objects
from .document import Change
from .replica import Record, decode_record, encode_record

__all__ = ["AppliedChange", "ConfigWriter"]

#: attempts to commit a change, in case concurrent changes interfere or an answer is lost
MAX_ATTEMPTS = 3
#: number of newest change identifiers that the head key lists
MAX_RECENT_CHANGES = 64
CHANGE_ID_BITS = 96


@attrs.frozen
class AppliedChange:
    """The result of changes that were applied together.

    :param revision: store revision from which they are in force
    :param change_id: identifier that the changes share
    """

    revision: int
    change_id: str


@attrs.frozen
class _Head:
    """The head key.

    :param revision: store revision of the key, 0 if it does not exist
    :param changes: identifiers of the newest changes, oldest first, each with 0 in place of its
        revision, which the key does not store
    """

    revision: int
    changes: dict[str, int]


class ConfigWriter:
    """Applies changes by compare-and-swap.

    Every change also writes the head key and compares its revision, so that a change is applied
    only to the configuration that it was validated against. The head key lists the newest
    changes: if the store's answer to a commit is lost, reading this list tells whether the change
    was applied.

    :param store: the platform's store
    :param keyspace: key names in the store
    :param rng: random source for change identifiers
    """

    def __init__(self, store: Store, keyspace: Keyspace, rng: random.Random):
        self.store = store
        self.keyspace = keyspace
        self.rng = rng

    async def apply(
        self, changes: Sequence[Change], changed_by: str, conditions: Sequence[Compare] = ()
    ) -> AppliedChange:
        """Apply all changes atomically.

        :param changes: the changes, at most one for each object
        :param changed_by: name of the operator
        :param conditions: further comparisons that must hold in the same transaction
        :raises ConflictError: if an object has changed since the base revision of its change
        :raises InvalidConfig: if the resulting configuration would be inconsistent
        :raises StoreUnavailable: if the store does not answer, or concurrent changes interfered
            in every attempt; nothing was changed
        :raises ChangeUnknown: if the store stopped answering after a commit was sent, so that the
            outcome is unknown
        """
        change_id = f"{self.rng.getrandbits(CHANGE_ID_BITS):024x}"
        commit_sent = False
        for _ in range(MAX_ATTEMPTS):
            try:
                applied = await self._attempt(changes, changed_by, change_id, conditions)
            except ChangeUnknown:
                commit_sent = True
                continue
            except StoreUnavailable:
                if not commit_sent:
                    raise
                continue
            if applied is not None:
                for change in changes:
                    logging.info(
                        "decision=config change=%s object=%s by=%s reason=accepted revision=%d",
                        change_id,
                        change.key,
                        changed_by,
                        applied.revision,
                    )
                return applied
        if commit_sent:
            raise ChangeUnknown("the store stopped answering after the change was sent")
        raise StoreUnavailable("concurrent changes interfered in every attempt; try again")

    async def _attempt(
        self,
        changes: Sequence[Change],
        changed_by: str,
        change_id: str,
        conditions: Sequence[Compare],
    ) -> AppliedChange | None:
        head = await self._read_head()
        if change_id in head.changes:
            return AppliedChange(head.changes[change_id] or head.revision, change_id)
        records = await self._read_records()
        for change in changes:
            _check_base_revision(change, records.get(change.key))
        objects = {key: record.value for key, record in records.items() if record.value is not None}
        for change in changes:
            if change.value is None:
                objects.pop(change.key, None)
            else:
                objects[change.key] = change.value
        check_objects(objects.values())
        return await self._commit(changes, changed_by, change_id, head, conditions)

    async def _commit(
        self,
        changes: Sequence[Change],
        changed_by: str,
        change_id: str,
        head: _Head,
        conditions: Sequence[Compare],
    ) -> AppliedChange | None:
        changed_at = datetime.now(UTC).isoformat(timespec="seconds")
        compares = [Compare(self.keyspace.head, head.revision), *conditions]
        writes: list[Put | Delete] = []
        for change in changes:
            key = self.keyspace.config_key(change.kind, change.name)
            if change.value is None:
                writes.append(Delete(key))
            else:
                record = Record(
                    change.kind, change.name, 0, change.value, changed_by, changed_at, change_id
                )
                writes.append(Put(key, encode_record(record)))
        recent_changes = [*head.changes, change_id][-MAX_RECENT_CHANGES:]
        writes.append(Put(self.keyspace.head, json.dumps(recent_changes).encode()))
        try:
            result = await self.store.commit(compares, writes)
        except StoreUnavailable as error:
            raise ChangeUnknown(str(error)) from None
        return AppliedChange(result.revision, change_id) if result.ok else None

    async def _read_head(self) -> _Head:
        snapshot = await self.store.read(self.keyspace.head)
        for entry in snapshot.entries:
            if entry.key == self.keyspace.head:
                changes = dict.fromkeys(parse_json(entry.value), 0)
                return _Head(entry.revision, changes)
        return _Head(0, {})

    async def _read_records(self) -> dict[str, Record]:
        snapshot = await self.store.read(self.keyspace.config)
        records = {}
        for entry in snapshot.entries:
            kind, name = self.keyspace.parse_config_key(entry.key)
            try:
                record = decode_record(kind, name, entry.revision, entry.value)
            except ConfigError as error:
                logging.error("decision=config-skip reason=unreadable detail=%r", str(error))
                continue
            records[record.key] = record
        return records


def _check_base_revision(change: Change, stored: Record | None) -> None:
    current_revision = stored.revision if stored else 0
    if current_revision != change.base_revision:
        author_and_time = (stored.changed_by, stored.changed_at) if stored else ("", "")
        raise ConflictError(change.key, change.base_revision, current_revision, *author_and_time)
