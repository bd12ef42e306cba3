"""Writing of configuration changes to the platform's store."""

from __future__ import annotations

import json
import random
from collections.abc import Sequence
from datetime import UTC, datetime

import attrs
from absl import logging

from ..exception import ChangeUnknown, ConfigError, ConflictError, StoreUnavailable
from ..keyspace import Keyspace
from ..store import Compare, Delete, Put, Store
from .check import check_objects
from .document import Change
from .replica import Record, decode_record, encode_record

__all__ = ["ConfigWriter", "Written"]

ATTEMPTS = 3
REMEMBERED_CHANGES = 64
CHANGE_ID_BITS = 96


@attrs.frozen
class Written:
    """An accepted change.

    :param revision: the store's revision at which it is in force
    :param change_id: its identifier
    """

    revision: int
    change_id: str


@attrs.frozen
class _Head:
    revision: int
    changes: dict[str, int]


class ConfigWriter:
    """Applies changes by compare-and-swap.

    Every change also writes one head key and compares its revision, so the whole
    configuration that was checked is the one that the change is applied to. The head names
    the newest changes, so that an answer lost after the write took effect is settled by
    reading.

    :param store: the platform's store
    :param keyspace: its keys
    :param rng: random source for identifiers
    """

    def __init__(self, store: Store, keyspace: Keyspace, rng: random.Random):
        self.store = store
        self.keyspace = keyspace
        self.rng = rng

    async def apply(
        self, changes: Sequence[Change], changed_by: str, conditions: Sequence[Compare] = ()
    ) -> Written:
        """Apply all changes or none.

        :param changes: at most one for each object
        :param changed_by: name of the operator
        :param conditions: further conditions under which the changes may be made
        :raises ConflictError: if an object was changed after it was read
        :raises InvalidConfig: if the configuration would not hold together
        :raises StoreUnavailable: if the store does not answer; nothing was changed
        :raises ChangeUnknown: if it stopped to answer once the change was sent
        """
        change_id = f"{self.rng.getrandbits(CHANGE_ID_BITS):024x}"
        sent = False
        for _ in range(ATTEMPTS):
            try:
                written = await self._try(changes, changed_by, change_id, conditions)
            except ChangeUnknown:
                sent = True
                continue
            except StoreUnavailable:
                if not sent:
                    raise
                continue
            if written is not None:
                for change in changes:
                    logging.info(
                        "decision=config change=%s object=%s by=%s reason=accepted revision=%d",
                        change_id,
                        change.key,
                        changed_by,
                        written.revision,
                    )
                return written
        if sent:
            raise ChangeUnknown("the store stopped to answer once the change was sent")
        raise StoreUnavailable("other changes kept getting in between; try again")

    async def _try(
        self,
        changes: Sequence[Change],
        changed_by: str,
        change_id: str,
        conditions: Sequence[Compare],
    ) -> Written | None:
        head = await self._read_head()
        if change_id in head.changes:
            return Written(head.changes[change_id] or head.revision, change_id)
        records = await self._read_records()
        for change in changes:
            _check_seen(change, records.get(change.key))
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
    ) -> Written | None:
        now = datetime.now(UTC).isoformat(timespec="seconds")
        compares = [Compare(self.keyspace.head, head.revision), *conditions]
        writes: list[Put | Delete] = []
        for change in changes:
            key = self.keyspace.config_key(change.kind, change.name)
            if change.value is None:
                writes.append(Delete(key))
            else:
                record = Record(
                    change.kind, change.name, 0, change.value, changed_by, now, change_id
                )
                writes.append(Put(key, encode_record(record)))
        recent = [*head.changes, change_id][-REMEMBERED_CHANGES:]
        writes.append(Put(self.keyspace.head, json.dumps(recent).encode()))
        try:
            result = await self.store.commit(compares, writes)
        except StoreUnavailable as error:
            raise ChangeUnknown(str(error)) from None
        return Written(result.revision, change_id) if result.ok else None

    async def _read_head(self) -> _Head:
        snapshot = await self.store.read(self.keyspace.head)
        for entry in snapshot.entries:
            if entry.key == self.keyspace.head:
                changes = dict.fromkeys(json.loads(entry.value), 0)
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


def _check_seen(change: Change, held: Record | None) -> None:
    current = held.revision if held else 0
    if current != change.seen:
        who = (held.changed_by, held.changed_at) if held else ("", "")
        raise ConflictError(change.key, change.seen, current, *who)
