"""Batch jobs (jobs that consist of steps), enabled once a queue for them is configured."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
import anyio.abc
import attrs

from ..address import Address
from ..api.batches import BatchesApp, denial, native_dialect
from ..api.http import Receive, Scope, Send, send_refusal
from ..batch.keys import BatchKeys
from ..clock import Clock
from ..config import ConfigReplica
from ..config.batch_config import make_batch_config
from ..exception import JobRefused
from ..fleet.vms import UnsupportedVmPlatform
from ..fleet.wire import HttpVmPlatform
from ..http_client import HttpClient
from ..ownership import BatchNode, DaemonContext, Member, Timing, WaveRegistry
from ..ownership.call_guard import guard_store
from ..ownership.freshness import ConfigFreshness
from ..ownership.handlers import BatchHandlers
from ..ownership.listing import WorkerListing
from ..peer import PeerCaller
from ..settings import Settings
from ..store import MeasuredStore, Store
from ..tasks import keep_running
from ..telemetry import BatchMetrics, EventLog
from ..workers import MeasuredOrderSender
from ..workers.wire import HttpOrderSender, decode_listed

__all__ = ["BatchJobs"]

#: seconds after which a caller should retry a request to a daemon that has just started
RETRY_SECONDS = 1


class BatchJobs:
    """Runs the daemon's share of the batch jobs.

    It uses no resources until the configuration first contains a queue for batch jobs. Then the
    daemon joins the others in the store, watches the workers' entries and claims pools.

    :param settings: the daemon's settings
    :param replica: the daemon's replica of the configuration
    :param is_configured: returns whether the configuration has been loaded
    :param freshness: how old the configuration is
    :param store: the platform's store
    :param peer_client: client for calls to other daemons
    :param http: client for calls to workers and to the VM platform
    :param clock: the daemon's clock
    :param tasks: task group that all tasks run in
    :param peer_address: ``host:port`` for calls from other daemons
    :param log: event log for decisions on batch jobs
    :param metrics: metrics of batch jobs
    """

    def __init__(
        self,
        settings: Settings,
        replica: ConfigReplica,
        is_configured: Callable[[], bool],
        freshness: ConfigFreshness,
        store: Store,
        peer_client: PeerCaller,
        http: HttpClient,
        clock: Clock,
        tasks: anyio.abc.TaskGroup,
        peer_address: str,
        log: EventLog,
        metrics: BatchMetrics,
    ):
        self.settings = settings
        self.replica = replica
        self.tasks = tasks
        self.log = log
        self.context = DaemonContext(
            MeasuredStore(store, metrics),
            BatchKeys(settings.prefix + "steps/"),
            MeasuredOrderSender(HttpOrderSender(http), metrics),
            clock,
            self.log,
            Timing(),
            tasks,
            time.time,
            metrics=metrics,
            freshness=freshness,
        )
        incarnation = time.time_ns() // 1_000_000
        member = Member(settings.name, incarnation, peer_address, settings.data_centre)
        vms = (
            HttpVmPlatform(http, Address(settings.workers_address))
            if settings.workers_address
            else UnsupportedVmPlatform()
        )
        wave_registry = WaveRegistry(
            lambda name: f"{settings.prefix}steps/told/{name}", encode_wave_state
        )
        self.node = BatchNode(self.context, member, peer_client, vms, wave_registry)
        self.listing = WorkerListing(
            guard_store(store, log),
            settings.prefix + "workers/",
            clock,
            decode_listed,
            self.node,
            self.log,
        )
        self.app = BatchesApp(self.node, native_dialect())
        self.is_configured = is_configured
        self.joined = False
        self.version = 0

    @property
    def handlers(self) -> BatchHandlers:
        """Return the handlers of calls from other daemons."""
        return self.node.handlers

    def on_config(self) -> None:
        """Apply a changed configuration; join when it first contains a queue for batch jobs."""
        config = make_batch_config(self.replica, self.version)
        if config == self.context.config or not (config.queues or self.joined):
            return
        self.version += 1
        self.node.apply_config(attrs.evolve(config, version=self.version))
        if not self.joined:
            self.joined = True
            self.tasks.start_soon(keep_running, self.listing.mirror.run)
            self.node.start()

    async def leave(self) -> None:
        """Hand over all pools to other daemons and flush the event log."""
        if self.joined:
            await self.node.leave()
        self.log.flush()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle a caller's request about batch jobs."""
        if not self.joined and not self.is_configured():
            detail = "no configuration yet"
            refusal = JobRefused(503, "no-config", detail, retry_after=RETRY_SECONDS)
            await send_refusal(send, refusal)
            return
        if not self.joined:
            refusal = JobRefused(404, "no-such-queue", "no queue for batch jobs is configured")
            await send_refusal(send, denial(refusal, self.context.freshness))
            return
        await self.app(scope, receive, send)


def encode_wave_state(name: str, completed: bool) -> bytes:
    """Return the encoded state of a wave."""
    return b"completed" if completed else b"running"
