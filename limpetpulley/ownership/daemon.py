"""A daemon that owns pools: its servers, its copies of platform data, start-up and shutdown."""

from __future__ import annotations

import importlib
import signal
import time
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio
import anyio.abc
import attrs

from .. import __version__
from ..api.http import Receive, Scope, Send, send_json
from ..api.metrics import MetricsApp
from ..api.server import HttpServer
from ..batch.keys import BatchKeys
from ..clock import SystemClock
from ..exception import RecordError
from ..fleet.vms import VmPlatform
from ..peer import BatchStub, PeerClient, PeerServer
from ..store import MeasuredStore, Store, StoreContact
from ..tasks import keep_running, start_guarded
from ..telemetry import BatchMetrics, EventLog
from ..workers import ListedWorker, MeasuredOrderSender, OrderSender
from .advice import Adviser
from .call_guard import guard_store
from .context import DaemonContext, Timing
from .directory import MIN_STRENGTH, Member
from .listing import WorkerListing
from .node import BatchNode
from .operator_entries import OperatorEntries
from .waves import WaveRegistry

if TYPE_CHECKING:
    from ..telemetry.instruments import Instruments

__all__ = ["BatchDaemon", "BatchSettings", "DaemonDependencies", "run_daemon"]

KEY_PREFIX = "lp/"
#: fraction of the grace period for which callers are still served after the signal to stop
DRAIN_FRACTION = 0.4
#: interval between checks for open connections during shutdown, in seconds
DRAIN_POLL_SECONDS = 0.02
#: interval between checks of the settings, which may change without a signal, in seconds
SETTINGS_CHECK_SECONDS = 1.0
#: interval between measurements of the event loop's lag, in seconds
LAG_SAMPLE_SECONDS = 0.5
#: lag of the event loop from which on it is logged, in seconds
LOGGED_LAG_SECONDS = 0.3
#: interval between two lines about the bytes that have arrived, in seconds
BYTES_SAMPLE_SECONDS = 2.0
#: number of bytes in that time from which on the line is written: a fifth of what a link of
#: 1 Mbit/s carries
LOGGED_BYTES = 50_000
#: time after the start at which the modules are loaded that a daemon does not need to start
#: serving, in seconds: after the takeover of its pools, before one of them is likely to be needed
DEFERRED_LOAD_SECONDS = 5.0
#: these modules, loaded one by one so that each delays the event loop only a little: those that
#: ``prometheus_client`` needs, the planner of the fleet, and the log of failed tasks
DEFERRED_MODULES = (
    "email.parser",
    "http.client",
    "urllib.request",
    "http.server",
    "wsgiref.simple_server",
    "prometheus_client",
    "limpetpulley.ownership.planner",
    "absl.logging",
)
#: pause between two of them, in seconds
DEFERRED_LOAD_PAUSE_SECONDS = 0.05


@attrs.frozen
class BatchSettings:
    """A daemon's settings.

    :param host: IP address to listen on
    :param callers_port: port for callers
    :param readiness_port: port of the platform's readiness probe
    :param peers_port: port for other daemons
    :param metrics_port: port for the metrics
    :param strength: number of processors available to it on its VM, less if the VM's network link
        is slow
    """

    name: str
    data_centre: str
    host: str
    callers_port: int
    readiness_port: int
    peers_port: int
    metrics_port: int
    timing: Timing
    strength: float = MIN_STRENGTH


