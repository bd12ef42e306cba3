"""Emulator of workers and VMs in one process, on limpetpulley's own protocol, for tests."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from typing import Any

import anyio
import anyio.abc
import attrs

from ..address import Address
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
#: lease of the workers' store entries, and interval of its renewals, in seconds
LEASE_SECONDS = 3.0
RENEWAL_INTERVAL_SECONDS = 0.5
WORKER_CAPACITY = Amount(4000, 8000)


@attrs.define
class RunAudit:
    """Violations of the run invariants, and peak use, as the workers recorded them.

    :param overlaps: descriptions of starts of a task while another worker still ran the task
    :param most_millicores: peak of the processors in use by all workers, in thousandths of a core
    """

    overlaps: list[str] = attrs.field(factory=list)
    most_millicores: int = 0


class WorkersHost:
    """ASGI application that emulates the workers and VMs of some pools.

    For tests, ``GET /runs`` returns the runs that were started, and ``GET /judgement`` the
    :class:`RunAudit`.

    :param store: store in which the workers are registered
    :param prefix: prefix of the keys of the workers' entries
    :param standby_pools: standby pools, whose VMs run no worker
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        clock: Clock,
        tasks: anyio.abc.TaskGroup,
        standby_pools: Iterable[str] = (),
    ):
        self.store = store
        self.prefix = prefix
        self.tasks = tasks
        self.address: Address | None = None
        self.workers = MemoryWorkers(latency_seconds=0.0)
        self.runs: list[StartedRun] = []
        self.audit = RunAudit()
        self.workers_changed = anyio.Event()
        self.published: dict[str, ListedWorker] = {}
        self.clock = clock
        self.vms = MemoryVms(
            tasks,
            clock,
            self.workers,
            plan_by_payload,
            frozenset(standby_pools),
            WORKER_CAPACITY,
            lambda workers: self.workers_changed.set(),
        )
        self.vms.on_run_started = self._record_start

    def start(self, address: str) -> None:
        """Start to publish the workers in the store, with the address that serves them."""
        self.address = Address(address)
        self.tasks.start_soon(keep_running, self._keep_entries_published)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        path = scope["path"]
        body = await read_body(receive, MAX_BODY_BYTES)
        try:
            document = json.loads(body or b"{}")
            if path == "/vms":
                await send_json(send, VM_CONVERTER.unstructure(await self.vms.list_vms()))
            elif path == "/judgement":
                await send_json(send, attrs.asdict(self.audit))
            elif path == "/runs":
                await send_json(send, CONVERTER.unstructure(self.runs))
            elif match := VM_PATH.fullmatch(path):
                await send_json(send, await self._handle_vm_order(match[1], match[2], document))
            elif (match := WORKER_PATH.fullmatch(path)) and match[1] in self.workers.workers:
                await send_json(send, await self._handle_worker_order(match[1], match[2], document))
            else:
                await send_json(send, {"message": "not found"}, 404)
        except NotOwnerError as error:
            await send_json(send, {"message": str(error)}, 409)
        except WorkerError as error:
            await send_json(send, {"message": str(error)}, 503)
        except (ValueError, KeyError, TypeError) as error:
            await send_json(send, {"message": f"bad request: {error!r}"}, 400)

    async def _handle_worker_order(
        self, worker_id: str, order: str, document: dict[str, Any]
    ) -> Any:
        listed = self.workers.workers[worker_id].listed
        token = document["token"]
        if order == OrderPath.START:
            start_order = CONVERTER.structure(document["order"], StartOrder)
            reply = await self.workers.start(listed, start_order, token, document["until"])
            return CONVERTER.unstructure(reply)
        if order == OrderPath.HOLD:
            hold_reply = await self.workers.hold(
                listed, token, document["acknowledged"], document["until"], document["wait"]
            )
            return CONVERTER.unstructure(hold_reply)
        if order == OrderPath.STOP:
            stop_order = CONVERTER.structure(document["order"], StopOrder)
            return await self.workers.stop(listed, stop_order, token)
        pace_order = CONVERTER.structure(document["order"], PaceOrder)
        return await self.workers.pace(listed, pace_order, token)

    async def _handle_vm_order(self, vm: str, order: str, document: dict[str, Any]) -> Any:
        holder = Holder(document["holder"], document["token"])
        if order == "move":
            outcome = await self.vms.move(vm, document["pool"], holder)
        else:
            outcome = await self.vms.maintain(vm, document["wave"], holder)
        return VM_CONVERTER.unstructure(outcome)

    async def _keep_entries_published(self) -> None:
        """Keep the store entries of the workers up to date, under a lease."""
        lease = 0
        while True:
            try:
                if not lease or not await self.store.renew_lease(lease):
                    lease = await self.store.grant_lease(LEASE_SECONDS)
                    self.published = {}
                await self._publish_entries(lease)
            except LimpetpulleyError as error:
                print(f"worker entries were not stored: {error}", flush=True)
            with anyio.move_on_after(RENEWAL_INTERVAL_SECONDS):
                await self.workers_changed.wait()
            self.workers_changed = anyio.Event()

    async def _publish_entries(self, lease: int) -> None:
        assert self.address is not None
        listed = {
            name: attrs.evolve(worker, address=self.address)
            for name, worker in self.vms.listed_workers.items()
        }
        writes: list[Put | Delete] = [
            Put(self.prefix + name, encode_listed(worker), lease)
            for name, worker in listed.items()
            if self.published.get(name) != worker
        ]
        writes += [Delete(self.prefix + name) for name in self.published.keys() - listed.keys()]
        if writes:
            await self.store.commit([], writes)
        self.published = listed

    def _record_start(self, worker_id: str, order: StartOrder) -> None:
        self.runs.append(StartedRun(self.clock.now(), worker_id, order))
        used_millicores = 0
        for name, worker in self.workers.workers.items():
            if name != worker_id:
                worker.advance()
                if order.task in worker.runs:
                    self.audit.overlaps.append(f"{order.task}: {name}, then {worker_id}")
            used_millicores += worker.used().cpu_millicores
        self.audit.most_millicores = max(self.audit.most_millicores, used_millicores)
