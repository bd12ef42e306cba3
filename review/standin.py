"""Stand-ins of the users' platform for the review's scripts: store, machines, executors.

They follow PROTOCOL.md. All of them run in the script's own event loop; the daemons under review
are separate processes. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

HOST = "127.0.0.1"
#: most items in one page of the store
PAGE_ITEMS = 500
#: most ends that an executor lists at a time
MAX_LISTED_ENDS = 500

Reply = tuple[int, Any]


class Silence(Exception):
    """No answer is sent; the channel stays open and returns nothing further."""


class Record:
    """Writes what was sent, answered and run to a file, with seconds since the start."""

    def __init__(self, path: str):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


class HttpService:
    """A small HTTP/1.1 server with connections that stay open."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0

    async def listen(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def handle(self, method: str, target: str, headers: dict[str, str], body: Any) -> Reply:
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if line:
                        name, _, value = line.partition(":")
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                content = await reader.readexactly(length) if length else b""
                body = json.loads(content) if content else {}
                try:
                    status, answer = await self.handle(method, target, headers, body)
                except Silence:
                    await reader.read()
                    return
                payload = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Store(HttpService):
    """The platform's metadata store.

    :attr:`on_txn` is called with each transaction before it is carried out; it may return ``late``
    with a number of seconds: the transaction gets no answer and is carried out that much later,
    if its condition still holds.
    """

    def __init__(self, record: Record):
        super().__init__()
        self.record = record
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.changed = asyncio.Event()
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.on_txn: Callable[[dict[str, Any]], float | None] = lambda body: None
        self.answer_delay: Callable[[], float] = lambda: 0.002
        self.write_count = 0

    def start(self) -> None:
        self.expiry = asyncio.get_running_loop().create_task(self._expire_leases())

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item as the operator or an executor does."""
        self._advance()
        self._put(key, base64.b64encode(value).decode(), lease)
        self._notify()

    def delete(self, key: str) -> None:
        self._advance()
        self._delete(key)
        self._notify()

    def value(self, key: str) -> bytes | None:
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def _advance(self) -> None:
        self.revision += 1

    def _put(self, key: str, value: str, lease: int) -> None:
        old = self.items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "revision": self.revision, "deleted": True})

    def _notify(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (end, _) in self.leases.items() if end <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self._advance()
            for key in keys:
                self._delete(key)
            self._notify()

    async def handle(self, method: str, target: str, headers: dict[str, str], body: Any) -> Reply:
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        call = parts.path.split("/")[2]
        if call == "kv-watch":
            return await self._watch(query)
        await asyncio.sleep(self.answer_delay())
        if call == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"currentRev": self.revision}
            return 200, {**item, "currentRev": self.revision}
        if call == "kv-range":
            after = query.get("after", "")
            keys = sorted(
                key for key in self.items if key.startswith(query["pathPrefix"]) and key > after
            )
            return 200, {
                "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                "morePages": len(keys) > PAGE_ITEMS,
                "currentRev": self.revision,
            }
        if call == "kv-txn":
            return await self._call_txn(body)
        if call == "kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (time.monotonic() + body["ttlMs"] / 1000, body["ttlMs"])
            return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        lease = int(parts.path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if call == "kv-keep":
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttlMs": ttl}
        self._end_lease(lease)
        return 200, {}

    async def _call_txn(self, body: dict[str, Any]) -> Reply:
        self.write_count += 1
        late = self.on_txn(body)
        if late is None:
            return self.commit(body)
        asyncio.get_running_loop().call_later(late, self._commit_late, body)
        raise Silence

    def _commit_late(self, body: dict[str, Any]) -> None:
        status, _ = self.commit(body)
        keys = [row["key"] for row in body["writes"]]
        self.record.write(f"store: late write of {keys} is carried out now: {status}")

    def commit(self, body: dict[str, Any]) -> Reply:
        """Carry out a transaction."""
        current = [self.items.get(row["key"]) for row in body.get("expected", [])]
        for row, item in zip(body.get("expected", []), current, strict=True):
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item for item in current if item]}
        if any(row.get("lease") and row["lease"] not in self.leases for row in body["writes"]):
            return 404, {}
        self._advance()
        for row in body["writes"]:
            self._put(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self._delete(key)
        self._notify()
        return 200, {"revision": self.revision}

    async def _watch(self, query: dict[str, str]) -> Reply:
        after, prefix = int(query["after"]), query["pathPrefix"]
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self.changed
            events = [
                row
                for row in self._since(after)
                if row["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    def _since(self, revision: int) -> list[dict[str, Any]]:
        rows = []
        for row in reversed(self.history):
            if row["revision"] <= revision:
                break
            rows.append(row)
        return rows[::-1]


class Jobs:
    """What the clients have submitted: what a work item needs, and how long it runs."""

    def __init__(self) -> None:
        self.specs: dict[str, dict[str, Any]] = {}

    def phase(self, task: str) -> dict[str, Any]:
        job, _, step, _ = task.split(".")
        return self.specs[job]["phases"][int(step)]


class Executor(HttpService):
    """One life of a machine that runs work items."""

    def __init__(
        self,
        record: Record,
        jobs: Jobs,
        name: str,
        machine: str,
        service: str,
        cpu: int,
        memory: int,
        rack: str,
        zone: str,
        stop_seconds: float,
        longest_hold: float,
    ):
        super().__init__()
        self.record, self.jobs = record, jobs
        self.name, self.machine, self.service, self.zone = name, machine, service, zone
        self.capacity = {"cpu": cpu, "memMb": memory, "gpu": 0}
        self.labels = ["a", rack]
        self.stop_seconds, self.longest_hold = stop_seconds, longest_hold
        self.born = time.time_ns() // 1_000_000
        self.origin = time.monotonic() - 100.0
        self.fence = 0
        self.until = 0.0
        self.runs: dict[str, dict[str, Any]] = {}
        self.highest: dict[str, int] = {}
        self.finished: list[list[Any]] = []
        self.next_end = 1
        self.cut = False
        self.is_down = False
        self.restarted_at = 0.0
        self.unhealthy = False
        # How long after a restart the first entry is written, in seconds.
        self.entry_delay = 0.0
        # Returns whether an order is left unanswered; the script carries it out later.
        self.on_order: Callable[[Executor, str, Any], bool] = lambda *arguments: False
        self.state = "ready"
        self.sequence = 0
        self.ended = asyncio.Event()
        self.on_start: Callable[[Executor, str, int], None] = lambda executor, task, run: None
        self.on_end: Callable[[Executor, str, int, str], None] = lambda *arguments: None
        self.notify_healed = asyncio.Event()

    def entry(self) -> dict[str, Any]:
        """Return what the executor says of itself in the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "machine": self.machine,
            "born": self.born,
            "clockMs": self.clock_ms(),
            "seq": self.sequence,
        }

    def clock(self) -> float:
        return time.monotonic() - self.origin

    def clock_ms(self) -> int:
        return int(self.clock() * 1000)

    def crash(self) -> None:
        """Crash: all runs are gone, and it answers nothing until :meth:`restart`."""
        self.record.write(f"{self.name} crashes with {sorted(self.runs)}")
        self.is_down = True
        self.runs.clear()
        self.finished.clear()
        self.highest.clear()

    def restart(self) -> None:
        """Start again under the same identifier; nothing of before is known."""
        self.record.write(f"{self.name} starts again")
        self.born = max(self.born + 1, time.time_ns() // 1_000_000)
        self.origin = time.monotonic() - 5.0
        self.fence, self.until, self.next_end, self.sequence = 0, 0.0, 1, 0
        self.is_down, self.restarted_at = False, time.monotonic()

    async def live(self, store: Store, heartbeat: float) -> None:
        """Write the entry at each heartbeat; end the runs whose time has come."""
        written_at, silent_beats = 0.0, 0
        while True:
            now = time.monotonic()
            if self.is_down:
                # The store drops the entry after three heartbeats of silence.
                if silent_beats < 3 and now - written_at >= heartbeat:
                    written_at, silent_beats = now, silent_beats + 1
                    if silent_beats == 3:
                        store.delete(f"servers/{self.name}")
                await asyncio.sleep(0.005)
                continue
            if silent_beats or written_at < self.restarted_at:
                written_at, silent_beats = now - heartbeat + self.entry_delay, 0
                self.restarted_at = 0.0
            if now - written_at >= heartbeat:
                written_at = now
                store.put(f"servers/{self.name}", json.dumps(self.entry()).encode())
            if self.runs and self.clock() >= self.until:
                for task in list(self.runs):
                    self._end(task, "lapsed")
            for task, run in list(self.runs.items()):
                if run["ends_at"] is not None and now >= run["ends_at"]:
                    self._end(task, run["how"])
            await asyncio.sleep(0.005)

    def _end(self, task: str, how: str) -> None:
        run = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.finished.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.record.write(f"{self.name}: run {run['run']} of {task} has ended: {how}")
        self.on_end(self, task, run["run"], how)
        ended, self.ended = self.ended, asyncio.Event()
        ended.set()

    async def handle(self, method: str, target: str, headers: dict[str, str], body: Any) -> Reply:
        if self.cut or self.is_down:
            raise Silence
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {}
        if self.on_order(self, target, body):
            raise Silence
        born = self.born
        reply = await self._call(target, body)
        if self.cut or self.is_down or born != self.born:
            raise Silence
        return reply

    async def carry_out(self, target: str, body: Any) -> None:
        """Carry out an order that was left unanswered."""
        status, answer = await self._call(target, body)
        self.record.write(f"{self.name}: late {target}: {status} {answer}")

    async def _call(self, target: str, body: Any) -> Reply:
        await asyncio.sleep(0.001)
        if body.get("fence", 0) < self.fence:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        if target == "/api/run-start":
            return self._start(body)
        if target not in ("/api/run-stop", "/api/hold", "/api/pace"):
            return 404, {}
        self.fence = max(self.fence, body.get("fence", 0))
        if target == "/api/run-stop":
            return self._stop(body)
        if target == "/api/pace":
            return 200, {"clockMs": self.clock_ms()}
        return await self._hold(body)

    def _extend(self, until_ms: int) -> None:
        self.until = max(self.until, min(until_ms / 1000, self.clock() + self.longest_hold))

    def used(self, resource: str) -> int:
        return sum(run["need"].get(resource, 0) for run in self.runs.values())

    def _start(self, body: Any) -> Reply:
        task, number = body["task"], body["run"]
        if self.unhealthy:
            self.record.write(f"{self.name}: start of {task} run {number} is answered 503")
            return 503, {}
        self.fence = max(self.fence, body.get("fence", 0))
        running = self.runs.get(task)
        if running is not None and running["run"] == number:
            self._extend(body["untilMs"])
            return 200, {"clockMs": self.clock_ms()}
        if number <= self.highest.get(task, 0) or (running and number <= running["run"]):
            self._extend(body["untilMs"])
            return 409, {"clockMs": self.clock_ms(), "reason": "old"}
        if body["untilMs"] <= self.clock_ms():
            return 409, {"clockMs": self.clock_ms(), "reason": "late"}
        phase = self.jobs.phase(task)
        need = {} if phase.get("fills") else {"cpu": phase.get("cpu", 0)}
        need["memMb"] = phase.get("memMb", 0)
        if running or any(
            self.used(resource) + amount > self.capacity[resource]
            for resource, amount in need.items()
        ):
            self._extend(body["untilMs"])
            self.record.write(f"{self.name}: start of {task} run {number} is answered room")
            return 409, {"clockMs": self.clock_ms(), "reason": "room"}
        seconds = phase.get("seconds")
        if "long_seconds" in phase and int(task.rsplit(".", 1)[1]) % 2:
            seconds = phase["long_seconds"]
        self.runs[task] = {
            "run": number,
            "need": need,
            "how": "done",
            "ends_at": None if seconds is None else time.monotonic() + seconds,
        }
        self._extend(body["untilMs"])
        self.record.write(f"{self.name}: {task} starts, run {number}, fence {body.get('fence')}")
        self.on_start(self, task, number)
        return 200, {"clockMs": self.clock_ms()}

    def _stop(self, body: Any) -> Reply:
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run["run"] <= number and run["how"] != "stopped":
            self.record.write(f"{self.name}: {task} run {run['run']} is told to stop")
            run["how"], run["ends_at"] = "stopped", time.monotonic() + self.stop_seconds
        return 200, {"clockMs": self.clock_ms()}

    async def _hold(self, body: Any) -> Reply:
        if "untilMs" in body:
            self._extend(body["untilMs"])
        self.finished = [row for row in self.finished if row[0] > body["ackedThrough"]]
        wait = body.get("waitMs", 0) / 1000
        if wait and not self.finished:
            try:
                await asyncio.wait_for(self.ended.wait(), wait)
            except TimeoutError:
                pass
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born,
            "running": [
                [task, run["run"], "", 100, run["need"].get("cpu", 0)]
                for task, run in self.runs.items()
            ],
            "finished": self.finished[:MAX_LISTED_ENDS],
        }


class Machines(HttpService):
    """The list of machines; orders are carried out by a function of the script."""

    def __init__(self, record: Record, executors: list[Executor]):
        super().__init__()
        self.record, self.executors = record, executors
        self.on_order: Callable[[str, Any], Awaitable[Reply]] | None = None

    async def handle(self, method: str, target: str, headers: dict[str, str], body: Any) -> Reply:
        if method == "POST":
            self.record.write(f"machines: {target} {body}")
            if self.on_order is not None:
                return await self.on_order(target, body)
            return 409, {"reason": "busy"}
        rows = [
            {
                "machine": executor.machine,
                "pool": executor.service,
                "state": "down" if executor.is_down else "up",
                "zone": executor.zone,
                "labels": executor.labels,
                "capacity": executor.capacity,
                "id": "" if executor.is_down else executor.name,
            }
            for executor in self.executors
        ]
        return 200, {"machines": rows, "nextToken": None}
