"""Workers and VMs in one process, behind the product's own protocol, for tests and trials."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from typing import Any

import anyio
import anyio.abc
import attrs

from ..api.http import Receive, Scope, Send, read_body, send_json
from ..batch import Amount
from ..clock import Clock
from ..exception import LimpetpulleyError, NotOwnerError, WorkerError
from ..fleet.vms import Holder
from ..fleet.wire import CONVERTER as VM_CONVERTER
from ..store import Delete, Put, Store
from ..tasks import keep_running
from ..workers import ListedWorker, PaceOrder, StartOrder, StopOrder
from ..workers.wire import CONVERTER, OrderPath, encode_listed
from .batchfleet import StartedRun, plan_by_payload
from .vms import MemoryVms
from .workers import MemoryWorkers

__all__ = ["WorkersHost"]

WORKER_PATH = re.compile(r"/workers/([a-z0-9.-]+)/(start|stop|pace|hold)")
VM_PATH = re.compile(r"/vms/([a-z0-9.-]+)/(move|maintain)")
MAX_BODY_BYTES = 1 << 20
#: lease of the workers' entries and time between two renewals, in seconds
LEASE_SECONDS = 3.0
RENEW_SECONDS = 0.5
CAPACITY = Amount(4000, 8000)


@attrs.define
class Judgement:
    """What the workers saw that must not be.

    :param overlaps: tasks that were started while another run of theirs was at work
    :param most_millicores: most processors in use at once, in thousandths of a core
    """

    overlaps: list[str] = attrs.field(factory=list)
    most_millicores: int = 0


class WorkersHost:
    """An ASGI application for the workers and VMs of some pools.

    ``GET /runs`` returns the runs that began, ``GET /judgement`` what went wrong, for tests.

    :param store: where workers make themselves known
    :param prefix: prefix of their entries
    :param off: pools whose VMs are off
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        clock: Clock,
        tasks: anyio.abc.TaskGroup,
        off: Iterable[str] = (),
    ):
        self.store = store
        self.prefix = prefix
        self.tasks = tasks
        self.address = ""
        self.orders = MemoryWorkers(latency=0.0)
        self.runs: list[StartedRun] = []
        self.judgement = Judgement()
        self.changed = anyio.Event()
        self.told: dict[str, ListedWorker] = {}
        self.clock = clock
        self.vms = MemoryVms(
            tasks,
            clock,
            self.orders,
            plan_by_payload,
            frozenset(off),
            CAPACITY,
            lambda listed: self.changed.set(),
        )
        self.vms.started = self._note_started

    def start(self, address: str) -> None:
        """Start to make the workers known at an address."""
        self.address = address
        self.tasks.start_soon(keep_running, self._keep_entries)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        path = scope["path"]
        body = await read_body(receive, MAX_BODY_BYTES)
        try:
            document = json.loads(body or b"{}")
            if path == "/vms":
                await send_json(send, VM_CONVERTER.unstructure(await self.vms.list_vms()))
            elif path == "/judgement":
                await send_json(send, attrs.asdict(self.judgement))
            elif path == "/runs":
                await send_json(send, CONVERTER.unstructure(self.runs))
            elif match := VM_PATH.fullmatch(path):
                await send_json(send, await self._order_vm(match[1], match[2], document))
            elif (match := WORKER_PATH.fullmatch(path)) and match[1] in self.orders.workers:
                await send_json(send, await self._order(match[1], match[2], document))
            else:
                await send_json(send, {"message": "not found"}, 404)
        except NotOwnerError as error:
            await send_json(send, {"message": str(error)}, 409)
        except WorkerError as error:
            await send_json(send, {"message": str(error)}, 503)
        except (ValueError, KeyError, TypeError) as error:
            await send_json(send, {"message": f"bad request: {error!r}"}, 400)

    async def _order(self, worker_id: str, order: str, document: dict[str, Any]) -> Any:
        listed = self.orders.workers[worker_id].listed
        token = document["token"]
        if order == OrderPath.START:
            started = CONVERTER.structure(document["order"], StartOrder)
            reply = await self.orders.start(listed, started, token, document["until"])
            return CONVERTER.unstructure(reply)
        if order == OrderPath.HOLD:
            held = await self.orders.hold(
                listed, token, document["acknowledged"], document["until"], document["wait"]
            )
            return CONVERTER.unstructure(held)
        if order == OrderPath.STOP:
            stopped = CONVERTER.structure(document["order"], StopOrder)
            return await self.orders.stop(listed, stopped, token)
        paced = CONVERTER.structure(document["order"], PaceOrder)
        return await self.orders.pace(listed, paced, token)

    async def _order_vm(self, vm: str, order: str, document: dict[str, Any]) -> Any:
        holder = Holder(document["holder"], document["token"])
        if order == "move":
            outcome = await self.vms.move(vm, document["pool"], holder)
        else:
            outcome = await self.vms.maintain(vm, document["wave"], holder)
        return VM_CONVERTER.unstructure(outcome)

    async def _keep_entries(self) -> None:
        """Keep the workers' entries in the store as the VMs are."""
        lease = 0
        while True:
            try:
                if not lease or not await self.store.renew_lease(lease):
                    lease = await self.store.grant_lease(LEASE_SECONDS)
                    self.told = {}
                await self._write_entries(lease)
            except LimpetpulleyError as error:
                print(f"entries of workers are not stored: {error}", flush=True)
            with anyio.move_on_after(RENEW_SECONDS):
                await self.changed.wait()
            self.changed = anyio.Event()

    async def _write_entries(self, lease: int) -> None:
        listed = {
            name: attrs.evolve(worker, address=self.address)
            for name, worker in self.vms.listed.items()
        }
        writes: list[Put | Delete] = [
            Put(self.prefix + name, encode_listed(worker), lease)
            for name, worker in listed.items()
            if self.told.get(name) != worker
        ]
        writes += [Delete(self.prefix + name) for name in self.told.keys() - listed.keys()]
        if writes:
            await self.store.commit([], writes)
        self.told = listed

    def _note_started(self, worker_id: str, order: StartOrder) -> None:
        self.runs.append(StartedRun(self.clock.now(), worker_id, order))
        used = 0
        for name, worker in self.orders.workers.items():
            if name != worker_id:
                worker.advance()
                if order.task in worker.runs:
                    self.judgement.overlaps.append(f"{order.task}: {name}, then {worker_id}")
            used += worker.used().cpu_millicores
        self.judgement.most_millicores = max(self.judgement.most_millicores, used)
