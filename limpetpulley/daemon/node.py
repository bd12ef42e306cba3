"""One daemon, put together from its parts."""

from __future__ import annotations

import random
import secrets

import anyio
from absl import logging

from ..api import CallersApp, HttpServer, OperatorsApp
from ..clock import Clock, SystemClock
from ..config import ConfigReplica, Queue, Team, Vm, VmPhase
from ..config.writer import ConfigWriter
from ..exception import PeerError, PlatformError
from ..fleet import FleetPlanner, FleetReport
from ..idempotency import RecordBook
from ..jobs import JobService
from ..keyspace import Keyspace
from ..membership import Collecting, Member, MemberInfo, decode_view, encode_view
from ..metrics import make_metrics
from ..peer import PeerClient, PeerServer, convert
from ..peer import peer_pb2 as pb
from ..platform import Store, VmList, Workers
from ..quota import Ledger, pool_group, slot_resource, team_group, team_resource
from ..routing import Dispatcher, EndpointConnections, EndpointSet, Health
from ..scheduling import Admission, PoolLoad, RunTimes
from ..scheduling.starter import Starter
from ..settings import Settings
from .forwarding import MemberForwarder
from .handlers import PeerHandlers, collect_report, push_records
from .heartbeat import Heartbeats
from .once import RECORD_SECONDS, KeyedJobs
from .peers import PeerTable
from .status import build_status
from .store_link import StoreLink
from .trading import Trader

__all__ = ["Node"]

SWEEP_SECONDS = 0.02
PRUNE_SECONDS = 1.0
LIST_SECONDS = 1.0
QUARANTINE_MARGIN_SECONDS = 5.0
LEAVE_NOTICE_SECONDS = 0.5
POLL_SECONDS = 0.05


