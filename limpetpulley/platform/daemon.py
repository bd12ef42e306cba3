"""The daemon on the platform: reads the settings file and puts the parts together."""

from __future__ import annotations

import gc
import os
import signal
import sys
import time

import anyio
import anyio.abc

from .. import __version__
from ..api.server import HttpServer
from ..batch.keys import BatchKeys
from ..clock import SystemClock
from ..exception import RecordError, SettingsError
from ..http_client import PooledHttp
from ..ownership import Around, BatchNode, Member, WaveBoard
from ..peer import BatchStub, PeerClient, PeerServer
from ..store import Event, Mirror
from ..tasks import keep_running
from ..telemetry import EventLog
from ..workers import ListedWorker
from .advice import PlatformAdviser
from .callers import CallersApp, readiness_app
from .config import CONFIG_KEY, OPERATOR_PREFIX, decode_config
from .settings import SETTINGS_VARIABLE, PlatformSettings, read_settings
from .store import PlatformStore
from .vms import WAVE_PREFIX, PlatformVms, decode_wave, encode_wave_state, wave_state_key
from .workers import SERVERS_PREFIX, PlatformWorkers, decode_worker

__all__ = ["main"]

KEY_PREFIX = "lp/"
EXIT_USAGE = 2
#: part of the grace in which open connections are served after the pools were handed over
SERVE_ON_PART = 0.4
#: time between two looks at the workers' entries, which change with every heartbeat, for a daemon
#: that owns a pool and for one that does not
OWNER_GAP_SECONDS = 0.3
IDLE_GAP_SECONDS = 2.0
#: objects after which the collector of cyclic garbage looks; the default costs much processor time
GARBAGE_THRESHOLD = 20_000


class PlatformDaemon:
    """One daemon on the platform."""

    def __init__(self, settings: PlatformSettings, tasks: anyio.abc.TaskGroup):
        self.settings = settings
        self.tasks = tasks
        self.log = EventLog(settings.name)
        self.http = PooledHttp()
        clock = SystemClock()
        store = PlatformStore(self.http, settings.store_address)
        self.around = Around(
            store,
            BatchKeys(KEY_PREFIX),
            PlatformWorkers(self.http),
            clock,
            self.log,
            settings.timing,
            tasks,
            time.time,
            (
                PlatformAdviser(self.http, settings.advice_address)
                if settings.advice_address
                else None
            ),
        )
        member = Member(
            settings.name,
            time.time_ns() // 1_000_000,
            f"{settings.host}:{settings.peers_port}",
            settings.data_centre,
        )
        self.board = WaveBoard(wave_state_key, encode_wave_state)
        vms = PlatformVms(self.http, settings.vms_address)
        self.node = BatchNode(self.around, member, PeerClient(BatchStub), vms, self.board)
        self.peers = PeerServer([self.node.handlers], settings.host, settings.peers_port)
        self.callers = HttpServer(CallersApp(self.node), settings.host, settings.callers_port)
        self.readiness = HttpServer(
            readiness_app(self.node), settings.host, settings.readiness_port
        )
        self.workers: dict[str, ListedWorker] = {}
        self.operator = Mirror(store, OPERATOR_PREFIX, clock, self._operator_wrote, self._lost)
        self.servers = Mirror(
            store, SERVERS_PREFIX, clock, self._workers_wrote, gap=self._workers_gap
        )

    async def start(self) -> None:
        """Start to serve."""
        self.log.write("daemon-started", version=__version__, data_centre=self.settings.data_centre)
        await self.peers.start()
        for server in (self.readiness, self.callers):
            await self.tasks.start(server.serve)
        for loop in (self.operator.run, self.servers.run):
            self.tasks.start_soon(keep_running, loop)
        self.node.start()

    async def stop(self) -> None:
        """Hand over, serve open connections a little longer, and end."""
        self.log.write("daemon-stopping")
        await self.node.leave()
        await anyio.sleep(self.settings.timing.grace * SERVE_ON_PART)
        self.callers.stop()
        while self.callers.busy:
            await anyio.sleep(0.02)
        self.log.write("daemon-stopped")
        self.log.flush()

    def reload(self, path: str) -> None:
        """Read the settings again; what only a new process can take over is left."""
        try:
            settings = read_settings(path)
        except SettingsError as error:
            self.log.write("settings-unreadable", reason=str(error))
            return
        self.around.timing = settings.timing
        self.log.write("settings-read")

    def _operator_wrote(self, events: list[Event]) -> None:
        for event in events:
            if event.value is None:
                continue
            try:
                if event.key == CONFIG_KEY:
                    self.node.use_config(decode_config(event.value))
                elif event.key.startswith(WAVE_PREFIX):
                    wave = decode_wave(event.key, event.value)
                    self.board.waves[wave.name] = wave
            except RecordError as error:
                self.log.write(
                    "operator-unreadable",
                    key=event.key,
                    revision=event.revision,
                    reason=str(error),
                )

    def _workers_wrote(self, events: list[Event]) -> None:
        for event in events:
            worker_id = event.key.removeprefix(SERVERS_PREFIX)
            self.workers.pop(worker_id, None)
            if event.value is not None:
                try:
                    self.workers[worker_id] = decode_worker(event.key, event.value)
                except RecordError as error:
                    self.log.write("worker-unreadable", worker=worker_id, reason=str(error))
        self.node.use_workers(dict(self.workers))

    def _workers_gap(self) -> float:
        return OWNER_GAP_SECONDS if self.node.owned else IDLE_GAP_SECONDS

    def _lost(self, reason: str) -> None:
        self.log.write("config-away" if reason else "config-back", reason=reason)


async def run(path: str, settings: PlatformSettings) -> None:
    """Run the daemon until SIGTERM or SIGINT, then stop gracefully."""
    async with anyio.create_task_group() as tasks:
        daemon = PlatformDaemon(settings, tasks)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            await daemon.start()
            async for received in signals:
                if received != signal.SIGHUP:
                    break
                daemon.reload(path)
            await daemon.stop()
        tasks.cancel_scope.cancel()


def main() -> None:
    """Run the daemon on the platform."""
    gc.set_threshold(GARBAGE_THRESHOLD)
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = read_settings(path)
    except SettingsError as error:
        print(f"limpetpulley: {SETTINGS_VARIABLE}: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    anyio.run(run, path, settings)
