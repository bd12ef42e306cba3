"""Jobs of steps in a daemon: starts when the configuration has a queue for them."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
import anyio.abc
import attrs

from ..api.batches import BatchesApp, own_dialect
from ..api.http import Receive, Scope, Send, send_refusal
from ..batch.keys import BatchKeys
from ..clock import Clock
from ..config import ConfigReplica
from ..config.steps import make_batch_config
from ..exception import JobRefused
from ..fleet.wire import HttpVmPlatform, UnsupportedVmPlatform
from ..http_client import HttpCaller
from ..ownership import BatchNode, DaemonContext, Member, Timing, WaveRegistry
from ..ownership.handlers import BatchHandlers
from ..ownership.listing import WorkerListing
from ..peer import PeerCaller
from ..settings import Settings
from ..store import MeasuredStore, Store
from ..tasks import keep_running
from ..telemetry import BatchMetrics, EventLog
from ..workers import MeasuredOrderSender
from ..workers.wire import HttpOrderSender, decode_listed

__all__ = ["StepsPart"]

#: time until which a caller is told to come back to a daemon that has just started, in seconds
RETRY_SECONDS = 1


class StepsPart:
    """A daemon's part in the jobs of steps.

    It costs nothing until the configuration first names a queue for them: then the daemon joins
    the others in the store, follows the workers' entries and claims pools.

    :param replica: the daemon's copy of the configuration
    :param is_configured: returns whether the configuration is known by now
    :param peer_address: ``host:port`` that other daemons reach it at
    """

    def __init__(
        self,
        settings: Settings,
        replica: ConfigReplica,
        is_configured: Callable[[], bool],
        store: Store,
        peers: PeerCaller,
        http: HttpCaller,
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
        )
        started = time.time_ns() // 1_000_000
        member = Member(settings.name, started, peer_address, settings.data_centre)
        vms = (
            HttpVmPlatform(http, settings.workers_address)
            if settings.workers_address
            else UnsupportedVmPlatform()
        )
        board = WaveRegistry(lambda name: f"{settings.prefix}steps/told/{name}", encode_state)
        self.node = BatchNode(self.context, member, peers, vms, board)
        self.listing = WorkerListing(
            store, settings.prefix + "workers/", clock, decode_listed, self.node, self.log
        )
        self.app = BatchesApp(self.node, own_dialect())
        self.is_configured = is_configured
        self.joined = False
        self.version = 0

    @property
    def handlers(self) -> BatchHandlers:
        """Return what answers other daemons."""
        return self.node.handlers

    def on_config(self) -> None:
        """Take a changed configuration into use."""
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
        """Hand all pools over."""
        if self.joined:
            await self.node.leave()
        self.log.flush()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer a caller's request about jobs of steps."""
        if not self.joined and not self.is_configured():
            detail = "no configuration yet"
            refused = JobRefused(503, "no-config", detail, retry_after=RETRY_SECONDS)
            await send_refusal(send, refused)
            return
        if not self.joined:
            refused = JobRefused(404, "no-such-queue", "no queue takes jobs of steps")
            await send_refusal(send, refused)
            return
        await self.app(scope, receive, send)


def encode_state(name: str, completed: bool) -> bytes:
    """Return what is told of a wave."""
    return b"completed" if completed else b"running"