class Node:
    """A daemon that has not started yet.

    :param settings: its settings
    :param store: the platform's store
    :param vm_list: the platform's list of VMs
    :param workers: the platform's controls of its workers
    :param clock: clock that decisions are made against
    :param tasks: task group that everything runs in
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        vm_list: VmList,
        workers: Workers,
        tasks: anyio.abc.TaskGroup,
        clock: Clock | None = None,
    ):
        self.settings = settings
        self.store = store
        self.vm_list = vm_list
        self.workers = workers
        self.tasks = tasks
        self.clock = clock or SystemClock()
        self.rng = random.Random()
        self.leaving = False
        self.groups: list[str] = []
        self.view_bytes: tuple[int, bytes] = (0, b"")
        self.metrics = make_metrics(settings.statsd)
        self.replica = ConfigReplica()
        self.keyspace = Keyspace(settings.prefix)
        self.peer_server = PeerServer(PeerHandlers(self), settings.host, settings.peers_port)
        self._build_membership()
        self._build_jobs()
        self._build_servers()

    def _build_membership(self) -> None:
        settings, clock = self.settings, self.clock
        name = f"{settings.name}-{secrets.token_hex(4)}"
        self.callers_socket = HttpServer(
            lambda *args: self.callers_app(*args),
            settings.host,
            settings.callers_port,
            settings.max_connections,
        )
        info = MemberInfo(
            name,
            settings.name,
            settings.data_centre,
            f"{settings.host}:{self.peer_server.port}",
            f"{settings.host}:{self.callers_socket.port}",
        )
        self.ledger = Ledger(name)
        self.member = Member(
            info, clock, self.ledger, settings.validity_seconds, settings.vm_list_lag_seconds
        )
        self.peers = PeerTable(clock, self.member)
        self.client = PeerClient()
        self.link = StoreLink(
            self.store,
            self.keyspace,
            clock,
            self.replica,
            self.member,
            self.limits,
            self.collect,
            self.on_config,
            self.on_view,
        )
        self.link.record_seconds = RECORD_SECONDS
        self.heartbeats = Heartbeats(self)

    def _build_jobs(self) -> None:
        settings, clock, member = self.settings, self.clock, self.member
        self.health = Health(clock)
        self.endpoints = EndpointSet(settings.data_centre, clock, self.health)
        self.starter = Starter(
            member.name,
            settings.data_centre,
            clock,
            self.ledger,
            self.endpoints,
            self.rng,
            member.is_valid,
        )
        self.trader = Trader(
            clock, member, self.ledger, self.starter, self.peers, self.client, self.tasks, self.rng
        )
        self.connections = EndpointConnections(clock)
        self.run_times = RunTimes()
        self.admission = Admission()
        self.dispatcher = Dispatcher(
            clock,
            self.starter,
            self.endpoints,
            self.connections,
            self.run_times,
            self.tasks,
            self.metrics,
            self.rng,
        )
        self.book = RecordBook(clock)
        self.keyed = KeyedJobs(clock, member, self.book, self.peers, self.client, self.tasks)
        self.forwarder = MemberForwarder(clock, member, self.peers, self.tasks, self.rng)
        self.jobs = JobService(
            clock,
            self.replica,
            self.dispatcher,
            self.starter,
            self.admission,
            self.run_times,
            self.keyed,
            self.forwarder,
            self.metrics,
            self.is_fresh,
            self.pool_load,
        )

    def _build_servers(self) -> None:
        settings = self.settings
        self.callers_app = CallersApp(self.jobs, self, settings.max_body_bytes)
        self.writer = ConfigWriter(self.store, self.keyspace)
        self.planner = FleetPlanner(
            self.member.name,
            self.clock,
            self.store,
            self.keyspace,
            self.replica,
            self.writer,
            self.endpoints,
            self.workers,
            self.metrics,
            self.peers_are_idle,
            self.pool_demand,
        )
        operators = OperatorsApp(
            self.replica,
            self.writer,
            self.jobs,
            lambda: build_status(self),
            self,
            settings.operator_key,
            FleetReport(self.planner),
        )
        self.operators_server = HttpServer(operators, settings.host, settings.operators_port)

    # Life

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Run until the task group is cancelled."""
        await self.peer_server.start()
        await self.tasks.start(self.callers_socket.serve)
        await self.tasks.start(self.operators_server.serve)
        for job in (
            self.link.run,
            self.heartbeats.run,
            self.trader.run,
            self._sweep,
            self._prune,
            self._keep_list,
            self.planner.run,
        ):
            self.tasks.start_soon(job)
        info = self.member.info
        logging.info(
            "started member=%s callers=%s operators=%d peers=%s",
            info.member,
            info.caller_address,
            self.operators_server.port,
            info.peer_address,
        )
        task_status.started()

    async def stop(self) -> None:
        """Leave without cutting off a request, within the time that the settings allow."""
        logging.info("decision=leave member=%s reason=stop", self.member.name)
        self.leaving = True
        self.link.joinable = False
        self.heartbeats.beat()
        await anyio.sleep(LEAVE_NOTICE_SECONDS)
        self.callers_socket.stop()
        with anyio.move_on_after(self.settings.stop_seconds):
            while not self.idle():
                await anyio.sleep(POLL_SECONDS)
            await self._leave()
        self.operators_server.stop()
        await self.peer_server.stop()
        await self.connections.aclose()
        await self.forwarder.connections.aclose()
        self.client.close()
        logging.info("stopped member=%s", self.member.name)

    def idle(self) -> bool:
        """Return whether no caller's request and no job is running."""
        busy = self.callers_socket.server.server_state.tasks
        dispatcher = self.dispatcher
        return not (busy or dispatcher.active or dispatcher.held or len(self.starter.waiting))

    async def _leave(self) -> None:
        """Give up the membership: at the store, or to another daemon if the store is away."""
        if not self.member.is_member:
            return
        view = self.member.view
        if view is not None and self.link.available and len(view.members) > 1:
            self.trader.hand_out()
            await anyio.sleep(LEAVE_NOTICE_SECONDS)
            if await self._leave_at_store():
                return
        await self._hand_over()

    async def _leave_at_store(self) -> bool:
        for _ in range(20):
            proposal = self.member.propose_leaving(self.limits())
            if proposal is None:
                return not self.member.is_member
            try:
                if await self.link.write(proposal):
                    await self._push_all_records()
                    return True
            except Exception as error:  # noqa: BLE001
                logging.warning("leaving: %s", error)
                return False
            await anyio.sleep(POLL_SECONDS)
        return False

    async def _push_all_records(self) -> None:
        """Send the records held here to their holders in the view without this member."""
        view = self.member.view
        if view is not None:
            try:
                await push_records(self, view)
            except PeerError as error:
                logging.warning("leaving: %s", error)

    async def _hand_over(self) -> None:
        """Hand this membership on to a daemon that has none."""
        member = self.member
        if member.view is None or not self.ledger.trading:
            return
        member.stopped = True
        message = pb.Handover(
            member=member.name,
            epoch=self.ledger.epoch,
            view=self.encoded_view(),
            view_revision=member.view_revision,
            permits=[
                pb.Permits(resource=resource, held=held)
                for resource, held in self.ledger.report().items()
            ],
            records=[convert.to_key_record(record, self.clock.now()) for record in self.book.all()],
            incarnation=member.info.incarnation + 1,
        )
        successor = None
        while True:
            candidates = self.peers.successors()
            successor = successor or (candidates[0] if candidates else None)
            if successor is not None:
                try:
                    reply = await self.client.call(successor.peer_address, "HandOver", message)
                    if reply.taken:
                        logging.info(
                            "decision=hand-over member=%s to=%s reason=leaving",
                            member.name,
                            successor.member,
                        )
                        return
                    successor = None
                except PeerError as error:
                    logging.info("decision=hand-over member=%s reason=%s", member.name, error)
            await anyio.sleep(POLL_SECONDS * 4)

    def take_over(self, message: pb.Handover) -> bool:
        """Take over the membership of a daemon that leaves; return whether it is taken."""
        if self.member.name == message.member:
            return True
        if self.member.is_member or self.leaving:
            return False
        now = self.clock.now()
        member = self.member
        view = decode_view(message.view)
        member.info = MemberInfo(
            message.member,
            self.settings.name,
            self.settings.data_centre,
            member.info.peer_address,
            member.info.caller_address,
            message.incarnation,
        )
        self.starter.member = message.member
        self.ledger.owner = f"{message.member}.{message.incarnation}"
        member.view, member.view_revision, member.view_since = view, message.view_revision, now
        member.applied_serial = view.serial
        member.acknowledged = dict.fromkeys(view.names, now)
        self.ledger.open_epoch(
            message.epoch, {permits.resource: permits.held for permits in message.permits}
        )
        self.book.put(convert.from_key_record(record, now) for record in message.records)
        self.on_view()
        self.heartbeats.beat()
        logging.info("decision=take-over member=%s reason=handed-over", message.member)
        return True

    # What the parts ask of the whole

    def not_ready(self) -> str:
        """Return why this daemon takes no jobs, or an empty string."""
        if self.leaving:
            return "leaving"
        if not self.link.config_loaded:
            return "no configuration yet"
        if self.forwarder.needed() and len(self.peers.live()) < 1:
            return "not a member yet"
        return ""

    def is_fresh(self) -> bool:
        """Return whether a withdrawn key would be known here."""
        if not self.link.config_loaded:
            return False
        age = self.clock.now() - self.link.confirmed_at
        return age <= self.settings.freshness_seconds or self.peers.majority_live()

    def limits(self) -> dict[str, int]:
        """Return the limits that the configuration calls for, by resource."""
        limits = {team_resource(team.name): team.limit for team in self.replica.all(Team.kind)}
        limits.update((slot_resource(vm.name), vm.slots) for vm in self.replica.all(Vm.kind))
        return limits

    def pool_load(self, pool: str) -> PoolLoad:
        """Return what is known of a pool's load across all daemons."""
        load = self.trader.pool_load(pool_group(pool))
        return PoolLoad(self.endpoints.slots(pool), load.running, load.waiting)

    def busy_vms(self) -> list[str]:
        """Return the VMs that are on their way out and still run jobs of this daemon."""
        return [
            vm.name
            for vm in self.endpoints.vms.values()
            if vm.phase is not VmPhase.JOINED
            and self.ledger.holding(slot_resource(vm.name)).used > 0
        ]

    def peers_are_idle(self, vm: str, revision: int) -> bool:
        """Return whether no daemon runs a job on a VM, nor starts one, as of a revision."""
        view = self.member.view
        if view is None or self.ledger.holding(slot_resource(vm)).used > 0:
            return False
        if any(item.permits.get(slot_resource(vm), 0) for item in view.quarantine):
            return False
        return all(
            self.peers.is_idle(name, vm, revision) for name in view.names - {self.member.name}
        )

    def pool_demand(self, pool: str) -> tuple[int, int]:
        """Return the running and waiting jobs of a pool across all daemons."""
        running = sum(n for (found, _), n in self.starter.running.items() if found == pool)
        waiting = sum(n for (found, _), n in self.starter.waiting.counts.items() if found == pool)
        others_running, others_waiting = self.peers.demand(pool)
        return running + others_running, waiting + others_waiting

    def hear(self, message: pb.Heartbeat) -> None:
        """Take another daemon's heartbeat."""
        info = convert.from_member_info(message.sender)
        self.peers.hear(info, message.config_revision, message.is_member, message.leaving)
        self.peers.hear_fleet(
            info.member,
            message.config_revision,
            frozenset(message.busy_vms),
            {item.pool: (item.running, item.waiting) for item in message.demand},
        )
        if message.reports:
            self.trader.receive_reports(
                convert.from_report(report, info.member, info.data_centre)
                for report in message.reports
            )

    async def collect(self, collecting: Collecting, name: str) -> dict[str, int] | None:
        """Return a member's report for a view, or None if it may not report yet.

        :raises PeerError: if the member does not answer
        """
        if name == self.member.name:
            return await collect_report(self, collecting.view, collecting.view_revision)
        info = self.peers.find(name) or collecting.view.find(name)
        request = pb.CollectRequest(
            view=encode_view(collecting.view), view_revision=collecting.view_revision
        )
        assert info is not None
        reply = await self.client.call(info.peer_address, "Collect", request)
        return dict(reply.held) if reply.reported else None

    def encoded_view(self) -> bytes:
        """Return the view as the store keeps it."""
        if self.view_bytes[0] != self.member.view_revision and self.member.view is not None:
            self.view_bytes = (self.member.view_revision, encode_view(self.member.view))
        return self.view_bytes[1]

    def on_config(self) -> None:
        """Take a changed configuration into use."""
        teams = self.replica.all(Team.kind)
        self.endpoints.update(self.replica)
        self.starter.weights = {team.name: team.weight for team in teams}
        self.admission.weights = self.starter.weights
        self.admission.limits = {team.name: team.limit for team in teams}
        longest = max((queue.max_seconds for queue in self.replica.all(Queue.kind)), default=0.0)
        self.link.quarantine_seconds = longest + QUARANTINE_MARGIN_SECONDS
        self.groups = [pool_group(pool) for pool in self.endpoints.pools]
        self.groups += [team_group(team.name) for team in teams]
        self._apply_reductions()
        self.starter.start_all_ready()
        self.heartbeats.beat_soon()

    def on_view(self) -> None:
        """Take a changed view into use."""
        self._apply_reductions()
        view = self.member.view
        if view is not None:
            self.connections.share(len(view.members))
        self.starter.start_all_ready()

    def _apply_reductions(self) -> None:
        self.ledger.reductions.clear()
        if self.link.config_loaded:
            for resource, (new, old) in self.member.lowered_limits(self.limits()).items():
                self.ledger.lower(resource, new, old)

    # Regular work

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_SECONDS)
            if len(self.starter.waiting):
                self.starter.give_up_hopeless()
                if self.member.is_valid():
                    self.starter.start_all_ready()

    async def _prune(self) -> None:
        while True:
            await anyio.sleep(PRUNE_SECONDS)
            await self.connections.prune()
            await self.forwarder.connections.prune()
            self.book.expire()
            self.metrics.gauge("jobs.waiting", len(self.starter.waiting))
            self.metrics.gauge("jobs.running", self.dispatcher.active)

    async def _keep_list(self) -> None:
        while True:
            try:
                listed = await self.vm_list.list_vms()
                self.endpoints.update_list(listed)
                self.planner.observe()
                self.member.see_list(vm.name for vm in listed)
            except PlatformError as error:
                logging.warning("platform: %s", error)
            await anyio.sleep(LIST_SECONDS)
