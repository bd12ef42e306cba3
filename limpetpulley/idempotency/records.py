"""Records of keys as one holder keeps them."""

from __future__ import annotations

import enum
import heapq
from collections.abc import Iterable

import attrs

from ..clock import Clock
from ..exception import JobRefused

__all__ = ["KeyRecord", "KeyRecordTable", "KeyState"]

MAX_RECORDS = 200_000


class KeyState(enum.StrEnum):
    """What is known of the job behind a key."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    RELEASED = "released"


@attrs.define
class KeyRecord:
    """That a keyed job was claimed, and by whom.

    :param key: team, queue and key
    :param body_digest: digest of the body that came with it
    :param owner: member that runs the job
    :param job: identifier of the job
    :param state: what is known of it
    :param expires: when it may be forgotten, in seconds on the holder's clock
    """

    key: str
    body_digest: bytes
    owner: str
    job: str
    state: KeyState
    expires: float


class KeyRecordTable:
    """The records that one member holds.

    :param clock: the daemon's clock
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.records: dict[str, KeyRecord] = {}
        self.expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self.records)

    def claim(
        self, key: str, body_digest: bytes, owner: str, job: str, lifetime: float
    ) -> KeyRecord:
        """Return the record in force for a key, made by this call if there was none.

        :param lifetime: seconds for which the record must be kept
        :raises JobRefused: if no further record can be kept
        """
        self.expire()
        held = self.records.get(key)
        if held is not None and held.state is not KeyState.RELEASED:
            return held
        if len(self.records) >= MAX_RECORDS:
            raise JobRefused(503, "too-many-keys", "too many keys are recorded", retry_after=5)
        record = KeyRecord(
            key, body_digest, owner, job, KeyState.CLAIMED, self.clock.now() + lifetime
        )
        self._store(record)
        return record

    def settle(self, key: str, job: str, state: KeyState) -> None:
        """Note the outcome of the job that a record is for."""
        held = self.records.get(key)
        if held is None or held.job != job:
            return
        if state is KeyState.RELEASED:
            del self.records[key]
        else:
            held.state = state

    def put(self, records: Iterable[KeyRecord]) -> None:
        """Take records that another member held; an outcome replaces a claim."""
        for record in records:
            held = self.records.get(record.key)
            if held is None or (
                held.state is KeyState.CLAIMED and record.state is not KeyState.CLAIMED
            ):
                self._store(record)

    def all(self) -> list[KeyRecord]:
        """Return the records that have not expired."""
        self.expire()
        return list(self.records.values())

    def expire(self) -> None:
        """Forget the records whose time has passed."""
        now = self.clock.now()
        while self.expiries and self.expiries[0][0] <= now:
            _, key = heapq.heappop(self.expiries)
            held = self.records.get(key)
            if held is not None and held.expires <= now:
                del self.records[key]

    def _store(self, record: KeyRecord) -> None:
        self.records[record.key] = record
        heapq.heappush(self.expiries, (record.expires, record.key))
