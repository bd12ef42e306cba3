"""One daemon's logic, put together from its parts; everything but its sockets."""

from __future__ import annotations

import random

import anyio
import attrs
from absl import logging

from ..clock import Clock
from ..config import ConfigReplica, Queue, Team, Vm, VmPhase
from ..config.writer import ConfigWriter
from ..exception import PlatformError
from ..fleet.planner import FleetPlanner
from ..fleet.report import FleetReport
from ..idempotency import KeyRecordTable
from ..jobs import JobService
from ..keyspace import Keyspace
from ..membership import Member, MemberInfo, ReportCollection, encode_view
from ..metrics import Metrics, NullMetrics
from ..peer import PeerCaller, convert
from ..peer import peer_pb2 as pb
from ..quota.ledger import Ledger
from ..quota.resource import pool_group, slot_resource, team_group, team_resource
from ..routing import Connections, Dispatcher, EndpointHealth, EndpointSet
from ..scheduling.admission import Admission, PoolLoad
from ..scheduling.runtimes import RunTimes
from ..scheduling.starter import Starter
from ..settings import Settings
from ..store import Store
from ..tasks import keep_running
from ..vms import VmControl, VmList
from .claims import DEADLINES_KEPT, RECORD_SECONDS, KeyClaims
from .forwarding import MemberForwarder
from .heartbeat import Heartbeats
from .once import KeyedJobs
from .peers import PeerTable
from .reporting import collect_report
from .store_link import StoreLink
from .trading import Trader

__all__ = ["Node", "Surroundings"]

SWEEP_SECONDS = 0.02
PRUNE_SECONDS = 1.0
LIST_SECONDS = 1.0
QUARANTINE_MARGIN_SECONDS = 5.0


@attrs.define
class Surroundings:
    """What a daemon meets outside itself.

    :param store: the platform's store
    :param vm_list: the platform's list of VMs
    :param workers: the platform's controls of its workers
    :param client: calls to other daemons
    :param endpoints: connections to endpoints
    :param members: connections to other daemons' callers' interface
    :param tasks: task group that everything runs in
    :param clock: clock that decisions are made against
    :param rng: random source
    :param metrics: where counts go
    """

    store: Store
    vm_list: VmList
    workers: VmControl
    client: PeerCaller
    endpoints: Connections
    members: Connections
    tasks: anyio.abc.TaskGroup
    clock: Clock
    rng: random.Random
    metrics: Metrics = attrs.field(factory=NullMetrics)


