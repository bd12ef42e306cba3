"""Store client for the JSON gateway of the etcd v3 API."""

from __future__ import annotations

import base64
import json
from collections.abc import AsyncIterator, Sequence
from typing import Any

import httpcore

from ..exception import StoreError, StoreUnavailable
from ..json_decoding import parse_json
from .store import Compare, Delete, Entry, Event, Put, Snapshot, TxnResult

__all__ = ["EtcdStore"]

CALL_TIMEOUT_SECONDS = 2.0
MAX_CONNECTIONS = 8
#: time without data after which a watch is reopened, in seconds: its connection may be dead without
#: having been closed while new connections work
WATCH_IDLE_SECONDS = 8.0


class EtcdStore:
    """A :class:`~limpetpulley.store.Store` behind an etcd v3 JSON gateway.

    :param url: base address of the gateway, such as ``http://127.0.0.1:2379``
    :param timeout: timeout of a call, in seconds
    :param watch_idle_timeout: time without data after which a watch is reopened, in seconds
    """

    def __init__(
        self,
        url: str,
        timeout: float = CALL_TIMEOUT_SECONDS,
        watch_idle_timeout: float = WATCH_IDLE_SECONDS,
    ):
        self.url = url.rstrip("/")
        self.timeout = timeout
        self.watch_idle_timeout = watch_idle_timeout
        self.keepalive_pool = httpcore.AsyncConnectionPool(max_connections=MAX_CONNECTIONS)
        self.fresh_pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, max_keepalive_connections=0
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self.keepalive_pool.aclose()
        await self.fresh_pool.aclose()

    async def read(self, prefix: str) -> Snapshot:
        """Return all entries whose keys have a prefix, always over a new connection."""
        answer = await self._call(
            self.fresh_pool,
            "/v3/kv/range",
            {"key": _encode_text(prefix), "range_end": _encode_range_end(prefix)},
        )
        return Snapshot(_decode_entries(answer), _decode_revision(answer))

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if there is none."""
        answer = await self._call(self.keepalive_pool, "/v3/kv/range", {"key": _encode_text(key)})
        return next(iter(_decode_entries(answer)), None)

    async def commit(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply all writes in one transaction if all conditions hold."""
        body = {
            "compare": [
                {
                    "key": _encode_text(compare.key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "modRevision": str(compare.revision),
                }
                for compare in compares
            ],
            "success": [_encode_write(write) for write in writes],
        }
        answer = await self._call(self.keepalive_pool, "/v3/kv/txn", body)
        return TxnResult(bool(answer.get("succeeded")), _decode_revision(answer))

    async def grant_lease(self, seconds: float) -> int:
        """Grant a lease, whose duration is rounded up to whole seconds; return its identifier."""
        answer = await self._call(
            self.keepalive_pool, "/v3/lease/grant", {"TTL": str(int(-(-seconds // 1)))}
        )
        return int(answer["ID"])

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease and return whether it still existed."""
        answer = await self._call(self.keepalive_pool, "/v3/lease/keepalive", {"ID": str(lease)})
        return int(answer.get("result", {}).get("TTL", 0)) > 0

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys attached to it."""
        await self._call(self.keepalive_pool, "/v3/lease/revoke", {"ID": str(lease)})

    async def watch(self, prefix: str, after: int) -> AsyncIterator[list[Event]]:
        """Yield the changes of keys with a prefix after a revision, in order."""
        while True:
            try:
                async for events in self._watch_once(prefix, after):
                    after = max(after, events[-1].revision)
                    yield events
                return
            except httpcore.ReadTimeout:
                continue
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ) as error:
                raise StoreUnavailable(f"the watch failed: {error!r}") from None

    async def _watch_once(self, prefix: str, after: int) -> AsyncIterator[list[Event]]:
        body = {
            "create_request": {
                "key": _encode_text(prefix),
                "range_end": _encode_range_end(prefix),
                "start_revision": str(after + 1),
            }
        }
        timeout = {
            "connect": self.timeout,
            "write": self.timeout,
            "read": self.watch_idle_timeout,
            "pool": None,
        }
        async with self.fresh_pool.stream(
            "POST",
            self.url + "/v3/watch",
            headers={"content-type": "application/json"},
            content=json.dumps(body).encode(),
            extensions={"timeout": timeout},
        ) as response:
            async for message in _read_messages(response):
                events = _decode_events(message)
                if events:
                    yield events

    async def _call(
        self, pool: httpcore.AsyncConnectionPool, path: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        timeout = dict.fromkeys(("connect", "write", "read", "pool"), self.timeout)
        try:
            response = await pool.request(
                "POST",
                self.url + path,
                headers={"content-type": "application/json"},
                content=json.dumps(body).encode(),
                extensions={"timeout": timeout},
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            raise StoreUnavailable(f"no response from the store: {error!r}") from None
        if response.status >= 500:
            raise StoreUnavailable(f"the store responded with status {response.status}")
        try:
            answer = parse_json(response.content.splitlines()[0] if response.content else b"{}")
        except ValueError:
            raise StoreUnavailable("the store's response is not JSON") from None
        if not isinstance(answer, dict):
            raise StoreUnavailable("the store's response is not a JSON object")
        if response.status >= 400:
            raise StoreError(
                f"the store rejected the request: {answer.get('message', response.status)}"
            )
        return answer


async def _read_messages(response: httpcore.Response) -> AsyncIterator[dict[str, Any]]:
    buffer = b""
    async for chunk in response.aiter_stream():
        buffer += chunk
        *lines, buffer = buffer.split(b"\n")
        for line in lines:
            if line.strip():
                try:
                    yield parse_json(line)
                except ValueError:
                    raise StoreUnavailable("the watch received a line that is not JSON") from None


def _decode_entries(answer: dict[str, Any]) -> tuple[Entry, ...]:
    return tuple(
        Entry(_decode_text(kv["key"]), _decode_bytes(kv.get("value", "")), int(kv["mod_revision"]))
        for kv in answer.get("kvs", [])
    )


def _decode_events(message: dict[str, Any]) -> list[Event]:
    result = message.get("result", {})
    if result.get("canceled") or "error" in message:
        raise StoreError(
            f"the store rejected the watch: {result.get('cancel_reason', message.get('error'))}"
        )
    events = []
    for event in result.get("events", []):
        kv = event["kv"]
        deleted = event.get("type") == "DELETE"
        value = None if deleted else _decode_bytes(kv.get("value", ""))
        events.append(Event(_decode_text(kv["key"]), value, int(kv["mod_revision"])))
    return events


def _encode_write(write: Put | Delete) -> dict[str, Any]:
    if isinstance(write, Delete):
        return {"requestDeleteRange": {"key": _encode_text(write.key)}}
    put = {"key": _encode_text(write.key), "value": base64.b64encode(write.value).decode()}
    if write.lease:
        put["lease"] = str(write.lease)
    return {"requestPut": put}


def _decode_revision(answer: dict[str, Any]) -> int:
    try:
        return int(answer["header"]["revision"])
    except (KeyError, TypeError, ValueError):
        raise StoreUnavailable("the store's response has no revision") from None


def _encode_text(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _encode_range_end(prefix: str) -> str:
    raw = prefix.encode()
    return base64.b64encode(raw[:-1] + bytes([raw[-1] + 1])).decode()


def _decode_bytes(text: str) -> bytes:
    return base64.b64decode(text)


def _decode_text(text: str) -> str:
    return base64.b64decode(text).decode()
