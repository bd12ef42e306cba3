"""Client of the platform's store that implements the project's store interface."""

from __future__ import annotations

import base64
import binascii
from collections.abc import AsyncIterator, Sequence
from typing import Any
from urllib.parse import quote

from ..exception import RecordError, StoreError, StoreRefused, StoreUnavailable
from ..http_client import HttpResponse
from ..json_decoding import get_int, get_list, get_str, parse_object
from ..store import Compare, Delete, Entry, Event, Put, Snapshot, Transfers, TxnResult, read_purpose
from .config import MILLISECONDS

__all__ = ["PlatformStore"]

#: timeout of a call, in seconds
CALL_TIMEOUT_SECONDS = 1.5
#: time that a watch request waits for a change, in seconds; a lost one is noticed after it and the
#: margin, which together are less than the time in which a change must be in force
WATCH_WAIT_SECONDS = 0.6
#: time allowed for the response to a watch request in addition to its wait, in seconds
MARGIN_SECONDS = 1.0
OK, NOT_FOUND, GONE, CONDITION_FAILED = 200, 404, 410, 412
TOO_MANY, UNAVAILABLE = 429, 503


class PlatformStore:
    """A :class:`~limpetpulley.store.Store` on the platform.

    :param transfers: sends the calls
    """

    def __init__(self, transfers: Transfers):
        self.transfers = transfers

    async def read(self, prefix: str) -> Snapshot:
        """Return all entries whose keys have a prefix; the pages may be of different revisions.

        The revision is that of the first page, so that a watch from it misses no change.
        """
        entries: dict[str, Entry] = {}
        revision, after = 0, ""
        while True:
            target = f"/api/kv-range?pathPrefix={quote(prefix, safe='')}"
            if after:
                target += f"&after={quote(after, safe='')}"
            page = _read_body(await self._call(read_purpose(prefix), "GET", target), OK)
            revision = revision or get_int(page, "currentRev")
            for item in get_list(page, "items"):
                entry = _decode_entry(item)
                entries[entry.key] = entry
                after = entry.key
            if not page.get("morePages"):
                return Snapshot(tuple(entries.values()), revision)

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if there is none."""
        answer = await self._call("get", "GET", f"/api/kv-key?key={quote(key, safe='')}")
        return None if answer.status == NOT_FOUND else _decode_entry(_read_body(answer, OK))

    async def commit(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply all writes in one transaction if all conditions hold."""
        body = {
            "expected": [{"key": item.key, "revision": item.revision} for item in compares],
            "writes": [_encode_put(write) for write in writes if isinstance(write, Put)],
            # Here "remove" lists keys to delete; elsewhere on the platform it lists removed routes.
            "remove": [write.key for write in writes if isinstance(write, Delete)],
        }
        answer = await self._call("commit", "POST", "/api/kv-txn", body)
        if answer.status == CONDITION_FAILED:
            return TxnResult(False, 0)
        return TxnResult(True, get_int(_read_body(answer, OK), "revision"))

    async def grant_lease(self, seconds: float) -> int:
        """Grant a lease and return its identifier."""
        body = {"ttlMs": int(seconds * MILLISECONDS)}
        answer = await self._call("lease", "POST", "/api/kv-lease", body)
        return get_int(_read_body(answer, OK), "lease")

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease and return whether it still existed."""
        answer = await self._call("lease", "POST", f"/api/kv-keep/{lease}")
        if answer.status == NOT_FOUND:
            return False
        _read_body(answer, OK)
        return True

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys attached to it."""
        answer = await self._call("lease", "DELETE", f"/api/kv-lease-end/{lease}")
        if answer.status != NOT_FOUND:
            _check_status(answer, OK)

    async def watch(self, prefix: str, after: int) -> AsyncIterator[list[Event]]:
        """Yield the changes of keys with a prefix after a revision, in order."""
        base = f"/api/kv-watch?pathPrefix={quote(prefix, safe='')}"
        seconds = WATCH_WAIT_SECONDS + MARGIN_SECONDS
        while True:
            target = f"{base}&after={after}&waitMs={int(WATCH_WAIT_SECONDS * MILLISECONDS)}"
            answer = await self._call(f"watch {prefix}", "GET", target, seconds=seconds)
            if answer.status == GONE:
                raise StoreError(f"changes after revision {after} are no longer available")
            page = _read_body(answer, OK)
            after = get_int(page, "currentRev")
            yield [_decode_event(item) for item in get_list(page, "events")]

    async def _call(
        self,
        purpose: str,
        method: str,
        target: str,
        body: Any = None,
        seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> HttpResponse:
        answer = await self.transfers.request(purpose, method, target, body, seconds)
        if answer.status in (TOO_MANY, UNAVAILABLE):
            raise StoreRefused(f"the store returned status {answer.status}")
        return answer


def _check_status(answer: HttpResponse, expected: int) -> None:
    if answer.status != expected:
        raise StoreError(f"the store returned status {answer.status}: {answer.content[:200]!r}")


def _read_body(answer: HttpResponse, expected: int) -> dict[str, Any]:
    _check_status(answer, expected)
    try:
        return parse_object(answer.content)
    except RecordError as error:
        raise StoreUnavailable(f"cannot read the store's response: {error}") from None


def _decode_entry(item: dict[str, Any]) -> Entry:
    try:
        value = base64.b64decode(get_str(item, "value"), validate=True)
        return Entry(get_str(item, "key"), value, get_int(item, "revision"))
    except (RecordError, binascii.Error) as error:
        raise StoreUnavailable(f"cannot read the store's response: {error}") from None


def _decode_event(item: dict[str, Any]) -> Event:
    if item.get("deleted"):
        return Event(get_str(item, "key"), None, get_int(item, "revision"))
    entry = _decode_entry(item)
    return Event(entry.key, entry.value, entry.revision)


def _encode_put(write: Put) -> dict[str, Any]:
    put: dict[str, Any] = {
        "key": write.key,
        "value": base64.b64encode(write.value).decode(),
    }
    if write.lease:
        put["lease"] = write.lease
    return put