class Node:
    """A daemon without its sockets.

    :param settings: its settings
    :param around: what it meets outside
    :param peer_address: ``host:port`` that other daemons reach it at
    :param caller_address: ``host:port`` that jobs are passed on to
    """

    def __init__(
        self, settings: Settings, around: Surroundings, peer_address: str, caller_address: str
    ):
        self.settings = settings
        self.around = around
        self.tasks = around.tasks
        self.clock = around.clock
        self.rng = around.rng
        self.metrics = around.metrics
        self.client = around.client
        self.leaving = False
        self.groups: list[str] = []
        self.view_bytes: tuple[int, bytes] = (0, b"")
        self.loops = anyio.CancelScope()
        self.replica = ConfigReplica()
        self.keyspace = Keyspace(settings.prefix)
        self.writer = ConfigWriter(around.store, self.keyspace, self.rng)
        self._build_membership(peer_address, caller_address)
        self._build_starting()
        self._build_jobs()
        self._build_fleet()

    def _build_membership(self, peer_address: str, caller_address: str) -> None:
        settings, clock = self.settings, self.clock
        info = MemberInfo(
            f"{settings.name}-{self.rng.getrandbits(32):08x}",
            settings.name,
            settings.data_centre,
            peer_address,
            caller_address,
        )
        self.ledger = Ledger(info.member)
        self.member = Member(
            info, clock, self.ledger, settings.validity_seconds, settings.vm_list_lag_seconds
        )
        self.peers = PeerTable(clock, self.member)
        self.link = StoreLink(
            self.around.store,
            self.keyspace,
            clock,
            self.replica,
            self.member,
            self.limits,
            self.collect,
            self.on_config,
            self.on_view,
        )
        self.heartbeats = Heartbeats(self)

    def _build_starting(self) -> None:
        self.health = EndpointHealth(self.clock)
        self.endpoints = EndpointSet(self.settings.data_centre, self.clock, self.health)
        self.starter = Starter(
            self.member.name,
            self.settings.data_centre,
            self.clock,
            self.ledger,
            self.endpoints,
            self.rng,
            self.member.is_valid,
        )
        self.trader = Trader(
            self.clock,
            self.member,
            self.ledger,
            self.starter,
            self.peers,
            self.client,
            self.tasks,
            self.rng,
        )

    def _build_jobs(self) -> None:
        clock, member = self.clock, self.member
        self.run_times = RunTimes()
        self.admission = Admission()
        self.dispatcher = Dispatcher(
            clock,
            self.starter,
            self.endpoints,
            self.around.endpoints,
            self.run_times,
            self.tasks,
            self.metrics,
        )
        self.book = KeyRecordTable(clock)
        self.claims = KeyClaims(clock, member, self.book, self.peers, self.client)
        self.keyed = KeyedJobs(clock, member, self.claims, self.peers, self.client, self.tasks)
        self.forwarder = MemberForwarder(
            clock, member, self.peers, self.around.members, self.tasks, self.rng
        )
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
            self.rng,
        )

    def _build_fleet(self) -> None:
        self.planner = FleetPlanner(
            self.member.name,
            self.clock,
            self.around.store,
            self.keyspace,
            self.replica,
            self.writer,
            self.endpoints,
            self.around.workers,
            self.metrics,
            self.is_idle_everywhere,
            self.pool_demand,
        )
        self.fleet_report = FleetReport(self.planner)

    async def run(self) -> None:
        """Run until :attr:`loops` is cancelled."""
        with self.loops:
            async with anyio.create_task_group() as tasks:
                for loop in (
                    self.link.run,
                    self.heartbeats.run,
                    self.trader.run,
                    self.planner.run,
                    self._sweep,
                    self._prune,
                    self._keep_list,
                ):
                    tasks.start_soon(keep_running, loop)

    # What the parts ask of the whole

    def not_ready(self) -> str:
        """Return why this daemon takes no jobs, or an empty string."""
        if self.leaving:
            return "leaving"
        if not self.link.config_loaded:
            return "no configuration yet"
        if self.forwarder.must_forward() and not self.peers.live():
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

    def is_idle_everywhere(self, vm: str, revision: int) -> bool:
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
        self.trader.touch_reports(info.member)
        if message.reports:
            self.trader.receive_reports(
                convert.from_report(report, info.member, info.data_centre)
                for report in message.reports
            )

    async def collect(self, collecting: ReportCollection, name: str) -> dict[str, int] | None:
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
        self.link.record_seconds = max(RECORD_SECONDS, DEADLINES_KEPT * longest)
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
            self.around.endpoints.set_daemon_count(len(view.members))
        self.starter.start_all_ready()

    def _apply_reductions(self) -> None:
        self.ledger.reductions.clear()
        if self.link.config_loaded:
            for resource, (new, old) in self.member.lowered_limits(self.limits()).items():
                self.ledger.lower_limit(resource, new, old)

    # Regular work

    async def _sweep(self) -> None:
        while True:
            if not len(self.starter.waiting):
                self.starter.arrived = anyio.Event()
                await self.starter.arrived.wait()
            await anyio.sleep(SWEEP_SECONDS)
            self.starter.drop_hopeless()
            if self.member.is_valid():
                self.starter.start_all_ready()

    async def _prune(self) -> None:
        while True:
            await anyio.sleep(PRUNE_SECONDS)
            await self.around.endpoints.prune()
            await self.around.members.prune()
            self.book.expire()
            self.metrics.gauge("jobs.waiting", len(self.starter.waiting))
            self.metrics.gauge("jobs.running", self.dispatcher.active)

    async def _keep_list(self) -> None:
        while True:
            try:
                listed = await self.around.vm_list.list_vms()
                self.endpoints.update_listed_vms(listed)
                self.planner.observe()
                self.member.record_listed_vms(vm.name for vm in listed)
            except PlatformError as error:
                logging.warning("platform: %s", error)
            await anyio.sleep(LIST_SECONDS)
