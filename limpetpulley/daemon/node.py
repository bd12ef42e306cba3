"""The node: all components of a daemon except its sockets."""

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
from .claims import MIN_RECORD_SECONDS, RECORD_DEADLINE_FACTOR, KeyClaims
from .forwarding import MemberForwarder
from .heartbeat import Heartbeats
from .keyed_jobs import KeyedJobs
from .peers import PeerTable
from .permit_distribution import PermitDistributor
from .reporting import collect_report
from .store_sync import StoreSync

__all__ = ["Node", "NodeDependencies"]

SWEEP_INTERVAL_SECONDS = 0.02
PRUNE_INTERVAL_SECONDS = 1.0
VM_LIST_INTERVAL_SECONDS = 1.0
QUARANTINE_MARGIN_SECONDS = 5.0


@attrs.define
class NodeDependencies:
    """External services and resources that a node uses.

    :param store: the platform's store
    :param vm_list: the platform's list of VMs
    :param vm_control: the platform's interface for rebooting VMs and stopping their tasks
    :param peer_client: client for calls to other daemons
    :param endpoints: connections to the endpoints
    :param members: connections to the callers' interface of other daemons
    :param tasks: task group that all tasks run in
    :param clock: clock that decisions are based on
    :param rng: random source
    :param metrics: sink for counters and gauges
    """

    store: Store
    vm_list: VmList
    vm_control: VmControl
    peer_client: PeerCaller
    endpoints: Connections
    members: Connections
    tasks: anyio.abc.TaskGroup
    clock: Clock
    rng: random.Random
    metrics: Metrics = attrs.field(factory=NullMetrics)


