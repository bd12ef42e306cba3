"""A stand-in for the users' platform: store, workers and VMs behind the platform's HTTP calls."""

import base64
import json
import urllib.parse

import anyio

from ...api.http import send_bytes
from ...exception import NotOwnerError, StoreError
from ...store import Compare, Delete, MemoryStore, Put
from ...workers import StartOrder, StartOutcome, StopOrder
from ..workers import decode_task, encode_task

PAGE_ITEMS = 3
REASONS_BY_OUTCOME = {
    StartOutcome.OLD_RUN: "old",
    StartOutcome.LATE: "late",
    StartOutcome.NO_ROOM: "room",
}


class PlatformStandin:
    """An ASGI application; :attr:`answers` holds responses that replace the next regular ones."""

    def __init__(self, clock=None):
        self.store = MemoryStore(clock)
        self.page_items = PAGE_ITEMS
        self.workers = {}
        self.machines = []
        self.orders = []
        self.answers = []
        self.requests = []

    async def __call__(self, scope, receive, send):
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        self.requests.append((scope["method"], scope["path"], query, headers, body))
        if self.answers:
            replacement = self.answers.pop(0)
            if replacement == "silence":
                await anyio.sleep(30.0)
            status, content = replacement
            await send_bytes(send, status, content, b"application/json")
            return
        document = json.loads(body) if body else {}
        status, answer = await self.answer(scope["path"], query, headers, document)
        await send_bytes(send, status, json.dumps(answer).encode(), b"application/json")

    async def answer(self, path, query, headers, document):
        name = path.split("/")[2]
        if name.startswith("kv-"):
            return await getattr(self, name.replace("-", "_"))(path, query, document)
        if name.startswith("machine-"):
            self.orders.append((name, headers, document))
            return 200, {}
        if name == "machines":
            first = int(query.get("pageToken", "0"))
            page = self.machines[first : first + PAGE_ITEMS]
            more = first + PAGE_ITEMS < len(self.machines)
            return 200, {
                "machines": page,
                "nextToken": str(first + PAGE_ITEMS) if more else None,
            }
        worker = self.workers.get(headers.get("expect-instance"))
        if worker is None:
            return 421, {}
        return await getattr(self, name.replace("-", "_"))(worker, document)

    # The store

    async def kv_key(self, path, query, document):
        entry = await self.store.get(query["key"])
        if entry is None:
            return 404, {"currentRev": self.store.revision}
        return 200, self.encode_entry(entry)

    async def kv_range(self, path, query, document):
        snapshot = await self.store.read(query["pathPrefix"])
        entries = [entry for entry in snapshot.entries if entry.key > query.get("after", "")]
        return 200, {
            "items": [self.encode_entry(entry) for entry in entries[: self.page_items]],
            "morePages": len(entries) > self.page_items,
            "currentRev": self.store.revision,
        }

    async def kv_watch(self, path, query, document):
        after = int(query["after"])
        with anyio.move_on_after(int(query["waitMs"]) / 1000):
            try:
                async for events in self.store.watch(query["pathPrefix"], after):
                    rows = [
                        (
                            {"key": event.key, "revision": event.revision, "deleted": True}
                            if event.value is None
                            else self.encode_entry(event)
                        )
                        for event in events
                    ]
                    return 200, {"events": rows, "currentRev": self.store.revision}
            except StoreError:
                return 410, {}
        return 200, {"events": [], "currentRev": self.store.revision}

    async def kv_txn(self, path, query, document):
        assert len(document["expected"]) + len(document["writes"]) <= 32
        compares = [Compare(row["key"], row["revision"]) for row in document["expected"]]
        writes = [
            Put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for row in document["writes"]
        ]
        deletions = [Delete(key) for key in document["remove"]]
        try:
            result = await self.store.commit(compares, [*writes, *deletions])
        except StoreError:
            return 404, {}
        if not result.ok:
            return 412, {"items": []}
        return 200, {"revision": result.revision}

    async def kv_lease(self, path, query, document):
        lease = await self.store.grant_lease(document["ttlMs"] / 1000)
        return 200, {"lease": lease, "ttlMs": document["ttlMs"]}

    async def kv_keep(self, path, query, document):
        renewed = await self.store.renew_lease(int(path.rsplit("/", 1)[1]))
        return (200, {"ttlMs": 1000}) if renewed else (404, {})

    async def kv_lease_end(self, path, query, document):
        await self.store.revoke_lease(int(path.rsplit("/", 1)[1]))
        return 200, {}

    @staticmethod
    def encode_entry(entry):
        value = base64.b64encode(entry.value).decode()
        return {"key": entry.key, "value": value, "revision": entry.revision, "lease": 0}

    # Workers

    async def run_start(self, worker, document):
        order = StartOrder(
            worker.listed.worker_id,
            decode_task(document["task"]),
            document["run"],
            document["spec"],
            document.get("checkpoint", ""),
        )
        try:
            reply = worker.start(order, document["fence"], document["untilMs"] / 1000)
        except NotOwnerError:
            return self.reject(worker, "fence")
        if reply.outcome is StartOutcome.STARTED:
            return 200, {"clockMs": int(reply.worker_seconds * 1000)}
        return self.reject(worker, REASONS_BY_OUTCOME[reply.outcome])

    async def run_stop(self, worker, document):
        order = StopOrder(worker.listed.worker_id, decode_task(document["task"]), document["run"])
        try:
            return 200, {"clockMs": int(worker.stop(order, document["fence"]) * 1000)}
        except NotOwnerError:
            return self.reject(worker, "fence")

    async def hold(self, worker, document):
        until = document.get("untilMs")
        until = None if until is None else until / 1000
        try:
            reply = worker.hold(document["fence"], document["ackedThrough"], until)
        except NotOwnerError:
            return self.reject(worker, "fence")
        waited_seconds = 0.0
        while not reply.ended and waited_seconds < document.get("waitMs", 0) / 1000:
            await anyio.sleep(0.01)
            waited_seconds += 0.01
            reply = worker.hold(document["fence"], document["ackedThrough"], None)
        running = [
            [encode_task(row.task), row.number, row.checkpoint, row.percent, 0]
            for row in reply.running
        ]
        ended = [
            [end.position, encode_task(end.task), end.number, end.kind, end.checkpoint]
            for end in reply.ended
        ]
        return 200, {
            "clockMs": int(reply.worker_seconds * 1000),
            "born": reply.incarnation,
            "running": running,
            "finished": ended,
        }

    @staticmethod
    def reject(worker, reason):
        return 409, {"clockMs": int(worker.time() * 1000), "reason": reason}