@attrs.frozen
class DaemonDependencies:
    """Clients of external services, and callbacks that depend on the platform.

    :param store_contact: records what arrives from the store
    :param operator_prefix: key prefix in the store of the entries that the operator writes
    :param workers_prefix: key prefix in the store of the workers' entries
    :param apply_operator_entry: applies the key and value of an operator's entry to the node;
        raises :class:`~limpetpulley.exception.RecordError` if the entry is invalid
    :param decode_worker: returns the worker of an entry; raises
        :class:`~limpetpulley.exception.RecordError` if it is invalid
    :param make_callers_app: returns the application that serves callers
    :param read_timing: reads the timing from the settings again; raises
        :class:`~limpetpulley.exception.RecordError` if they are invalid
    """

    store: Store
    store_contact: StoreContact
    orders: OrderSender
    vms: VmPlatform
    adviser: Adviser | None
    wave_registry: WaveRegistry
    operator_prefix: str
    workers_prefix: str
    apply_operator_entry: Callable[[BatchNode, str, bytes], None]
    decode_worker: Callable[[str, bytes], ListedWorker]
    make_callers_app: Callable[[BatchNode], Callable]
    read_timing: Callable[[], Timing]


class BatchDaemon:
    """One daemon with its servers."""

    def __init__(
        self, settings: BatchSettings, dependencies: DaemonDependencies, tasks: anyio.abc.TaskGroup
    ):
        self.settings = settings
        self.dependencies = dependencies
        self.tasks = tasks
        self.metrics = BatchMetrics(self._update_gauges)
        self.log = EventLog(settings.name, on_event=self.metrics.count_event)
        self.settings_error = ""
        clock = SystemClock()
        # Watches are not measured.
        watched_store = guard_store(dependencies.store, self.log)
        self.context = DaemonContext(
            MeasuredStore(dependencies.store, self.metrics),
            BatchKeys(KEY_PREFIX),
            MeasuredOrderSender(dependencies.orders, self.metrics),
            clock,
            self.log,
            settings.timing,
            tasks,
            time.time,
            dependencies.adviser,
            self.metrics,
            store_contact=dependencies.store_contact,
        )
        member = Member(
            settings.name,
            time.time_ns() // 1_000_000,
            f"{settings.host}:{settings.peers_port}",
            settings.data_centre,
            settings.strength,
        )
        self.node = BatchNode(
            self.context,
            member,
            PeerClient(BatchStub),
            dependencies.vms,
            dependencies.wave_registry,
            PeerClient(BatchStub),
        )
        host = settings.host
        self.peer_server = PeerServer([self.node.handlers], host, settings.peers_port)
        self.callers_server = HttpServer(
            dependencies.make_callers_app(self.node), host, settings.callers_port
        )
        self.readiness_server = HttpServer(self.serve_readiness, host, settings.readiness_port)
        self.metrics_server = HttpServer(MetricsApp(self.metrics), host, settings.metrics_port)
        self.operator_entries = OperatorEntries(
            watched_store,
            dependencies.operator_prefix,
            dependencies.apply_operator_entry,
            self.node,
        )
        self.listing = WorkerListing(
            watched_store,
            dependencies.workers_prefix,
            clock,
            dependencies.decode_worker,
            self.node,
            self.log,
        )

    async def start(self) -> None:
        """Start the servers and all background loops."""
        settings_fields = attrs.asdict(self.settings)
        self.log.write("daemon-started", version=__version__, settings=settings_fields)
        await self.peer_server.start()
        for server in (self.readiness_server, self.callers_server, self.metrics_server):
            await self.tasks.start(server.serve)
        self.operator_entries.start()
        self.tasks.start_soon(keep_running, self.listing.mirror.run, self.log)
        self.tasks.start_soon(keep_running, self._watch_settings, self.log)
        self.tasks.start_soon(keep_running, self._measure_loop_lag, self.log)
        self.tasks.start_soon(keep_running, self._log_received_bytes, self.log)
        start_guarded(self.tasks, self._load_deferred_modules)
        self.node.start()

    async def stop(self) -> None:
        """Hand all pools over while callers are still served, then close the connections."""
        self.log.write("daemon-stopping")
        async with anyio.create_task_group() as tasks:
            # A handover may take as long as the store: the end of the grace period does not move.
            drain_seconds = self.settings.timing.grace * DRAIN_FRACTION
            tasks.start_soon(_drain, self.callers_server, drain_seconds)
            await self.node.leave()
        self.log.write("daemon-stopped")
        self.log.flush()

    def reload(self) -> None:
        """Reload the timing from the settings; other settings take effect only after a restart."""
        try:
            timing = self.dependencies.read_timing()
        except RecordError as error:
            if str(error) != self.settings_error:
                self.log.write("settings-unreadable", reason=str(error))
            self.settings_error = str(error)
            return
        self.settings_error = ""
        if timing != self.context.timing:
            self.context.timing = timing
            self.log.write("settings-read", **attrs.asdict(timing))

    async def _watch_settings(self) -> None:
        while True:
            await anyio.sleep(SETTINGS_CHECK_SECONDS)
            self.reload()

    async def _measure_loop_lag(self) -> None:
        clock = self.context.clock
        while True:
            started_at = clock.now()
            await anyio.sleep(LAG_SAMPLE_SECONDS)
            lag = clock.now() - started_at - LAG_SAMPLE_SECONDS
            self.metrics.observe_loop_lag(lag)
            if lag > LOGGED_LAG_SECONDS:
                self.log.write("loop-delayed", seconds=round(lag, 2))

    async def _log_received_bytes(self) -> None:
        """Log what arrives from the store and other daemons, by purpose, while it is much."""
        received, logged = self.context.store_contact.received_bytes, Counter[str]()
        while True:
            await anyio.sleep(BYTES_SAMPLE_SECONDS)
            arrived, logged = received - logged, received.copy()
            if arrived.total() > LOGGED_BYTES:
                self.log.write("bytes-received", seconds=BYTES_SAMPLE_SECONDS, by_purpose=arrived)

    async def _load_deferred_modules(self) -> None:
        await anyio.sleep(DEFERRED_LOAD_SECONDS)
        for name in DEFERRED_MODULES:
            importlib.import_module(name)
            await anyio.sleep(DEFERRED_LOAD_PAUSE_SECONDS)
        self.metrics.load()

    def _update_gauges(self, instruments: Instruments) -> None:
        instruments.owned_pools.set(len(self.node.owned))
        instruments.claim_age_seconds.set(self.node.session.age())
        config = self.context.config
        instruments.config_version.set(config.version if config else 0)
        instruments.config_age_seconds.set(self.context.freshness.age())
        instruments.lines_dropped.set(self.log.dropped_lines)
        for purpose, count in self.context.store_contact.received_bytes.items():
            instruments.received_bytes.labels(purpose).set(count)
        for prefix, mirror in self.node.mirrors.items():
            age = self.context.clock.now() - mirror.last_reply_at
            instruments.watch_age_seconds.labels(prefix).set(age)
        for pool, count in self.node.failures.count().items():
            instruments.owner_failures.labels(pool).set(count)
        for queue in config.queues.values() if config else ():
            owner = self.node.owned.get(queue.pool)
            if owner is not None:
                depth = owner.count_pending(queue.name)
                instruments.queue_depth.labels(queue.name).set(depth)

    async def serve_readiness(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer the readiness probe: 200 if callers can be served, otherwise 503."""
        ready = self.node.is_ready
        await send_json(send, {"ready": ready}, 200 if ready else 503)


async def _drain(server: HttpServer, seconds: float) -> None:
    """Serve callers for some seconds, and then those whose requests have been read."""
    await anyio.sleep(seconds)
    server.stop()
    while server.is_busy:
        await anyio.sleep(DRAIN_POLL_SECONDS)


async def run_daemon(settings: BatchSettings, dependencies: DaemonDependencies) -> None:
    """Run a daemon until SIGTERM or SIGINT, then shut it down gracefully; reload on SIGHUP."""
    async with anyio.create_task_group() as tasks:
        daemon = BatchDaemon(settings, dependencies, tasks)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            await daemon.start()
            async for signal_number in signals:
                if signal_number != signal.SIGHUP:
                    break
                daemon.reload()
            await daemon.stop()
        tasks.cancel_scope.cancel()
