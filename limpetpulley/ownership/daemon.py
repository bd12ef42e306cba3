"""A daemon that owns pools: its servers, its copies of what the platform tells, start and stop."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable

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
from ..store import Event, MeasuredStore, Mirror, Store
from ..tasks import keep_running
from ..telemetry import BatchMetrics, EventLog
from ..workers import ListedWorker, MeasuredOrders, WorkerOrders
from .advice import Adviser
from .around import Around, Timing
from .board import WaveBoard
from .directory import WEAKEST, Member
from .listing import WorkerListing
from .node import BatchNode

__all__ = ["BatchDaemon", "BatchSettings", "Outside", "run_daemon"]

KEY_PREFIX = "lp/"
#: part of the grace in which open connections are served after the pools were handed over
SERVE_ON_PART = 0.4
BUSY_POLL_SECONDS = 0.02
#: time between two looks at the settings, which may change without a signal, in seconds
SETTINGS_GAP_SECONDS = 1.0
#: time between two looks at how late the event loop is, in seconds
LAG_GAP_SECONDS = 0.5


@attrs.frozen
class BatchSettings:
    """What a daemon learns about itself.

    :param host: IP number to listen on
    :param callers_port: port for callers
    :param readiness_port: port where the platform asks whether callers can be served
    :param peers_port: port for other daemons
    :param metrics_port: port for the metrics
    :param strength: processors that its VM has for it, less where its link is narrow
    """

    name: str
    data_centre: str
    host: str
    callers_port: int
    readiness_port: int
    peers_port: int
    metrics_port: int
    timing: Timing
    strength: float = WEAKEST


@attrs.frozen
class Outside:
    """What a daemon meets outside.

    :param operator_prefix: prefix of what the operator writes
    :param workers_prefix: prefix of the workers' entries
    :param take_operator: takes a key and value that the operator wrote
    :param decode_worker: returns the worker of an entry; raises
        :class:`~limpetpulley.exception.RecordError` if it is damaged
    :param callers: returns the application that serves callers
    :param read_timing: reads the settings again
    """

    store: Store
    orders: WorkerOrders
    vms: VmPlatform
    adviser: Adviser | None
    board: WaveBoard
    operator_prefix: str
    workers_prefix: str
    take_operator: Callable[[BatchNode, str, bytes], None]
    decode_worker: Callable[[str, bytes], ListedWorker]
    callers: Callable[[BatchNode], Callable]
    read_timing: Callable[[], Timing]


class BatchDaemon:
    """One daemon with its servers."""

    def __init__(self, settings: BatchSettings, outside: Outside, tasks: anyio.abc.TaskGroup):
        self.settings = settings
        self.outside = outside
        self.tasks = tasks
        self.metrics = BatchMetrics(self._set_levels)
        self.log = EventLog(settings.name, count=self.metrics.count_event)
        self.settings_problem = ""
        clock = SystemClock()
        self.around = Around(
            MeasuredStore(outside.store, self.metrics),
            BatchKeys(KEY_PREFIX),
            MeasuredOrders(outside.orders, self.metrics),
            clock,
            self.log,
            settings.timing,
            tasks,
            time.time,
            outside.adviser,
            self.metrics,
        )
        member = Member(
            settings.name,
            time.time_ns() // 1_000_000,
            f"{settings.host}:{settings.peers_port}",
            settings.data_centre,
            settings.strength,
        )
        self.node = BatchNode(
            self.around, member, PeerClient(BatchStub), outside.vms, outside.board
        )
        host = settings.host
        self.peers = PeerServer([self.node.handlers], host, settings.peers_port)
        self.callers = HttpServer(outside.callers(self.node), host, settings.callers_port)
        self.readiness = HttpServer(self.answer_readiness, host, settings.readiness_port)
        self.metrics_server = HttpServer(MetricsApp(self.metrics), host, settings.metrics_port)
        self.operator = Mirror(
            outside.store, outside.operator_prefix, clock, self._operator_wrote, self._lost
        )
        self.node.mirrors[self.operator.prefix] = self.operator
        self.listing = WorkerListing(
            outside.store, outside.workers_prefix, clock, outside.decode_worker, self.node, self.log
        )

    async def start(self) -> None:
        """Start to serve."""
        told = attrs.asdict(self.settings)
        self.log.write("daemon-started", version=__version__, settings=told)
        await self.peers.start()
        for server in (self.readiness, self.callers, self.metrics_server):
            await self.tasks.start(server.serve)
        for loop in (self.operator.run, self.listing.mirror.run):
            self.tasks.start_soon(keep_running, loop)
        self.tasks.start_soon(keep_running, self._follow_settings)
        self.tasks.start_soon(keep_running, self._measure_lag)
        self.node.start()

    async def stop(self) -> None:
        """Hand over, serve open connections a little longer, and end."""
        self.log.write("daemon-stopping")
        await self.node.leave()
        await anyio.sleep(self.settings.timing.grace * SERVE_ON_PART)
        self.callers.stop()
        while self.callers.busy:
            await anyio.sleep(BUSY_POLL_SECONDS)
        self.log.write("daemon-stopped")
        self.log.flush()

    def reload(self) -> None:
        """Read the settings again; what only a new process can take over is left."""
        try:
            timing = self.outside.read_timing()
        except RecordError as error:
            if str(error) != self.settings_problem:
                self.log.write("settings-unreadable", reason=str(error))
            self.settings_problem = str(error)
            return
        self.settings_problem = ""
        if timing != self.around.timing:
            self.around.timing = timing
            self.log.write("settings-read", **attrs.asdict(timing))

    async def _follow_settings(self) -> None:
        while True:
            await anyio.sleep(SETTINGS_GAP_SECONDS)
            self.reload()

    async def _measure_lag(self) -> None:
        clock = self.around.clock
        while True:
            began = clock.now()
            await anyio.sleep(LAG_GAP_SECONDS)
            self.metrics.loop_lag_seconds.observe(clock.now() - began - LAG_GAP_SECONDS)

    def _set_levels(self, metrics: BatchMetrics) -> None:
        metrics.owned_pools.set(len(self.node.owned))
        config = self.around.config
        metrics.config_version.set(config.version if config else 0)
        metrics.lines_dropped.set(self.log.lost)
        for prefix, mirror in self.node.mirrors.items():
            age = self.around.clock.now() - mirror.heard_at
            metrics.watch_age_seconds.labels(prefix).set(age)
        for queue in config.queues.values() if config else ():
            owner = self.node.owned.get(queue.pool)
            if owner is not None:
                depth = owner.count_pending(queue.name)
                metrics.queue_depth.labels(queue.name).set(depth)

    async def answer_readiness(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Tell whether callers can be served."""
        ready = self.node.is_ready
        await send_json(send, {"ready": ready}, 200 if ready else 503)

    def _operator_wrote(self, events: list[Event]) -> None:
        for event in events:
            if event.value is None:
                continue
            try:
                self.outside.take_operator(self.node, event.key, event.value)
            except RecordError as error:
                self.log.write(
                    "operator-unreadable",
                    key=event.key,
                    revision=event.revision,
                    reason=str(error),
                )

    def _lost(self, reason: str) -> None:
        self.log.write("config-away" if reason else "config-back", reason=reason)


async def run_daemon(settings: BatchSettings, outside: Outside) -> None:
    """Run a daemon until SIGTERM or SIGINT, then stop gracefully."""
    async with anyio.create_task_group() as tasks:
        daemon = BatchDaemon(settings, outside, tasks)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            await daemon.start()
            async for received in signals:
                if received != signal.SIGHUP:
                    break
                daemon.reload()
            await daemon.stop()
        tasks.cancel_scope.cancel()
