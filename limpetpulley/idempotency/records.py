"""Records of idempotency keys, as kept by one holder."""

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
    """What is known about the job that was submitted with a key."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    RELEASED = "released"


@attrs.define
class KeyRecord:
    """Claim of a key by the member that runs the job, and the outcome of the job.

    :param key: team, queue and idempotency key
    :param body_digest: digest of the request body
    :param owner: member that runs the job
    :param job: identifier of the job
    :param state: what is known about the job
    :param expires: when the record may be deleted, in seconds on the holder's clock
    """

    key: str
    body_digest: bytes
    owner: str
    job: str
    state: KeyState
    expires: float


class KeyRecordTable:
    """The key records that one member holds.

    :param clock: the daemon's clock
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.records: dict[str, KeyRecord] = {}
        self.expiry_heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self.records)

    def claim(
        self, key: str, body_digest: bytes, owner: str, job: str, lifetime: float
    ) -> KeyRecord:
        """Claim a key unless another job holds it; return the record in force.

        :param key: team, queue and idempotency key
        :param body_digest: digest of the request body
        :param owner: member that wants to run the job
        :param job: identifier of the job
        :param lifetime: seconds for which the record must be kept
        :raises JobRefused: if the table is full
        """
        self.expire()
        existing = self.records.get(key)
        if existing is not None and existing.state is not KeyState.RELEASED:
            return existing
        if len(self.records) >= MAX_RECORDS:
            raise JobRefused(503, "too-many-keys", "too many keys are recorded", retry_after=5)
        record = KeyRecord(
            key, body_digest, owner, job, KeyState.CLAIMED, self.clock.now() + lifetime
        )
        self._store(record)
        return record

    def settle(self, key: str, job: str, state: KeyState) -> None:
        """Record the outcome of a job; ignored unless the job holds the key.

        :param state: outcome; RELEASED deletes the record, so that the key can be claimed again
        """
        existing = self.records.get(key)
        if existing is None or existing.job != job:
            return
        if state is KeyState.RELEASED:
            del self.records[key]
        else:
            existing.state = state

    def put(self, records: Iterable[KeyRecord]) -> None:
        """Merge records that another member held; an outcome replaces a claim."""
        for record in records:
            existing = self.records.get(record.key)
            if existing is None or (
                existing.state is KeyState.CLAIMED and record.state is not KeyState.CLAIMED
            ):
                self._store(record)

    def all(self) -> list[KeyRecord]:
        """Return the records that have not expired."""
        self.expire()
        return list(self.records.values())

    def expire(self) -> None:
        """Delete the records that have expired."""
        now = self.clock.now()
        while self.expiry_heap and self.expiry_heap[0][0] <= now:
            _, key = heapq.heappop(self.expiry_heap)
            existing = self.records.get(key)
            if existing is not None and existing.expires <= now:
                del self.records[key]

    def _store(self, record: KeyRecord) -> None:
        self.records[record.key] = record
        heapq.heappush(self.expiry_heap, (record.expires, record.key))
