"""A daemon with its sockets: start, serve, stop gracefully."""

from __future__ import annotations

import random

import anyio
from absl import logging

from ..api import CallersApp, HttpServer, OperatorsApp
from ..clock import SystemClock
from ..exception import LimpetpulleyError
from ..metrics import make_metrics
from ..peer import PeerClient, PeerServer
from ..routing import EndpointConnections
from ..settings import Settings
from ..store import Store
from ..vms import VmList, Workers
from .departure import leave
from .handlers import PeerHandlers
from .node import Node, Surroundings
from .status import build_status

__all__ = ["Daemon"]

LEAVE_NOTICE_SECONDS = 0.5
POLL_SECONDS = 0.05


class Daemon:
    """A daemon that listens for callers, operators and other daemons.

    :param settings: its settings
    :param store: the platform's store
    :param vm_list: the platform's list of VMs
    :param workers: the platform's controls of its workers
    :param tasks: task group that everything runs in
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        vm_list: VmList,
        workers: Workers,
        tasks: anyio.abc.TaskGroup,
    ):
        self.settings = settings
        self.tasks = tasks
        clock = SystemClock()
        around = Surroundings(
            store,
            vm_list,
            workers,
            PeerClient(),
            EndpointConnections(clock),
            EndpointConnections(clock),
            tasks,
            clock,
            random.Random(),
            make_metrics(settings.statsd),
        )
        handlers = PeerHandlers()
        self.peer_server = PeerServer([handlers], settings.host, settings.peers_port)
        self.callers = CallersApp(settings.max_body_bytes)
        self.callers_server = HttpServer(
            self.callers, settings.host, settings.callers_port, settings.max_connections
        )
        self.node = Node(
            settings,
            around,
            settings.peer_address or f"{settings.host}:{self.peer_server.port}",
            f"{settings.host}:{self.callers_server.port}",
        )
        handlers.node = self.node
        self.callers.connect(self.node.jobs, self.node)
        operators = OperatorsApp(
            self.node.replica,
            self.node.writer,
            self.node.jobs,
            lambda: build_status(self.node),
            self.node,
            settings.operator_key,
            self.node.fleet_report,
        )
        self.operators_server = HttpServer(operators, settings.host, settings.operators_port)

    async def start(self) -> None:
        """Start to listen and to run."""
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

    async def stop(self) -> None:
        """Leave without cutting off a request, within the time that the settings allow."""
        node = self.node
        logging.info("decision=leave member=%s reason=stop", node.member.name)
        node.leaving = True
        node.link.joinable = False
        node.heartbeats.beat()
        await anyio.sleep(LEAVE_NOTICE_SECONDS)
        self.callers_server.stop()
        with anyio.move_on_after(self.settings.stop_seconds):
            while not self.idle():
                await anyio.sleep(POLL_SECONDS)
            await self._release_planner()
            await leave(node)
        node.loops.cancel()
        self.operators_server.stop()
        await self.peer_server.stop()
        await node.around.endpoints.aclose()
        await node.around.members.aclose()
        node.client.close()
        logging.info("stopped member=%s", node.member.name)

    def idle(self) -> bool:
        """Return whether no caller's request and no job is running."""
        dispatcher = self.node.dispatcher
        waiting = len(self.node.starter.waiting)
        return not (self.callers_server.busy or dispatcher.active or dispatcher.held or waiting)

    async def _release_planner(self) -> None:
        try:
            await self.node.planner.release()
        except LimpetpulleyError as error:
            logging.info("decision=plan planner=%s reason=%s", self.node.member.name, error)
