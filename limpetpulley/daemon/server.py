"""The daemon: a node with its sockets, which can be started and gracefully stopped."""

from __future__ import annotations

import random

import anyio
from absl import logging

from ..api.batches import BATCH_PATH
from ..api.callers import CallersApp
from ..api.http import Receive, Scope, Send
from ..api.metrics import MetricsApp
from ..api.operators import OperatorsApp
from ..api.server import HttpServer
from ..clock import SystemClock
from ..exception import LimpetpulleyError
from ..http_client import PooledHttpClient
from ..metrics import make_metrics
from ..ownership.freshness import ReplicaFreshness
from ..peer import BatchStub, PeerClient, PeerServer
from ..peer.peer_grpc import PeerStub
from ..routing import EndpointConnections
from ..settings import Settings
from ..store import Store
from ..telemetry import BatchMetrics, EventLog
from ..vms import VmControl, VmList
from .batch_jobs import BatchJobs
from .departure import leave
from .handlers import PeerHandlers
from .node import Node, NodeDependencies
from .status import build_status

__all__ = ["Daemon"]

LEAVE_NOTICE_SECONDS = 0.5
POLL_SECONDS = 0.05
METRICS_PATH = "/metrics"


class Daemon:
    """A daemon that listens for callers, operators and other daemons.

    :param settings: the daemon's settings
    :param store: the platform's store
    :param vm_list: the platform's list of VMs
    :param vm_control: the platform's interface for rebooting VMs and stopping their tasks
    :param tasks: task group that all tasks run in
    :param log: event log for decisions on batch jobs
    :param metrics: metrics of batch jobs, served to operators at ``/metrics``
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        vm_list: VmList,
        vm_control: VmControl,
        tasks: anyio.abc.TaskGroup,
        log: EventLog,
        metrics: BatchMetrics,
    ):
        self.settings = settings
        self.tasks = tasks
        clock = SystemClock()
        dependencies = NodeDependencies(
            store,
            vm_list,
            vm_control,
            PeerClient(PeerStub),
            EndpointConnections(clock),
            EndpointConnections(clock),
            tasks,
            clock,
            random.Random(),
            make_metrics(settings.statsd),
        )
        handlers = PeerHandlers()
        self.peer_server = PeerServer([handlers], settings.host, settings.peers_port)
        self.callers_app = CallersApp(settings.max_body_bytes)
        self.callers_server = HttpServer(
            self.serve_caller, settings.host, settings.callers_port, settings.max_connections
        )
        peer_address = settings.peer_address or f"{settings.host}:{self.peer_server.port}"
        caller_address = f"{settings.host}:{self.callers_server.port}"
        self.node = Node(settings, dependencies, peer_address, caller_address)
        handlers.node = self.node
        self._build_batch_jobs(store, peer_address, log, metrics)
        self.callers_app.set_services(self.node.jobs, self.node)
        self.operators_app = OperatorsApp(
            self.node.replica,
            self.node.writer,
            self.node.jobs,
            lambda: build_status(self.node, self.batch_jobs.node.failures.rows()),
            self.node,
            settings.operator_key,
            self.node.fleet_report,
        )
        self.metrics_app = MetricsApp(metrics)
        self.operators_server = HttpServer(
            self.serve_operator, settings.host, settings.operators_port
        )

    def _build_batch_jobs(
        self, store: Store, peer_address: str, log: EventLog, metrics: BatchMetrics
    ) -> None:
        self.http = PooledHttpClient()
        self.batch_client = PeerClient(BatchStub)
        self.batch_jobs = BatchJobs(
            self.settings,
            self.node.replica,
            lambda: self.node.store_sync.config_loaded,
            ReplicaFreshness(self.node.store_sync.config_age, self.node.is_config_fresh),
            store,
            self.batch_client,
            self.http,
            self.node.clock,
            self.tasks,
            peer_address,
            log,
            metrics,
        )
        self.peer_server.services.append(self.batch_jobs.handlers)
        self.node.store_sync.on_config = self.on_config

    async def start(self) -> None:
        """Start listening and run the node."""
        await self.peer_server.start()
        await self.tasks.start(self.callers_server.serve)
        await self.tasks.start(self.operators_server.serve)
        self.tasks.start_soon(self.node.run)
        info = self.node.member.info
        logging.info(
            "started member=%s callers=%s operators=%d peers=%s",
            info.member,
            info.caller_address,
            self.operators_server.port,
            info.peer_address,
        )

    def on_config(self) -> None:
        """Apply a changed configuration to the node and to batch jobs."""
        self.node.on_config()
        self.batch_jobs.on_config()

    async def serve_caller(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle a request from a caller."""
        is_batch = scope["type"] == "http" and BATCH_PATH.fullmatch(scope["path"])
        app = self.batch_jobs if is_batch else self.callers_app
        await app(scope, receive, send)

    async def serve_operator(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle a request from an operator."""
        is_metrics = scope["type"] == "http" and scope["path"] == METRICS_PATH
        app = self.metrics_app if is_metrics else self.operators_app
        await app(scope, receive, send)

    async def stop(self) -> None:
        """Stop gracefully: finish all requests and jobs within ``stop_seconds``, then leave."""
        node = self.node
        logging.info("decision=leave member=%s reason=stop", node.member.name)
        node.leaving = True
        node.store_sync.may_join = False
        node.heartbeats.broadcast()
        await self.batch_jobs.leave()
        await anyio.sleep(LEAVE_NOTICE_SECONDS)
        self.callers_server.stop()
        with anyio.move_on_after(self.settings.stop_seconds):
            while not self.is_idle():
                await anyio.sleep(POLL_SECONDS)
            await self._release_planner()
            await leave(node)
        node.run_scope.cancel()
        self.operators_server.stop()
        await self.peer_server.stop()
        await node.dependencies.endpoints.aclose()
        await node.dependencies.members.aclose()
        node.peer_client.close()
        self.batch_client.close()
        await self.http.aclose()
        logging.info("stopped member=%s", node.member.name)

    def is_idle(self) -> bool:
        """Return whether no request of a caller is open and no job is waiting or running."""
        dispatcher = self.node.dispatcher
        waiting = len(self.node.starter.waiting)
        return not (self.callers_server.is_busy or dispatcher.active or dispatcher.held or waiting)

    async def _release_planner(self) -> None:
        try:
            await self.node.planner.release()
        except LimpetpulleyError as error:
            logging.info("decision=plan planner=%s reason=%s", self.node.member.name, error)