class Node:
    """A daemon without its sockets.

    :param settings: the daemon's settings
    :param dependencies: external services and resources
    :param peer_address: ``host:port`` for calls from other daemons
    :param caller_address: ``host:port`` for jobs forwarded to this daemon
    """

    def __init__(
        self,
        settings: Settings,
        dependencies: NodeDependencies,
        peer_address: str,
        caller_address: str,
    ):
        self.settings = settings
        self.dependencies = dependencies
        self.tasks = dependencies.tasks
        self.clock = dependencies.clock
        self.rng = dependencies.rng
        self.metrics = dependencies.metrics
        self.peer_client = dependencies.peer_client
        self.leaving = False
        self.permit_groups: list[str] = []
        self.encoded_view_cache: tuple[int, bytes] = (0, b"")
        self.run_scope = anyio.CancelScope()
        self.replica = ConfigReplica()
        self.keyspace = Keyspace(settings.prefix)
        self.writer = ConfigWriter(dependencies.store, self.keyspace, self.rng)
        self._build_membership(peer_address, caller_address)
        self._build_scheduling()
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
        self.store_sync = StoreSync(
            self.dependencies.store,
            self.keyspace,
            clock,
            self.replica,
            self.member,
            self.configured_limits,
            self.request_report,
            self.on_config,
            self.on_view,
        )
        self.heartbeats = Heartbeats(self)

    def _build_scheduling(self) -> None:
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
        self.permit_distributor = PermitDistributor(
            self.clock,
            self.member,
            self.ledger,
            self.starter,
            self.peers,
            self.peer_client,
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
            self.dependencies.endpoints,
            self.run_times,
            self.tasks,
            self.metrics,
        )
        self.key_records = KeyRecordTable(clock)
        self.claims = KeyClaims(clock, member, self.key_records, self.peers, self.peer_client)
        self.keyed_jobs = KeyedJobs(
            clock, member, self.claims, self.peers, self.peer_client, self.tasks
        )
        self.forwarder = MemberForwarder(
            clock, member, self.peers, self.dependencies.members, self.tasks, self.rng
        )
        self.jobs = JobService(
            clock,
            self.replica,
            self.dispatcher,
            self.starter,
            self.admission,
            self.run_times,
            self.keyed_jobs,
            self.forwarder,
            self.metrics,
            self.is_config_fresh,
            self.pool_load,
            self.rng,
        )

    def _build_fleet(self) -> None:
        self.planner = FleetPlanner(
            self.member.name,
            self.clock,
            self.dependencies.store,
            self.keyspace,
            self.replica,
            self.writer,
            self.endpoints,
            self.dependencies.vm_control,
            self.metrics,
            self.is_vm_idle,
            self.pool_demand,
        )
        self.fleet_report = FleetReport(self.planner)

    async def run(self) -> None:
        """Run until :attr:`run_scope` is cancelled."""
        with self.run_scope:
            async with anyio.create_task_group() as tasks:
                for loop in (
                    self.store_sync.run,
                    self.heartbeats.run,
                    self.permit_distributor.run,
                    self.planner.run,
                    self._sweep_waiting_jobs,
                    self._prune_periodically,
                    self._poll_vm_list,
                ):
                    tasks.start_soon(keep_running, loop)

    # State that spans several components

    def unready_reason(self) -> str:
        """Return why this daemon accepts no jobs, or an empty string if it does."""
        if self.leaving:
            return "leaving"
        if not self.store_sync.config_loaded:
            return "no configuration yet"
        if self.forwarder.must_forward() and not self.peers.live_members():
            return "not a member yet"
        return ""

    def is_config_fresh(self) -> bool:
        """Return whether the configuration is recent enough to include withdrawn access keys."""
        if not self.store_sync.config_loaded:
            return False
        is_recent = self.store_sync.config_age() <= self.settings.freshness_seconds
        return is_recent or self.peers.has_live_majority()

    def configured_limits(self) -> dict[str, int]:
        """Return the configured limits, by resource."""
        limits = {team_resource(team.name): team.limit for team in self.replica.all(Team.kind)}
        limits.update((slot_resource(vm.name), vm.slots) for vm in self.replica.all(Vm.kind))
        return limits

    def pool_load(self, pool: str) -> PoolLoad:
        """Return the known load of a pool across all daemons."""
        load = self.permit_distributor.pool_load(pool_group(pool))
        return PoolLoad(self.endpoints.slots(pool), load.running, load.waiting)

    def busy_vms(self) -> list[str]:
        """Return the VMs that are not joined but still run jobs of this daemon."""
        return [
            vm.name
            for vm in self.endpoints.vms.values()
            if vm.phase is not VmPhase.JOINED
            and self.ledger.holding(slot_resource(vm.name)).used > 0
        ]

    def is_vm_idle(self, vm: str, revision: int) -> bool:
        """Return whether no daemon runs a job on a VM, or will start one.

        :param vm: name of the VM
        :param revision: configuration revision that every daemon must have applied
        """
        view = self.member.view
        if view is None or self.ledger.holding(slot_resource(vm)).used > 0:
            return False
        if any(item.permits.get(slot_resource(vm), 0) for item in view.quarantine):
            return False
        return all(
            self.peers.runs_no_job_on(name, vm, revision)
            for name in view.names - {self.member.name}
        )

    def pool_demand(self, pool: str) -> tuple[int, int]:
        """Return the numbers of running and waiting jobs of a pool across all daemons."""
        running = sum(n for (name, _), n in self.starter.running.items() if name == pool)
        waiting = sum(n for (name, _), n in self.starter.waiting.counts.items() if name == pool)
        others_running, others_waiting = self.peers.demand(pool)
        return running + others_running, waiting + others_waiting

    def handle_heartbeat(self, message: pb.Heartbeat) -> None:
        """Process a heartbeat from another daemon."""
        info = convert.from_member_info(message.sender)
        self.peers.record_contact(info, message.config_revision, message.is_member, message.leaving)
        self.peers.record_fleet_state(
            info.member,
            message.config_revision,
            frozenset(message.busy_vms),
            {item.pool: (item.running, item.waiting) for item in message.demand},
        )
        self.permit_distributor.report_to_new_advisers(self.permit_groups)
        self.permit_distributor.refresh_reports(info.member)
        if message.reports:
            self.permit_distributor.receive_reports(
                convert.from_report(report, info.member, info.data_centre)
                for report in message.reports
            )

    async def request_report(
        self, collection: ReportCollection, name: str
    ) -> dict[str, int] | None:
        """Request a member's report for a view.

        :param collection: reports collected for the view
        :param name: the member
        :returns: permits held, by resource, or None if the member may not report yet
        :raises PeerError: if the member does not answer
        """
        if name == self.member.name:
            return await collect_report(self, collection.view, collection.view_revision)
        info = self.peers.find(name) or collection.view.find(name)
        request = pb.CollectRequest(
            view=encode_view(collection.view), view_revision=collection.view_revision
        )
        assert info is not None
        reply = await self.peer_client.call(info.peer_address, "Collect", request)
        return dict(reply.held) if reply.reported else None

    def encoded_view(self) -> bytes:
        """Return the stored form of the view."""
        if self.encoded_view_cache[0] != self.member.view_revision and self.member.view is not None:
            self.encoded_view_cache = (self.member.view_revision, encode_view(self.member.view))
        return self.encoded_view_cache[1]

    def on_config(self) -> None:
        """Apply a changed configuration to the components."""
        teams = self.replica.all(Team.kind)
        self.endpoints.update(self.replica)
        self.starter.weights = {team.name: team.weight for team in teams}
        self.admission.weights = self.starter.weights
        self.admission.limits = {team.name: team.limit for team in teams}
        max_run_seconds = max(
            (queue.max_seconds for queue in self.replica.all(Queue.kind)), default=0.0
        )
        self.store_sync.quarantine_seconds = max_run_seconds + QUARANTINE_MARGIN_SECONDS
        self.store_sync.record_seconds = max(
            MIN_RECORD_SECONDS, RECORD_DEADLINE_FACTOR * max_run_seconds
        )
        self.permit_groups = [pool_group(pool) for pool in self.endpoints.pools]
        self.permit_groups += [team_group(team.name) for team in teams]
        self._apply_reductions()
        self.starter.start_all_ready()
        self.heartbeats.broadcast_soon()

    def on_view(self) -> None:
        """Apply a changed view to the components."""
        self._apply_reductions()
        view = self.member.view
        if view is not None:
            self.dependencies.endpoints.set_daemon_count(len(view.members))
        self.permit_distributor.report_to_new_advisers(self.permit_groups)
        self.starter.start_all_ready()

    def _apply_reductions(self) -> None:
        self.ledger.reductions.clear()
        if self.store_sync.config_loaded:
            for resource, (new, old) in self.member.lowered_limits(
                self.configured_limits()
            ).items():
                self.ledger.lower_limit(resource, new, old)

    # Periodic tasks

    async def _sweep_waiting_jobs(self) -> None:
        while True:
            if not len(self.starter.waiting):
                self.starter.arrived = anyio.Event()
                await self.starter.arrived.wait()
            await anyio.sleep(SWEEP_INTERVAL_SECONDS)
            self.starter.drop_hopeless()
            if self.member.is_valid():
                self.starter.start_all_ready()

    async def _prune_periodically(self) -> None:
        while True:
            await anyio.sleep(PRUNE_INTERVAL_SECONDS)
            await self.dependencies.endpoints.prune()
            await self.dependencies.members.prune()
            self.key_records.expire()
            self.metrics.gauge("jobs.waiting", len(self.starter.waiting))
            self.metrics.gauge("jobs.running", self.dispatcher.active)

    async def _poll_vm_list(self) -> None:
        while True:
            try:
                listed_vms = await self.dependencies.vm_list.list_vms()
                self.endpoints.update_listed_vms(listed_vms)
                self.planner.observe()
                self.member.record_listed_vms(vm.name for vm in listed_vms)
            except PlatformError as error:
                logging.warning("platform: cannot list the VMs: %s", error)
            await anyio.sleep(VM_LIST_INTERVAL_SECONDS)
