"""Emulator of the platform: a store with the etcd v3 JSON gateway's API, and a fleet of VMs."""

from __future__ import annotations

import base64
import json
import re
from collections import Counter
from typing import Any

import anyio
import attrs

from ..api.http import Receive, Scope, Send, read_body, send_json
from ..exception import ConfigError, StoreError
from ..store import Compare, Delete, Event, MemoryStore, Put
from .faults import Faults
from .fleet import MemoryFleet

__all__ = ["PlatformStandin"]

MAX_BODY_BYTES = 16 * 1024 * 1024
#: delay of store calls during an outage, and of lost answers, in seconds
OUTAGE_SECONDS = 3600.0
VM_PATH = re.compile(r"/vms/([a-z0-9.-]+)/(drain|reboot|checkpoint|throttle|stop|add|remove)")


class PlatformStandin:
    """ASGI application that emulates the platform and its faults.

    ``POST /faults`` sets faults; ``GET /counts`` returns the number of store calls by path.

    :param store: store that carries out the calls under ``/v3/``
    :param fleet: fleet of VMs that is listed and controlled
    """

    def __init__(self, store: MemoryStore, fleet: MemoryFleet):
        self.store = store
        self.fleet = fleet
        self.faults = Faults()
        self.counts: Counter[str] = Counter()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        path = scope["path"]
        body = await read_body(receive, MAX_BODY_BYTES)
        try:
            document = json.loads(body or b"{}")
            if path == "/faults":
                self.faults.change(document)
                self.fleet.list_lag_seconds = self.faults.list_lag_seconds
                await send_json(send, attrs.asdict(self.faults))
            elif path == "/counts":
                await send_json(send, dict(self.counts))
            elif path.startswith("/v3/"):
                await self._serve_store(path, document, receive, send)
            else:
                await self._serve_fleet(scope["method"], path, document, send)
        except (ValueError, KeyError, TypeError, ConfigError) as error:
            await send_json(send, {"message": f"bad request: {error!r}"}, 400)
        except StoreError as error:
            await send_json(send, {"message": str(error)}, 400)

    async def _serve_store(
        self, path: str, document: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        self.counts[path] += 1
        if self.faults.slow_seconds:
            await anyio.sleep(self.faults.slow_seconds)
        if self.faults.outage:
            await anyio.sleep(OUTAGE_SECONDS)
        if path == "/v3/watch":
            await self._watch(document["create_request"], send, receive)
            return
        response = await self._call_store(path, document)
        committed = path == "/v3/kv/txn" and response.get("succeeded")
        if committed and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            await anyio.sleep(OUTAGE_SECONDS)
        await send_json(send, response)

    async def _call_store(self, path: str, document: dict[str, Any]) -> dict[str, Any]:
        store = self.store
        match path:
            case "/v3/kv/range":
                key = _decode_text(document["key"])
                if "range_end" in document:
                    entries = (await store.read(key)).entries
                else:
                    found = await store.get(key)
                    entries = (found,) if found else ()
                kvs = [
                    {
                        "key": _encode_base64(entry.key.encode()),
                        "value": _encode_base64(entry.value),
                        "mod_revision": str(entry.revision),
                    }
                    for entry in entries
                ]
                return {"header": self._header(), "kvs": kvs, "count": str(len(kvs))}
            case "/v3/kv/txn":
                result = await store.commit(*_decode_txn(document))
                return {"header": self._header(), "succeeded": result.ok}
            case "/v3/lease/grant":
                lease = await store.grant_lease(float(document["TTL"]))
                return {"header": self._header(), "ID": str(lease), "TTL": document["TTL"]}
            case "/v3/lease/revoke":
                await store.revoke_lease(int(document["ID"]))
                return {"header": self._header()}
            case "/v3/lease/keepalive":
                alive = await store.renew_lease(int(document["ID"]))
                return {"result": {"ID": document["ID"], "TTL": "1" if alive else "0"}}
        raise KeyError(path)

    async def _watch(self, request: dict[str, Any], send: Send, receive: Receive) -> None:
        prefix, after = _decode_text(request["key"]), int(request.get("start_revision", "0")) - 1
        headers = [(b"content-type", b"application/json")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await _send_line(send, {"result": {"header": self._header(), "created": True}})

        async def cancel_on_disconnect() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_on_disconnect)
            async for events in self.store.watch(prefix, after):
                while self.faults.outage or self.faults.silent_watch:
                    await anyio.sleep(0.05)
                message = {
                    "header": self._header(),
                    "events": [_encode_event(event) for event in events],
                }
                await _send_line(send, {"result": message})

    async def _serve_fleet(
        self, method: str, path: str, document: dict[str, Any], send: Send
    ) -> None:
        fleet = self.fleet
        if path == "/vms":
            listed = await fleet.list_vms()
            await send_json(
                send, {"vms": [{"name": vm.name, "state": str(vm.state)} for vm in listed]}
            )
        elif path == "/usage":
            await send_json(send, {"running": await fleet.usage()})
        elif method == "POST" and (match := VM_PATH.fullmatch(path)):
            await send_json(send, await self._control_vm(match[1], match[2], document))
        else:
            await send_json(send, {"message": "not found"}, 404)

    async def _control_vm(self, vm: str, action: str, document: dict[str, Any]) -> dict[str, Any]:
        match action:
            case "add":
                self.fleet.get_or_add(vm)
            case "remove":
                self.fleet.remove(vm)
            case "checkpoint":
                return {"saved": await self.fleet.checkpoint(vm)}
            case "throttle":
                await self.fleet.throttle(vm, float(document["fraction"]))
            case _:
                await getattr(self.fleet, action)(vm)
        return {}

    def _header(self) -> dict[str, str]:
        return {"revision": str(self.store.revision)}


async def _send_line(send: Send, message: dict[str, Any]) -> None:
    line = json.dumps(message).encode() + b"\n"
    await send({"type": "http.response.body", "body": line, "more_body": True})


def _decode_txn(document: dict[str, Any]) -> tuple[list[Compare], list[Put | Delete]]:
    compares = [
        Compare(_decode_text(item["key"]), int(item["modRevision"]))
        for item in document.get("compare", [])
    ]
    writes: list[Put | Delete] = []
    for item in document.get("success", []):
        if "requestPut" in item:
            put = item["requestPut"]
            value = base64.b64decode(put.get("value", ""))
            writes.append(Put(_decode_text(put["key"]), value, int(put.get("lease", "0"))))
        else:
            writes.append(Delete(_decode_text(item["requestDeleteRange"]["key"])))
    return compares, writes


def _encode_event(event: Event) -> dict[str, Any]:
    kv = {"key": _encode_base64(event.key.encode()), "mod_revision": str(event.revision)}
    if event.value is None:
        return {"type": "DELETE", "kv": kv}
    return {"kv": {**kv, "value": _encode_base64(event.value)}}


def _encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _decode_text(data: str) -> str:
    return base64.b64decode(data).decode()
